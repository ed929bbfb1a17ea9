/**
 * Defaults of a replicated log; times in ticks.
 *
 * @module
 */

/** Ticks between heartbeats of a leader. */
export const defaultHeartbeatTicks = 5;

/** Shortest wait for a leader before an election; the longest is twice this. */
export const defaultElectionTicks = 20;

/** Applied entries after which a snapshot is saved. */
export const defaultSnapshotEntries = 10_000;

/** Entries kept behind a snapshot for replicas that lag a little. */
export const defaultRetainedEntries = 1_000;

/** Most bytes of commands in one message; bounds the delay of a heartbeat. */
export const maxAppendBytes = 262_144;

/** Most unanswered messages with entries to one replica. */
export const maxInflightAppends = 32;

/** Terms and indexes of a bootstrapped log start here. */
export const bootstrapPosition = { index: 1, term: 1 } as const;
