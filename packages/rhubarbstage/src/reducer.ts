/**
 * The contract of all decision logic: events in, effects as data out.
 *
 * @module
 */

/**
 * Decision logic without I/O. The same events from the same initial state
 * produce the same state and effects; time and randomness are part of events or
 * state.
 */
export abstract class Reducer<State, Event, Effect> {
  /** Returns the state before the first event. */
  abstract initial(): State;

  /**
   * Applies one event to the state and returns the effects to carry out. The
   * state is owned by the caller and may be changed in place.
   */
  abstract reduce(state: State, event: Event): readonly Effect[];
}
