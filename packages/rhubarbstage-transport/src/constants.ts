/**
 * Limits and times of links.
 *
 * @module
 */

/** Longest wait for the answer to a request, in milliseconds. */
export const defaultRequestTimeout = 5_000;
