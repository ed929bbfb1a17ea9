/**
 * Splits an event stream into whole events.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { maxEventBytes } from "./constants.ts";

const newline = 10;
const carriageReturn = 13;

/** Whole events, and the id of the last of them that has one. */
export interface EventBlock {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastId?: string;
}

/**
 * Holds back the beginning of an event until its end has arrived, so that a
 * stream which breaks inside an event can go on elsewhere after the last whole
 * one.
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has no end yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /**
   * Takes bytes and returns the events that they complete. Throws when an
   * event grows beyond every reasonable size.
   */
  push(chunk: Buffer): EventBlock | undefined {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const { end, count } = findEnd(bytes);
    this.#rest = bytes.subarray(end);
    if (this.#rest.length > maxEventBytes) {
      throw new RangeError(`An event is larger than ${maxEventBytes} bytes`);
    }
    if (count === 0) return undefined;
    const whole = bytes.subarray(0, end);
    return { bytes: whole, count, lastId: lastIdOf(whole) };
  }
}

/** End of the last whole event, and how many there are. */
function findEnd(bytes: Buffer): { end: number; count: number } {
  let end = 0;
  let count = 0;
  let lineStart = 0;
  for (
    let at = bytes.indexOf(newline);
    at >= 0;
    at = bytes.indexOf(newline, at + 1)
  ) {
    const length = at - lineStart -
      (at > lineStart && bytes[at - 1] === carriageReturn ? 1 : 0);
    if (length === 0) {
      end = at + 1;
      count += 1;
    }
    lineStart = at + 1;
  }
  return { end, count };
}

function lastIdOf(bytes: Buffer): string | undefined {
  let last: string | undefined;
  for (const line of bytes.toString("latin1").split("\n")) {
    if (line.startsWith("id:")) last = line.slice(3).trim();
  }
  return last;
}
