/**
 * Rate limit of log lines.
 *
 * @module
 */

/**
 * Maximum lines per second; a host is expected to relay about 40 requests per
 * second within two years, with about five lines each.
 */
const maxLinesPerSecond = 500;
/** Maximum bytes that wait for a slow or stopped reader. */
const maxPendingBytes = 1_048_576;

/** Options of a {@linkcode LogRateLimiter}. */
export interface LogRateLimiterOptions {
  /** Returns the number of bytes that are written and not yet read. */
  readonly pendingBytes: () => number;
  /** Returns monotonic time in milliseconds. */
  readonly now?: () => number;
}

/** Suppresses lines beyond the limit and counts them. */
export class LogRateLimiter {
  readonly #options: LogRateLimiterOptions;
  #availableLines = maxLinesPerSecond;
  #lastRefill: number;
  #suppressed = 0;

  constructor(options: LogRateLimiterOptions) {
    this.#options = options;
    this.#lastRefill = this.#now();
  }

  /** Returns whether a line may be written; counts it as suppressed if not. */
  tryAcquire(): boolean {
    const now = this.#now();
    const refill = (now - this.#lastRefill) / 1_000 * maxLinesPerSecond;
    this.#availableLines = Math.min(
      maxLinesPerSecond,
      this.#availableLines + refill,
    );
    this.#lastRefill = now;
    if (
      this.#availableLines < 1 || this.#options.pendingBytes() > maxPendingBytes
    ) {
      this.#suppressed += 1;
      return false;
    }
    this.#availableLines -= 1;
    return true;
  }

  /** Returns and resets the number of suppressed lines. */
  takeSuppressedCount(): number {
    const suppressed = this.#suppressed;
    this.#suppressed = 0;
    return suppressed;
  }

  #now(): number {
    return this.#options.now?.() ?? performance.now();
  }
}
