/**
 * Prefix cache of the fake engine with limited memory.
 *
 * @module
 */

/** Changes of the cache since they were last taken. */
export interface FakeCacheChanges {
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}

/** Blocks by label, evicted in order of their last use. */
export class FakePrefixCache {
  #limit: number;
  #blocks = new Set<string>();
  #stored: string[] = [];
  #evicted: string[] = [];

  /** Creates a cache of at most `limit` blocks. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  get size(): number {
    return this.#blocks.size;
  }

  /** Number of leading blocks that are cached; marks them as used. */
  match(labels: readonly string[]): number {
    const miss = labels.findIndex((label) => !this.#blocks.has(label));
    const matched = miss === -1 ? labels.length : miss;
    for (const label of labels.slice(0, matched)) this.#touch(label);
    return matched;
  }

  /** Stores blocks and evicts those that no longer fit. */
  store(labels: readonly string[]): void {
    for (const label of labels) {
      if (!this.#blocks.has(label)) this.#stored.push(label);
      this.#touch(label);
    }
    while (this.#blocks.size > this.#limit) this.#evictOldest();
  }

  /** Forgets all blocks. */
  clear(): void {
    while (this.#blocks.size > 0) this.#evictOldest();
  }

  /** Returns and forgets the changes so far. */
  takeChanges(): FakeCacheChanges {
    const changes = { stored: this.#stored, evicted: this.#evicted };
    this.#stored = [];
    this.#evicted = [];
    return changes;
  }

  #touch(label: string): void {
    this.#blocks.delete(label);
    this.#blocks.add(label);
  }

  #evictOldest(): void {
    const [oldest] = this.#blocks;
    this.#blocks.delete(oldest as string);
    this.#evicted.push(oldest as string);
  }
}
