/**
 * Interface of a group on a host that stores its applied state.
 *
 * @module
 */

import { ReplicatedGroup } from "./replicated_group.ts";
import type { GroupCallOptions } from "./replicated_group.ts";
import type { AppliedCommand, Leadership } from "./types.ts";

/** A replicated group on a host with a data folder. */
export abstract class GroupReplica<State, Command, Result>
  extends ReplicatedGroup<Command, Result> {
  /** Applied state, possibly behind the leader's; must not be modified. */
  abstract readonly state: State;
  /** Index of the last applied entry. */
  abstract readonly appliedIndex: number;

  /** Returns the leadership known here, which may be out of date. */
  abstract leadership(): Leadership;

  /**
   * Confirms through a quorum round that this replica still leads, and returns
   * the term. Must be called again after any wait before acting as the leader.
   * Throws `no_quorum`.
   */
  abstract confirmLeadership(options?: GroupCallOptions): Promise<number>;

  /** Calls `listener` on each {@linkcode leadership} change, until aborted. */
  abstract onLeadership(
    listener: (leadership: Leadership) => void,
    options?: { signal?: AbortSignal },
  ): void;

  /**
   * Calls `listener` after each applied command, in log order, until aborted. A
   * snapshot from the leader replaces the state without single commands and
   * calls `onRestored` instead.
   */
  abstract onApplied(
    listener: (applied: AppliedCommand<Command, Result>) => void,
    options?: { signal?: AbortSignal; onRestored?: () => void },
  ): void;
}
