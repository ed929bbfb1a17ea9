/**
 * Limits and intervals of the control state and the claim journal.
 *
 * @module
 */

const second = 1_000;
const hour = 3_600 * second;
const day = 24 * hour;

/** Revision of the initial, empty tree. */
export const firstRevision = 1;

/** Maximum edits in the history; more than a day at 1,300 edits a day. */
export const historyLimit = 2_000;

/** Maximum length of the history's operations as JSON, in UTF-16 code units. */
export const historyByteLimit = 8 * 1_024 * 1_024;

/** Maximum JSON length of an edit's operations, in UTF-16 units. */
export const editByteLimit = 256 * 1_024;

/** Maximum names in the path of an operation. */
export const pathDepthLimit = 32;

/**
 * Maximum edit ids whose first answer is remembered, a week at 1,300 edits a
 * day. A later resend cannot take effect, because its expected revision has
 * passed.
 */
export const rememberedEditLimit = 10_000;

/** Maximum drain commands whose answer is remembered. */
export const rememberedDrainLimit = 10_000;

/** Maximum ended orders and withdrawn order ids remembered, each. */
export const rememberedOrderLimit = 4_096;

/**
 * Maximum engines whose newest incarnation is remembered. A dropped engine has
 * no open intent, and an order for its old process fails on a closed
 * connection.
 */
export const trackedEngineLimit = 16_384;

/** Maximum usage windows that are remembered; 64 windows of 5 s are 320 s. */
export const agreedUsageLimit = 64;

/** Time between two confirmations of the configuration, in milliseconds. */
export const confirmationInterval = second;

/** Timeout of one confirmation, in milliseconds. */
export const confirmationTimeout = 2 * second;

/** Age of the confirmation after which a host is isolated, in milliseconds. */
export const maxConfirmationAge = 6 * second;

/** Timeout of a client's call with its retries, in milliseconds. */
export const callTimeout = 5 * second;

/**
 * Timeout of one attempt of a command or query, in milliseconds; an election
 * takes 1 to 2 s.
 */
export const callAttemptTimeout = 2 * second;

/** Initial and maximum backoff between two attempts, in milliseconds. */
export const retryBackoff = { initial: 50, max: 2 * second } as const;

/**
 * Maximum time from proposing an intent or a takeover to writing the order, in
 * milliseconds.
 */
export const orderWriteWindow = 5 * second;

/** Maximum body stored for resends; a larger one is not stored. */
export const storedBodyByteLimit = 64 * 1_024;

/**
 * Added to the body limit; an answer above the sum is stored without body and
 * headers.
 */
export const storedHeaderByteLimit = 16 * 1_024;

/** Time for which answers are stored, in milliseconds. */
export const answerRetention = day;

/** Time after which an open claim counts as unknown, in milliseconds. */
export const openClaimTimeout = day;

/** Time after which a key that was claimed is free again, in milliseconds. */
export const tombstoneRetention = 30 * day;

/**
 * Time for which the ended attempts of a released claim are remembered, in
 * milliseconds. A claim command delayed for longer leaves an open claim whose
 * request is never sent.
 */
export const releasedClaimRetention = hour;

/**
 * Maximum ended and refused attempts remembered for one key. A late copy of an
 * older claim command leaves an open claim whose request is never sent.
 */
export const endedAttemptLimit = 32;

/** Maximum claims and tombstones of one journal group. */
export const claimLimit = 1_000_000;

/** Maximum bytes of stored answers of one journal group. */
export const answerByteLimit = 128 * 1_024 * 1_024;

/** Maximum keys that one command checks for expiry; limits its run time. */
export const expiryChecksPerCommand = 256;

/** Width of the buckets of claims by expiry time, in milliseconds. */
export const expiryBucketWidth = hour;

/** Maximum hosts whose latest wall time a journal group remembers. */
export const reportedHostLimit = 2_048;
