/**
 * Ring buffer of the newest events.
 *
 * @module
 */

import type { TimelineEvent } from "./types.ts";

/** Keeps a fixed number of events; a new one replaces the oldest. */
export class EventRing {
  readonly #events: TimelineEvent[] = [];
  readonly #capacity: number;
  #start = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  add(event: TimelineEvent): void {
    if (this.#events.length < this.#capacity) {
      this.#events.push(event);
      return;
    }
    this.#events[this.#start] = event;
    this.#start = (this.#start + 1) % this.#capacity;
  }

  /** Iterates over all events, oldest first. */
  *list(): Generator<TimelineEvent> {
    const { length } = this.#events;
    for (let index = 0; index < length; index += 1) {
      yield this.#events[(this.#start + index) % length] as TimelineEvent;
    }
  }
}
