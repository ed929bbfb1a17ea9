/**
 * Monotonic time and hybrid logical timestamps.
 *
 * @module
 */

/** Source of time. Abstract so that tests can control time. */
export abstract class Clock {
  /** Returns milliseconds since an arbitrary start; never goes back. */
  abstract monotonicMilliseconds(): number;
  /** Returns milliseconds since the Unix epoch; may jump. */
  abstract wallMilliseconds(): number;
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override monotonicMilliseconds(): number {
    return performance.now();
  }

  override wallMilliseconds(): number {
    return Date.now();
  }
}

/** A clock that moves only when `advance` is called. */
export class ManualClock extends Clock {
  #now: number;

  constructor(startMilliseconds = 0) {
    super();
    this.#now = startMilliseconds;
  }

  /** Advances monotonic and wall time by the same amount. */
  advance(milliseconds: number): void {
    this.#now += milliseconds;
  }

  override monotonicMilliseconds(): number {
    return this.#now;
  }

  override wallMilliseconds(): number {
    return this.#now;
  }
}

/**
 * Hybrid logical timestamp: wall time in milliseconds and a counter that orders
 * events of the same millisecond. Causally later events compare larger.
 */
export interface Timestamp {
  /** Largest wall time seen, in milliseconds since the Unix epoch. */
  readonly wall: number;
  /** Order of events within one value of `wall`. */
  readonly counter: number;
}

/** Compares two timestamps; negative when `left` is earlier. */
export function compareTimestamps(left: Timestamp, right: Timestamp): number {
  return left.wall - right.wall || left.counter - right.counter;
}

/** Hybrid logical clock of one process. */
export class HybridLogicalClock {
  #clock: Clock;
  #wall = 0;
  #counter = 0;

  constructor(clock: Clock = new SystemClock()) {
    this.#clock = clock;
  }

  /** Returns the timestamp of a local event or a sent message. */
  next(): Timestamp {
    const wall = this.#clock.wallMilliseconds();
    if (wall > this.#wall) {
      this.#wall = wall;
      this.#counter = 0;
    } else {
      this.#counter += 1;
    }
    return { wall: this.#wall, counter: this.#counter };
  }

  /** Merges a received timestamp, so that later events follow it. */
  observe(remote: Timestamp): void {
    if (remote.wall > this.#wall) {
      this.#wall = remote.wall;
      this.#counter = remote.counter;
    } else if (remote.wall === this.#wall) {
      this.#counter = Math.max(this.#counter, remote.counter);
    }
  }
}
