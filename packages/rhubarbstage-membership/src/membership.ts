/**
 * Membership runtime: timers, links and listeners around the reducer.
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
import type { MembershipTransport } from "./membership_transport.ts";
import { MembershipReducer } from "./membership_reducer.ts";
import { checkServerRecord, isServerLoad } from "./record_checks.ts";
import {
  findHostRecord,
  type HostLog,
  isAlive,
  type MembershipState,
  newestEvidenceAt,
} from "./state.ts";
import { decodeGossipMessage, encodeGossipMessage } from "./wire.ts";
import type {
  HostRecord,
  MembershipEffect,
  MembershipEvent,
  ServerLoad,
  ServerRecord,
  SharedPartMark,
  SharedQuarantineMark,
  SharedRequestLimit,
} from "./types.ts";

/** Timeout of a forwarded renewal, in milliseconds. */
const forwardTimeout = 1_000;
/** Timeout of a direct check, in milliseconds. */
const checkTimeout = 1_000;
/** Time between two demand reports, in milliseconds. */
const demandInterval = 1_000;

/** Answer of a backend server to a direct check. */
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

/** Callbacks for membership, load, cache and demand changes. */
export interface MembershipListener {
  serverUpdated?(
    record: ServerRecord,
    options: { load?: ServerLoad; usable: boolean },
  ): void;
  serverGone?(id: BackendServerId, options: { crashed: boolean }): void;
  hostUpdated?(record: HostRecord): void;
  hostGone?(host: HostId): void;
  quarantineMarksReceived?(marks: readonly SharedQuarantineMark[]): void;
  requestLimitsReceived?(limits: readonly SharedRequestLimit[]): void;
  partMarksReceived?(marks: readonly SharedPartMark[]): void;
  cacheChanged?(change: CacheChange): void;
  /** Called with all hosts' demand for this host's subjects. */
  totalDemandUpdated?(total: ReadonlyMap<DemandSubject, DemandRates>): void;
}

/** This host's view of a backend server. */
export interface ServerView {
  readonly record: ServerRecord;
  readonly load?: ServerLoad;
  /** Whether it is not leaving and has recent enough evidence. */
  readonly usable: boolean;
  /** Host that owns its record. */
  readonly owner: HostId;
  /** Age of the newest evidence, in milliseconds. */
  readonly evidenceAge: number;
}

/** This host's view of another host or itself. */
export interface HostView {
  readonly record: HostRecord;
  readonly incarnation: Incarnation;
  readonly alive: boolean;
  /** Revision in force there, according to gossip. */
  readonly revision?: Revision;
}

/** Options of a {@linkcode Membership}. */
export interface MembershipOptions {
  readonly self: HostRecord;
  readonly incarnation: Incarnation;
  readonly seeds: readonly HostRecord[];
  readonly transport: MembershipTransport;
  readonly listener: MembershipListener;
  /** Queries a backend server directly. Throws when it cannot be reached. */
  readonly checkServer: (
    address: string,
    options: { signal: AbortSignal },
  ) => Promise<ServerCheckAnswer>;
  /** Returns the demand on this host in the last interval. */
  readonly demand: () => ReadonlyMap<DemandSubject, DemandRates>;
  /** Maximum evidence age for new work; defaults to 5,000 ms. */
  readonly maxEvidenceAge?: number;
  /** Evidence age that triggers a direct check; defaults to 3,500 ms. */
  readonly recheckAge?: number;
  /** Stops all timers when aborted. */
  readonly signal: AbortSignal;
  readonly clock?: Clock;
}

