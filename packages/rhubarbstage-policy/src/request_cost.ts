/**
 * Likely cost of requests by route: output length of streams and run time of
 * plain calls, with their spread. Costs are logarithms, because their errors are
 * factors. Learned online; the means are shared between hosts.
 *
 * @module
 */

import { LRUCache } from "lru-cache";
import { normalProbability } from "./remaining_work.ts";

/** Most routes whose costs are kept. */
const maxRoutes = 256;
/** Samples after which older ones are forgotten. */
const memorySamples = 50;
/** Weight of the pool's mean in a route's mean, in samples. */
const poolWeight = 3;
/** Weight of the mean over all hosts, in samples. */
const sharedWeight = 20;
/** Variance of the logarithm before any observation: a factor of 2.7. */
const initialVariance = 1;
/** Least variance of the logarithm, so that no source is trusted fully. */
const minVariance = 0.0025;
/** Weight of the initial variance, in samples. */
const varianceWeight = 3;
/** Largest variance that raises the mean above the median. */
const maxMeanVariance = 1;
const deciles = 10;

/** Lognormally distributed cost. */
export interface CostEstimate {
  readonly median: number;
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly spread: number;
}

/** Exponentially weighted mean and variance of logarithms. */
class LogarithmStatistics {
  #mean = 0;
  #variance = initialVariance;
  #samples = 0;

  add(logarithm: number, centre = this.#mean): void {
    this.#samples = Math.min(memorySamples, this.#samples + 1);
    const error = logarithm - centre;
    this.#mean += (logarithm - this.#mean) / this.#samples;
    this.#variance += (error * error - this.#variance) /
      (this.#samples + varianceWeight);
  }

  get mean(): number {
    return this.#mean;
  }

  get variance(): number {
    return Math.max(minVariance, this.#variance);
  }

  get samples(): number {
    return this.#samples;
  }
}

/** Costs of one route. */
interface RouteCosts {
  readonly costs: LogarithmStatistics;
  /** Logarithm of actual over claimed cost. */
  readonly claimErrors: LogarithmStatistics;
  /** Mean logarithm over all hosts. */
  shared: number | undefined;
}

/** Learned costs of the routes of one pool, in one unit. */
export class RequestCosts {
  readonly #routes = new LRUCache<string, RouteCosts>({ max: maxRoutes });
  readonly #pool = new LogarithmStatistics();
  readonly #initial: number;
  /** Last estimates, which a decision needs for each server. */
  #typical: number | undefined;
  #last: {
    readonly route: string;
    readonly claim: number | undefined;
    readonly estimate: CostEstimate;
  } | undefined;

  /** @param initial Cost before any observation. */
  constructor(initial: number) {
    this.#initial = Math.log(initial);
  }

  /** Estimates the cost of a request, with the caller's claim if it has one. */
  estimate(route: string, claim?: number): CostEstimate {
    if (this.#last?.route !== route || this.#last.claim !== claim) {
      const estimate = this.#estimate(route, claim);
      this.#last = { route, claim, estimate };
    }
    return this.#last.estimate;
  }

  #estimate(route: string, claim: number | undefined): CostEstimate {
    const known = this.#routes.get(route);
    const mean = this.#meanOf(known);
    const variance = known?.costs.samples
      ? known.costs.variance
      : this.#pool.variance;
    const claimed = claim !== undefined && claim > 0
      ? Math.log(claim)
      : undefined;
    if (claimed === undefined) return toEstimate(mean, variance);
    // Sources weigh by the inverse of the variance that their errors have shown.
    const claimVariance = known?.claimErrors.variance ?? initialVariance;
    const total = 1 / variance + 1 / claimVariance;
    const combined = (mean / variance + claimed / claimVariance) / total;
    return toEstimate(combined, 1 / total);
  }

  /** Mean cost of the pool's recent requests. */
  typical(): number {
    const { samples, mean, variance } = this.#pool;
    this.#typical ??= samples === 0
      ? Math.exp(this.#initial)
      : toEstimate(mean, variance).mean;
    return this.#typical;
  }

  /** Learns the cost of an ended request. */
  learn(route: string, cost: number, claim?: number): void {
    if (!(cost > 0) || !Number.isFinite(cost)) return;
    this.#last = undefined;
    this.#typical = undefined;
    const logarithm = Math.log(cost);
    const known = this.#routeOf(route);
    known.costs.add(logarithm);
    this.#pool.add(logarithm);
    if (claim === undefined || !(claim > 0)) return;
    // Claims are right at the median, so their errors are measured from 0.
    known.claimErrors.add(logarithm - Math.log(claim), 0);
  }

  /** Sets a route's mean logarithm over all hosts. */
  share(route: string, mean: number): void {
    if (!Number.isFinite(mean)) return;
    this.#last = undefined;
    this.#routeOf(route).shared = mean;
  }

  #meanOf(known: RouteCosts | undefined): number {
    const pool = this.#pool.samples === 0 ? this.#initial : this.#pool.mean;
    if (known === undefined) return pool;
    const { costs, shared } = known;
    const sharedPart = shared === undefined ? 0 : sharedWeight;
    const poolPart = shared === undefined ? poolWeight : 0;
    return (costs.samples * costs.mean + sharedPart * (shared ?? 0) +
      poolPart * pool) / (costs.samples + sharedPart + poolPart);
  }

  #routeOf(route: string): RouteCosts {
    let known = this.#routes.get(route);
    if (known === undefined) {
      known = {
        costs: new LogarithmStatistics(),
        claimErrors: new LogarithmStatistics(),
        shared: undefined,
      };
      this.#routes.set(route, known);
    }
    return known;
  }
}

function toEstimate(mean: number, variance: number): CostEstimate {
  return {
    median: Math.exp(mean),
    mean: Math.exp(mean + Math.min(variance, maxMeanVariance) / 2),
    spread: Math.sqrt(variance),
  };
}

/**
 * Decile of the predicted distribution, 1 to 10, in which the actual cost lies.
 * Good predictions hit each decile equally often.
 */
export function predictedDecile(
  { median, spread }: CostEstimate,
  actual: number,
): number {
  const score = Math.log(Math.max(Number.MIN_VALUE, actual) / median) / spread;
  const decile = Math.floor(normalProbability(score) * deciles) + 1;
  return Math.min(deciles, decile);
}
