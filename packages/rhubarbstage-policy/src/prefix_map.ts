/**
 * Hints about which server has which prompt prefix in its cache.
 *
 * @module
 */

import { LRUCache } from "lru-cache";
import type { BackendServerId } from "rhubarbstage";

/** A server that probably holds the first blocks of a prompt. */
export interface PrefixHolder {
  readonly server: BackendServerId;
  /** Blocks of the prompt that it holds. */
  readonly blocks: number;
}

const holdersPerPrefix = 4;
/** Servers whose last drop is remembered; more than are ever known at once. */
const rememberedDrops = 10_000;

/**
 * Bounded map from prefix to servers. Hints decay with age; the servers' cache
 * events correct them; after a gap in these events all older hints about the
 * server are dropped.
 */
export class PrefixMap {
  #holders: LRUCache<string, Map<BackendServerId, number>>;
  #droppedBefore = new Map<BackendServerId, number>();
  #life: number;

  /** @param life Age in milliseconds at which a hint is no longer used. */
  constructor(entries: number, life: number) {
    this.#holders = new LRUCache({ max: entries });
    this.#life = life;
  }

  store(
    server: BackendServerId,
    prefixes: readonly string[],
    now: number,
  ): void {
    for (const prefix of prefixes) {
      const holders = this.#holders.get(prefix) ?? new Map();
      holders.delete(server); // The newest hint stands last.
      holders.set(server, now);
      if (holders.size > holdersPerPrefix) {
        holders.delete(holders.keys().next().value as BackendServerId);
      }
      this.#holders.set(prefix, holders);
    }
  }

  evict(server: BackendServerId, prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      this.#holders.peek(prefix)?.delete(server);
    }
  }

  /** Drops what was known of a server, after a gap or a restart. */
  forget(server: BackendServerId, now: number): void {
    this.#droppedBefore.delete(server);
    this.#droppedBefore.set(server, now);
    if (this.#droppedBefore.size <= rememberedDrops) return;
    const oldest = this.#droppedBefore.keys().next().value;
    this.#droppedBefore.delete(oldest as BackendServerId);
  }

  /** Servers with the longest known prefixes, longest first. */
  find(prefixes: readonly string[], now: number): PrefixHolder[] {
    const found = new Map<BackendServerId, number>();
    for (let index = prefixes.length - 1; index >= 0; index -= 1) {
      const holders = this.#holders.get(prefixes[index] as string);
      if (holders === undefined) continue;
      for (const [server, at] of holders) {
        const valid = now - at < this.#life &&
          at > (this.#droppedBefore.get(server) ?? -Infinity);
        if (valid && !found.has(server)) found.set(server, index + 1);
      }
      if (found.size >= holdersPerPrefix) break;
    }
    return [...found].map(([server, blocks]) => ({ server, blocks }));
  }
}