/** Runs membership on one host. */
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

  /** Starts gossip and demand reports, which stop when the signal is aborted. */
  start(): void {
    const { signal } = this.#options;
    const tick = () => this.#dispatch({ type: "tick", now: this.#now() });
    every(gossipInterval, tick, { signal });
    every(demandInterval, () => void this.#reportDemand(), { signal });
    tick();
  }

  /**
   * Handles an announcement or renewal and returns the host that should receive
   * the next ones. Throws `invalid_request` if no server can have the record.
   */
  handleAnnouncement(record: ServerRecord, load?: ServerLoad): HostRecord {
    const announced = { ...record, takeover: 0 };
    checkServerRecord(announced);
    const now = this.#now();
    this.#dispatch({ type: "announced", now, record: announced, load });
    const owner = this.#state.servers.get(record.id)?.owner;
    if (owner === undefined) return this.#options.self;
    return findHostRecord(this.#state, owner) ?? this.#options.self;
  }

  /** Handles a server's notice that it leaves. */
  handleDeparture(id: BackendServerId, incarnation: Incarnation): void {
    this.#dispatch({ type: "left", now: this.#now(), id, incarnation });
  }

  /** Handles cache events of an engine and forwards them to the neighbours. */
  handleCacheChange(change: CacheChange): void {
    this.#options.listener.cacheChanged?.(change);
    for (const host of this.#state.neighbours) {
      this.#options.transport.send(host, "cache", change);
    }
  }

  /** Starts a gossip exchange with a host whose link has come up. */
  handleLinkUp(host: HostId): void {
    this.#dispatch({ type: "linked", now: this.#now(), host });
  }

  /** Publishes quarantine marks to all hosts through gossip. */
  publishQuarantineMarks(marks: readonly SharedQuarantineMark[]): void {
    this.#dispatch({ type: "marks_published", now: this.#now(), marks });
  }

  /** Publishes servers' request limits to all hosts through gossip. */
  publishRequestLimits(limits: readonly SharedRequestLimit[]): void {
    const now = this.#now();
    this.#dispatch({ type: "request_limits_published", now, limits });
  }

  /** Publishes evidence about prompt parts to all hosts through gossip. */
  publishPartMarks(marks: readonly SharedPartMark[]): void {
    this.#dispatch({ type: "part_marks_published", now: this.#now(), marks });
  }

  /** Lists all known servers, for operators. */
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

  /** Lists all hosts known through gossip, for operators. */
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

  /** Publishes the revision in force on this host. */
  publishRevision(revision: Revision): void {
    this.#dispatch({ type: "revision_changed", now: this.#now(), revision });
  }

  /** Returns the newest incarnation of a host known through gossip. */
  newestIncarnation(host: HostId): Incarnation | undefined {
    return this.#state.logs.get(host)?.incarnation;
  }

  /** Lists the live hosts, including this one. */
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
    const { transport } = this.#options;
    transport.onMessage("gossip", (from, body) => {
      const message = decodeGossipMessage(body);
      this.#dispatch({ type: "received", now: this.#now(), from, message });
    });
    transport.onRequest("renew", (_from, body) => {
      const { record, load } = body as { record: unknown; load?: unknown };
      checkServerRecord(record);
      this.#dispatch({
        type: "announced",
        now: this.#now(),
        record,
        ...(isServerLoad(load) ? { load } : {}),
        forwarded: true,
      });
      return true;
    });
    transport.onMessage("cache", (_from, body) => {
      this.#options.listener.cacheChanged?.(body as CacheChange);
    });
    transport.onRequest("demand", (from, body) => {
      return this.#aggregate.report(from, body as DemandRow[], this.#now());
    });
  }

  #dispatch(event: MembershipEvent): void {
    for (const effect of this.#reducer.reduce(this.#state, event)) {
      this.#execute(effect);
    }
  }

  #execute(effect: MembershipEffect): void {
    const { transport, listener } = this.#options;
    switch (effect.type) {
      case "send":
        transport.send(
          effect.to,
          "gossip",
          encodeGossipMessage(effect.message),
        );
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
      case "request_limits_heard":
        listener.requestLimitsReceived?.(effect.limits);
        break;
      case "part_marks_heard":
        listener.partMarksReceived?.(effect.marks);
        break;
    }
  }

  async #forward(
    effect: Extract<MembershipEffect, { type: "forward" }>,
  ): Promise<void> {
    const { record, load } = effect;
    const signal = this.#createDeadline(forwardTimeout);
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
    const signal = this.#createDeadline(checkTimeout);
    try {
      const answer = await this.#options.checkServer(effect.address, {
        signal,
      });
      const { id } = effect;
      const now = this.#now();
      this.#dispatch({ type: "checked", now, id, startedAt, ...answer });
    } catch {
      // A failed check adds no evidence; the server becomes unusable once its
      // evidence is too old.
    }
  }

  async #reportDemand(): Promise<void> {
    const now = this.#now();
    this.#aggregate.expire(now);
    const byHost = this.#groupDemandByAggregator();
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

  #groupDemandByAggregator(): Map<HostId, DemandRow[]> {
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
    const { self, transport } = this.#options;
    if (host === self.host) {
      return this.#aggregate.report(self.host, rows, this.#now());
    }
    try {
      const signal = this.#createDeadline(demandInterval);
      return await transport.request(host, "demand", rows, {
        signal,
      }) as DemandRow[];
    } catch {
      // Without the aggregator, assumes equal demand on all hosts. The sum of the
      // hosts' shares then stays at the limit when demand is even.
      const count = this.listLiveHosts().length;
      return rows.map(([subject, first, second]) =>
        [subject, first * count, second * count] as const
      );
    }
  }

  #createDeadline(milliseconds: number): AbortSignal {
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
