/**
 * Times at which refused callers are asked to return, one after another at the
 * rate at which capacity becomes free.
 *
 * @module
 */

import { LRUCache } from "lru-cache";
import type { SeededRandom } from "rhubarbstage";

/** Refused requests that are remembered. */
const maxRemembered = 8_192;
/** Least time between two returns, in milliseconds. */
const minInterval = 1;
/** Least delay, in milliseconds. */
const minDelay = 100;
/** Largest delay, in milliseconds; what is further away is not known. */
const maxDelay = 4_000;
/** Part of the largest delay over which callers beyond it are spread. */
const lastSpread = 0.25;
/** Time before its return from which a caller is not early, in milliseconds. */
const earlyTolerance = 20;

/** Time after which a caller that has not returned is forgotten, in ms. */
const maxAbsence = 30_000;

interface Ticket {
  /** Time of the first refusal. */
  readonly since: number;
  readonly returnAt: number;
}

/** What is known of a request that arrives. */
export interface ReturnedRequest {
  /** Time of its first refusal. */
  readonly since: number;
  /** Whether its caller returned before it was asked to. */
  readonly isEarly: boolean;
}

/** Schedule of the returns of refused callers. */
export class ReturnSchedule {
  readonly #random: SeededRandom;
  readonly #tickets = new LRUCache<string, Ticket>({ max: maxRemembered });
  #nextReturnAt = 0;

  constructor(random: SeededRandom) {
    this.#random = random;
  }

  /** Returns what is known of a request; undefined if it was not refused. */
  find(key: string, now: number): ReturnedRequest | undefined {
    const ticket = this.#ticketOf(key, now);
    if (ticket === undefined) return undefined;
    const { since, returnAt } = ticket;
    return { since, isEarly: now < returnAt - earlyTolerance };
  }

  /**
   * Records a refusal and returns the delay of the caller's return, in
   * milliseconds. A caller that returned early keeps its time.
   */
  refuse(
    key: string | undefined,
    capacity: {
      /** Requests that are served in a second. */
      readonly rate: number;
      /** Requests that wait and are served before. */
      readonly waiting: number;
      /** Time for which there is no capacity in any case, in milliseconds. */
      readonly pause?: number;
    },
    now: number,
  ): number {
    const ticket = key === undefined ? undefined : this.#ticketOf(key, now);
    if (ticket !== undefined && now < ticket.returnAt - earlyTolerance) {
      return ticket.returnAt - now;
    }
    const interval = Math.max(minInterval, 1_000 / capacity.rate);
    const { waiting, pause = 0 } = capacity;
    const earliest = now + Math.max(minDelay, waiting * interval, pause);
    let returnAt = Math.max(earliest, this.#nextReturnAt);
    const latest = maxDelay + pause;
    if (returnAt > now + latest) {
      const spread = this.#random.next() * lastSpread;
      returnAt = now + latest * (1 - spread);
    } else this.#nextReturnAt = returnAt + interval;
    if (key !== undefined) {
      this.#tickets.set(key, { since: ticket?.since ?? now, returnAt });
    }
    return returnAt - now;
  }

  /** Forgets a request that is served. */
  forget(key: string): void {
    this.#tickets.delete(key);
  }

  #ticketOf(key: string, now: number): Ticket | undefined {
    const ticket = this.#tickets.get(key);
    if (ticket === undefined) return undefined;
    return now > ticket.returnAt + maxAbsence ? undefined : ticket;
  }
}
