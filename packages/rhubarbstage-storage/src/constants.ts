/**
 * File names and record format of a data folder.
 *
 * @module
 */

/** Bytes of payload length, CRC-32 of the length, and CRC-32 of the payload. */
export const recordHeaderBytes = 12;

/**
 * Last byte of each record. A file that ends in zero bytes was therefore not
 * written completely, as after a power failure.
 */
export const recordEndMarker = 0x5a;

/** Maximum payload of one record in bytes; a larger length is corruption. */
export const maxRecordBytes = 1_073_741_824;

/** Version of the file formats; other versions are refused. */
export const formatVersion = 1;

export const identityFile = "identity";
export const lockFile = "lock";
export const groupsFolder = "groups";
export const logFile = "log";
export const snapshotFile = "snapshot";
/** Shortest pause before an operation that the disk refused is repeated, in ms. */
export const minRetryDelay = 50;

/** Longest such pause, in milliseconds. */
export const maxRetryDelay = 500;

/** Suffix of files that may be incomplete. */
export const temporarySuffix = ".tmp";
