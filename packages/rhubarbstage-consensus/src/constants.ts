/**
 * Defaults of a replicated log; times in ticks.
 *
 * @module
 */

/** Ticks between heartbeats of a leader. */
export const defaultHeartbeatTicks = 5;

/**
 * Election timeouts are longer than this many ticks and at most twice as long;
 * the first one after a start is at most this long.
 */
export const defaultElectionTicks = 20;

/** Applied entries after which a snapshot is saved. */
export const defaultSnapshotEntries = 10_000;

/** Entries kept before a snapshot's index for replicas that lag slightly. */
export const defaultRetainedEntries = 1_000;

/**
 * Maximum command bytes in a message, which limits the delay of a heartbeat; a
 * single larger command is sent alone.
 */
export const maxAppendBytes = 262_144;

/** Maximum unanswered messages with entries to one replica. */
export const maxInflightAppends = 32;

/** First position of a bootstrapped log. */
export const bootstrapPosition = { index: 1, term: 1 } as const;
