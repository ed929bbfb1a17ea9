/**
 * Requests of all hosts on one plain server, from its load reports. A host sees
 * few of a server's answers, so a report is mostly older than the requests that
 * it counts; then the mean is the better estimate.
 *
 * @module
 */

import { DecayedMean } from "./decayed_mean.ts";

/** Time constant of the mean of a server, in milliseconds. */
const meanTimeConstant = 10_000;
/**
 * Least time constant with which a report loses its worth, in milliseconds. A
 * queue outlasts the calls in it: in a trial with the recorded calls at a load of
 * 1.5, 1.3% of them were late with the run time of 43 ms, 1.1% with 300 ms.
 */
const minReportTimeConstant = 300;
/** Smaller variances, in requests squared, would divide by zero. */
const minVariance = 1e-6;

/** Estimated number of requests on a server. */
export interface RequestEstimate {
  readonly mean: number;
  readonly variance: number;
}

/** Requests of all hosts on one server, as known to this host. */
export class RemainingWork {
  /** Requests of other hosts in the last report. */
  #reported = 0;
  #reportedAt = -Infinity;
  // Without reports for a while the mean returns to 0, so the server is tried.
  readonly #mean = new DecayedMean({
    prior: 0,
    timeConstant: meanTimeConstant,
  });

  /** Records a report that counts `requests`, `own` of them of this host. */
  report(
    { requests, own }: { readonly requests: number; readonly own: number },
    now: number,
  ): void {
    this.#reported = Math.max(0, requests - own);
    this.#reportedAt = now;
    this.#mean.add(this.#reported, now);
  }

  /**
   * Estimates the requests on the server now. Of the other hosts' requests in
   * the report, a part that depends on the report's age and the run time has
   * ended and others have replaced it; this host's own requests are known.
   */
  estimate(
    options: { readonly own: number; readonly runTime: number },
    now: number,
  ): RequestEstimate {
    const { own, runTime } = options;
    const age = Math.max(0, now - this.#reportedAt);
    const timeConstant = Math.max(minReportTimeConstant, runTime);
    const remaining = Math.exp(-age / timeConstant);
    const typical = this.#mean.mean(now);
    const others = typical + (this.#reported - typical) * remaining;
    return {
      mean: own + others,
      // Independent arrivals have a variance like their mean, bursts and phases
      // a larger one. The survivors of the report are binomially distributed.
      variance: Math.max(typical, this.#mean.variance(now)) * (1 - remaining) +
        this.#reported * remaining * (1 - remaining),
    };
  }

  /** Forgets a server process that has ended. */
  clear(): void {
    this.#reportedAt = -Infinity;
    this.#mean.clear();
  }
}

/**
 * Expected requests that must end before one more starts on a server with
 * `slots` slots, with a normally distributed number of requests.
 */
export function expectedRequestsAhead(
  { mean, variance }: RequestEstimate,
  slots: number,
): number {
  const excess = mean - (slots - 1);
  const deviation = Math.sqrt(Math.max(minVariance, variance));
  const score = excess / deviation;
  const density = Math.exp(-score * score / 2) / Math.sqrt(2 * Math.PI);
  return deviation * density + excess * normalProbability(score);
}

/** Probability that a standard normal variable is below `score`. */
export function normalProbability(score: number): number {
  // Logistic approximation with an error below 0.0002, without tables.
  const exponent = 1.5976 * score + 0.07056 * score ** 3;
  return 1 / (1 + Math.exp(-exponent));
}
