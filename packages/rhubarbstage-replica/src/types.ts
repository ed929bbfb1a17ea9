/**
 * Types of replicated groups as other packages see them.
 *
 * @module
 */

import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import type { StateMachine } from "./state_machine.ts";

/** Answers a named query from the applied state, without changing it. */
export type Query<State> = (state: State, argument: unknown) => unknown;

/** What a group replicates, and the queries by name that it answers. */
export interface GroupDefinition<State, Command, Result> {
  readonly stateMachine: StateMachine<State, Command, Result>;
  readonly queries?: Readonly<Record<string, Query<State>>>;
}

/** A group definition whose types are known only to its users. */
// deno-lint-ignore no-explicit-any
export type AnyGroupDefinition = GroupDefinition<any, any, any>;

/** Who leads a group, as far as the own replica knows. */
export interface Leadership {
  readonly group: GroupName;
  /** Term of the log; grows with each election. */
  readonly term: number;
  /** Host of the leader, if one is known. */
  readonly leader: HostId | undefined;
  /**
   * Whether the own replica leads and has applied all entries of earlier
   * terms. True may be stale; see `confirmLeadership`.
   */
  readonly isLeader: boolean;
}

/** One committed command after it was applied to the own state. */
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
  /** Highest index known durable there; known on the leader only. */
  readonly durableIndex: number | undefined;
}

/** One group as its operator sees it. */
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

/** One replica as its operator sees it. */
export interface ReplicaStatus {
  readonly replica: ReplicaId;
  readonly host: HostId;
  /** Whether the bootstrap was committed on this host; false after a repair. */
  readonly isBootstrapped: boolean;
  /** Whether it has a seat in every group, by bootstrap or repair. */
  readonly isSeated: boolean;
  readonly groups: readonly GroupStatus[];
  /** Groups that stopped after an error, with its message. */
  readonly failures: readonly {
    readonly group: GroupName;
    readonly message: string;
  }[];
}
