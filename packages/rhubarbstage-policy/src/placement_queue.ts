/**
 * Queries that wait at the placing host for an engine with a free slot, and the
 * order in which they are served.
 *
 * @module
 */

import type { CustomerId, HostId } from "rhubarbstage";
import type { CustomerShares } from "./customer_shares.ts";
import type { PlacementQuery } from "./types.ts";

/** Most queries that wait for the engines of one model. */
export const maxWaitingQueries = 256;
/**
 * Part of the average at which a customer must be served at least, whatever it
 * has used; above the quarter that is promised, because it is found out late.
 */
const customerFloor = 0.35;
/** The same for a kind of work, whatever its rank. */
const kindFloor = 0.5;
/** Differences in the time left that do not matter, in milliseconds. */
const slackStep = 32;

/** A query at the placing host. Times in milliseconds. */
export interface WaitingQuery {
  /** Unique among the queries of all hosts. */
  readonly key: string;
  readonly from: HostId;
  readonly query: PlacementQuery;
  readonly customer: CustomerId;
  /** Time at which the query arrived here. */
  readonly queuedAt: number;
  /** Time from which it is not held any longer. */
  readonly limitAt: number;
  /** Expected engine time. */
  readonly cost: number;
  /** Time of its first refusal, if its caller returned when asked to. */
  readonly returnedSince?: number;
}

/** Accounts by which waiting queries are ordered. */
export interface QueueAccounts {
  readonly customers: CustomerShares<CustomerId>;
  readonly kinds: CustomerShares<string>;
}

/** Keys of the order of a query, the first one most significant. */
type Standing = readonly number[];

/** Bounded set of waiting queries. */
export class PlacementQueue {
  readonly #accounts: QueueAccounts;
  readonly #waiting = new Map<string, WaitingQuery>();

  constructor(accounts: QueueAccounts) {
    this.#accounts = accounts;
  }

  get size(): number {
    return this.#waiting.size;
  }

  get isFull(): boolean {
    return this.#waiting.size >= maxWaitingQueries;
  }

  has(key: string): boolean {
    return this.#waiting.has(key);
  }

  add(item: WaitingQuery): void {
    this.#waiting.set(item.key, item);
  }

  delete(key: string): boolean {
    return this.#waiting.delete(key);
  }

  /** Lists the queries that must not be held any longer. */
  due(now: number): WaitingQuery[] {
    const due: WaitingQuery[] = [];
    for (const item of this.#waiting.values()) {
      if (item.limitAt <= now) due.push(item);
    }
    return due;
  }

  /** Returns the first `count` queries in the order of service. */
  first(count: number, now: number): WaitingQuery[] {
    const standings = this.#standings(now);
    const best: { item: WaitingQuery; standing: Standing }[] = [];
    for (const item of this.#waiting.values()) {
      const standing = standings(item);
      let index = best.length;
      while (index > 0 && precedes(standing, best[index - 1]!.standing)) {
        index -= 1;
      }
      if (index >= count) continue;
      best.splice(index, 0, { item, standing });
      if (best.length > count) best.pop();
    }
    return best.map(({ item }) => item);
  }

  /** Number of waiting queries that are served before an item. */
  countBefore(item: WaitingQuery, now: number): number {
    const standings = this.#standings(now);
    const own = standings(item);
    let count = 0;
    for (const other of this.#waiting.values()) {
      if (other !== item && !precedes(own, standings(other))) count += 1;
    }
    return count;
  }

  /** Returns a function of a query's standing at one time. */
  #standings(now: number): (item: WaitingQuery) => Standing {
    const { customers, kinds } = this.#accounts;
    const customerClasses = new Map<CustomerId, number>();
    const kindClasses = new Map<string, number>();
    return ({ query, customer, queuedAt, cost, returnedSince = Infinity }) => {
      let customerClass = customerClasses.get(customer);
      if (customerClass === undefined) {
        customerClass = customers.isUnderserved(customer, customerFloor, now)
          ? -1
          : overuseClass(customers.overuse(customer, now));
        customerClasses.set(customer, customerClass);
      }
      const { kind = "" } = query;
      let kindClass = kindClasses.get(kind);
      if (kindClass === undefined) {
        kindClass = kinds.isUnderserved(kind, kindFloor, now) ? -1 : 0;
        kindClasses.set(kind, kindClass);
      }
      const elapsed = query.waited + now - queuedAt;
      const slack = query.firstTokenTarget - elapsed - cost;
      return [
        query.answerOrigin === undefined ? 1 : 0,
        Math.min(kindClass, Math.min(0, customerClass)),
        query.rank,
        customerClass,
        returnedSince,
        slack < 0 ? Infinity : Math.floor(slack / slackStep),
        cost,
        queuedAt,
      ];
    };
  }
}

/**
 * 0 up to the share, then 1 more for each doubling: small differences in use do
 * not outweigh the time left.
 */
function overuseClass(overuse: number): number {
  return overuse <= 1 ? 0 : 1 + Math.floor(Math.log2(overuse));
}

function precedes(left: Standing, right: Standing): boolean {
  // Called for each pair of waiting queries; an iterator is several times slower.
  for (let index = 0; index < left.length; index += 1) {
    const value = left[index] as number;
    const other = right[index] as number;
    if (value !== other) return value < other;
  }
  return false;
}
