/**
 * Requests of all hosts on one plain server, from its load reports. A host sees
 * few of a server's answers, so a report is mostly older than the requests that
 * it counts; then the mean is the better estimate.
 *
 * @module
 */

import { DecayedSum } from "./decayed.ts";

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
  #requests = new DecayedSum(meanTimeConstant);
  #squares = new DecayedSum(meanTimeConstant);
  #reports = new DecayedSum(meanTimeConstant);

  /** Records a report that counts `requests`, `own` of them of this host. */
  report(
    { requests, own }: { readonly requests: number; readonly own: number },
    now: number,
  ): void {
    this.#reported = Math.max(0, requests - own);
    this.#reportedAt = now;
    this.#requests.add(this.#reported, now);
    this.#squares.add(this.#reported ** 2, now);
    this.#reports.add(1, now);
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
    const typical = this.#typical(now);
    const others = typical + (this.#reported - typical) * remaining;
    return {
      mean: own + others,
      // The survivors of the report are binomially distributed.
      variance: this.#typicalVariance(now) * (1 - remaining) +
        this.#reported * remaining * (1 - remaining),
    };
  }

  /** Forgets a server process that has ended. */
  clear(): void {
    this.#reportedAt = -Infinity;
    this.#requests = new DecayedSum(meanTimeConstant);
    this.#squares = new DecayedSum(meanTimeConstant);
    this.#reports = new DecayedSum(meanTimeConstant);
  }

  /**
   * Variance between reports. Independent arrivals would have a variance like
   * their mean; bursts and phases of a server have a larger one.
   */
  #typicalVariance(now: number): number {
    const reports = this.#reports.value(now) + 1;
    const mean = this.#requests.value(now) / reports;
    const variance = this.#squares.value(now) / reports - mean ** 2;
    return Math.max(this.#typical(now), variance);
  }

  #typical(now: number): number {
    // Without reports for a while the mean returns to 0, so the server is tried.
    return this.#requests.value(now) / (this.#reports.value(now) + 1);
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
