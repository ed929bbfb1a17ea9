/**
 * Estimate of the streams that an engine generates for all hosts.
 *
 * @module
 */

import type { EngineWorkId } from "./engine_queue.ts";

/**
 * Milliseconds after which a stream is dropped if no host has announced its
 * end; longer than callers wait for their answers.
 */
const streamExpiry = 30_000;

interface Stream {
  readonly tokens: number;
  readonly addedAt: number;
  /** Whether the prompt is computed and tokens are being generated. */
  isRunning: boolean;
}

/** Streams on one engine, from their dispatch to their end. */
export class EngineStreams {
  /** In order of dispatch. */
  readonly #streams = new Map<EngineWorkId, Stream>();
  /** Time before which no stream expires. */
  #nextExpiry = 0;
  #tokens = 0;
  #running = 0;

  /** Number of streams, including those whose prompts are not computed yet. */
  count(now: number): number {
    this.#expire(now);
    return this.#streams.size;
  }

  /** Number of streams whose prompts are computed. */
  running(now: number): number {
    this.#expire(now);
    return this.#running;
  }

  /** Prompt tokens of all streams, which occupy the engine's KV cache. */
  tokens(now: number): number {
    this.#expire(now);
    return this.#tokens;
  }

  /** Adds a stream whose prompt has `tokens` tokens. */
  add(id: EngineWorkId, tokens: number, now: number): void {
    this.end(id);
    this.#streams.set(id, { tokens, addedAt: now, isRunning: false });
    this.#tokens += tokens;
  }

  /** Marks a stream as running once its prompt is computed. */
  start(id: EngineWorkId): void {
    const stream = this.#streams.get(id);
    if (stream === undefined || stream.isRunning) return;
    stream.isRunning = true;
    this.#running += 1;
  }

  /** Removes a stream that has ended; ignores unknown streams. */
  end(id: EngineWorkId): void {
    const stream = this.#streams.get(id);
    if (stream === undefined) return;
    this.#streams.delete(id);
    this.#tokens -= stream.tokens;
    if (stream.isRunning) this.#running -= 1;
  }

  /** Removes all streams after the engine's process has ended. */
  clear(): void {
    this.#streams.clear();
    this.#tokens = 0;
    this.#running = 0;
  }

  /** Called for every engine in each decision, so that it must cost little. */
  #expire(now: number): void {
    if (now <= this.#nextExpiry) return;
    this.#nextExpiry = now;
    for (const [id, { addedAt }] of this.#streams) {
      if (now - addedAt <= streamExpiry) {
        this.#nextExpiry = addedAt + streamExpiry;
        return;
      }
      this.end(id);
    }
  }
}
