/**
 * Timeouts, intervals and limits of replicated groups.
 *
 * @module
 */

/** Timeout of a call to a group, in milliseconds. */
export const defaultCallTimeout = 5_000;

/**
 * Timeout of a call to one replica before the next is tried, in milliseconds.
 * A partitioned leader steps down after the minimum election timeout, so a
 * longer wait for one replica is useless.
 */
export const defaultAttemptTimeout = 1_500;

/** Mean delay before a call without a known leader is retried, in ms. */
export const retryDelay = 50;

/** Milliseconds between ticks of all groups. */
export const defaultTickInterval = 50;

/** Largest encoded command in bytes; it must fit into one frame. */
export const maxCommandBytes = 4_194_304;

/** Pending proposals per group; further ones are refused as `overloaded`. */
export const maxPendingProposals = 20_000;

/** Command bytes in a batch of messages above which it is sent at once. */
export const maxBatchBytes = 1_048_576;

/** Snapshot bytes per request. */
export const snapshotChunkBytes = 1_048_576;

/** Longest wait for leadership transfers during shutdown, in milliseconds. */
export const leadershipTransferTimeout = 500;

/** Timeout of a repair, in milliseconds. */
export const defaultRepairTimeout = 60_000;

/** Interval between status checks of a repair, in milliseconds. */
export const repairPollInterval = 50;

/** Leader hints followed without a delay; replicas may name each other. */
export const maxRedirects = 2;
