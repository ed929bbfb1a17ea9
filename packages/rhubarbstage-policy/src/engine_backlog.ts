/**
 * Prompt work that waits on an engine.
 *
 * @module
 */

/** Part of a wrong prediction by which the estimate is corrected. */
const correctionGain = 0.3;

/**
 * Backlog of prompt work on one engine. It grows with the work that any host
 * announces, shrinks in real time, and is corrected by what own requests have
 * waited.
 */
export class EngineBacklog {
  #milliseconds = 0;
  #at = 0;

  /** Time until work that is sent now would begin, in milliseconds. */
  value(now: number): number {
    return Math.max(0, this.#milliseconds - Math.max(0, now - this.#at));
  }

  /** Adds work, in milliseconds of the engine. */
  add(milliseconds: number, now: number): void {
    this.#set(this.value(now) + milliseconds, now);
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
