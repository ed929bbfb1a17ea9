/**
 * Limits and timeouts of links.
 *
 * @module
 */

/** Timeout of a request, in milliseconds. */
export const defaultRequestTimeout = 5_000;

/** Maximum bytes queued on one link; messages beyond it are dropped. */
export const defaultQueueBytes = 33_554_432;

/** Time between heartbeats of a link, in milliseconds. */
export const defaultHeartbeatInterval = 2_000;

/** Consecutive heartbeats without a frame from the peer before closing. */
export const maxMissedHeartbeats = 3;

/**
 * Time without messages after which a link is closed, in milliseconds. Without
 * it, gossip with random hosts would build a full mesh of links.
 */
export const defaultIdleTimeout = 60_000;

/** Timeout of connection and authentication, in milliseconds. */
export const defaultHandshakeTimeout = 3_000;

/**
 * Time without frames after which a link that another one has replaced is closed,
 * in milliseconds: longer than a request may be under way.
 */
export const retiredIdleTime = 500;

/** Maximum time for which such a link answers requests, in milliseconds. */
export const maxRetirement = 10_000;

/** Minimum back-off before reconnecting, in milliseconds. */
export const defaultMinBackoff = 100;

/** Maximum back-off before reconnecting, in milliseconds. */
export const defaultMaxBackoff = 5_000;

/**
 * Maximum lead of a peer's clock, in milliseconds, that the local hybrid clock
 * follows. One host with a wrong date must not advance the clocks of all hosts.
 */
export const maxClockLead = 60_000;

/** Maximum frame size in bytes. Snapshots are sent in smaller pieces. */
export const maxFrameBytes = 16_777_216;

/** Maximum frame size before authentication, in bytes. */
export const maxHandshakeBytes = 1_024;

/**
 * Maximum bytes that an accepted connection may send before its authentication:
 * the head of the upgrade, the handshake and what was read with its end. A frame
 * of `maxFrameBytes` would otherwise be kept for each of them.
 */
export const maxUnauthenticatedBytes = 262_144;

/** Maximum one-way messages queued for a connection to one host. */
export const maxMessagesWhileDialling = 64;

/** Maximum incoming connections that are not yet authenticated. */
export const maxUnauthenticatedConnections = 64;

/** Minimum length of the shared token, in characters. */
export const minTokenLength = 16;

/** Length of a nonce in bytes. */
export const nonceBytes = 32;

/** Size in bytes of the WebSocket header of short, medium and long payloads. */
export const frameHeaderBytes = { short: 2, medium: 4, long: 10 } as const;

/** Size in bytes of the mask that a WebSocket client adds to each frame. */
export const frameMaskBytes = 4;
