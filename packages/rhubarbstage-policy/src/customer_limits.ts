/**
 * Ceilings that hold over all hosts without a call for each request.
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

interface OwnDemand {
  readonly requests: DecayedSum;
  readonly tokens: DecayedSum;
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

/** A ceiling that is used up, and when there is room again. */
export interface LimitExceeded {
  readonly retryAfterMilliseconds: number;
}

/** Demand of a customer below which it is forgotten, in requests a second. */
const forgottenRate = 1e-3;

/**
 * Token buckets that fill at this host's part of each limit, in proportion to
 * gossiped demand. A host that gossip does not know as a source of demand yet
 * uses a small even part.
 *
 * Overshoot bound: in a steady demand a window of `w` seconds admits at most
 * `limit * (1.1 * w + 1)` and one request for each host, over all hosts. While
 * demand moves between hosts faster than gossip follows, the factor is at most
 * 1.5. A partition into k parts multiplies the bound by at most k.
 */
export class CustomerLimits {
  #own = new Map<CustomerId, OwnDemand>();
  #ownModels = new Map<ModelName, { prompt: DecayedSum; output: DecayedSum }>();
  #published = new Map<CustomerId, CustomerDemand>();
  #parts = new Map<CustomerId, number>();
  #buckets = new Map<CustomerId, CustomerBuckets>();
  hosts: number;

  constructor(hosts: number) {
    this.hosts = Math.max(1, hosts);
  }

  /** Counts an offered request, whether it is admitted or not. */
  observe(customer: CustomerId, tokens: number, now: number): void {
    let own = this.#own.get(customer);
    if (own === undefined) {
      own = {
        requests: new DecayedSum(demandTimeConstant),
        tokens: new DecayedSum(demandTimeConstant),
      };
      this.#own.set(customer, own);
    }
    own.requests.add(1, now);
    own.tokens.add(tokens, now);
  }

  /** Counts offered work of a model for the split of roles. */
  observeModel(
    model: ModelName,
    work: { readonly promptTokens: number; readonly outputTokens: number },
    now: number,
  ): void {
    let own = this.#ownModels.get(model);
    if (own === undefined) {
      own = {
        prompt: new DecayedSum(demandTimeConstant),
        output: new DecayedSum(demandTimeConstant),
      };
      this.#ownModels.set(model, own);
    }
    own.prompt.add(work.promptTokens, now);
    own.output.add(work.outputTokens, now);
  }

  /** Own demand to be gossiped. */
  publish(now: number): {
    readonly localDemand: ReadonlyMap<CustomerId, CustomerDemand>;
    readonly localModelDemand: ReadonlyMap<ModelName, ModelDemand>;
  } {
    const own = new Map<CustomerId, CustomerDemand>();
    for (const [customer, demand] of this.#own) {
      const requestsPerSecond = demand.requests.rate(now);
      if (requestsPerSecond < forgottenRate) this.#own.delete(customer);
      else {
        const tokensPerSecond = demand.tokens.rate(now);
        own.set(customer, { requestsPerSecond, tokensPerSecond });
      }
    }
    const ownModels = new Map<ModelName, ModelDemand>();
    for (const [model, demand] of this.#ownModels) {
      ownModels.set(model, {
        promptTokensPerSecond: demand.prompt.rate(now),
        outputTokensPerSecond: demand.output.rate(now),
      });
    }
    this.#published = own;
    return { localDemand: own, localModelDemand: ownModels };
  }

  /** Takes gossiped demand; `own` is this host's contribution to `total`. */
  updateDemand(
    total: ReadonlyMap<CustomerId, CustomerDemand>,
    options: {
      readonly hosts: number;
      readonly localDemand?: ReadonlyMap<CustomerId, CustomerDemand>;
    },
  ): void {
    const own = options.localDemand ?? this.#published;
    this.hosts = Math.max(1, options.hosts);
    this.#parts.clear();
    for (const [customer, demand] of total) {
      const ownRate = own.get(customer)?.requestsPerSecond ?? 0;
      const all = Math.max(demand.requestsPerSecond, ownRate);
      if (all > 0) this.#parts.set(customer, ownRate / all);
    }
  }

  /** This host's part of the customer's limits, in (0, 1]. */
  limitFraction(customer: CustomerId): number {
    const demandPart = this.#parts.get(customer) ?? 1 / this.hosts;
    return Math.max(evenlySharedFraction / this.hosts, demandPart);
  }

  /** Whether a ceiling is used up; charges nothing. */
  check(
    customer: CustomerId,
    request: { readonly tokens: number; readonly settings: WorkSettings },
    now: number,
  ): LimitExceeded | undefined {
    const part = this.limitFraction(customer);
    const buckets = this.#bucketsOf(customer, request.settings, now);
    const requestRate = request.settings.requestsPerSecond * part;
    const tokenRate = request.settings.tokensPerSecond * part;
    fill(buckets.requests, requestRate, now);
    fill(buckets.tokens, tokenRate, now, request.tokens);
    const wait = Math.max(
      missing(buckets.requests, 1, requestRate),
      missing(buckets.tokens, request.tokens, tokenRate),
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

  /** Corrects the charge once the real number of tokens is known. */
  settle(customer: CustomerId, excessTokens: number): void {
    const buckets = this.#buckets.get(customer);
    if (buckets !== undefined) buckets.tokens.level -= excessTokens;
  }

  /** This host's part of the customer's floor, in requests a second. */
  floorRate(customer: CustomerId, settings: WorkSettings): number {
    return settings.floorRequestsPerSecond * this.limitFraction(customer);
  }

  /** Takes one request from the floor, if the floor has one left. */
  tryConsumeFloor(
    customer: CustomerId,
    settings: WorkSettings,
    now: number,
  ): boolean {
    const rate = this.floorRate(customer, settings);
    if (rate <= 0) return false;
    const { floor } = this.#bucketsOf(customer, settings, now);
    fill(floor, rate, now);
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
      const part = this.limitFraction(customer);
      buckets = {
        requests: newBucket(settings.requestsPerSecond * part, now),
        tokens: newBucket(settings.tokensPerSecond * part, now),
        floor: newBucket(settings.floorRequestsPerSecond * part, now),
      };
      this.#buckets.set(customer, buckets);
    }
    return buckets;
  }
}

/** Largest level; one request must fit however small the rate is. */
function burst(rate: number, largestRequest = 1): number {
  return Math.max(rate * limitBurstSeconds, largestRequest);
}

function newBucket(rate: number, now: number): Bucket {
  return { level: Number.isFinite(rate) ? burst(rate) : 0, at: now };
}

function fill(
  bucket: Bucket,
  rate: number,
  now: number,
  largestRequest = 1,
): void {
  // An unlimited bucket stays empty, so that a later limit starts cleanly.
  if (!Number.isFinite(rate)) {
    bucket.level = 0;
    bucket.at = now;
    return;
  }
  const elapsed = Math.max(0, now - bucket.at);
  const filled = bucket.level + rate * elapsed / 1_000;
  const largest = Math.max(burst(rate, largestRequest), bucket.level);
  bucket.level = Math.min(filled, largest);
  bucket.at = now;
}

/** Milliseconds until the bucket holds the amount. */
function missing(bucket: Bucket, amount: number, rate: number): number {
  if (!Number.isFinite(rate) || bucket.level >= amount) return 0;
  return rate > 0 ? (amount - bucket.level) * 1_000 / rate : Infinity;
}
