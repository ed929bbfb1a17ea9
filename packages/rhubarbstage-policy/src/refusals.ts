/**
 * Effects that refuse a request.
 *
 * @module
 */

import type { ErrorKind, RequestId } from "rhubarbstage";
import type { Refusal } from "./fleet_state.ts";
import type { PolicyEffect } from "./types.ts";

/** Refuses a request that has not run. */
export function refuse(
  request: RequestId,
  kind: ErrorKind,
  retryAfterSeconds?: number,
): Refusal {
  const effect = { type: "refuse", request, kind, outcome: "not_run" } as const;
  return retryAfterSeconds === undefined
    ? effect
    : { ...effect, retryAfterSeconds };
}

/** Builds a log note with the inputs of a refusal. */
export function createRefusalNote(
  request: RequestId,
  inputs: Readonly<Record<string, string | number>>,
): PolicyEffect {
  return {
    type: "note",
    event: "request_refused",
    fields: { request, ...inputs },
  };
}
