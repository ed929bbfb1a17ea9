/**
 * Ties work to the connection of its caller.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { CallerDisconnectedError } from "./errors.ts";

/**
 * Resolves when the answer has been handed to the connection or the connection
 * is closed. Until then a shutdown must not close it: a caller that reads
 * slowly still lacks a part of its answer. A connection on which nothing moves
 * for `stallTimeout` milliseconds is closed.
 */
export async function waitForResponseClose(
  response: ServerResponse,
  stallTimeout: number,
): Promise<void> {
  if (response.writableFinished || response.destroyed) return;
  response.setTimeout(stallTimeout, () => response.destroy());
  await new Promise<void>((resolve) => {
    response.once("finish", resolve);
    response.once("close", resolve);
  });
}

/**
 * Signal that is aborted when the connection closes before the answer is
 * complete.
 */
export function callerDisconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) {
      controller.abort(new CallerDisconnectedError());
    }
  });
  if (response.destroyed) controller.abort(new CallerDisconnectedError());
  return controller.signal;
}
