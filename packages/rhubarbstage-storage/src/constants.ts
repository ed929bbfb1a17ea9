/**
 * Formats and names of files in a data folder.
 *
 * @module
 */

/** Bytes before the payload: length, CRC-32 of the length, of the payload. */
export const recordHeaderBytes = 12;

/**
 * Last byte of each record. A file that ends in zero bytes therefore was not
 * written to its end, as after a power failure.
 */
export const recordEndMarker = 0x5a;

/** Largest payload of one record in bytes; a larger length is corruption. */
export const maxRecordBytes = 1_073_741_824;

/** Version of the file formats; other versions are refused. */
export const formatVersion = 1;

export const identityFile = "identity";
export const lockFile = "lock";
export const groupsFolder = "groups";
export const logFile = "log";
export const snapshotFile = "snapshot";
/** Ending of files that are not complete. */
export const temporarySuffix = ".tmp";
