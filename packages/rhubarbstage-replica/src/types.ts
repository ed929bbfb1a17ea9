/**
 * Public types of replicated groups.
 *
 * @module
 */

import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import type { StateMachine } from "./state_machine.ts";

/** Answers a named query from the applied state, without changing it. */
export type Query<State> = (state: State, argument: unknown) => unknown;

/** State machine of a group, and its queries by name. */
export interface GroupDefinition<State, Command, Result> {
  readonly stateMachine: StateMachine<State, Command, Result>;
  readonly queries?: Readonly<Record<string, Query<State>>>;
}

/** A group definition of any state, command and result. */
// deno-lint-ignore no-explicit-any
export type AnyGroupDefinition = GroupDefinition<any, any, any>;

/** Leadership of a group as known to the local replica. */
export interface Leadership {
  readonly group: GroupName;
  /** Term of the log; grows with each election. */
  readonly term: number;
  /** Host of the leader, if one is known. */
  readonly leader: HostId | undefined;
  /**
   * Whether the local replica leads and has applied all entries of earlier
   * terms. May be out of date; see `confirmLeadership`.
   */
  readonly isLeader: boolean;
}

/** One committed command after it was applied to the local state. */
export interface AppliedCommand<Command, Result> {
  readonly index: number;
  readonly term: number;
  readonly command: Command;
  /** Absent when the state machine threw. */
  readonly result: Result | undefined;
}

/** Seat of a replica in a group. */
export interface SeatStatus {
  readonly replica: ReplicaId;
  readonly host: HostId;
  readonly role: "voter" | "learner";
  /** Highest durable index; other replicas' is known only on the leader. */
  readonly durableIndex: number | undefined;
}

/** Status of one group on one replica. */
export interface GroupStatus {
  readonly group: GroupName;
  readonly role: "leader" | "follower" | "candidate" | "learner" | "none";
  readonly term: number;
  readonly leader: HostId | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly logBytes: number;
  readonly seats: readonly SeatStatus[];
}

/** Status of one replica. */
export interface ReplicaStatus {
  readonly replica: ReplicaId;
  readonly host: HostId;
  /**
   * Whether the bootstrap was committed on this host; false if its replica got
   * its seats later.
   */
  readonly isBootstrapped: boolean;
  /** Whether it has a seat in every group. */
  readonly isSeated: boolean;
  readonly groups: readonly GroupStatus[];
  /** Groups that stopped after an error, with the error's message. */
  readonly failures: readonly {
    readonly group: GroupName;
    readonly message: string;
  }[];
}
