/**
 * How long work takes on one server relative to the usual time, apart from its
 * load. Servers state the figure in answers; it changes within a second, so an
 * old figure says little of the present and the mean says more.
 *
 * @module
 */

import { DecayedMean } from "./decayed_mean.ts";

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
/** Age up to which a stated figure is passed on to other hosts, in ms. */
const maxPassedOnAge = 200;
/** Smaller differences from the typical pace change no choice. */
const minExcess = 0.02;
/** Work beyond this many time constants takes the mean time. */
const maxPhaseExponent = 30;

/** Whether a figure of a server or another host can be true. */
export function isPace(pace: unknown): pace is number {
  return typeof pace === "number" && pace >= minPace && pace <= maxPace;
}

/** Pace of one server, as known to this host. */
export class ServerPace {
  #stated = usualPace;
  #statedAt = -Infinity;
  readonly #mean = new DecayedMean({
    prior: usualPace,
    timeConstant: meanTimeConstant,
  });
  /** Time of the values below; a decision reads them several times. */
  #readAt = NaN;
  #typical = usualPace;
  #excess = 0;

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

  /** Pace that is expected now. */
  current(now: number): number {
    this.#read(now);
    return this.#typical + this.#excess;
  }

  /**
   * Milliseconds that work of `work` milliseconds at the usual pace takes from
   * now on, while the current pace returns to the typical one. Solves the
   * integral of 1 / pace over the duration for `work`.
   */
  duration(work: number, now: number): number {
    if (work <= 0) return 0;
    this.#read(now);
    const typical = this.#typical;
    const excess = this.#excess;
    if (Math.abs(excess) < minExcess) return typical * work;
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
    this.#mean.clear();
    this.#readAt = NaN;
  }

  #read(now: number): void {
    if (now === this.#readAt) return;
    this.#readAt = now;
    this.#typical = this.#mean.mean(now);
    const age = now - this.#statedAt;
    this.#excess = age > maxPhaseExponent * phaseTimeConstant
      ? 0
      : (this.#stated - this.#typical) *
        Math.exp(Math.min(0, -age) / phaseTimeConstant);
  }

  #addToMean(pace: number, now: number): void {
    this.#mean.add(pace, now);
    this.#readAt = NaN;
  }
}
