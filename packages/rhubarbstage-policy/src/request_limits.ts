/**
 * Limits that servers name for the requests of all hosts together.
 *
 * @module
 */

import type { BackendServerId } from "rhubarbstage";

/**
 * Time in which answers name no limit before it counts as ended, in
 * milliseconds. Answers on several connections may overtake each other.
 */
const endDelay = 1_000;
/** Relative change from which a limit counts as changed. */
const noticeableChange = 0.1;

interface NamedLimit {
  /** Requests a second. */
  limit: number;
  /** Time of the last answer that named it. */
  at: number;
}

/** A limit that began, changed, or ended if absent. */
export interface LimitChange {
  /** Requests a second. */
  readonly limit?: number;
}

/** Request limits by server, as named in their answers. */
export class RequestLimits {
  #limits = new Map<BackendServerId, NamedLimit>();

  /**
   * Records an answer of a server with the limit that it names, if any. Returns
   * what has changed.
   */
  observe(
    server: BackendServerId,
    limit: number | undefined,
    now: number,
  ): LimitChange | undefined {
    const known = this.#limits.get(server);
    if (limit === undefined) {
      if (known === undefined || now - known.at < endDelay) return undefined;
      this.#limits.delete(server);
      return {};
    }
    this.#limits.set(server, { limit, at: now });
    const change = Math.abs(limit - (known?.limit ?? 0));
    return change > limit * noticeableChange ? { limit } : undefined;
  }

  /** Forgets the limit of a server whose process has ended. */
  forget(server: BackendServerId): void {
    this.#limits.delete(server);
  }
}
