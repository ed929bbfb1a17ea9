/**
 * The contract of all decision logic: events in, effects as data out.
 *
 * @module
 */

/**
 * Decision logic without I/O. The same events from the same initial state give
 * the same state and effects; time and randomness arrive in events or in the
 * state.
 */
export abstract class Reducer<State, Event, Effect> {
  /** State before the first event. */
  abstract initial(): State;

  /**
   * Takes one event into the state and returns what has to be done. The state
   * is owned by the caller and may be changed in place.
   */
  abstract reduce(state: State, event: Event): readonly Effect[];
}
