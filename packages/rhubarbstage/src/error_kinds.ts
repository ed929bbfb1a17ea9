/**
 * The closed list of error kinds and the HTTP answer of each.
 *
 * @module
 */

/** Whether a refused or failed request took effect. */
export type Outcome = "not_run" | "may_have_run" | "ran";

/** HTTP answer and outcome of one kind of error. */
export interface ErrorKindDefinition {
  /** HTTP status code. */
  readonly status: number;
  /** Outcome unless the raised error overrides it. */
  readonly outcome: Outcome;
  /** Whether sending the same request again can succeed. */
  readonly retryable: boolean;
  /** Default message, without secrets or internal addresses. */
  readonly message: string;
}

function defineKind(
  status: number,
  outcome: Outcome,
  retryable: boolean,
  message: string,
): ErrorKindDefinition {
  return { status, outcome, retryable, message };
}

/** The answer to each error kind. The keys are the closed list of kinds. */
export const errorKinds = {
  invalid_request: defineKind(
    400,
    "not_run",
    false,
    "The request is malformed",
  ),
  unauthenticated: defineKind(
    401,
    "not_run",
    false,
    "The API key is missing or unknown",
  ),
  forbidden: defineKind(403, "not_run", false, "The key does not allow this"),
  unknown_model: defineKind(404, "not_run", false, "The model does not exist"),
  unknown_service: defineKind(
    404,
    "not_run",
    false,
    "The service does not exist",
  ),
  not_found: defineKind(404, "not_run", false, "The path does not exist"),
  body_too_large: defineKind(413, "not_run", false, "The body is too large"),
  unsupported_media_type: defineKind(
    415,
    "not_run",
    false,
    "The content type is not supported",
  ),
  request_timeout: defineKind(
    408,
    "not_run",
    true,
    "The request did not arrive in time",
  ),
  idempotency_key_missing: defineKind(
    400,
    "not_run",
    false,
    "This call is not idempotent and needs an Idempotency-Key header",
  ),
  idempotency_key_reused: defineKind(
    422,
    "not_run",
    false,
    "The idempotency key was used with another request",
  ),
  claim_in_progress: defineKind(
    409,
    "may_have_run",
    true,
    "A request with this idempotency key is still running",
  ),
  outcome_unknown: defineKind(
    502,
    "may_have_run",
    false,
    "The outcome of the request with this idempotency key is unknown",
  ),
  answer_expired: defineKind(
    410,
    "ran",
    false,
    "The request ran; its answer is no longer kept",
  ),
  limit_exceeded: defineKind(
    429,
    "not_run",
    true,
    "The customer's limit is used",
  ),
  overloaded: defineKind(
    503,
    "not_run",
    true,
    "The request would miss its deadline under the current load",
  ),
  deadline_exceeded: defineKind(
    504,
    "not_run",
    true,
    "The deadline has passed",
  ),
  no_backend_server: defineKind(
    503,
    "not_run",
    true,
    "No backend server can take the request",
  ),
  backend_unreachable: defineKind(
    503,
    "not_run",
    true,
    "The backend server could not be reached",
  ),
  backend_failed: defineKind(
    502,
    "may_have_run",
    true,
    "The backend server failed",
  ),
  stream_interrupted: defineKind(
    502,
    "may_have_run",
    true,
    "The answer ended before it was complete",
  ),
  resume_failed: defineKind(
    502,
    "may_have_run",
    true,
    "The answer could not be resumed",
  ),
  request_quarantined: defineKind(
    422,
    "not_run",
    false,
    "The request is refused because it crashed backend servers",
  ),
  no_quorum: defineKind(
    503,
    "not_run",
    true,
    "A quorum of the replicas cannot be reached",
  ),
  revision_conflict: defineKind(
    409,
    "not_run",
    false,
    "The tree has another revision than expected",
  ),
  order_conflict: defineKind(
    409,
    "not_run",
    true,
    "Another order to this backend server is still open",
  ),
  isolated: defineKind(
    503,
    "not_run",
    true,
    "This host cannot confirm its configuration",
  ),
  shutting_down: defineKind(503, "not_run", true, "This host is shutting down"),
  internal: defineKind(
    500,
    "may_have_run",
    false,
    "An internal error occurred",
  ),
} as const satisfies Readonly<Record<string, ErrorKindDefinition>>;

/** One kind of the closed list. */
export type ErrorKind = keyof typeof errorKinds;

/** Whether a string, for example from another host, names an error kind. */
export function isErrorKind(value: string): value is ErrorKind {
  return Object.hasOwn(errorKinds, value);
}
