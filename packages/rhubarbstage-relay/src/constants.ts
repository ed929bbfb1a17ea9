/**
 * Times and limits of the relay.
 *
 * @module
 */

/** Longest wait for a new connection to a server, in milliseconds. */
export const connectTimeout = 1_000;

/**
 * Idle time after which a connection to a server that names no time of its own
 * is closed, in milliseconds; the default of common HTTP servers is 5 s.
 */
export const idleConnectionTimeout = 4_000;

/** Answers up to this size are whole before a byte of them is relayed. */
export const bufferedResponseBytes = 262_144;

/** Bytes of events that wait for the end of an event. */
export const maxEventBytes = 1_048_576;

/**
 * Time before the caller's own deadline at which the relay answers, in
 * milliseconds; covers the way back and a tick of the policy.
 */
export const deadlineMargin = 60;

/** Time for a whole request body to arrive, in milliseconds. */
export const bodyTimeout = 30_000;

/** Part of a server's connections that all hosts together use. */
export const connectionShare = 0.8;

/** Fewest connections to one server, so that one slow call blocks no other. */
export const minConnections = 4;

/** Longest wait to find out whether a server still listens, in milliseconds. */
export const livenessTimeout = 150;

/** Seconds of `Retry-After` where nothing better is known. */
export const defaultRetryAfter = 0.5;
