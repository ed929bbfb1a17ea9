/**
 * Defaults and header names of the HTTP interface.
 *
 * @module
 */

/** Largest body of a request, in bytes. */
export const defaultBodyLimit = 8 * 1_048_576;

/** Bodies of all requests that are in progress, in bytes. */
export const defaultBufferedBodyLimit = 256 * 1_048_576;

/** Time for a whole request to arrive, in milliseconds. */
export const defaultRequestTimeout = 30_000;

/** Time for the head of a request to arrive, in milliseconds. */
export const defaultHeadersTimeout = 10_000;

/** Time after which a caller that reads nothing counts as gone. */
export const defaultCallerStallTimeout = 60_000;

/** Node.js looks for late requests at this interval, in milliseconds. */
export const lateRequestCheckInterval = 500;

/** Size of the chunks that an answer is assembled from, in characters. */
export const bufferedCompletionLimit = 32 * 1_048_576;

/** Interval of the policy's tick, in milliseconds. */
export const tickInterval = 50;

/**
 * Time after which the policy is told of progress, in milliseconds. It is not
 * told after a number of tokens, so that its load does not grow with the rate.
 */
export const progressInterval = 100;

/** Header with the time that a caller gives a request, in milliseconds. */
export const timeoutHeader = "rhubarbstage-timeout-ms";

/** Header with the kind of work. */
export const kindHeader = "rhubarbstage-kind";

/** Header with the id of the request. */
export const requestIdHeader = "rhubarbstage-request-id";

/** Header that marks the answer of an earlier request with the same key. */
export const replayedHeader = "rhubarbstage-replayed";
