/**
 * Base class of replicated state machines.
 *
 * @module
 */

/**
 * A deterministic state machine. Every replica applies the same commands in the
 * same order; results may depend only on state, command and index.
 */
export abstract class StateMachine<State, Command, Result> {
  /** Returns the state before the first command. */
  abstract initial(): State;

  /**
   * Applies one committed command in place. Commands are idempotent by an id of
   * their own, because a proposer retries one whose answer was lost.
   */
  abstract apply(state: State, command: Command, index: number): Result;

  /** Returns the state as plain data: maps, arrays, strings and numbers. */
  abstract snapshot(state: State): unknown;

  /** Returns the state from the data of {@linkcode StateMachine.snapshot}. */
  abstract restore(data: unknown): State;
}
