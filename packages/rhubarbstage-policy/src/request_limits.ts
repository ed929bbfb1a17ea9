/**
 * Limits that servers name for the requests of all hosts together.
 *
 * @module
 */

import type { BackendServerId, Incarnation, SeededRandom } from "rhubarbstage";
import type { BackendServer, RequestLimitReport } from "./types.ts";

/**
 * Time in which answers name no limit before it counts as ended, in
 * milliseconds. Answers on several connections may overtake each other.
 */
const endDelay = 1_000;
/** Relative change from which a limit counts as changed. */
const noticeableChange = 0.1;
/**
 * Requests a second that a server gets even if it takes none, so that its answers
 * can end its limit.
 */
const minRate = 0.1;
/** Time of saved-up requests that may be sent at once, in milliseconds. */
const maxBurstTime = 500;
/** Time for which the end of a limit is gossiped, in milliseconds. */
const endPublicationTime = 60_000;

/** Returns this host's part of a server's limit, in [0, 1]. */
export type LimitShare = (server: BackendServer) => number;

interface NamedLimit {
  readonly incarnation: Incarnation;
  /** Requests a second; undefined once it has ended. */
  readonly limit: number | undefined;
  /** Time of the last evidence for it. */
  at: number;
  /** Whether this host publishes it. */
  local: boolean;
  /** Requests that this host may send now, as of `refilledAt`. */
  level: number;
  refilledAt: number;
}

/** A limit that began, changed, or ended if absent. */
export interface LimitChange {
  /** Requests a second. */
  readonly limit?: number;
}

/**
 * Request limits by server, as named in their answers here or on other hosts.
 * Each host gets a part of a limit, so that their sum keeps to it without a
 * message for each request.
 */
export class RequestLimits {
  #limits = new Map<BackendServerId, NamedLimit>();
  #random: SeededRandom;
  #share: LimitShare;
  #isChanged = false;

  constructor(random: SeededRandom, share: LimitShare) {
    this.#random = random;
    this.#share = share;
  }

  /**
   * Records an answer of a server with the limit that it names, if any. Returns
   * what has changed.
   */
  observe(
    server: BackendServer,
    limit: number | undefined,
    now: number,
  ): LimitChange | undefined {
    const known = this.#limits.get(server.id);
    const isKnown = known?.limit !== undefined;
    if (limit === undefined) {
      if (!isKnown || now - known.at < endDelay) return undefined;
      this.#set(server, { limit, at: now, local: true });
      return {};
    }
    if (
      isKnown && Math.abs(limit - known.limit) <= limit * noticeableChange
    ) {
      known.at = now;
      return undefined;
    }
    this.#set(server, { limit, at: now, local: true });
    return { limit };
  }

  /** Adopts a limit of another host's report, unless it is older than its own. */
  merge(
    server: BackendServer,
    report: RequestLimitReport,
    now: number,
  ): LimitChange | undefined {
    const { incarnation, limit, age } = report;
    if (incarnation !== server.incarnation) return undefined;
    const known = this.#limits.get(server.id);
    const at = now - age;
    if (known !== undefined && known.at >= at) return undefined;
    const isSame = known?.limit === limit;
    this.#set(server, { limit, at, local: false });
    return isSame ? undefined : limit === undefined ? {} : { limit };
  }

  /** Whether this host may send the server a request now. */
  allows(server: BackendServer, now: number): boolean {
    const named = this.#limits.get(server.id);
    if (named?.limit === undefined) return true;
    this.#refill(named, server, now);
    return named.level >= 1;
  }

  /** Counts a request that is sent to the server. */
  recordSend(server: BackendServer, now: number): void {
    const named = this.#limits.get(server.id);
    if (named?.limit === undefined) return;
    this.#refill(named, server, now);
    named.level -= 1;
  }

  /**
   * Returns the time until one more request than `queued` can be sent to one of
   * the servers, in milliseconds; 0 if one of them has no limit.
   */
  waitTime(
    servers: Iterable<BackendServer>,
    queued: number,
    now: number,
  ): number {
    let rate = 0;
    let level = 0;
    for (const server of servers) {
      const named = this.#limits.get(server.id);
      if (named?.limit === undefined) return 0;
      this.#refill(named, server, now);
      rate += this.#rate(named, server);
      level += named.level;
    }
    return rate === 0 ? 0 : Math.max(0, queued + 1 - level) / rate;
  }

  /** Forgets the limit of a server whose process has ended. */
  forget(server: BackendServerId): void {
    this.#isChanged ||= this.#limits.get(server)?.local === true;
    this.#limits.delete(server);
  }

  /** Returns the limits that this host noticed, if they have changed. */
  takeChangedReports(now: number): RequestLimitReport[] | undefined {
    if (!this.#isChanged) return undefined;
    this.#isChanged = false;
    const reports: RequestLimitReport[] = [];
    for (const [server, { incarnation, limit, at, local }] of this.#limits) {
      const isOld = limit === undefined && now - at > endPublicationTime;
      if (!local || isOld) continue;
      reports.push({
        server,
        incarnation,
        ...(limit === undefined ? {} : { limit }),
        age: Math.round(now - at),
      });
    }
    return reports;
  }

  #set(
    server: BackendServer,
    named: Pick<NamedLimit, "limit" | "at" | "local">,
  ): void {
    const known = this.#limits.get(server.id);
    // A report that another host has superseded leaves this host's log.
    this.#isChanged ||= named.local || known?.local === true;
    this.#limits.set(server.id, {
      ...named,
      incarnation: server.incarnation,
      // Hosts that hear of a limit together must not all send at once.
      level: known?.limit === undefined ? this.#random.next() : known.level,
      refilledAt: known?.refilledAt ?? named.at,
    });
  }

  /** Returns the requests a millisecond that this host may send the server. */
  #rate({ limit = 0 }: NamedLimit, server: BackendServer): number {
    return Math.max(limit, minRate) * this.#share(server) / 1_000;
  }

  #refill(named: NamedLimit, server: BackendServer, now: number): void {
    const rate = this.#rate(named, server);
    const elapsed = Math.max(0, now - named.refilledAt);
    const capacity = Math.max(1, rate * maxBurstTime);
    named.level = Math.min(capacity, named.level + elapsed * rate);
    named.refilledAt = now;
  }
}
