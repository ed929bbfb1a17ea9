/**
 * One direction of one proxied connection.
 *
 * @module
 */

import type { Socket } from "node:net";
import type { SeededRandom } from "rhubarbstage";
import type { DirectionFaults } from "./fault_proxy_types.ts";

/** Bytes held before the source is paused. */
const heldByteLimit = 1_048_576;

interface HeldChunk {
  /** Absent for the end of the stream. */
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
  /** Current faults; read again for each chunk. */
  readonly faults: () => DirectionFaults;
  readonly onBytes: (count: number) => void;
}

/** Delivers chunks in order, each when it is due. */
export class FaultPipe {
  #options: FaultPipeOptions;
  #held: HeldChunk[] = [];
  #heldBytes = 0;
  #lastDueAt = 0;
  #timer: NodeJS.Timeout | undefined;
  #lostBytes = false;

  constructor(options: FaultPipeOptions) {
    this.#options = options;
    const { source, sink } = options;
    source.on("data", (bytes: Buffer) => this.#hold(bytes));
    source.on("end", () => this.#hold());
    sink.on("drain", () => this.deliver());
  }

  /** Whether bytes were discarded, so that the stream has a gap. */
  get lostBytes(): boolean {
    return this.#lostBytes;
  }

  #hold(bytes?: Buffer): void {
    const { faults, random, extraDelay, source } = this.#options;
    const { loss, delay, jitter, bytesPerSecond } = faults();
    if (loss === "discard" || this.#lostBytes) {
      this.#lostBytes = true;
      return;
    }
    const arrival = performance.now() + delay + extraDelay +
      random.next() * jitter;
    const length = bytes?.byteLength ?? 0;
    const transfer = bytesPerSecond > 0 ? length * 1_000 / bytesPerSecond : 0;
    const dueAt = Math.max(arrival, this.#lastDueAt) + transfer;
    this.#lastDueAt = dueAt;
    this.#held.push({ bytes, dueAt });
    this.#heldBytes += length;
    if (this.#heldBytes > heldByteLimit) source.pause();
    this.deliver();
  }

  /** Delivers what is due; called again when the faults change. */
  deliver(): void {
    clearTimeout(this.#timer);
    const { sink, source, faults, onBytes } = this.#options;
    while (this.#held.length > 0) {
      if (faults().loss !== "none" || sink.writableNeedDrain) return;
      const { bytes, dueAt } = this.#held[0] as HeldChunk;
      const wait = dueAt - performance.now();
      if (wait > 0) {
        this.#timer = setTimeout(() => this.deliver(), wait);
        return;
      }
      this.#held.shift();
      this.#heldBytes -= bytes?.byteLength ?? 0;
      onBytes(bytes?.byteLength ?? 0);
      if (bytes === undefined) sink.end();
      else sink.write(bytes);
    }
    source.resume();
  }

  /** Drops what is held. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#held = [];
  }
}
