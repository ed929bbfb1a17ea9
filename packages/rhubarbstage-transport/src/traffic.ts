/**
 * Traffic counters of bytes and messages.
 *
 * @module
 */

import { frameHeaderBytes, frameMaskBytes } from "./constants.ts";
import type { MessageCounters, TransportCounters } from "./types.ts";

type Mutable<Counters> = { -readonly [Key in keyof Counters]: Counters[Key] };

function zeroCounters(): Mutable<MessageCounters> {
  return {
    sentBytes: 0,
    sentMessages: 0,
    receivedBytes: 0,
    receivedMessages: 0,
  };
}

/** Returns the size in bytes of a WebSocket frame with its header. */
export function frameBytes(payload: number, isMasked: boolean): number {
  const header = payload < 126
    ? frameHeaderBytes.short
    : payload < 65_536
    ? frameHeaderBytes.medium
    : frameHeaderBytes.long;
  return payload + header + (isMasked ? frameMaskBytes : 0);
}

/** Traffic totals of one transport. */
export class TrafficCounters {
  readonly #total = zeroCounters();
  readonly #byName = new Map<string, Mutable<MessageCounters>>();
  dropped = 0;
  rejected = 0;
  #busyTime = 0;
  #busySince: number | undefined;

  /** Adds the duration of `run` to the busy time; nested calls count once. */
  measureBusyTime<Result>(run: () => Result): Result {
    if (this.#busySince !== undefined) return run();
    this.#busySince = performance.now();
    try {
      return run();
    } finally {
      this.#busyTime += performance.now() - this.#busySince;
      this.#busySince = undefined;
    }
  }

  countSent(name: string, bytes: number): void {
    for (const counters of [this.#total, this.#countersFor(name)]) {
      counters.sentBytes += bytes;
      counters.sentMessages += 1;
    }
  }

  countReceived(name: string, bytes: number): void {
    for (const counters of [this.#total, this.#countersFor(name)]) {
      counters.receivedBytes += bytes;
      counters.receivedMessages += 1;
    }
  }

  toTransportCounters(handlerErrors: number): TransportCounters {
    return {
      ...this.#total,
      droppedMessages: this.dropped,
      rejectedConnections: this.rejected,
      handlerErrors,
      busyTime: this.#busyTime,
      byName: new Map(
        [...this.#byName].map(([name, counters]) => [name, { ...counters }]),
      ),
    };
  }

  #countersFor(name: string): Mutable<MessageCounters> {
    let counters = this.#byName.get(name);
    if (counters === undefined) {
      counters = zeroCounters();
      this.#byName.set(name, counters);
    }
    return counters;
  }
}
