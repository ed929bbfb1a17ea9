/**
 * Times and limits of duties.
 *
 * @module
 */

/** Time after which a call to the platform is aborted, in milliseconds. */
export const callTimeout = 1_000;

/** Default time between calls of two holders of a duty, in milliseconds. */
export const defaultLeaseTime = 3_000;

/**
 * Time after the start of a proof of leadership for which calls may be written,
 * in milliseconds. Together with `callTimeout` it is shorter than the lease time
 * that a new holder waits.
 */
export const permitTime = 1_000;

/** Interval between proofs of leadership, in milliseconds. */
export const proofInterval = 300;

/** Timeout of one proof of leadership, in milliseconds. */
export const proofTimeout = 1_000;

/** Timeout of a command that takes a duty or agrees counts, in milliseconds. */
export const commandTimeout = 2_000;

/** Delay before a failed command is proposed again, in milliseconds. */
export const commandRetryDelay = 300;

/** Width of the buckets of begun requests, in milliseconds. */
export const bucketWidth = 100;

/** Time for which closed buckets are kept, in milliseconds. */
export const bucketRetention = 30_000;

/** Shortest interval between two polls of the same host, in milliseconds. */
export const pollInterval = 1_000;

/** Maximum polls a second; larger fleets are polled less often. */
export const maxPollsPerSecond = 100;

/**
 * Timeout of one poll, in milliseconds: many round trips between regions, and
 * short beside the time after which a window is closed without an answer.
 */
export const pollTimeout = 1_500;

/**
 * Time after its end at which a window is closed although live hosts have not
 * answered, in milliseconds.
 */
export const closeTimeout = 4_000;

/** Interval between checks whether a window can be closed, in milliseconds. */
export const closeCheckInterval = 100;

/** Time after its end for which the report of a window is repeated, in ms. */
export const reportTime = 60_000;

/** First and longest delay between repeats of a report, in milliseconds. */
export const reportBackoff = { first: 250, max: 2_000 } as const;

/** Maximum windows before the current one that a new holder still reports. */
export const maxWindowsBehind = 12;

/** Maximum customers that one bucket or window counts. */
export const maxCountedCustomers = 4_096;
