/**
 * Times and limits of duties.
 *
 * @module
 */

/** Time after which a call to the platform is aborted, in milliseconds. */
export const callTimeout = 1_000;
