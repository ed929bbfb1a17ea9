/**
 * The servers that a region's load needs: the maximum over recent time, so that
 * capacity doesn't follow the valleys between bursts.
 *
 * @module
 */

import type { RegionLoad } from "./scale_types.ts";
import type { MixRequirement } from "./server_mix.ts";

/**
 * Time over which the maximum of the load counts, in milliseconds: two cycles
 * of bursts that repeat every 14 s.
 */
export const peakWindow = 30_000;
/**
 * Utilisation that servers are planned for: queues grow above 0.6, and a late
 * request costs more than the spot servers of the difference.
 */
const plannedUtilisation = 0.5;
/**
 * Utilisation of the servers that remain after the loss of the spot servers of
 * a zone, for the time until new ones have booted.
 */
const survivingUtilisation = 0.85;
/** Time in which the weight of a sample of refusals decays to 1/e, in ms. */
const refusalTimeConstant = 5_000;
/** Maximum factor by which refused requests raise the measured work. */
const maxRefusalFactor = 1.5;
/** Share of refused requests above which the reserve grows. */
const refusalThreshold = 0.03;
/**
 * Utilisation below which refusals are no lack of servers but failures of hosts
 * or paths, which more servers don't mend.
 */
const minPressureUtilisation = 0.3;
/** Growth of the reserve while requests are refused although nothing boots. */
const reserveGrowth = 1.15;
const reserveGrowthInterval = 5_000;
/** Decay of the reserve in times without refusals. */
const reserveDecay = 0.9;
const reserveDecayInterval = 30_000;
const maxReserve = 2;

/** Speed at which a decode engine computes prompts, relative to a prefill engine. */
const decodePrefillSpeed = 0.5;
/** Least share of a stage that counts: the split of a few engines is coarse. */
const minStageShare = 0.25;

/** Servers as far as they matter to the need. */
export interface ServingState {
  readonly slots: number;
  /**
   * Share of the engines that compute prompts; the others answer. Absent where
   * each engine does both.
   */
  readonly prefillShare?: number;
  readonly serving: number;
  /** Whether ordered servers have yet to serve. */
  readonly booting: boolean;
}

/** Need of one region for servers of one service. */
export class CapacityNeed {
  #samples: { readonly at: number; readonly work: number }[] = [];
  #arrivals = 0;
  #refusals = 0;
  #sampledAt: number | undefined;
  #reserve = 1;
  #reserveChangedAt = 0;
  #refusedAt = -Infinity;

  /** Adds a sample of the load. */
  observe(load: RegionLoad, state: ServingState, now: number): void {
    if (this.#sampledAt === undefined) this.#reserveChangedAt = now;
    this.#observeRefusals(load, now);
    const work = busyServers(load, state) * this.#refusalFactor();
    this.#samples = this.#samples.filter(({ at }) => now - at < peakWindow);
    this.#samples.push({ at: now, work });
    this.#adjustReserve(state, { work, now });
  }

  /** Time of the last refusals for lack of servers. */
  get refusedAt(): number {
    return this.#refusedAt;
  }

  /** Servers that are needed now, at all and after the loss of spot servers. */
  requirement(): MixRequirement {
    const work = this.#peak() * this.#reserve;
    return {
      need: Math.ceil(work / plannedUtilisation),
      survivors: Math.ceil(work / survivingUtilisation),
    };
  }

  #peak(): number {
    return Math.max(0, ...this.#samples.map(({ work }) => work));
  }

  #observeRefusals(load: RegionLoad, now: number): void {
    const elapsed = this.#sampledAt === undefined
      ? Infinity
      : now - this.#sampledAt;
    this.#sampledAt = now;
    const weight = 1 - Math.exp(-elapsed / refusalTimeConstant);
    this.#arrivals += (load.arrivals - this.#arrivals) * weight;
    this.#refusals += (load.refusals - this.#refusals) * weight;
  }

  #refusedShare(): number {
    return this.#arrivals > 0
      ? Math.min(1, this.#refusals / this.#arrivals)
      : 0;
  }

  /** Refused requests add no measured work; callers that retry count often. */
  #refusalFactor(): number {
    return Math.min(maxRefusalFactor, 1 / (1 - this.#refusedShare()));
  }

  /** Learns that the measured work needs more servers than planned. */
  #adjustReserve(
    state: ServingState,
    sample: { readonly work: number; readonly now: number },
  ): void {
    const { work, now } = sample;
    const since = now - this.#reserveChangedAt;
    const isUtilised = work >= state.serving * minPressureUtilisation;
    const isRefusing = this.#refusedShare() > refusalThreshold;
    if (isRefusing && isUtilised) this.#refusedAt = now;
    if (isRefusing && isUtilised && !state.booting) {
      if (since < reserveGrowthInterval) return;
      this.#reserve = Math.min(maxReserve, this.#reserve * reserveGrowth);
      this.#reserveChangedAt = now;
    } else if (!isRefusing && since >= reserveDecayInterval) {
      this.#reserve = Math.max(1, this.#reserve * reserveDecay);
      this.#reserveChangedAt = now;
    }
  }
}

/** Servers that the load keeps busy all the time. */
function busyServers(
  load: RegionLoad,
  { slots, prefillShare }: ServingState,
): number {
  const computing = load.promptTime / 1_000;
  const streaming = load.streamTime / 1_000 / slots;
  const running = load.busyTime / 1_000 / slots;
  if (prefillShare === undefined) {
    return Math.max(computing, streaming) + running;
  }
  // Servers come and go in the present split. Prefill engines run no streams, but
  // decode engines compute the prompts that prefill engines have no time for.
  const share = Math.min(
    1 - minStageShare,
    Math.max(minStageShare, prefillShare),
  );
  const computingCapacity = share + (1 - share) * decodePrefillSpeed;
  return computing / computingCapacity + streaming / (1 - share) + running;
}
