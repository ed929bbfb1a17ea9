/**
 * Durable log, snapshots and host identity under the data folder.
 *
 * @module
 */

export type {
  BootstrapGrant,
  DataFolderOptions,
  DurableLogOptions,
  HardState,
  Identity,
  IdentityChange,
  LoadedLog,
  LogPosition,
  LogRecord,
  SnapshotRecord,
} from "./types.ts";
export { CorruptionError, FolderInUseError } from "./errors.ts";
export { DataFolder } from "./data_folder.ts";
export { DiskRetry, isDiskRefusal } from "./disk_retry.ts";
export type { DiskRetryOptions } from "./disk_retry.ts";
export { DurableLog } from "./durable_log.ts";
export { readRecordFile, writeRecordFile } from "./files.ts";
