/**
 * Defaults and header names of the HTTP interface.
 *
 * @module
 */

/** Largest body of a request, in bytes. */
export const defaultBodyLimit = 8 * 1_048_576;

/** Largest total size of the bodies of all requests in progress, in bytes. */
export const defaultBufferedBodyLimit = 256 * 1_048_576;

/** Timeout for receiving a whole request, in milliseconds. */
export const defaultRequestTimeout = 30_000;

/** Timeout for receiving the headers of a request, in milliseconds. */
export const defaultHeadersTimeout = 10_000;

/** Time until a caller that reads nothing is disconnected, in milliseconds. */
export const defaultCallerStallTimeout = 60_000;

/** Interval at which Node.js checks for request timeouts, in milliseconds. */
export const lateRequestCheckInterval = 500;

/** Longest wait for open calls at a stop, in milliseconds. */
export const openCallTimeout = 3_000;

/**
 * Time in which requests that have begun to arrive at a stop may end, in
 * milliseconds.
 */
export const lastRequestTimeout = 400;

/** Interval between checks for open calls at a stop, in milliseconds. */
export const openCallCheckInterval = 10;

/** Largest total size of the chunks of an assembled response, in characters. */
export const bufferedCompletionLimit = 32 * 1_048_576;

/** Interval of the policy's tick, in milliseconds. */
export const tickInterval = 50;

/**
 * Interval of progress reports to the policy, in milliseconds. Reporting every
 * few tokens instead would make the policy's load grow with the token rate.
 */
export const progressInterval = 100;

/** Header with the caller's timeout for a request, in milliseconds. */
export const timeoutHeader = "rhubarbstage-timeout-ms";

/** Header with the kind of work. */
export const kindHeader = "rhubarbstage-kind";

/** Header with the request id. */
export const requestIdHeader = "rhubarbstage-request-id";

/**
 * Header that marks the stored response of an earlier request with the same
 * idempotency key.
 */
export const replayedHeader = "rhubarbstage-replayed";
