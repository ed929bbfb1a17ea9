/**
 * Types of durable state.
 *
 * @module
 */

import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import type { DiskRetryOptions } from "./disk_retry.ts";

/** One entry of a log; the storage does not interpret its data. */
export interface LogRecord {
  readonly index: number;
  readonly term: number;
  readonly kind: number;
  readonly data: Uint8Array;
}

/** Current term of a replica, and its vote in that term. */
export interface HardState {
  readonly term: number;
  readonly vote: ReplicaId | undefined;
}

/** Index and term of an entry in a log. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** State of a group after all entries up to a position. */
export interface SnapshotRecord extends LogPosition {
  /** Seats as of the position, as plain data. */
  readonly seats: unknown;
  readonly data: Uint8Array;
}

/** Content of a log when it is opened. */
export interface LoadedLog {
  readonly hardState: HardState;
  readonly snapshot: SnapshotRecord | undefined;
  /** Position before the first record. */
  readonly base: LogPosition;
  readonly records: readonly LogRecord[];
  /** Bytes of a torn tail that were truncated. */
  readonly tornBytes: number;
}

/** A host's consent to one bootstrap; granted at most once per data folder. */
export interface BootstrapGrant {
  readonly bootstrap: string;
  readonly hosts: readonly HostId[];
}

/** Identity of a data folder. */
export interface Identity {
  /** Random id, generated when the folder is created. */
  readonly replica: ReplicaId;
  readonly host: HostId;
  readonly grant: BootstrapGrant | undefined;
  /** Whether the first entries of all groups have been written. */
  readonly isBootstrapped: boolean;
}

/** Changes to an identity. */
export type IdentityChange = Partial<
  Pick<Identity, "grant" | "isBootstrapped">
>;

/** Options of `DataFolder.open`. */
export interface DataFolderOptions {
  readonly host: HostId;
  /** Called when the disk starts or ends to refuse operations. */
  readonly disk?: DiskRetryOptions;
}

/** Options of `DurableLog.open`. */
export interface DurableLogOptions {
  readonly folder: string;
  readonly group: GroupName;
  readonly replica: ReplicaId;
  /** Called when the disk starts or ends to refuse operations. */
  readonly disk?: DiskRetryOptions;
}
