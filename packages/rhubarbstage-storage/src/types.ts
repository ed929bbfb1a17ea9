/**
 * Types of durable state.
 *
 * @module
 */

import type { GroupName, HostId, ReplicaId } from "rhubarbstage";

/** One entry of a log; the content is opaque to the storage. */
export interface LogRecord {
  readonly index: number;
  readonly term: number;
  readonly kind: number;
  readonly data: Uint8Array;
}

/** Term and vote of a replica. */
export interface HardState {
  readonly term: number;
  readonly vote: ReplicaId | undefined;
}

/** Position in a log. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** State of a group up to a position. */
export interface SnapshotRecord extends LogPosition {
  /** Seats as of the position, as plain data. */
  readonly seats: unknown;
  readonly data: Uint8Array;
}

/** What a log holds when it is opened. */
export interface LoadedLog {
  readonly hardState: HardState;
  readonly snapshot: SnapshotRecord | undefined;
  /** Position before the first record. */
  readonly base: LogPosition;
  readonly records: readonly LogRecord[];
  /** Bytes of a torn tail that were cut off. */
  readonly tornBytes: number;
}

/** Consent to one bootstrap. It is given at most once in a life. */
export interface BootstrapGrant {
  readonly bootstrap: string;
  readonly hosts: readonly HostId[];
}

/** Who a data folder belongs to. */
export interface Identity {
  /** Drawn at random when the folder is created. */
  readonly replica: ReplicaId;
  readonly host: HostId;
  readonly grant: BootstrapGrant | undefined;
  /** Whether the groups of the grant have been written. */
  readonly isBootstrapped: boolean;
}

/** Changes to an identity. */
export type IdentityChange = Partial<
  Pick<Identity, "grant" | "isBootstrapped">
>;

/** Options of `DataFolder.open`. */
export interface DataFolderOptions {
  readonly host: HostId;
}

/** Options of `DurableLog.open`. */
export interface DurableLogOptions {
  readonly folder: string;
  readonly group: GroupName;
  readonly replica: ReplicaId;
}
