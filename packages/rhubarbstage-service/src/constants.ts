/**
 * Limits and timeouts of calls to plain services.
 *
 * @module
 */

/** Longest idempotency key, in characters. */
export const idempotencyKeyLimit = 255;

/** Timeout for connecting to an instance, in milliseconds. */
export const connectTimeout = 2_000;

/** Longest time from the grant to the first byte, in milliseconds. */
export const sendWindow = 30_000;

/** Longest wait for a service's response, in milliseconds. */
export const responseTimeout = 600_000;

/** Largest response body of a claimed call, in bytes. */
export const maxResponseBytes = 32 * 1_024 * 1_024;

/** Maximum number of claimed calls that one process runs concurrently. */
export const maxRunningCalls = 1_024;

/** Exponential backoff between reads of an open claim, in milliseconds. */
export const claimPollInterval = {
  first: 20,
  longest: 500,
  growth: 1.5,
} as const;

/** Timeout for committing a claim, in milliseconds. */
export const claimTimeout = 5_000;

/**
 * Longest wait for a release to commit before the caller gets its response, in
 * milliseconds, so that a resend usually finds the key free.
 */
export const releaseCommitTimeout = 1_000;

/** Response header in which a service or rhubarbstage reports the outcome. */
export const outcomeHeader = "rhubarbstage-outcome";

/** Not forwarded: hop-by-hop headers and those the HTTP client sets. */
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
