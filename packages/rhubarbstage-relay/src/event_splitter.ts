/**
 * Splits an event stream into complete events.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { maxEventBytes } from "./constants.ts";

const newline = 10;
const carriageReturn = 13;

/** Complete events, and the last event id among them. */
export interface EventBlock {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastId?: string;
}

/**
 * Buffers an incomplete event until its end has arrived, so that a stream that
 * breaks inside an event can resume on another server after the last complete
 * one.
 */
export class EventSplitter {
  #partialEvent: Buffer = Buffer.alloc(0);

  /** Bytes of the incomplete event. */
  get partialEvent(): Buffer {
    return this.#partialEvent;
  }

  /**
   * Appends bytes and returns the events that they complete. Throws
   * `RangeError` when an incomplete event exceeds `maxEventBytes`.
   */
  push(chunk: Buffer): EventBlock | undefined {
    const bytes = this.#partialEvent.length === 0
      ? chunk
      : Buffer.concat([this.#partialEvent, chunk]);
    const { end, count } = findLastEventEnd(bytes);
    this.#partialEvent = bytes.subarray(end);
    if (this.#partialEvent.length > maxEventBytes) {
      throw new RangeError(
        `An incomplete event of ${this.#partialEvent.length} bytes exceeds ` +
          `the limit of ${maxEventBytes} bytes`,
      );
    }
    if (count === 0) return undefined;
    const whole = bytes.subarray(0, end);
    return { bytes: whole, count, lastId: findLastId(whole) };
  }
}

/** Returns the end of the last complete event and the number of events. */
function findLastEventEnd(bytes: Buffer): { end: number; count: number } {
  let end = 0;
  let count = 0;
  let lineStart = 0;
  for (
    let newlineIndex = bytes.indexOf(newline);
    newlineIndex >= 0;
    newlineIndex = bytes.indexOf(newline, newlineIndex + 1)
  ) {
    const length = newlineIndex - lineStart -
      (newlineIndex > lineStart && bytes[newlineIndex - 1] === carriageReturn
        ? 1
        : 0);
    if (length === 0) {
      end = newlineIndex + 1;
      count += 1;
    }
    lineStart = newlineIndex + 1;
  }
  return { end, count };
}

function findLastId(bytes: Buffer): string | undefined {
  let lastId: string | undefined;
  for (const line of bytes.toString("latin1").split("\n")) {
    if (line.startsWith("id:")) lastId = line.slice(3).trim();
  }
  return lastId;
}
