/**
 * Defaults of a replicated log; times in ticks.
 *
 * @module
 */

/** Ticks between heartbeats of a leader. */
export const defaultHeartbeatTicks = 5;

/** Minimum election timeout in ticks; the maximum is twice this. */
export const defaultElectionTicks = 20;

/** Applied entries after which a snapshot is saved. */
export const defaultSnapshotEntries = 10_000;

/** Entries kept before a snapshot's index for replicas that lag slightly. */
export const defaultRetainedEntries = 1_000;

/** Maximum bytes of commands in a message; limits the delay of a heartbeat. */
export const maxAppendBytes = 262_144;

/** Maximum unanswered messages with entries to one replica. */
export const maxInflightAppends = 32;

/** First position of a bootstrapped log. */
export const bootstrapPosition = { index: 1, term: 1 } as const;
