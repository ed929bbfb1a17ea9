/**
 * The newest events in memory.
 *
 * @module
 */

import type { TimelineEvent } from "./types.ts";

/** Keeps a fixed number of events; the oldest makes place for the newest. */
export class EventRing {
  readonly #events: TimelineEvent[] = [];
  readonly #capacity: number;
  #start = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Adds an event. */
  add(event: TimelineEvent): void {
    if (this.#events.length < this.#capacity) {
      this.#events.push(event);
      return;
    }
    this.#events[this.#start] = event;
    this.#start = (this.#start + 1) % this.#capacity;
  }

  /** All events, oldest first. */
  *list(): Generator<TimelineEvent> {
    const { length } = this.#events;
    for (let index = 0; index < length; index += 1) {
      yield this.#events[(this.#start + index) % length] as TimelineEvent;
    }
  }
}
