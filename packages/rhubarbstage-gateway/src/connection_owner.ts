/**
 * Ties work to the connection of its caller.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { CallerGone } from "./errors.ts";

/**
 * Signal that is aborted when the connection closes before the answer is
 * complete.
 */
export function callerSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort(new CallerGone());
  });
  if (response.destroyed) controller.abort(new CallerGone());
  return controller.signal;
}
