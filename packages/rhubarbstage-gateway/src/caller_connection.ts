/**
 * Tracks the end of a response and the disconnect of its caller.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
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
  const { socket } = response.req;
  if (socket.destroyed) return;
  response.setTimeout(stallTimeout, () => socket.destroy());
  // A caller may have any number of requests open on one connection.
  setMaxListeners(0, socket);
  await new Promise<void>((resolve) => {
    const end = () => {
      socket.off("close", end);
      resolve();
    };
    response.once("finish", end);
    response.once("close", end);
    // A response that waits behind an earlier one has no connection to close.
    socket.once("close", end);
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
