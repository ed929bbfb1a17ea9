/**
 * Options of a replica and of its operations.
 *
 * @module
 */

import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import type { Transport } from "@rhubarbstage/transport";
import type { AnyGroupDefinition } from "./types.ts";

/** Options of `Replica.open`. */
export interface ReplicaOptions {
  /** Folder of the durable state; created when it does not exist. */
  readonly dataFolder: string;
  /** Open transport; the replica registers its handlers and leaves it open. */
  readonly transport: Transport;
  /** Groups by name, for example `control` and `journal-0`. */
  readonly groups: ReadonlyMap<GroupName, AnyGroupDefinition>;
  /** Milliseconds between ticks; defaults to 50. */
  readonly tickInterval?: number;
  /** Ticks between heartbeats of a leader; defaults to 5. */
  readonly heartbeatTicks?: number;
  /**
   * Ticks without a leader before an election; each election draws a wait
   * between this and twice this. Defaults to 20.
   */
  readonly electionTicks?: number;
  /** Entries between snapshots; defaults to 10,000. */
  readonly snapshotEntries?: number;
  /** Seed of the election times; random by default. */
  readonly seed?: number;
  /** Called once for an error after which a group stops serving. */
  readonly onFailure?: (failure: { group: GroupName; error: Error }) => void;
}

/** Options of `Replica.bootstrap`. */
export interface BootstrapOptions {
  /** All hosts that get a seat in every group, the own one among them. */
  readonly hosts: readonly HostId[];
  readonly signal?: AbortSignal;
  /** Longest wait for each step on each host, in ms; defaults to 5,000. */
  readonly timeout?: number;
}

/** Options of `Replica.repair`. */
export interface RepairOptions {
  /** Replica whose seat is given away, as `status` names it. */
  readonly lost: ReplicaId;
  /** Host that takes the seat; its replica id is asked from it. */
  readonly replacement: HostId;
  readonly signal?: AbortSignal;
  /** Longest wait in milliseconds; defaults to 60,000. */
  readonly timeout?: number;
}
