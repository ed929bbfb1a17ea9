/**
 * Runtime of membership: timers, links and listeners around the reducer.
 *
 * @module
 */

import {
  type BackendServerId,
  type Clock,
  every,
  type HostId,
  type Incarnation,
  type Revision,
  SystemClock,
} from "rhubarbstage";
import { gossipInterval } from "./constants.ts";
import {
  DemandAggregate,
  type DemandRates,
  type DemandRow,
  type DemandSubject,
  pickAggregator,
} from "./demand_exchange.ts";
import type { MembershipTransport } from "./link.ts";
import { MembershipReducer } from "./membership_reducer.ts";
import {
  findHostRecord,
  type HostLog,
  isAlive,
  type MembershipState,
  newestEvidenceAt,
} from "./state.ts";
import {
  decodeGossipMessage,
  encodeGossipMessage,
  type WireGossipMessage,
} from "./wire.ts";
import type {
  HostRecord,
  MembershipEffect,
  MembershipEvent,
  ServerLoad,
  ServerRecord,
  SharedQuarantineMark,
} from "./types.ts";

/** Time that a forwarded renewal may take, in milliseconds. */
const forwardTimeout = 1_000;
/** Time that a direct check may take, in milliseconds. */
const checkTimeout = 1_000;
/** Time between two demand reports, in milliseconds. */
const demandInterval = 1_000;

/** What a backend server answers when it is asked directly. */
export interface ServerCheckAnswer {
  readonly incarnation: Incarnation;
  readonly leaving: boolean;
}

/** Cache events of one engine. */
export interface CacheChange {
  readonly id: BackendServerId;
  readonly incarnation: Incarnation;
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
  readonly gap: boolean;
}

/** What listeners are told. */
export interface MembershipListener {
  serverUpdated?(
    record: ServerRecord,
    options: { load?: ServerLoad; usable: boolean },
  ): void;
  serverGone?(id: BackendServerId, options: { crashed: boolean }): void;
  hostUpdated?(record: HostRecord): void;
  hostGone?(host: HostId): void;
  quarantineMarksReceived?(marks: readonly SharedQuarantineMark[]): void;
  cacheChanged?(change: CacheChange): void;
  /** Demand of the own subjects over all hosts. */
  totalDemandUpdated?(total: ReadonlyMap<DemandSubject, DemandRates>): void;
}

/** A backend server as this host knows it. */
export interface ServerView {
  readonly record: ServerRecord;
  readonly load?: ServerLoad;
  /** Whether it may get new work. */
  readonly usable: boolean;
  /** Host that vouches for it. */
  readonly owner: HostId;
  /** Age of the newest evidence, in milliseconds. */
  readonly evidenceAge: number;
}

/** A host as this host knows it. */
export interface HostView {
  readonly record: HostRecord;
  readonly incarnation: Incarnation;
  readonly alive: boolean;
  /** Revision in force there, as far as gossip tells. */
  readonly revision?: Revision;
}

/** Options of a {@linkcode Membership}. */
export interface MembershipOptions {
  readonly self: HostRecord;
  readonly incarnation: Incarnation;
  readonly seeds: readonly HostRecord[];
  readonly transport: MembershipTransport;
  readonly listener: MembershipListener;
  /** Asks a backend server directly. Throws when it cannot be reached. */
  readonly checkServer: (
    address: string,
    options: { signal: AbortSignal },
  ) => Promise<ServerCheckAnswer>;
  /** Own demand of the last interval. */
  readonly demand: () => ReadonlyMap<DemandSubject, DemandRates>;
  /** Oldest evidence on which a server gets new work; defaults to 5,000 ms. */
  readonly maxEvidenceAge?: number;
  /** Evidence older than this is renewed by a check; defaults to 3,500 ms. */
  readonly recheckAge?: number;
  /** Ends all timers. */
  readonly signal: AbortSignal;
  readonly clock?: Clock;
}

