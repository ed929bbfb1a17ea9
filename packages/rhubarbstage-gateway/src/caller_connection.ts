/**
 * Tracks the end of a response and the disconnect of its caller.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { CallerDisconnectedError } from "./errors.ts";

/**
 * Resolves when the response has been written or the connection is closed. A
 * shutdown must wait for this, or slow callers would lose part of a response. A
 * connection without traffic for `stallTimeout` milliseconds is closed.
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
 * Returns a signal that is aborted when the connection closes before the
 * response is complete.
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
