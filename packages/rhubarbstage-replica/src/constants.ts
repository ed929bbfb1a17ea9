/**
 * Times and limits of replicated groups.
 *
 * @module
 */

/** Longest wait of a call to a group, in milliseconds. */
export const defaultCallTimeout = 5_000;

/**
 * Longest wait for one replica before a client asks the next, in milliseconds.
 * An isolated leader steps down within one election timeout, so that waiting
 * longer than that for one replica gains nothing.
 */
export const defaultAttemptTimeout = 1_500;

/** Wait before a client asks again when no replica knows a leader, in ms. */
export const retryDelay = 50;

/** Milliseconds between ticks of all groups. */
export const defaultTickInterval = 50;

/** Largest encoded command in bytes; it has to fit into one frame. */
export const maxCommandBytes = 4_194_304;

/** Most proposals of one group that wait; later ones are refused. */
export const maxPendingProposals = 20_000;

/** Bytes of commands after which a batch of messages is sent. */
export const maxBatchBytes = 1_048_576;

/** Bytes of a snapshot in one request. */
export const snapshotChunkBytes = 1_048_576;

/** Longest wait for a successor when a leader stops, in milliseconds. */
export const transferTimeout = 500;

/** Longest time of a repair, in milliseconds. */
export const defaultRepairTimeout = 60_000;

/** Wait between steps of a repair, in milliseconds. */
export const repairPollInterval = 50;

/** Hints that a caller follows at once; replicas may point at each other. */
export const maxRedirects = 2;