/** Membership on one host. */
export class Membership {
  #options: MembershipOptions;
  #clock: Clock;
  #reducer: MembershipReducer;
  #state: MembershipState;
  #aggregate = new DemandAggregate();

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
    this.#reducer = new MembershipReducer(options);
    this.#state = this.#reducer.initial();
    this.#registerHandlers();
  }

  /** Starts gossip and demand reports; they end with the signal. */
  start(): void {
    const { signal } = this.#options;
    const tick = () => this.#dispatch({ type: "tick", now: this.#now() });
    every(gossipInterval, tick, { signal });
    every(demandInterval, () => void this.#reportDemand(), { signal });
    tick();
  }

  /**
   * Takes an announcement or renewal and returns the host to which the server
   * should send the next ones.
   */
  handleAnnouncement(record: ServerRecord, load?: ServerLoad): HostRecord {
    const announced = { ...record, takeover: 0 };
    const now = this.#now();
    this.#dispatch({ type: "announced", now, record: announced, load });
    const owner = this.#state.servers.get(record.id)?.owner;
    if (owner === undefined) return this.#options.self;
    return findHostRecord(this.#state, owner) ?? this.#options.self;
  }

  /** Takes the statement of a server that it leaves. */
  handleDeparture(id: BackendServerId, incarnation: Incarnation): void {
    this.#dispatch({ type: "left", now: this.#now(), id, incarnation });
  }

  /** Takes cache events and passes them on to the neighbours. */
  handleCacheChange(change: CacheChange): void {
    this.#options.listener.cacheChanged?.(change);
    for (const host of this.#state.neighbours) {
      this.#options.transport.send(host, "cache", change);
    }
  }

  /** A link to a host has come up: both exchange what they know. */
  handleLinkUp(host: HostId): void {
    this.#dispatch({ type: "linked", now: this.#now(), host });
  }

  /** Spreads quarantine marks to all hosts. */
  publishQuarantineMarks(marks: readonly SharedQuarantineMark[]): void {
    this.#dispatch({ type: "marks_published", now: this.#now(), marks });
  }

  /** Known servers, for operators. */
  listServers(): readonly ServerView[] {
    const now = this.#now();
    return [...this.#state.servers.values()].map((server) => ({
      record: server.record,
      load: server.load,
      usable: server.usable,
      owner: server.owner,
      evidenceAge: now - newestEvidenceAt(this.#state, server),
    }));
  }

  /** All hosts that gossip tells of, for operators. */
  listKnownHosts(): readonly HostView[] {
    const now = this.#now();
    const views: HostView[] = [];
    for (const log of this.#state.logs.values()) {
      const record = findHostRecord(this.#state, log.host);
      if (record === undefined) continue;
      const alive = isAlive(this.#state, log, now);
      const { incarnation } = log;
      const revision = readRevision(log);
      views.push({ record, incarnation, alive, revision });
    }
    return views;
  }

  /** Tells other hosts which revision is in force here. */
  publishRevision(revision: Revision): void {
    this.#dispatch({ type: "revision_changed", now: this.#now(), revision });
  }

  /** Newest process of a host that gossip told of. */
  newestIncarnation(host: HostId): Incarnation | undefined {
    return this.#state.logs.get(host)?.incarnation;
  }

  /** Hosts that are alive, this one included. */
  listLiveHosts(): readonly HostRecord[] {
    const now = this.#now();
    const records: HostRecord[] = [];
    for (const log of this.#state.logs.values()) {
      const record = findHostRecord(this.#state, log.host);
      if (record !== undefined && isAlive(this.#state, log, now)) {
        records.push(record);
      }
    }
    return records;
  }

  #now(): number {
    return this.#clock.monotonicMilliseconds();
  }

  #registerHandlers(): void {
    const { transport: link } = this.#options;
    link.onMessage("gossip", (from, body) => {
      const message = decodeGossipMessage(body as WireGossipMessage);
      this.#dispatch({ type: "received", now: this.#now(), from, message });
    });
    link.onRequest("renew", (_from, body) => {
      const { record, load } = body as {
        record: ServerRecord;
        load?: ServerLoad;
      };
      const now = this.#now();
      this.#dispatch({ type: "announced", now, record, load, forwarded: true });
      return true;
    });
    link.onMessage("cache", (_from, body) => {
      this.#options.listener.cacheChanged?.(body as CacheChange);
    });
    link.onRequest("demand", (from, body) => {
      return this.#aggregate.report(from, body as DemandRow[], this.#now());
    });
  }

  #dispatch(event: MembershipEvent): void {
    for (const effect of this.#reducer.reduce(this.#state, event)) {
      this.#execute(effect);
    }
  }

  #execute(effect: MembershipEffect): void {
    const { transport: link, listener } = this.#options;
    switch (effect.type) {
      case "send":
        link.send(effect.to, "gossip", encodeGossipMessage(effect.message));
        break;
      case "forward":
        void this.#forward(effect);
        break;
      case "check":
        void this.#check(effect);
        break;
      case "server_seen":
        listener.serverUpdated?.(effect.record, effect);
        break;
      case "server_gone":
        listener.serverGone?.(effect.id, effect);
        break;
      case "host_seen":
        listener.hostUpdated?.(effect.record);
        break;
      case "host_gone":
        listener.hostGone?.(effect.host);
        break;
      case "marks_heard":
        listener.quarantineMarksReceived?.(effect.marks);
        break;
    }
  }

  async #forward(
    effect: Extract<MembershipEffect, { type: "forward" }>,
  ): Promise<void> {
    const { record, load } = effect;
    const signal = this.#limit(forwardTimeout);
    try {
      await this.#options.transport.request(effect.to, "renew", {
        record,
        load,
      }, {
        signal,
      });
    } catch {
      if (this.#options.signal.aborted) return;
      const now = this.#now();
      this.#dispatch({ type: "announced", now, record, load, takeOver: true });
    }
  }

  async #check(
    effect: Extract<MembershipEffect, { type: "check" }>,
  ): Promise<void> {
    const startedAt = this.#now();
    const signal = this.#limit(checkTimeout);
    try {
      const answer = await this.#options.checkServer(effect.address, {
        signal,
      });
      const { id } = effect;
      const now = this.#now();
      this.#dispatch({ type: "checked", now, id, startedAt, ...answer });
    } catch {
      // No answer is no evidence: the server stays unusable until it renews.
    }
  }

  async #reportDemand(): Promise<void> {
    const now = this.#now();
    this.#aggregate.expire(now);
    const byHost = this.#groupDemand();
    const total = new Map<DemandSubject, DemandRates>();
    const reports = [...byHost].map(async ([host, rows]) => {
      for (const row of await this.#sendDemand(host, rows)) {
        const [subject, first, second] = row;
        total.set(subject, [first, second]);
      }
    });
    await Promise.all(reports);
    if (this.#options.signal.aborted) return;
    this.#options.listener.totalDemandUpdated?.(total);
  }

  #groupDemand(): Map<HostId, DemandRow[]> {
    const hosts = this.listLiveHosts();
    const replicas = hosts.filter((record) => record.replica);
    const aggregators = (replicas.length > 0 ? replicas : hosts)
      .map((record) => record.host);
    const byHost = new Map<HostId, DemandRow[]>();
    for (const [subject, [first, second]] of this.#options.demand()) {
      const host = pickAggregator(subject, aggregators);
      if (host === undefined) continue;
      const rows = byHost.get(host) ?? [];
      rows.push([subject, first, second]);
      byHost.set(host, rows);
    }
    return byHost;
  }

  async #sendDemand(
    host: HostId,
    rows: readonly DemandRow[],
  ): Promise<readonly DemandRow[]> {
    const { self, transport: link } = this.#options;
    if (host === self.host) {
      return this.#aggregate.report(self.host, rows, this.#now());
    }
    try {
      const signal = this.#limit(demandInterval);
      return await link.request(host, "demand", rows, {
        signal,
      }) as DemandRow[];
    } catch {
      // Without the aggregator, assumes that all hosts see the same demand. This
      // keeps the sum of the hosts' parts at the limit when demand is even.
      const count = this.listLiveHosts().length;
      return rows.map(([subject, first, second]) =>
        [subject, first * count, second * count] as const
      );
    }
  }

  #limit(milliseconds: number): AbortSignal {
    return AbortSignal.any([
      this.#options.signal,
      AbortSignal.timeout(milliseconds),
    ]);
  }
}

function readRevision(log: HostLog): Revision | undefined {
  const value = log.entries.get("revision")?.value;
  return value?.type === "revision" ? value.revision : undefined;
}
