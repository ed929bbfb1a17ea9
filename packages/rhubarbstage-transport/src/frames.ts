/**
 * Frames of an authenticated link, as tuples to keep them small.
 *
 * @module
 */

import type { Timestamp } from "rhubarbstage";
import type { RemoteError } from "./handler_table.ts";

/** First element of a frame. */
export const frameKinds = {
  message: 0,
  request: 1,
  answer: 2,
  error: 3,
  cancel: 4,
} as const;

/** One frame; `id` joins an answer to its request. */
export type Frame =
  | [kind: 0, name: string, body: unknown]
  | [kind: 1, name: string, body: unknown, id: number]
  | [kind: 2, name: string, answer: unknown, id: number]
  | [kind: 3, name: string, error: RemoteError, id: number]
  | [kind: 4, name: string, nothing: null, id: number];

/** Time of sending behind the other elements: wall time and counter. */
type Stamp = readonly [wall: number, counter: number];

/** The frame with the time of sending. */
export function stampFrame(frame: Frame, time: Timestamp): unknown[] {
  return [...frame, [time.wall, time.counter]];
}

/** Reads the time of sending; undefined when the sender gave none. */
export function readStamp(frame: Frame): Timestamp | undefined {
  const elements: readonly unknown[] = frame;
  const stamp = elements[frame[0] === frameKinds.message ? 3 : 4];
  if (!Array.isArray(stamp)) return undefined;
  const [wall, counter] = stamp as unknown as Stamp;
  if (!Number.isSafeInteger(wall) || !Number.isSafeInteger(counter)) {
    return undefined;
  }
  return { wall, counter };
}
