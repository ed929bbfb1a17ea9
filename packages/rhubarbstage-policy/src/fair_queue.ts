/**
 * Start-time fair queue of waiting work.
 *
 * @module
 */

import type { RequestId } from "rhubarbstage";
import TinyQueue from "tinyqueue";
import type { Work } from "./types.ts";

/** Waiting request. */
export interface QueueItem {
  readonly work: Work;
  /** Estimated slot time in milliseconds. */
  readonly cost: number;
  readonly queuedAt: number;
  /** Whether the request has left the queue. */
  taken: boolean;
}

interface CustomerQueue {
  readonly key: string;
  readonly priority: number;
  items: QueueItem[];
  first: number;
  waiting: number;
  waitingCost: number;
  share: number;
  /** Received service, as cost over share; orders customers of one priority. */
  virtualTime: number;
  /** This host's part of the floor, in requests per second. */
  floorRate: number;
  /** Time from which the floor entitles the customer to another request. */
  floorAt: number;
  /** Incremented when the tags change. */
  version: number;
}

/** Heap entry of a customer; stale once the customer's version changes. */
interface TagEntry {
  readonly customer: CustomerQueue;
  readonly version: number;
  readonly tag: number;
}

interface PriorityClass {
  readonly priority: number;
  readonly active: TinyQueue<TagEntry>;
  virtualTime: number;
  waiting: number;
  waitingCost: number;
  activeShares: number;
}

/** Next request, and whether it is served under the customer's floor. */
export interface NextItem {
  readonly item: QueueItem;
  readonly entitledByFloor: boolean;
}

/**
 * Serves customers below their floor first, then by descending priority. Within
 * a priority, divides service in proportion to shares by start-time fair
 * queueing, so that unused shares go to the other customers.
 */
export class FairQueue {
  #classes: PriorityClass[] = [];
  #customers = new Map<string, CustomerQueue>();
  #items = new Map<RequestId, { item: QueueItem; customer: CustomerQueue }>();
  #floors = newTagQueue();

  get size(): number {
    return this.#items.size;
  }

  /** Adds work; `floorRate` is this host's part of the customer's floor. */
  push(item: QueueItem, floorRate: number, now: number): void {
    const { customer: id, settings } = item.work;
    const customer = this.#customerQueue(id, settings.priority);
    const group = this.#class(settings.priority);
    if (customer.waiting === 0) {
      customer.items = [];
      customer.first = 0;
      customer.virtualTime = Math.max(customer.virtualTime, group.virtualTime);
      customer.floorAt = Math.max(customer.floorAt, now);
      customer.share = Math.max(settings.share, 1e-6);
      group.activeShares += customer.share;
    }
    customer.items.push(item);
    customer.waiting += 1;
    customer.waitingCost += item.cost;
    customer.floorRate = floorRate;
    group.waiting += 1;
    group.waitingCost += item.cost;
    this.#items.set(item.work.request, { item, customer });
    if (customer.waiting === 1) this.#activate(group, customer);
  }

