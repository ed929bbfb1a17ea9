/**
 * Interface of a replicated group on hosts with and without a seat.
 *
 * @module
 */

/** Options of calls to a group. */
export interface GroupCallOptions {
  /** Aborts the wait; the command may still be committed. */
  readonly signal?: AbortSignal;
  /** Timeout in milliseconds; defaults to 5,000. */
  readonly timeout?: number;
}

/** A replicated group, usable from any host. */
export abstract class ReplicatedGroup<Command, Result> {
  /**
   * Resolves with the result after commit and apply. Throws `no_quorum` after a
   * timeout, with the outcome `may_have_run` if an attempt may have been
   * delivered; the command may still be committed later, so it must be
   * idempotent by its id.
   */
  abstract propose(
    command: Command,
    options?: GroupCallOptions,
  ): Promise<Result>;

  /**
   * Performs a linearizable read with a named query of the group's definition.
   * Throws `no_quorum`.
   */
  abstract query<Answer>(
    name: string,
    argument: unknown,
    options?: GroupCallOptions,
  ): Promise<Answer>;

  /**
   * Runs a query on each replica over all entries it stores, committed or not,
   * without a leader. Resolves with the answers, possibly none or stale,
   * received before the timeout of at most one attempt (1,500 ms by default).
   */
  abstract queryUncommitted<Answer>(
    name: string,
    argument: unknown,
    options?: GroupCallOptions,
  ): Promise<readonly Answer[]>;
}
