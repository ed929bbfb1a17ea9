/**
 * Converts errors to response bodies and headers for callers.
 *
 * @module
 */

import { type ErrorKind, errorKinds, RhubarbstageError } from "rhubarbstage";
import { outcomeHeader } from "@rhubarbstage/engine";
import { requestIdHeader } from "./constants.ts";

/** `Retry-After` in seconds for retryable errors that state no delay. */
const defaultRetryAfter = 1;

/** Thrown when the caller disconnects before the response is complete. */
export class CallerDisconnectedError extends Error {
  constructor() {
    super("The caller closed its connection");
    this.name = "CallerDisconnectedError";
  }
}

/** Returns the JSON body of an error response. */
export function errorBody(error: RhubarbstageError, request: string): string {
  return JSON.stringify({
    error: {
      type: error.kind,
      code: error.kind,
      message: error.message,
      outcome: error.outcome,
      request_id: request,
    },
  });
}

/** Returns the headers of an error response. */
export function errorHeaders(
  error: RhubarbstageError,
  request: string,
): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/json; charset=utf-8",
    [outcomeHeader]: error.outcome,
    [requestIdHeader]: request,
  };
  if (errorKinds[error.kind].retryable) {
    const seconds = error.retryAfterSeconds ?? defaultRetryAfter;
    headers["retry-after"] = String(Math.ceil(seconds));
  }
  return headers;
}

/** Error kinds by the HTTP status of errors from Node.js, Fastify or Nest. */
const kindsByStatus: Readonly<Record<number, ErrorKind>> = {
  400: "invalid_request",
  404: "not_found",
  405: "not_found",
  408: "request_timeout",
  413: "body_too_large",
  415: "unsupported_media_type",
  431: "invalid_request",
};

/** Converts any thrown value to an error with a kind. */
export function toCallerError(thrown: unknown): RhubarbstageError {
  if (thrown instanceof RhubarbstageError) return thrown;
  const kind = kindsByStatus[statusOf(thrown)];
  return new RhubarbstageError(kind ?? "internal", { cause: thrown });
}

function statusOf(thrown: unknown): number {
  const error = thrown as {
    statusCode?: number;
    getStatus?: () => number;
  } | null;
  return error?.getStatus?.() ?? error?.statusCode ?? 500;
}
