/**
 * Frames of an authenticated link, encoded as tuples to keep them small.
 *
 * @module
 */

import type { Timestamp } from "rhubarbstage";
import type { RemoteError } from "./handler_table.ts";

/** Frame kinds, the first element of each frame. */
export const frameKinds = {
  message: 0,
  request: 1,
  answer: 2,
  error: 3,
  cancel: 4,
} as const;

/** One frame; `id` matches an answer to its request. */
export type Frame =
  | [kind: 0, name: string, body: unknown]
  | [kind: 1, name: string, body: unknown, id: number]
  | [kind: 2, name: string, answer: unknown, id: number]
  | [kind: 3, name: string, error: RemoteError, id: number]
  | [kind: 4, name: string, nothing: null, id: number];

/** Send time, the last element of a frame: wall time and counter. */
type WireTimestamp = readonly [wall: number, counter: number];

/** Appends the send time to a frame. */
export function timestampFrame(frame: Frame, time: Timestamp): unknown[] {
  return [...frame, [time.wall, time.counter]];
}

/** Reads the send time of a frame; undefined when absent or malformed. */
export function readTimestamp(frame: Frame): Timestamp | undefined {
  const elements: readonly unknown[] = frame;
  const stamp = elements[frame[0] === frameKinds.message ? 3 : 4];
  if (!Array.isArray(stamp)) return undefined;
  const [wall, counter] = stamp as unknown as WireTimestamp;
  if (!Number.isSafeInteger(wall) || !Number.isSafeInteger(counter)) {
    return undefined;
  }
  return { wall, counter };
}
