/**
 * Defaults of a replicated log; times in ticks.
 *
 * @module
 */

/** Ticks between heartbeats of a leader. */
export const defaultHeartbeatTicks = 5;

/**
 * Timeouts exceed this and are at most twice it; the first after a start is at
 * most this.
 */
export const defaultElectionTicks = 20;

/** Applied entries after which a snapshot is saved. */
export const defaultSnapshotEntries = 10_000;

/** Entries kept before a snapshot's index for replicas that lag slightly. */
export const defaultRetainedEntries = 1_000;

/**
 * Command bytes per message, to limit heartbeat delay; a larger command is sent
 * alone.
 */
export const maxAppendBytes = 262_144;

/** Maximum unanswered messages with entries to one replica. */
export const maxInflightAppends = 32;

/** First position of a bootstrapped log. */
export const bootstrapPosition = { index: 1, term: 1 } as const;
