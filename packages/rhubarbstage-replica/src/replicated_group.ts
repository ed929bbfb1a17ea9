/**
 * How other packages use a replicated group, on hosts with and without a seat.
 *
 * @module
 */

/** Options of calls to a group. */
export interface GroupCallOptions {
  /** Ends the wait; the command may still be committed. */
  readonly signal?: AbortSignal;
  /** Longest wait in milliseconds; defaults to 5,000. */
  readonly timeout?: number;
}

/** One replicated group as seen from any host. */
export abstract class ReplicatedGroup<Command, Result> {
  /**
   * Resolves with the result after commit and apply. Throws `no_quorum` with
   * outcome `may_have_run` when no answer came in time; the command may still
   * be committed later, so that it has to be idempotent by its own id.
   */
  abstract propose(
    command: Command,
    options?: GroupCallOptions,
  ): Promise<Result>;

  /**
   * Linearizable read by the name of a query that was registered with the
   * group's state machine. Throws `no_quorum`.
   */
  abstract query<Answer>(
    name: string,
    argument: unknown,
    options?: GroupCallOptions,
  ): Promise<Answer>;

  /**
   * Asks each replica for its answer to a query over all that it has stored,
   * committed or not, without a leader. Resolves with the answers that came in
   * time; there may be none, and they may be out of date.
   */
  abstract queryUncommitted<Answer>(
    name: string,
    argument: unknown,
    options?: GroupCallOptions,
  ): Promise<readonly Answer[]>;
}
