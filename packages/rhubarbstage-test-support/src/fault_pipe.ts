/**
 * One direction of one proxied connection.
 *
 * @module
 */

import type { Socket } from "node:net";
import type { SeededRandom } from "rhubarbstage";
import type { DirectionFaults } from "./fault_proxy_types.ts";

/** Queued bytes above which the source is paused. */
const maxQueuedBytes = 1_048_576;

interface QueuedChunk {
  /** Absent at the end of the stream. */
  readonly bytes?: Buffer;
  readonly dueAt: number;
}

/** Sockets and faults of a {@linkcode FaultPipe}. */
export interface FaultPipeOptions {
  readonly source: Socket;
  readonly sink: Socket;
  readonly random: SeededRandom;
  /** Extra delay of this connection in milliseconds. */
  readonly extraDelay: number;
  /** Returns the current faults; called for each chunk. */
  readonly faults: () => DirectionFaults;
  readonly onBytes: (count: number) => void;
}

/** Delivers chunks in order, each once its delay has elapsed. */
export class FaultPipe {
  #options: FaultPipeOptions;
  #queue: QueuedChunk[] = [];
  #queuedBytes = 0;
  #lastDueAt = 0;
  #timer: NodeJS.Timeout | undefined;
  #hasLostBytes = false;

  constructor(options: FaultPipeOptions) {
    this.#options = options;
    const { source, sink } = options;
    source.on("data", (bytes: Buffer) => this.#enqueue(bytes));
    source.on("end", () => this.#enqueue());
    sink.on("drain", () => this.deliver());
  }

  /** Whether bytes were discarded, so that the stream has a gap. */
  get hasLostBytes(): boolean {
    return this.#hasLostBytes;
  }

  #enqueue(bytes?: Buffer): void {
    const { faults, random, extraDelay, source } = this.#options;
    const { loss, delay, jitter, bytesPerSecond } = faults();
    if (loss === "discard" || this.#hasLostBytes) {
      this.#hasLostBytes = true;
      return;
    }
    const arrivesAt = performance.now() + delay + extraDelay +
      random.next() * jitter;
    const length = bytes?.byteLength ?? 0;
    const transferTime = bytesPerSecond > 0
      ? length * 1_000 / bytesPerSecond
      : 0;
    const dueAt = Math.max(arrivesAt, this.#lastDueAt) + transferTime;
    this.#lastDueAt = dueAt;
    this.#queue.push({ bytes, dueAt });
    this.#queuedBytes += length;
    if (this.#queuedBytes > maxQueuedBytes) source.pause();
    this.deliver();
  }

  /** Delivers due chunks; must be called after each change of the faults. */
  deliver(): void {
    clearTimeout(this.#timer);
    const { sink, source, faults, onBytes } = this.#options;
    while (this.#queue.length > 0) {
      if (faults().loss !== "none" || sink.writableNeedDrain) return;
      const { bytes, dueAt } = this.#queue[0] as QueuedChunk;
      const wait = dueAt - performance.now();
      if (wait > 0) {
        this.#timer = setTimeout(() => this.deliver(), wait);
        return;
      }
      this.#queue.shift();
      this.#queuedBytes -= bytes?.byteLength ?? 0;
      onBytes(bytes?.byteLength ?? 0);
      if (bytes === undefined) sink.end();
      else sink.write(bytes);
    }
    source.resume();
  }

  /** Drops all queued chunks. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#queue = [];
  }
}
