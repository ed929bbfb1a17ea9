/**
 * Requests that servers began to run for this host, by customer.
 *
 * @module
 */

import {
  type Clock,
  type CustomerId,
  type Incarnation,
  SystemClock,
} from "rhubarbstage";
import {
  bucketRetention,
  bucketWidth,
  maxCountedCustomers,
} from "./constants.ts";
import type { HostPoll, HostPollAnswer, UsageBucket } from "./types.ts";

/** Options of a {@linkcode UsageRecorder}. */
export interface UsageRecorderOptions {
  readonly incarnation: Incarnation;
  readonly clock?: Clock;
}

type Counts = Map<CustomerId, number>;

/**
 * Counts begun requests in consecutive buckets of the monotonic clock. A bucket
 * never changes once it is closed, so that a poll may be repeated.
 */
export class UsageRecorder {
  readonly #incarnation: Incarnation;
  readonly #clock: Clock;
  readonly #startedAt: number;
  /** Buckets with requests by number, oldest first; the last may be open. */
  readonly #buckets = new Map<number, Counts>();

  constructor(options: UsageRecorderOptions) {
    this.#incarnation = options.incarnation;
    this.#clock = options.clock ?? new SystemClock();
    this.#startedAt = this.#clock.monotonicMilliseconds();
  }

  /**
   * Counts a request that a server began to run, or takes one back (-1) that
   * the server turns out not to have run.
   */
  record(customer: CustomerId, change: 1 | -1 = 1): void {
    const number = this.#openBucket();
    this.#dropOldBuckets(number);
    const counts = this.#buckets.get(number) ?? new Map();
    if (!counts.has(customer) && counts.size >= maxCountedCustomers) return;
    this.#buckets.set(number, counts);
    counts.set(customer, (counts.get(customer) ?? 0) + change);
  }

  /** Answers a poll with the closed buckets that the holder does not have. */
  answer(poll: HostPoll): HostPollAnswer {
    const open = this.#openBucket();
    this.#dropOldBuckets(open);
    const isKnown = poll.incarnation === this.#incarnation;
    const after = isKnown ? poll.after ?? -1 : -1;
    const buckets: UsageBucket[] = [];
    for (const [number, counts] of this.#buckets) {
      if (number <= after || number >= open) continue;
      const age = this.#ageOf(number);
      buckets.push({ number, age, counts: [...counts] });
    }
    return {
      incarnation: this.#incarnation,
      wallTime: this.#clock.wallMilliseconds(),
      bucketWidth,
      last: open - 1,
      lastAge: this.#ageOf(open - 1),
      buckets,
    };
  }

  #openBucket(): number {
    const elapsed = this.#clock.monotonicMilliseconds() - this.#startedAt;
    return Math.floor(elapsed / bucketWidth);
  }

  /** Returns the time since the end of a bucket, in milliseconds. */
  #ageOf(number: number): number {
    const end = this.#startedAt + (number + 1) * bucketWidth;
    return Math.max(0, this.#clock.monotonicMilliseconds() - end);
  }

  #dropOldBuckets(open: number): void {
    const oldest = open - bucketRetention / bucketWidth;
    for (const number of this.#buckets.keys()) {
      if (number >= oldest) return;
      this.#buckets.delete(number);
    }
  }
}
