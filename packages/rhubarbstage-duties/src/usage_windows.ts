/**
 * Counts of begun requests by window of true time, from the answers of all entry
 * hosts. Pure: times are passed in.
 *
 * @module
 */

import type { CustomerId, HostId, Incarnation } from "rhubarbstage";
import type { UsageCounts } from "@rhubarbstage/control";
import {
  bucketRetention,
  bucketWidth,
  closeTimeout,
  maxCountedCustomers,
  pollInterval,
} from "./constants.ts";
import { TrueTime } from "./true_time.ts";
import type { HostPollAnswer, HostPollOutcome, PolledHost } from "./types.ts";

/** Options of {@linkcode UsageWindows}. */
export interface UsageWindowsOptions {
  /** Length of a window in milliseconds. */
  readonly windowLength: number;
}

/** What was received from one entry host. */
interface HostProgress {
  readonly incarnation: Incarnation;
  /** Last bucket received. */
  readonly last: number;
  /** Monotonic time at which the last answered poll was sent. */
  readonly sentAt: number;
}

/** An answer whose buckets were not assigned to windows yet. */
interface PendingAnswer {
  /** Monotonic time at the middle of the round trip. */
  readonly at: number;
  readonly buckets: HostPollAnswer["buckets"];
}

/** Assigns buckets to windows and decides when a window is complete. */
export class UsageWindows {
  readonly #windowLength: number;
  readonly #time = new TrueTime();
  readonly #progress = new Map<HostId, HostProgress>();
  readonly #windows = new Map<number, Map<CustomerId, number>>();
  #pending: PendingAnswer[] = [];
  /** Windows up to this one are agreed; later buckets of them are late. */
  #agreedThrough = -Infinity;
  /** Monotonic time of the first answer, in milliseconds. */
  #firstAnswerAt: number | undefined;
  #lateRequests = 0;

  constructor(options: UsageWindowsOptions) {
    this.#windowLength = options.windowLength;
  }

  /** Requests that were arrived after their window was agreed. */
  get lateRequests(): number {
    return this.#lateRequests;
  }

  /**
   * Whether the clocks of most live hosts are known, or others had time to
   * answer. The clock of a single host may be wrong by seconds.
   */
  hasTrueTime(now: number, hosts: readonly PolledHost[]): boolean {
    if (this.#firstAnswerAt === undefined) return false;
    return 2 * this.#time.count > hosts.length ||
      now - this.#firstAnswerAt >= closeTimeout;
  }

  /** Returns the true time at a monotonic time; undefined before an answer. */
  trueTimeAt(now: number): number | undefined {
    const { offset } = this.#time;
    return offset === undefined ? undefined : now + offset;
  }

  /** Returns the number of the window that contains a true time. */
  windowAt(trueTime: number): number {
    return Math.floor(trueTime / this.#windowLength);
  }

  /** Returns the true time at which a window ends. */
  endOf(window: number): number {
    return (window + 1) * this.#windowLength;
  }

  /** Handles the end of one poll; a failed one changes nothing. */
  observe({ host, sentAt, endedAt, answer }: HostPollOutcome): void {
    if (answer === undefined) return;
    this.#firstAnswerAt ??= endedAt;
    const known = this.#progress.get(host);
    const isSame = known?.incarnation === answer.incarnation;
    const last = isSame ? known.last : -1;
    const buckets = answer.buckets.filter(({ number }) => number > last);
    this.#progress.set(host, {
      incarnation: answer.incarnation,
      last: Math.max(last, answer.last),
      sentAt: Math.max(known?.sentAt ?? -Infinity, sentAt),
    });
    const { wallTime } = answer;
    this.#time.observe(host, { wallTime, sentAt, receivedAt: endedAt });
    if (buckets.length === 0) return;
    this.#pending.push({ at: (sentAt + endedAt) / 2, buckets });
  }

  /**
   * Assigns the answers before a monotonic time. They wait for a round of polls,
   * so that the median is that of clocks read after them.
   */
  settle(before: number): void {
    const { offset } = this.#time;
    if (offset === undefined) return;
    const settled = this.#pending.filter(({ at }) => at < before);
    this.#pending = this.#pending.filter(({ at }) => at >= before);
    for (const { at, buckets } of settled) {
      for (const { age, counts } of buckets) {
        const middle = at - age - bucketWidth / 2;
        this.#add(this.windowAt(middle + offset), counts);
      }
    }
  }

  /**
   * Whether all that live hosts know of a window has arrived, or the time for
   * it is over.
   */
  isComplete(
    window: number,
    context: {
      readonly now: number;
      readonly hosts: readonly PolledHost[];
      /** Time between two polls of a host, in milliseconds. */
      readonly interval?: number;
    },
  ): boolean {
    const { now, hosts, interval = pollInterval } = context;
    const { offset } = this.#time;
    if (offset === undefined) return false;
    const end = this.endOf(window) - offset;
    const patience = Math.max(closeTimeout, interval + pollInterval);
    if (now >= end + patience) return true;
    return hosts.length > 0 && hosts.every(({ host }) => {
      const { sentAt = -Infinity } = this.#progress.get(host) ?? {};
      return sentAt >= end + bucketWidth;
    });
  }

  /** Returns the counts of a window that is complete. */
  close(window: number): UsageCounts {
    this.settle(Infinity);
    const counts = this.#windows.get(window) ?? new Map();
    return [...counts]
      .filter(([, count]) => count > 0)
      .toSorted(([left], [right]) => left < right ? -1 : 1);
  }

  /** Forgets a window and all earlier ones once its counts are agreed. */
  markAgreed(window: number): void {
    this.#agreedThrough = Math.max(this.#agreedThrough, window);
    for (const number of this.#windows.keys()) {
      if (number <= window) this.#windows.delete(number);
    }
  }

  /** Forgets hosts that left and windows that nobody closed. */
  prune(now: number, hosts: readonly PolledHost[]): void {
    const live = new Set(hosts.map(({ host }) => host));
    this.#time.retain(live);
    for (const [host, { sentAt }] of this.#progress) {
      // A host that returns soon must not be counted twice.
      if (!live.has(host) && sentAt < now - 2 * bucketRetention) {
        this.#progress.delete(host);
      }
    }
    const trueTime = this.trueTimeAt(now);
    if (trueTime === undefined) return;
    const oldest = this.windowAt(trueTime - 2 * bucketRetention);
    for (const number of this.#windows.keys()) {
      if (number < oldest) this.#windows.delete(number);
    }
  }

  #add(window: number, counts: HostPollAnswer["buckets"][0]["counts"]): void {
    if (window <= this.#agreedThrough) {
      for (const [, count] of counts) this.#lateRequests += count;
      return;
    }
    const totals = this.#windows.get(window) ?? new Map<CustomerId, number>();
    this.#windows.set(window, totals);
    for (const [customer, count] of counts) {
      if (!totals.has(customer) && totals.size >= maxCountedCustomers) continue;
      totals.set(customer, (totals.get(customer) ?? 0) + count);
    }
  }
}
