/**
 * Limits and times of links.
 *
 * @module
 */

/** Longest wait for the answer to a request, in milliseconds. */
export const defaultRequestTimeout = 5_000;

/** Most bytes that wait on one link; later messages are dropped. */
export const defaultQueueBytes = 33_554_432;

/** Milliseconds between heartbeats of a link. */
export const defaultHeartbeatInterval = 2_000;

/** Heartbeats without any sign of the peer after which a link is closed. */
export const maxMissedHeartbeats = 3;

/**
 * Time without messages after which a link is closed, in milliseconds. Without
 * it, gossip with random hosts would end in a link between every two hosts.
 */
export const defaultIdleTimeout = 60_000;

/** Longest time for connection and authentication, in milliseconds. */
export const defaultHandshakeTimeout = 3_000;

/** Shortest wait before a failed connection is tried again, in ms. */
export const defaultMinBackoff = 100;

/** Longest wait before a failed connection is tried again, in ms. */
export const defaultMaxBackoff = 5_000;

/**
 * Lead of a peer's clock, in milliseconds, up to which the own hybrid clock
 * follows it. One host with a wrong date must not move the clocks of all.
 */
export const maxClockLead = 60_000;

/** Largest frame in bytes. Snapshots are sent in smaller pieces. */
export const maxFrameBytes = 16_777_216;

/** Largest frame before authentication, in bytes. */
export const maxHandshakeBytes = 1_024;

/** Most one-way messages that wait for a connection to one host. */
export const maxMessagesWhileDialling = 64;

/** Most incoming connections that are not authenticated yet. */
export const maxUnauthenticatedConnections = 64;

/** Shortest shared token in characters. */
export const minTokenLength = 16;

/** Bytes of a nonce. */
export const nonceBytes = 32;

/** Bytes of the WebSocket header before short, medium and long payloads. */
export const frameHeaderBytes = { short: 2, medium: 4, long: 10 } as const;

/** Bytes of the mask that a WebSocket client adds to each frame. */
export const frameMaskBytes = 4;
