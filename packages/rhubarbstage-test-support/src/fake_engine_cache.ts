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

/** LRU cache of blocks identified by the hash of the prompt to their end. */
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
  match(prefixes: readonly string[]): number {
    const miss = prefixes.findIndex((prefix) => !this.#blocks.has(prefix));
    const matched = miss === -1 ? prefixes.length : miss;
    for (const prefix of prefixes.slice(0, matched)) this.#touch(prefix);
    return matched;
  }

  /** Stores blocks and evicts the least recently used ones above the limit. */
  store(prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      if (!this.#blocks.has(prefix)) this.#stored.push(prefix);
      this.#touch(prefix);
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

  #touch(prefix: string): void {
    this.#blocks.delete(prefix);
    this.#blocks.add(prefix);
  }

  #evictOldest(): void {
    const [oldest] = this.#blocks;
    this.#blocks.delete(oldest as string);
    this.#evicted.push(oldest as string);
  }
}
