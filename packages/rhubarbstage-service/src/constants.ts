/**
 * Bounds and periods of calls to plain services.
 *
 * @module
 */

/** Longest idempotency key, in characters. */
export const idempotencyKeyLimit = 255;

/** Wait for a connection to an instance, in milliseconds. */
export const connectTimeout = 2_000;

/** Longest time from the grant to the first byte, in milliseconds. */
export const sendWindow = 30_000;

/** Longest wait for a service's answer, in milliseconds. */
export const answerTimeout = 600_000;

/** Largest answer of a claimed call, in bytes. */
export const answerLimit = 32 * 1_024 * 1_024;

/** Claimed calls that one process runs at a time. */
export const maxRunningCalls = 1_024;

/** First and longest pause between looks at an open claim, in milliseconds. */
export const claimPollInterval = {
  first: 20,
  longest: 500,
  growth: 1.5,
} as const;

/** Longest wait for the commit of a claim, in milliseconds. */
export const claimTimeout = 5_000;

/**
 * Wait for the commit of a release before the caller is answered, in
 * milliseconds, so that a resend usually finds the key free.
 */
export const releaseCommitTimeout = 1_000;

/** Header by which a service and rhubarbstage state an outcome. */
export const outcomeHeader = "rhubarbstage-outcome";

/** Headers that belong to one connection and are not passed on. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "host",
  "http2-settings",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
