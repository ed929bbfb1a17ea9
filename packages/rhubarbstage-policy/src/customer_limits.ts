/**
 * Customer limits enforced over all hosts without coordination per request.
 *
 * @module
 */

import type { CustomerId, ModelName } from "rhubarbstage";
import {
  demandTimeConstant,
  evenlySharedFraction,
  limitBurstSeconds,
} from "./constants.ts";
import { DecayedSum } from "./decayed.ts";
import type { CustomerDemand, ModelDemand, WorkSettings } from "./types.ts";

interface DemandCounters {
  readonly requests: DecayedSum;
  readonly tokens: DecayedSum;
}

interface ModelCounters {
  readonly prompt: DecayedSum;
  readonly output: DecayedSum;
  readonly promptTime: DecayedSum;
  readonly computeTime: DecayedSum;
  readonly streamTime: DecayedSum;
}

interface Bucket {
  level: number;
  at: number;
}

interface CustomerBuckets {
  readonly requests: Bucket;
  readonly tokens: Bucket;
  readonly floor: Bucket;
}

/** Exceeded limit, and the time until capacity is available again. */
export interface LimitExceeded {
  readonly retryAfterMilliseconds: number;
}

/** Requests per second below which a customer is no longer tracked. */
const minTrackedRate = 1e-3;

/**
 * Token buckets that refill at this host's fraction of each limit, proportional
 * to gossiped demand, with a small even fraction as the minimum. Without
 * gossiped demand of a customer, each host uses an even share.
 *
 * Overshoot bound: under steady demand, a window of `w` seconds admits at most
 * `limit * (1.1 * w + 1)` plus one request per host, over all hosts. While
 * demand moves between hosts faster than gossip spreads, at most 1.5 takes the
 * place of 1.1. A partition into k parts multiplies the bound by at most k.
 */
export class CustomerLimits {
  #demand = new Map<CustomerId, DemandCounters>();
  #modelDemand = new Map<
    ModelName,
    ModelCounters
  >();
  #published = new Map<CustomerId, CustomerDemand>();
  #fractions = new Map<CustomerId, number>();
  #buckets = new Map<CustomerId, CustomerBuckets>();
  hosts: number;

  constructor(hosts: number) {
    this.hosts = Math.max(1, hosts);
  }

  /** Records an offered request, whether admitted or not. */
  observe(customer: CustomerId, tokens: number, now: number): void {
    let counters = this.#demand.get(customer);
    if (counters === undefined) {
      counters = {
        requests: new DecayedSum(demandTimeConstant),
        tokens: new DecayedSum(demandTimeConstant),
      };
      this.#demand.set(customer, counters);
    }
    counters.requests.add(1, now);
    counters.tokens.add(tokens, now);
  }

  /** Records offered work of a model, for the assignment of engine roles. */
  observeModel(
    model: ModelName,
    work: {
      readonly promptTokens: number;
      readonly outputTokens: number;
      /** Engine time of the prompt in milliseconds; 0 if unknown. */
      readonly promptTime?: number;
      /** Time for which the prompt occupies an engine; 0 if unknown. */
      readonly computeTime?: number;
      /** Duration of the stream in milliseconds; 0 if unknown. */
      readonly streamTime?: number;
    },
    now: number,
  ): void {
    let counters = this.#modelDemand.get(model);
    if (counters === undefined) {
      counters = {
        prompt: new DecayedSum(demandTimeConstant),
        output: new DecayedSum(demandTimeConstant),
        promptTime: new DecayedSum(demandTimeConstant),
        computeTime: new DecayedSum(demandTimeConstant),
        streamTime: new DecayedSum(demandTimeConstant),
      };
      this.#modelDemand.set(model, counters);
    }
    counters.prompt.add(work.promptTokens, now);
    counters.output.add(work.outputTokens, now);
    counters.promptTime.add(work.promptTime ?? 0, now);
    counters.computeTime.add(work.computeTime ?? 0, now);
    counters.streamTime.add(work.streamTime ?? 0, now);
  }

  /** Returns this host's demand to be gossiped. */
  publish(now: number): {
    readonly localDemand: ReadonlyMap<CustomerId, CustomerDemand>;
    readonly localModelDemand: ReadonlyMap<ModelName, ModelDemand>;
  } {
    const customerDemand = new Map<CustomerId, CustomerDemand>();
    for (const [customer, demand] of this.#demand) {
      const requestsPerSecond = demand.requests.rate(now);
      if (requestsPerSecond < minTrackedRate) this.#demand.delete(customer);
      else {
        const tokensPerSecond = demand.tokens.rate(now);
        customerDemand.set(customer, { requestsPerSecond, tokensPerSecond });
      }
    }
    const modelDemand = new Map<ModelName, ModelDemand>();
    for (const [model, demand] of this.#modelDemand) {
      modelDemand.set(model, {
        promptTokensPerSecond: demand.prompt.rate(now),
        outputTokensPerSecond: demand.output.rate(now),
        promptTimePerSecond: demand.promptTime.rate(now),
        computeTimePerSecond: demand.computeTime.rate(now),
        streamTimePerSecond: demand.streamTime.rate(now),
      });
    }
    this.#published = customerDemand;
    return { localDemand: customerDemand, localModelDemand: modelDemand };
  }

