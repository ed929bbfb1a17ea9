/**
 * Decision whether the holder of a duty may act at this moment.
 *
 * @module
 */

import { type Clock, type FencingNumber } from "rhubarbstage";
import { defaultLeaseTime, permitTime } from "./constants.ts";

/** Readings of all clocks of the host at one moment, in milliseconds. */
export interface TimeReading {
  readonly monotonic: number;
  readonly wall: number;
  /** Time since the machine's start, suspensions included. */
  readonly boot: number;
}

/** Options of a {@linkcode LeaseClock}. */
export interface LeaseClockOptions {
  readonly clock: Clock;
  /**
   * Time since the machine's start including suspensions, in milliseconds;
   * without it, a suspension shows only on the wall clock.
   */
  readonly bootMilliseconds?: () => number;
}

/**
 * Measures the time since a moment as the largest difference that any clock
 * shows. The monotonic clock stands still while the machine is suspended, and
 * the wall clock may step; a forward step only makes the time seem longer.
 */
export class LeaseClock {
  readonly #options: LeaseClockOptions;

  constructor(options: LeaseClockOptions) {
    this.#options = options;
  }

  read(): TimeReading {
    const { clock, bootMilliseconds = () => 0 } = this.#options;
    return {
      monotonic: clock.monotonicMilliseconds(),
      wall: clock.wallMilliseconds(),
      boot: bootMilliseconds(),
    };
  }

  /** Returns the longest time that may have passed since a reading, in ms. */
  longestSince(since: TimeReading): number {
    const now = this.read();
    return Math.max(
      now.monotonic - since.monotonic,
      now.wall - since.wall,
      now.boot - since.boot,
    );
  }

  /** Returns the time that has passed at least since a reading, in ms. */
  shortestSince(since: TimeReading): number {
    return this.read().monotonic - since.monotonic;
  }
}

/** Options of a {@linkcode DutyLease}. */
export interface DutyLeaseOptions {
  readonly clock: LeaseClock;
  readonly fence: FencingNumber;
  /** A moment after the command that took the duty was committed. */
  readonly takenAt: TimeReading;
  /** Time before the first call, in milliseconds; defaults to 3,000. */
  readonly leaseTime?: number;
  /** Time after a proof for which calls are permitted; defaults to 1,000 ms. */
  readonly permitTime?: number;
}

/**
 * Lease of one duty under one fencing token. Calls are permitted once the lease
 * of an earlier holder has ended, and while a recent proof shows that no other
 * host has become the leader.
 */
export class DutyLease {
  readonly #options: DutyLeaseOptions;
  #provenAt: TimeReading | undefined;
  #hasWaited = false;
  #isEnded = false;

  constructor(options: DutyLeaseOptions) {
    this.#options = options;
  }

  /** Handles a successful proof of leadership that began at a moment. */
  renew(startedAt: TimeReading): void {
    this.#provenAt = startedAt;
  }

  /** Ends the lease for good. */
  end(): void {
    this.#isEnded = true;
  }

  /** Age of the last proof in milliseconds; infinite without one. */
  get age(): number {
    if (this.#provenAt === undefined) return Infinity;
    return this.#options.clock.longestSince(this.#provenAt);
  }

  /** Whether the lease of every earlier holder has ended. */
  get hasWaited(): boolean {
    const { clock, takenAt, leaseTime = defaultLeaseTime } = this.#options;
    this.#hasWaited ||= clock.shortestSince(takenAt) >= leaseTime;
    return this.#hasWaited;
  }

  /** Returns the fencing token if a call may be written now. */
  permit(): FencingNumber | undefined {
    const { fence, permitTime: limit = permitTime } = this.#options;
    if (this.#isEnded || !this.hasWaited) return undefined;
    return this.age < limit ? fence : undefined;
  }
}
