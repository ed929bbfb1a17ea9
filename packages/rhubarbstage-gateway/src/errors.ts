/**
 * Errors as callers see them.
 *
 * @module
 */

import { type ErrorKind, errorKinds, RhubarbstageError } from "rhubarbstage";
import { outcomeHeader } from "@rhubarbstage/engine";
import { requestIdHeader } from "./constants.ts";

/** Seconds of `Retry-After` where a retry helps and nothing better is known. */
const defaultRetryAfter = 1;

/** The caller closed its connection before the answer was complete. */
export class CallerDisconnectedError extends Error {
  constructor() {
    super("The caller closed its connection");
    this.name = "CallerGone";
  }
}

/** Body of a refusal, in JSON form. */
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

/** Headers of a refusal. */
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

/** Kinds for errors that Node.js, Fastify or Nest raise. */
const kindsByStatus: Readonly<Record<number, ErrorKind>> = {
  400: "invalid_request",
  404: "not_found",
  405: "not_found",
  408: "request_timeout",
  413: "body_too_large",
  415: "unsupported_media_type",
  431: "invalid_request",
};

/** Converts what was thrown while a request was handled. */
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