  /** Applies gossiped demand; `localDemand` is this host's share of `total`. */
  updateDemand(
    total: ReadonlyMap<CustomerId, CustomerDemand>,
    options: {
      readonly hosts: number;
      readonly localDemand?: ReadonlyMap<CustomerId, CustomerDemand>;
    },
  ): void {
    const localDemand = options.localDemand ?? this.#published;
    this.hosts = Math.max(1, options.hosts);
    this.#fractions.clear();
    for (const [customer, demand] of total) {
      const localRate = localDemand.get(customer)?.requestsPerSecond ?? 0;
      const totalRate = Math.max(demand.requestsPerSecond, localRate);
      if (totalRate > 0) this.#fractions.set(customer, localRate / totalRate);
    }
  }

  /** Returns this host's fraction of the customer's limits, in (0, 1]. */
  limitFraction(customer: CustomerId): number {
    const demandFraction = this.#fractions.get(customer) ??
      1 / this.hosts;
    return Math.max(evenlySharedFraction / this.hosts, demandFraction);
  }

  /** Returns the exceeded limit, if any; charges nothing. */
  check(
    customer: CustomerId,
    request: { readonly tokens: number; readonly settings: WorkSettings },
    now: number,
  ): LimitExceeded | undefined {
    const fraction = this.limitFraction(customer);
    const buckets = this.#bucketsOf(customer, request.settings, now);
    const requestRate = request.settings.requestsPerSecond * fraction;
    const tokenRate = request.settings.tokensPerSecond * fraction;
    refill(buckets.requests, requestRate, now);
    refill(buckets.tokens, tokenRate, now, request.tokens);
    const wait = Math.max(
      timeUntilAvailable(buckets.requests, 1, requestRate),
      timeUntilAvailable(buckets.tokens, request.tokens, tokenRate),
    );
    return wait > 0 ? { retryAfterMilliseconds: wait } : undefined;
  }

  /** Charges an admitted request. */
  charge(customer: CustomerId, tokens: number): void {
    const buckets = this.#buckets.get(customer);
    if (buckets === undefined) return;
    buckets.requests.level -= 1;
    buckets.tokens.level -= tokens;
  }

  /** Corrects the charge once the actual number of tokens is known. */
  settle(customer: CustomerId, excessTokens: number): void {
    const buckets = this.#buckets.get(customer);
    if (buckets !== undefined) buckets.tokens.level -= excessTokens;
  }

  /** Returns this host's part of the floor, in requests per second. */
  floorRate(customer: CustomerId, settings: WorkSettings): number {
    return settings.floorRequestsPerSecond * this.limitFraction(customer);
  }

  /** Consumes one request of the floor; returns false if none is left. */
  tryConsumeFloor(
    customer: CustomerId,
    settings: WorkSettings,
    now: number,
  ): boolean {
    const rate = this.floorRate(customer, settings);
    if (rate <= 0) return false;
    const { floor } = this.#bucketsOf(customer, settings, now);
    refill(floor, rate, now);
    if (floor.level < 1) return false;
    floor.level -= 1;
    return true;
  }

  #bucketsOf(
    customer: CustomerId,
    settings: WorkSettings,
    now: number,
  ): CustomerBuckets {
    let buckets = this.#buckets.get(customer);
    if (buckets === undefined) {
      const fraction = this.limitFraction(customer);
      buckets = {
        requests: newBucket(settings.requestsPerSecond * fraction, now),
        tokens: newBucket(settings.tokensPerSecond * fraction, now),
        floor: newBucket(settings.floorRequestsPerSecond * fraction, now),
      };
      this.#buckets.set(customer, buckets);
    }
    return buckets;
  }
}

/** Returns the bucket capacity; one request must fit at any rate. */
function bucketCapacity(rate: number, largestRequest = 1): number {
  return Math.max(rate * limitBurstSeconds, largestRequest);
}

function newBucket(rate: number, now: number): Bucket {
  return { level: Number.isFinite(rate) ? bucketCapacity(rate) : 0, at: now };
}

function refill(
  bucket: Bucket,
  rate: number,
  now: number,
  largestRequest = 1,
): void {
  // An unlimited bucket stays empty: a later limit starts without a burst.
  if (!Number.isFinite(rate)) {
    bucket.level = 0;
    bucket.at = now;
    return;
  }
  const elapsed = Math.max(0, now - bucket.at);
  const filled = bucket.level + rate * elapsed / 1_000;
  const capacity = Math.max(bucketCapacity(rate, largestRequest), bucket.level);
  bucket.level = Math.min(filled, capacity);
  bucket.at = now;
}

/** Returns the milliseconds until the amount is available in the bucket. */
function timeUntilAvailable(
  bucket: Bucket,
  amount: number,
  rate: number,
): number {
  if (!Number.isFinite(rate) || bucket.level >= amount) return 0;
  return rate > 0 ? (amount - bucket.level) * 1_000 / rate : Infinity;
}
