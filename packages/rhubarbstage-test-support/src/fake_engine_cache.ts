/**
 * Prefix cache of the fake engine with a bounded number of blocks.
 *
 * @module
 */

/** Blocks that were stored and evicted since the previous call. */
export interface FakeCacheChanges {
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}

/** LRU cache of blocks, each identified by a label. */
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

  /** Counts the leading blocks that are cached and marks them as used. */
  match(labels: readonly string[]): number {
    const miss = labels.findIndex((label) => !this.#blocks.has(label));
    const matched = miss === -1 ? labels.length : miss;
    for (const label of labels.slice(0, matched)) this.#touch(label);
    return matched;
  }

  /** Stores blocks and evicts the least recently used ones above the limit. */
  store(labels: readonly string[]): void {
    for (const label of labels) {
      if (!this.#blocks.has(label)) this.#stored.push(label);
      this.#touch(label);
    }
    while (this.#blocks.size > this.#limit) this.#evictOldest();
  }

  /** Evicts all blocks. */
  clear(): void {
    while (this.#blocks.size > 0) this.#evictOldest();
  }

  /** Returns the changes since the previous call and resets them. */
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
