/**
 * Times and limits of replicated groups.
 *
 * @module
 */

/** Longest wait of a call to a group, in milliseconds. */
export const defaultCallTimeout = 5_000;

/**
 * Longest wait for one replica before a client asks the next, in milliseconds.
 * An isolated leader steps down within one election timeout, so that waiting
 * longer than that for one replica gains nothing.
 */
export const defaultAttemptTimeout = 1_500;

/** Wait before a client asks again when no replica knows a leader, in ms. */
export const retryDelay = 50;
