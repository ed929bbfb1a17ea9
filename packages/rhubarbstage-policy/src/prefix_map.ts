/**
 * Hints about which servers have a prompt prefix in their cache.
 *
 * @module
 */

import { LRUCache } from "lru-cache";
import type { BackendServerId } from "rhubarbstage";

/** A server that probably has the first blocks of a prompt cached. */
export interface PrefixHolder {
  readonly server: BackendServerId;
  /** Number of cached blocks of the prompt. */
  readonly blocks: number;
}

const holdersPerPrefix = 4;
/**
 * Maximum number of servers whose last `forget` is remembered; more than are
 * known at once.
 */
const maxForgottenServers = 10_000;

/**
 * Bounded map from prefix to servers. Hints expire with age and are corrected
 * by the servers' cache events; after a gap in these events all older hints
 * about the server are dropped.
 */
export class PrefixMap {
  #holders: LRUCache<string, Map<BackendServerId, number>>;
  #forgottenAt = new Map<BackendServerId, number>();
  #timeToLive: number;

  /** @param timeToLive Age in milliseconds at which a hint expires. */
  constructor(entries: number, timeToLive: number) {
    this.#holders = new LRUCache({ max: entries });
    this.#timeToLive = timeToLive;
  }

  store(
    server: BackendServerId,
    prefixes: readonly string[],
    now: number,
  ): void {
    for (const prefix of prefixes) {
      const holders = this.#holders.get(prefix) ?? new Map();
      holders.delete(server); // Keeps the newest hint last.
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

  /** Drops all hints about a server, after a gap or a restart. */
  forget(server: BackendServerId, now: number): void {
    this.#forgottenAt.delete(server);
    this.#forgottenAt.set(server, now);
    if (this.#forgottenAt.size <= maxForgottenServers) return;
    const oldest = this.#forgottenAt.keys().next().value;
    this.#forgottenAt.delete(oldest as BackendServerId);
  }

  /** Servers with the longest known prefixes, longest first. */
  find(prefixes: readonly string[], now: number): PrefixHolder[] {
    const found = new Map<BackendServerId, number>();
    for (let index = prefixes.length - 1; index >= 0; index -= 1) {
      const holders = this.#holders.get(prefixes[index] as string);
      if (holders === undefined) continue;
      for (const [server, at] of holders) {
        const valid = now - at < this.#timeToLive &&
          at > (this.#forgottenAt.get(server) ?? -Infinity);
        if (valid && !found.has(server)) found.set(server, index + 1);
      }
      if (found.size >= holdersPerPrefix) break;
    }
    return [...found].map(([server, blocks]) => ({ server, blocks }));
  }
}
