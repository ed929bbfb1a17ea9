/**
 * Frames of an authenticated link, as tuples to keep them small.
 *
 * @module
 */

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
