/**
 * Prompt work that waits on an engine, estimated from the own part of it.
 *
 * @module
 */

/** Part of a wrong prediction by which the estimate is corrected. */
const correctionGain = 0.5;

/**
 * Backlog of prompt work on one engine that several hosts use. Hosts do not
 * tell each other of single requests: each one counts its own work as often as
 * the demand of all hosts exceeds its own, lets the engine work it off in real
 * time, and corrects the estimate by what its own requests have waited.
 */
export class EngineBacklog {
  #milliseconds = 0;
  #at = 0;

  /** Time until work that is sent now would begin, in milliseconds. */
  value(now: number): number {
    return Math.max(0, this.#milliseconds - Math.max(0, now - this.#at));
  }

  /** Adds own work and the work that other hosts send meanwhile. */
  add(milliseconds: number, share: number, now: number): void {
    this.#set(this.value(now) + milliseconds * share, now);
  }

  /** Takes what a request waited beyond its prediction, or less than it. */
  correct(excess: number, now: number): void {
    this.#set(this.value(now) + excess * correctionGain, now);
  }

  #set(milliseconds: number, now: number): void {
    this.#milliseconds = Math.max(0, milliseconds);
    this.#at = now;
  }
}
