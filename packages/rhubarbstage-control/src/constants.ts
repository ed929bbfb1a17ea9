/**
 * Bounds and periods of the control state and the claim journal.
 *
 * @module
 */

const second = 1_000;
const hour = 3_600 * second;
const day = 24 * hour;

/** First revision of a tree, which is empty. */
export const firstRevision = 1;

/** Accepted edits kept in the history; more than a day at 1,300 edits a day. */
export const historyLimit = 2_000;

/** Bytes of operations kept in the history, as JSON. */
export const historyByteLimit = 8 * 1_024 * 1_024;

/** Bytes of one edit's operations, as JSON. */
export const editByteLimit = 256 * 1_024;

/** Deepest path of an operation. */
export const pathDepthLimit = 32;

/**
 * Edit ids whose first answer is remembered, a week at 1,300 edits a day. A
 * later resend cannot take effect, because its expected revision has passed.
 */
export const rememberedEditLimit = 10_000;

/** Drain commands whose answer is remembered. */
export const rememberedDrainLimit = 10_000;

/** Ended orders and withdrawn order ids that are remembered. */
export const rememberedOrderLimit = 4_096;

/**
 * Engines whose newest incarnation is remembered. An engine that is forgotten
 * has no open intent, and an order for its old process meets a dead connection.
 */
export const trackedEngineLimit = 16_384;

/** Time between two confirmations of the configuration, in milliseconds. */
export const confirmationInterval = second;

/** Wait for one confirmation, in milliseconds. */
export const confirmationTimeout = 2 * second;

/** Age of the confirmation after which a host is isolated, in milliseconds. */
export const maxConfirmationAge = 6 * second;

/** Longest wait of a client's call, in milliseconds. */
export const callTimeout = 5 * second;

/**
 * Wait for one try of a command or query, in milliseconds, before it is sent
 * again; an election takes 1 to 2 s.
 */
export const callAttemptTimeout = 2 * second;

/** First and longest pause between two tries, in milliseconds. */
export const retryBackoff = { initial: 50, max: 2 * second } as const;

/** Longest time from an intent to the write of its order, in milliseconds. */
export const orderWriteWindow = 5 * second;

/** Bytes of an answer's body that are kept for resends. */
export const storedBodyByteLimit = 64 * 1_024;

/** Bytes of an answer's headers that are kept for resends. */
export const storedHeaderByteLimit = 16 * 1_024;

/** Time for which answers are kept, in milliseconds. */
export const answerRetention = day;

/** Time after which an open claim counts as unknown, in milliseconds. */
export const openClaimTimeout = day;

/** Time after which a key that was claimed is free again, in milliseconds. */
export const tombstoneRetention = 30 * day;

/**
 * Time for which the ended attempts of a released claim are remembered, in
 * milliseconds. A claim command delayed for longer leaves an open claim that
 * nobody sends.
 */
export const releasedClaimRetention = hour;

/**
 * Ended and refused attempts remembered for one key. A copy of an older claim
 * command that arrives late leaves an open claim that nobody sends.
 */
export const endedAttemptLimit = 32;

/** Claims and tombstones of one journal group. */
export const claimLimit = 1_000_000;

/** Bytes of kept answers of one journal group. */
export const answerByteLimit = 128 * 1_024 * 1_024;

/** Claims that one command expires at most, which bounds its run time. */
export const expiriesPerCommand = 256;

/** Width of the buckets in which claims wait for their expiry. */
export const expiryBucketWidth = hour;

/** Hosts whose latest wall time a journal group remembers. */
export const reportedHostLimit = 2_048;
