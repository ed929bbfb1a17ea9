/**
 * Options of a replica and of its operations.
 *
 * @module
 */

import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import type { DiskRetryOptions } from "@rhubarbstage/storage";
import type { Transport } from "@rhubarbstage/transport";
import type { AnyGroupDefinition } from "./types.ts";

/** Options of `Replica.open`. */
export interface ReplicaOptions {
  /** Folder of the durable state; created if it does not exist. */
  readonly dataFolder: string;
  /** Open transport; the replica registers its handlers and never closes it. */
  readonly transport: Transport;
  /** Groups by name, for example `control` and `journal-0`. */
  readonly groups: ReadonlyMap<GroupName, AnyGroupDefinition>;
  /** Milliseconds between ticks; defaults to 50. */
  readonly tickInterval?: number;
  /** Ticks between heartbeats of a leader; defaults to 5. */
  readonly heartbeatTicks?: number;
  /**
   * Random timeouts exceed this many ticks and are at most twice it; the first
   * after a start is at most this. Defaults to 20.
   */
  readonly electionTicks?: number;
  /** Entries between snapshots; defaults to 10,000. */
  readonly snapshotEntries?: number;
  /** Seed of the random election timeouts; random by default. */
  readonly seed?: number;
  /** Called when the disk starts or ends to refuse operations. */
  readonly disk?: DiskRetryOptions;
  /** Called once per group for the error after which it stops serving. */
  readonly onFailure?: (failure: { group: GroupName; error: Error }) => void;
}

/** Options of `Replica.bootstrap`. */
export interface BootstrapOptions {
  /** All hosts that get a seat in every group, the local one included. */
  readonly hosts: readonly HostId[];
  readonly signal?: AbortSignal;
  /** Timeout of each step on each host, in milliseconds; defaults to 5,000. */
  readonly timeout?: number;
}

/** Options of `Replica.repair`. */
export interface RepairOptions {
  /** Id of the replica to remove, as reported by `status`. */
  readonly lost: ReplicaId;
  /** Host of the new replica; it is queried for its replica id. */
  readonly replacement: HostId;
  readonly signal?: AbortSignal;
  /** Timeout in milliseconds; defaults to 60,000. */
  readonly timeout?: number;
}
