/**
 * The error class with a kind from the closed list.
 *
 * @module
 */

import { type ErrorKind, errorKinds, type Outcome } from "./error_kinds.ts";

/** Options of a {@linkcode RhubarbstageError}. */
export interface ErrorDetails {
  /** Message for the caller; defaults to the message of the kind. */
  readonly message?: string;
  /** Outcome; defaults to the outcome of the kind. */
  readonly outcome?: Outcome;
  /** Value of the `Retry-After` header, in seconds. */
  readonly retryAfterSeconds?: number;
  /** Underlying error, for logs only. */
  readonly cause?: unknown;
}

/** An error of the closed list of kinds. */
export class RhubarbstageError extends Error {
  /** Kind from the closed list. */
  readonly kind: ErrorKind;
  /** Whether the request that failed took effect. */
  readonly outcome: Outcome;
  /** HTTP status code of the answer. */
  readonly status: number;
  /** Value of the `Retry-After` header, in seconds. */
  readonly retryAfterSeconds: number | undefined;

  constructor(kind: ErrorKind, details: ErrorDetails = {}) {
    const definition = errorKinds[kind];
    super(details.message ?? definition.message, { cause: details.cause });
    this.name = "RhubarbstageError";
    this.kind = kind;
    this.outcome = details.outcome ?? definition.outcome;
    this.status = definition.status;
    this.retryAfterSeconds = details.retryAfterSeconds;
  }
}

/** Converts any thrown value to an error of the closed list. */
export function toRhubarbstageError(thrown: unknown): RhubarbstageError {
  if (thrown instanceof RhubarbstageError) return thrown;
  return new RhubarbstageError("internal", { cause: thrown });
}