  /** Returns the next request without removing it. */
  peek(now: number): NextItem | undefined {
    const byFloor = this.#peekFloor(now);
    if (byFloor !== undefined) return { item: byFloor, entitledByFloor: true };
    for (const group of this.#classes) {
      const entry = dropStale(group.active);
      if (entry === undefined) continue;
      return { item: this.#head(entry.customer), entitledByFloor: false };
    }
    return undefined;
  }

  /** Removes a request for dispatch and charges its customer. */
  take(request: RequestId, now: number): QueueItem | undefined {
    const entry = this.#items.get(request);
    if (entry === undefined) return undefined;
    const { customer, item } = entry;
    const group = this.#class(customer.priority);
    group.virtualTime = Math.max(group.virtualTime, customer.virtualTime);
    customer.virtualTime += item.cost / customer.share;
    if (customer.floorRate > 0) {
      customer.floorAt = Math.max(customer.floorAt, now - 1_000) +
        1_000 / customer.floorRate;
    }
    this.remove(request);
    this.#activate(group, customer);
    return item;
  }

  /** Removes a request without charging its customer. */
  remove(request: RequestId): QueueItem | undefined {
    const entry = this.#items.get(request);
    if (entry === undefined) return undefined;
    const { customer, item } = entry;
    const group = this.#class(customer.priority);
    this.#items.delete(request);
    item.taken = true;
    customer.waiting -= 1;
    customer.waitingCost -= item.cost;
    group.waiting -= 1;
    group.waitingCost -= item.cost;
    if (customer.waiting === 0) group.activeShares -= customer.share;
    clearRemainders(group, customer);
    return item;
  }

  /** Estimates the slot time served before new work of this customer. */
  costAhead(work: Work): number {
    let ahead = 0;
    for (const group of this.#classes) {
      if (group.priority > work.settings.priority) ahead += group.waitingCost;
      if (group.priority === work.settings.priority) {
        ahead += this.#costInClass(group, work);
      }
    }
    return ahead;
  }

  #costInClass(group: PriorityClass, work: Work): number {
    const customer = this.#customers.get(
      customerKey(work.customer, work.settings.priority),
    );
    const waiting = customer !== undefined && customer.waiting > 0;
    const share = Math.max(work.settings.share, 1e-6);
    const shares = waiting ? group.activeShares : group.activeShares + share;
    const own = waiting ? customer.waitingCost : 0;
    return Math.min(group.waitingCost, own * shares / share);
  }

  #peekFloor(now: number): QueueItem | undefined {
    const entry = dropStale(this.#floors);
    if (entry === undefined || entry.tag > now) return undefined;
    return this.#head(entry.customer);
  }

  #head(customer: CustomerQueue): QueueItem {
    while (customer.items[customer.first]?.taken) customer.first += 1;
    if (customer.first > 64 && customer.first * 2 > customer.items.length) {
      customer.items = customer.items.slice(customer.first);
      customer.first = 0;
    }
    return customer.items[customer.first] as QueueItem;
  }

  /** Reinserts a customer after its tags changed. */
  #activate(group: PriorityClass, customer: CustomerQueue): void {
    customer.version += 1;
    if (customer.waiting === 0) return;
    const { version, virtualTime, floorAt } = customer;
    group.active.push({ customer, version, tag: virtualTime });
    if (customer.floorRate > 0) {
      this.#floors.push({ customer, version, tag: floorAt });
    }
  }

  #customerQueue(id: string, priority: number): CustomerQueue {
    const key = customerKey(id, priority);
    let customer = this.#customers.get(key);
    if (customer === undefined) {
      customer = {
        key,
        priority,
        items: [],
        first: 0,
        waiting: 0,
        waitingCost: 0,
        share: 1,
        virtualTime: 0,
        floorRate: 0,
        floorAt: 0,
        version: 0,
      };
      this.#customers.set(key, customer);
    }
    return customer;
  }

  #class(priority: number): PriorityClass {
    const found = this.#classes.find((group) => group.priority === priority);
    if (found !== undefined) return found;
    const created: PriorityClass = {
      priority,
      active: newTagQueue(),
      virtualTime: 0,
      waiting: 0,
      waitingCost: 0,
      activeShares: 0,
    };
    this.#classes.push(created);
    this.#classes.sort((left, right) => right.priority - left.priority);
    return created;
  }
}

/** Clears what rounding leaves of sums over work once none of it waits. */
function clearRemainders(group: PriorityClass, customer: CustomerQueue): void {
  if (customer.waiting === 0) customer.waitingCost = 0;
  if (group.waiting > 0) return;
  group.waitingCost = 0;
  group.activeShares = 0;
}

function customerKey(customer: string, priority: number): string {
  return `${customer}\n${priority}`;
}

function newTagQueue(): TinyQueue<TagEntry> {
  return new TinyQueue<TagEntry>([], (left, right) => left.tag - right.tag);
}

/** Drops stale entries and returns the first current one. */
function dropStale(queue: TinyQueue<TagEntry>): TagEntry | undefined {
  for (let entry = queue.peek(); entry !== undefined; entry = queue.peek()) {
    const { customer, version } = entry;
    if (customer.version === version && customer.waiting > 0) return entry;
    queue.pop();
  }
  return undefined;
}
