/**
 * Streams that an engine generates for all hosts.
 *
 * @module
 */

import type { PromptWorkId } from "./engine_queue.ts";

/**
 * A stream whose end nobody tells counts for this long, in milliseconds; longer
 * than callers wait for their answers.
 */
const forgottenAfter = 30_000;

interface Stream {
  readonly tokens: number;
  readonly at: number;
  /** Whether the prompt is computed, so that tokens are generated. */
  runs: boolean;
}

/** Streams on one engine, from the choice of the engine to their end. */
export class EngineStreams {
  /** In the order of their start. */
  readonly #streams = new Map<PromptWorkId, Stream>();
  #tokens = 0;
  #running = 0;

  /** Streams that run or will run when their prompts are computed. */
  count(now: number): number {
    this.#forget(now);
    return this.#streams.size;
  }

  /** Streams whose prompts are computed. */
  running(now: number): number {
    this.#forget(now);
    return this.#running;
  }

  /** Tokens of their prompts, which the engine keeps in its memory. */
  tokens(now: number): number {
    this.#forget(now);
    return this.#tokens;
  }

  /** Adds a stream with a prompt of some tokens. */
  add(id: PromptWorkId, tokens: number, now: number): void {
    this.end(id);
    this.#streams.set(id, { tokens, at: now, runs: false });
    this.#tokens += tokens;
  }

  /** The prompt of a stream is computed. */
  start(id: PromptWorkId): void {
    const stream = this.#streams.get(id);
    if (stream === undefined || stream.runs) return;
    stream.runs = true;
    this.#running += 1;
  }

  /** Takes the end of a stream. */
  end(id: PromptWorkId): void {
    const stream = this.#streams.get(id);
    if (stream === undefined) return;
    this.#streams.delete(id);
    this.#tokens -= stream.tokens;
    if (stream.runs) this.#running -= 1;
  }

  /** Forgets all streams, as of a process that has ended. */
  clear(): void {
    this.#streams.clear();
    this.#tokens = 0;
    this.#running = 0;
  }

  #forget(now: number): void {
    for (const [id, { at }] of this.#streams) {
      if (now - at <= forgottenAfter) return;
      this.end(id);
    }
  }
}
