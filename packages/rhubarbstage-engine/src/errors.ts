/**
 * Errors of calls to engines and their translation to the closed list.
 *
 * @module
 */

import {
  type ErrorDetails,
  type ErrorKind,
  isErrorKind,
  type Outcome,
  RhubarbstageError,
} from "rhubarbstage";
import { outcomeHeader } from "./constants.ts";

/** Options of an {@linkcode EngineError}. */
export interface EngineErrorDetails extends ErrorDetails {
  /** Whether any byte of the request may have been written to the engine. */
  readonly written: boolean;
  /** Whether the connection broke while the engine had the request. */
  readonly connectionLost?: boolean;
}

/** A failed call to an engine. */
export class EngineError extends RhubarbstageError {
  /** Whether any byte of the request may have been written to the engine. */
  readonly written: boolean;
  /** Whether the connection broke while the engine had the request. */
  readonly connectionLost: boolean;

  constructor(kind: ErrorKind, details: EngineErrorDetails) {
    super(kind, details);
    this.name = "EngineError";
    this.written = details.written;
    this.connectionLost = details.connectionLost ?? false;
  }
}

/** Error kinds by HTTP status, for answers that do not name a kind. */
const kindsByStatus: Readonly<Record<number, ErrorKind>> = {
  400: "invalid_request",
  404: "unknown_model",
  409: "resume_failed",
  413: "body_too_large",
  422: "invalid_request",
  429: "overloaded",
  503: "overloaded",
};

/** Answer of an engine that refused a request. */
export interface EngineRefusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** Converts the answer of an engine that refused a request. */
export function refusalError(refusal: EngineRefusal): EngineError {
  const { type, message } = parseErrorBody(refusal.body);
  const kind = type !== undefined && isErrorKind(type)
    ? type
    : kindsByStatus[refusal.status] ?? "backend_failed";
  const statedOutcome = refusal.headers[outcomeHeader];
  const outcome = isOutcome(statedOutcome)
    ? statedOutcome
    : defaultOutcome(refusal.status);
  return new EngineError(kind, { message, outcome, written: true });
}

function defaultOutcome(status: number): Outcome {
  return status < 500 ? "not_run" : "may_have_run";
}

function isOutcome(value: unknown): value is Outcome {
  return value === "not_run" || value === "may_have_run" || value === "ran";
}

function parseErrorBody(body: string): { type?: string; message?: string } {
  try {
    const { error } = JSON.parse(body);
    return {
      type: typeof error?.type === "string" ? error.type : undefined,
      message: typeof error?.message === "string" ? error.message : undefined,
    };
  } catch {
    return {};
  }
}

/** Errors of `undici` for a timeout rather than a broken connection. */
const timeoutCodes = new Set([
  "UND_ERR_BODY_TIMEOUT",
  "UND_ERR_HEADERS_TIMEOUT",
]);

/** Progress of a call when it failed. */
export interface CallProgress {
  readonly written: boolean;
  readonly answered: boolean;
}

/** Converts an error of the connection to an engine. */
export function connectionError(
  cause: unknown,
  progress: CallProgress,
): EngineError {
  const { written, answered } = progress;
  if (!written) {
    return new EngineError("backend_unreachable", { written, cause });
  }
  const code = (cause as { code?: string }).code ?? "";
  return new EngineError(answered ? "stream_interrupted" : "backend_failed", {
    written,
    connectionLost: !timeoutCodes.has(code),
    cause,
  });
}
