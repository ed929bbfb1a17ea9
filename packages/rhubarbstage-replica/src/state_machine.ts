/**
 * What a replicated group replicates.
 *
 * @module
 */

/**
 * A deterministic state machine. Every replica applies the same commands in the
 * same order; nothing but state, command and index may influence the result.
 */
export abstract class StateMachine<State, Command, Result> {
  /** State before the first command. */
  abstract initial(): State;

  /**
   * Applies one committed command in place. Commands are idempotent by an id of
   * their own, because a proposer repeats one whose answer it lost.
   */
  abstract apply(state: State, command: Command, index: number): Result;

  /** Plain data (maps, arrays, strings, numbers) from which to restore. */
  abstract snapshot(state: State): unknown;

  /** State from the data of {@linkcode StateMachine.snapshot}. */
  abstract restore(data: unknown): State;
}
