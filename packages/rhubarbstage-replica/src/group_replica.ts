/**
 * A group on a host that has its applied state.
 *
 * @module
 */

import { ReplicatedGroup } from "./replicated_group.ts";
import type { GroupCallOptions } from "./replicated_group.ts";
import type { AppliedCommand, Leadership } from "./types.ts";

/** A replicated group on a host with a data folder. */
export abstract class GroupReplica<State, Command, Result>
  extends ReplicatedGroup<Command, Result> {
  /** Applied state, possibly behind the leader. Read only. */
  abstract readonly state: State;
  /** Index of the last applied entry. */
  abstract readonly appliedIndex: number;

  /** Who leads, as far as this replica knows. */
  abstract leadership(): Leadership;

  /**
   * Confirms through a quorum round that this replica still leads, and returns
   * the term. Call it again after any wait before acting as the leader. Throws
   * `no_quorum`.
   */
  abstract confirmLeadership(options?: GroupCallOptions): Promise<number>;

  /** Calls back on each change of {@linkcode leadership}, until aborted. */
  abstract onLeadership(
    listener: (leadership: Leadership) => void,
    options?: { signal?: AbortSignal },
  ): void;

  /**
   * Calls back after each applied command, in log order, until aborted. After a
   * snapshot from the leader the state has changed without single commands;
   * `onRestored` is called instead.
   */
  abstract onApplied(
    listener: (applied: AppliedCommand<Command, Result>) => void,
    options?: { signal?: AbortSignal; onRestored?: () => void },
  ): void;
}
