/**
 * Accounting of the memory that one process holds for callers and servers.
 *
 * @module
 */

import { type Clock, SystemClock } from "./clock.ts";

/**
 * Memory of a process that serves nobody, in bytes: program, heap and buffers of
 * an idle host, measured at 85 to 110 MB.
 */
const idleProcessBytes = 120_000_000;
/**
 * Share of the rest that the budget may use. The other part is for what is not
 * counted: heads, buffers of connections, and above all buffers that were let go
 * and not yet collected, of which Node.js tolerates 64 MB.
 */
const budgetShare = 0.25;
/** Smallest budget, in bytes: a body of 4 MiB, its joined copy and some more. */
const minBudgetBytes = 16_777_216;

/** Returns the budget of a process with the given memory, in bytes. */
export function budgetForMemory(memoryBytes: number): number {
  const free = memoryBytes - idleProcessBytes;
  return Math.max(minBudgetBytes, Math.floor(free * budgetShare));
}

/** Options of a {@linkcode MemoryBudget}. */
export interface MemoryBudgetOptions {
  /** Bytes that all leases together may hold; unlimited by default. */
  readonly limitBytes?: number;
  readonly clock?: Clock;
}

/**
 * Memory of all leases together. When it runs out, the evictable lease with the
 * largest occupancy gives way, which is the bytes that it holds times the time
 * for which it has held them: a client that holds much and gets nothing done goes
 * before an ordinary one.
 */
export class MemoryBudget {
  readonly limitBytes: number;
  readonly #clock: Clock;
  readonly #evictable = new Set<MemoryLease>();
  #usedBytes = 0;
  #refusals = 0;
  #evictions = 0;

  constructor(options: MemoryBudgetOptions = {}) {
    this.limitBytes = options.limitBytes ?? Infinity;
    this.#clock = options.clock ?? new SystemClock();
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Requests for memory that were not granted. */
  get refusals(): number {
    return this.#refusals;
  }

  /** Leases that were taken back. */
  get evictions(): number {
    return this.#evictions;
  }

  /** Opens a lease that holds nothing yet. */
  open(): MemoryLease {
    return new MemoryLease({
      budget: this,
      now: () => this.#clock.monotonicMilliseconds(),
      add: (lease, bytes) => this.#add(lease, bytes),
      release: (bytes) => this.#usedBytes -= bytes,
      evictable: this.#evictable,
    });
  }

  #add(lease: MemoryLease, bytes: number): boolean {
    while (this.#usedBytes + bytes > this.limitBytes) {
      const victim = this.#selectVictim(lease, bytes);
      if (victim === undefined) {
        this.#refusals += 1;
        return false;
      }
      this.#evictions += 1;
      victim.evict();
    }
    this.#usedBytes += bytes;
    return true;
  }

  /** Returns a lease with more occupancy than the one that asks for memory. */
  #selectVictim(asking: MemoryLease, bytes: number): MemoryLease | undefined {
    const now = this.#clock.monotonicMilliseconds();
    let victim: MemoryLease | undefined;
    let largest = occupancyOf(asking, asking.heldBytes + bytes, now);
    for (const lease of this.#evictable) {
      if (lease === asking) continue;
      const occupancy = occupancyOf(lease, lease.heldBytes, now);
      if (occupancy <= largest) continue;
      victim = lease;
      largest = occupancy;
    }
    return victim;
  }
}

/** Byte-milliseconds of a lease; a new one counts as a millisecond old. */
function occupancyOf(lease: MemoryLease, bytes: number, now: number): number {
  return bytes * (now - lease.since + 1);
}

interface MemoryLeaseOptions {
  readonly budget: MemoryBudget;
  readonly now: () => number;
  readonly add: (lease: MemoryLease, bytes: number) => boolean;
  readonly release: (bytes: number) => void;
  readonly evictable: Set<MemoryLease>;
}

/** Memory that is held for one request or one answer. */
export class MemoryLease {
  readonly #options: MemoryLeaseOptions;
  #heldBytes = 0;
  #since: number;
  #isOpen = true;
  #onEvict: (() => void) | undefined;

  constructor(options: MemoryLeaseOptions) {
    this.#options = options;
    this.#since = options.now();
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Monotonic time since which its occupancy counts, in milliseconds. */
  get since(): number {
    return this.#since;
  }

  /** Adds bytes; false if they are not granted or the lease has ended. */
  grow(bytes: number): boolean {
    if (!this.#isOpen || !this.#options.add(this, bytes)) return false;
    this.#heldBytes += bytes;
    return true;
  }

  /** Gives bytes back. */
  shrink(bytes: number): void {
    const released = Math.min(bytes, this.#heldBytes);
    this.#heldBytes -= released;
    this.#options.release(released);
  }

  /** Lets others take the memory from now on; `onEvict` must free it at once. */
  allowEviction(onEvict: () => void): void {
    if (!this.#isOpen) return;
    this.#since = this.#options.now();
    this.#onEvict = onEvict;
    this.#options.evictable.add(this);
  }

  /** Keeps the memory until it is given back. */
  denyEviction(): void {
    this.#onEvict = undefined;
    this.#options.evictable.delete(this);
  }

  /** Takes the memory back and tells its holder. */
  evict(): void {
    const onEvict = this.#onEvict;
    this.close();
    onEvict?.();
  }

  /** Gives everything back. Idempotent. */
  close(): void {
    this.#isOpen = false;
    this.denyEviction();
    this.shrink(this.#heldBytes);
  }
}
