/**
 * How long work takes on one server relative to the usual time, apart from its
 * load. Servers state the figure in answers; it changes within a second, so an
 * old figure says little of the present and the mean says more.
 *
 * @module
 */

import { DecayedSum } from "./decayed.ts";

/** Relative time of work on a server at its usual speed. */
export const usualPace = 1;
/** Figures outside these bounds are malformed and ignored. */
const minPace = 0.01;
const maxPace = 100;
/**
 * Time constant with which a stated figure loses its worth, in milliseconds:
 * half of a phase of 600 ms, the mean rest of a phase at a random moment.
 */
const phaseTimeConstant = 300;
/** Time constant of the mean of a server, in milliseconds. */
const meanTimeConstant = 10_000;
/** Weight of the usual pace in the mean, in reports. */
const priorReports = 1;
/** Age up to which a stated figure is passed on to other hosts, in ms. */
const maxPassedOnAge = 200;
/** Work beyond this many time constants takes the mean time. */
const maxPhaseExponent = 30;

/** Whether a stated figure can be true. */
export function isPace(pace: number | undefined): pace is number {
  return pace !== undefined && pace >= minPace && pace <= maxPace;
}

/** Pace of one server, as known to this host. */
export class ServerPace {
  #stated = usualPace;
  #statedAt = -Infinity;
  #paces = new DecayedSum(meanTimeConstant);
  #reports = new DecayedSum(meanTimeConstant);

  /** Records the figure that the server stated just now. */
  report(pace: number, now: number): void {
    if (!isPace(pace)) return;
    this.#stated = pace;
    this.#statedAt = now;
    this.#addToMean(pace, now);
  }

  /**
   * Records the actual over expected time of work. It changes the mean only, and
   * only of a server that states no figure, because it may include a wait.
   */
  measure(ratio: number, now: number): void {
    if (now - this.#statedAt < meanTimeConstant || !isPace(ratio)) return;
    this.#addToMean(ratio, now);
  }

  /** Returns the last stated figure if it is recent enough to pass on. */
  recent(now: number): number | undefined {
    return now - this.#statedAt <= maxPassedOnAge ? this.#stated : undefined;
  }

  /** Pace that is expected at a time without a report. */
  typical(now: number): number {
    const paces = this.#paces.value(now) + priorReports * usualPace;
    return paces / (this.#reports.value(now) + priorReports);
  }

  /** Pace that is expected now. */
  current(now: number): number {
    const typical = this.typical(now);
    return typical + (this.#stated - typical) * this.#worth(now);
  }

  /**
   * Milliseconds that work of `work` milliseconds at the usual pace takes from
   * now on, while the current pace returns to the typical one. Solves the
   * integral of 1 / pace over the duration for `work`.
   */
  duration(work: number, now: number): number {
    if (work <= 0) return 0;
    const typical = this.typical(now);
    const excess = (this.#stated - typical) * this.#worth(now);
    const exponent = typical * work / phaseTimeConstant;
    const current = typical + excess;
    if (exponent > maxPhaseExponent) {
      return typical * work + phaseTimeConstant * Math.log(current / typical);
    }
    const growth = (current * Math.exp(exponent) - excess) / typical;
    return phaseTimeConstant * Math.log(growth);
  }

  /** Forgets a server process that has ended. */
  clear(): void {
    this.#statedAt = -Infinity;
    this.#paces = new DecayedSum(meanTimeConstant);
    this.#reports = new DecayedSum(meanTimeConstant);
  }

  #worth(now: number): number {
    return Math.exp(Math.min(0, this.#statedAt - now) / phaseTimeConstant);
  }

  #addToMean(pace: number, now: number): void {
    this.#paces.add(pace, now);
    this.#reports.add(1, now);
  }
}
