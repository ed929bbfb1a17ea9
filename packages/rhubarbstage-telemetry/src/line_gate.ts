/**
 * Bound on the volume of a log.
 *
 * @module
 */

/**
 * Most lines in a second; a host relays some 40 requests a second at the size
 * of two years, with about five lines each.
 */
const linesPerSecond = 500;
/** Bytes that may wait for a reader that is slow or has stopped. */
const maxPendingBytes = 1_048_576;

/** Options of a {@linkcode LogRateLimiter}. */
export interface LogRateLimiterOptions {
  /** Bytes that are written and not yet read. */
  readonly pendingBytes: () => number;
  /** Monotonic time in milliseconds. */
  readonly now?: () => number;
}

/** Suppresses lines beyond the bound and counts them. */
export class LogRateLimiter {
  readonly #options: LogRateLimiterOptions;
  #allowance = linesPerSecond;
  #at: number;
  #suppressed = 0;

  constructor(options: LogRateLimiterOptions) {
    this.#options = options;
    this.#at = this.#now();
  }

  /** Whether a line may be written now; it is counted either way. */
  tryAcquire(): boolean {
    const now = this.#now();
    const earned = (now - this.#at) / 1_000 * linesPerSecond;
    this.#allowance = Math.min(linesPerSecond, this.#allowance + earned);
    this.#at = now;
    if (this.#allowance < 1 || this.#options.pendingBytes() > maxPendingBytes) {
      this.#suppressed += 1;
      return false;
    }
    this.#allowance -= 1;
    return true;
  }

  /** Lines that were suppressed since the last call. */
  takeSuppressedCount(): number {
    const suppressed = this.#suppressed;
    this.#suppressed = 0;
    return suppressed;
  }

  #now(): number {
    return this.#options.now?.() ?? performance.now();
  }
}
