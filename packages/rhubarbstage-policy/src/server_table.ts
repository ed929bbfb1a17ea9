/**
 * Known servers, own outstanding work on them, and the pools they form.
 *
 * @module
 */

import { PromptCacheEstimate } from "./cache_belief.ts";
import { EngineQueue } from "./engine_queue.ts";
import { EngineStreams } from "./engine_streams.ts";
import type { BackendServerId, Region, SeededRandom } from "rhubarbstage";
import { SampledSet } from "./sampled_set.ts";
import type { BackendServer, Work } from "./types.ts";

/** Time over which own outstanding work is averaged for late load reports. */
const ownMemory = 2_000;

/** One known server. */
export interface ServerEntry {
  server: BackendServer;
  /** Attempts of this host on the server. */
  localAttempts: number;
  /** Own attempts of long work. */
  localLongAttempts: number;
  /** Own attempts of work under suspicion of crashing servers. */
  localSuspectAttempts: number;
  /** Expected time of own prompts that have no first token yet. */
  pendingPrefillTime: number;
  /** Prompt work of all hosts that the engine has not done. */
  readonly queue: EngineQueue;
  /** Streams of all hosts, where hosts tell each other of them. */
  readonly streams: EngineStreams;
  /** Prompts that the engine probably has cached, if its memory is known. */
  cache: PromptCacheEstimate | undefined;
  /** Requests of all hosts in the last load report, if there was one. */
  reportedRequests: number | undefined;
  /** Own attempts that the report counts, as far as its lag is known. */
  localAttemptsAtReport: number;
  /** Own attempts over the recent past. */
  averageLocalAttempts: number;
  averageAt: number;
  /** Whether the connection was lost since the server was last seen. */
  connectionLost: boolean;
  readonly pools: Pool[];
}

type OpenServers = Map<Region, SampledSet<ServerEntry>>;

/** Servers that serve one model or one plain service. */
export interface Pool {
  readonly name: string;
  readonly members: Map<BackendServerId, ServerEntry>;
  /** Members with room that generate answers. */
  readonly openGeneratingServers: OpenServers;
  /** Members with room that only compute prompts. */
  readonly openPrefillServers: OpenServers;
  /** Members that only this host uses for long and suspected work. */
  readonly owned: SampledSet<ServerEntry>;
  ownedValid: boolean;
  capacity: number;
  /** Attempts of this host in the pool. */
  localAttempts: number;
}

/** Name of the pool that a request needs. */
export function poolNameOf(work: Work): string {
  return work.model === undefined
    ? `service ${work.service}`
    : `model ${work.model}`;
}

function targetsOf(server: BackendServer): string[] {
  return [
    ...server.models.map((model) => `model ${model}`),
    ...server.services.map((service) => `service ${service}`),
  ];
}

/** Whether new work may go to the server at all. */
export function acceptsNewWork(entry: ServerEntry): boolean {
  return entry.server.acceptsNewWork && !entry.connectionLost;
}

/** Options of a {@linkcode ServerTable}. */
export interface ServerTableOptions {
  /** Slots that hosts together may use, over the capacity. */
  readonly oversubscriptionFactor: number;
  /** Servers drawn for one decision. */
  readonly sampled: number;
  /** Whether servers tell their load with each answer. */
  readonly freshReports: boolean;
}

/** All servers and pools that a host knows. */
export class ServerTable {
  readonly servers = new Map<BackendServerId, ServerEntry>();
  readonly pools = new Map<string, Pool>();
  /** Servers that are gone while own attempts on them have not ended. */
  #departed = new Map<BackendServerId, ServerEntry>();
  #hosts = 1;
  #position = 0;
  /** Slots that hosts together may use, over the capacity. */
  #slack: number;
  #sampled: number;
  #freshReports: boolean;

  constructor(options: ServerTableOptions) {
    this.#slack = options.oversubscriptionFactor;
    this.#sampled = options.sampled;
    this.#freshReports = options.freshReports;
  }

  /** Takes changed settings. */
  configure(options: ServerTableOptions): void {
    this.#slack = options.oversubscriptionFactor;
    this.#sampled = options.sampled;
    this.#freshReports = options.freshReports;
    for (const entry of this.servers.values()) this.refresh(entry);
  }

  /** Sets how many hosts share the servers and which of them this one is. */
  setHosts(hosts: number, position: number): void {
    if (hosts === this.#hosts && position === this.#position) return;
    this.#hosts = hosts;
    this.#position = position;
    for (const pool of this.pools.values()) pool.ownedValid = false;
    for (const entry of this.servers.values()) this.refresh(entry);
  }

  /** Takes a server's record; false if the record is of an older process. */
  upsert(server: BackendServer, now: number): boolean {
    const known = this.servers.get(server.id);
    if (known === undefined) {
      this.#add(server, now);
      return true;
    }
    if (server.incarnation < known.server.incarnation) return false;
    const before = known.server;
    known.connectionLost = false;
    this.#close(known);
    known.server = server;
    const isRestarted = server.incarnation > before.incarnation;
    if (isRestarted) {
      known.queue.clear();
      known.streams.clear();
    }
    if (isRestarted || known.cache === undefined) {
      known.cache = beliefOf(server);
    }
    if (!sameTargets(before, server)) this.#join(known);
    else this.#changeCapacity(known, server.capacity - before.capacity);
    this.#takeLoad(known, now);
    this.refresh(known);
    return true;
  }

  remove(id: BackendServerId): ServerEntry | undefined {
    const entry = this.servers.get(id);
    if (entry === undefined) return undefined;
    this.#close(entry);
    this.#leave(entry);
    this.servers.delete(id);
    entry.server = { ...entry.server, acceptsNewWork: false };
    if (entry.localAttempts > 0) this.#departed.set(id, entry);
    return entry;
  }

  /** Stops new work until the server is seen again. */
  markLost(entry: ServerEntry): void {
    entry.connectionLost = true;
    this.refresh(entry);
  }

  /** Counts an attempt that starts (1) or ends (-1). */
  adjustAttempts(entry: ServerEntry, change: number, now: number): void {
    updateAverage(entry, now);
    entry.localAttempts += change;
    if (entry.localAttempts === 0) this.#departed.delete(entry.server.id);
    this.refresh(entry);
  }

  /**
   * Estimated requests of all hosts on the server. Other hosts read the same
   * report and react to it like this one, so own changes since the report count
   * once for each host that probably considers the server.
   */
  estimatedRequests(entry: ServerEntry): number {
    if (entry.reportedRequests === undefined) return entry.localAttempts;
    const change = entry.localAttempts - entry.localAttemptsAtReport;
    const estimate = entry.reportedRequests + change * this.#likeMinded(entry);
    return Math.max(entry.localAttempts, estimate);
  }

  /** Hosts that probably consider the server when this one does. */
  #likeMinded(entry: ServerEntry): number {
    if (this.#freshReports) return 1;
    const size = entry.pools[0]?.members.size ?? 1;
    const part = Math.min(1, this.#sampled / Math.max(1, size));
    return Math.max(1, this.#hosts * part);
  }

  /** Slots that the server has left for this host. */
  freeSlots(entry: ServerEntry): number {
    const { capacity } = entry.server;
    if (this.#hosts === 1) return capacity - entry.localAttempts;
    // Late reports leave slots idle unless a few more requests than slots may
    // be sent; and a host may always use its even part of a server.
    // Engines queue by priority; plain services may refuse what is too much.
    const engine = entry.server.models.length > 0;
    const mayQueue = engine || this.#freshReports;
    const slots = Math.ceil(capacity * (mayQueue ? this.#slack : 1));
    const left = Math.floor(slots - this.estimatedRequests(entry));
    const evenLeft = Math.ceil(capacity / this.#hosts) - entry.localAttempts;
    return Math.max(left, evenLeft);
  }

  /** Members that only this host uses for long and suspected work. */
  ownedMembers(pool: Pool): SampledSet<ServerEntry> {
    if (!pool.ownedValid) this.#divideMembers(pool);
    return pool.owned;
  }

  /** Puts the server in or takes it out of the sets of open servers. */
  refresh(entry: ServerEntry): void {
    const open = acceptsNewWork(entry) && this.freeSlots(entry) > 0;
    if (!open) {
      this.#close(entry);
      return;
    }
    for (const pool of entry.pools) {
      const sets = entry.server.role === "prefill"
        ? pool.openPrefillServers
        : pool.openGeneratingServers;
      const { region } = entry.server;
      let set = sets.get(region);
      if (set === undefined) {
        set = new SampledSet();
        sets.set(region, set);
      }
      set.add(entry);
    }
  }

  /** Some open servers of each region. */
  sampleOpen(
    sets: OpenServers,
    count: number,
    random: SeededRandom,
  ): ServerEntry[] {
    const sampled: ServerEntry[] = [];
    for (const set of sets.values()) sampled.push(...set.sample(count, random));
    return sampled;
  }

  #add(server: BackendServer, now: number): void {
    const entry = this.#departed.get(server.id) ?? newEntry(server, now);
    this.#departed.delete(server.id);
    entry.server = server;
    entry.connectionLost = false;
    this.servers.set(server.id, entry);
    this.#join(entry);
    this.#takeLoad(entry, now);
    this.refresh(entry);
  }

  #join(entry: ServerEntry): void {
    this.#leave(entry);
    for (const target of targetsOf(entry.server)) {
      const pool = this.#pool(target);
      pool.members.set(entry.server.id, entry);
      pool.ownedValid = false;
      pool.capacity += entry.server.capacity;
      entry.pools.push(pool);
    }
  }

  #leave(entry: ServerEntry): void {
    for (const pool of entry.pools) {
      pool.members.delete(entry.server.id);
      pool.ownedValid = false;
      pool.capacity = 0;
      for (const member of pool.members.values()) {
        pool.capacity += member.server.capacity;
      }
    }
    entry.pools.length = 0;
  }

  #changeCapacity(entry: ServerEntry, change: number): void {
    if (change === 0) return;
    for (const pool of entry.pools) pool.capacity += change;
  }

  #close(entry: ServerEntry): void {
    for (const pool of entry.pools) {
      pool.openPrefillServers.get(entry.server.region)?.delete(entry);
      pool.openGeneratingServers.get(entry.server.region)?.delete(entry);
    }
  }

  #takeLoad(entry: ServerEntry, now: number): void {
    const { load } = entry.server;
    if (load === undefined) return;
    updateAverage(entry, now);
    const reported = load.runningRequests + load.queuedRequests;
    entry.reportedRequests = reported;
    entry.localAttemptsAtReport = entry.averageLocalAttempts;
  }

  #pool(target: string): Pool {
    let pool = this.pools.get(target);
    if (pool === undefined) {
      pool = {
        name: target,
        members: new Map(),
        openGeneratingServers: new Map(),
        openPrefillServers: new Map(),
        owned: new SampledSet(),
        ownedValid: false,
        capacity: 0,
        localAttempts: 0,
      };
      this.pools.set(target, pool);
    }
    return pool;
  }

  /** Divides the members evenly over the hosts; all hosts divide alike. */
  #divideMembers(pool: Pool): void {
    const ids = [...pool.members.keys()].sort();
    pool.owned.clear();
    for (const [index, id] of ids.entries()) {
      const mine = ids.length >= this.#hosts
        ? index % this.#hosts === this.#position
        : this.#position % ids.length === index;
      if (mine) pool.owned.add(pool.members.get(id) as ServerEntry);
    }
    pool.ownedValid = true;
  }
}

function newEntry(server: BackendServer, now: number): ServerEntry {
  return {
    server,
    localAttempts: 0,
    localLongAttempts: 0,
    localSuspectAttempts: 0,
    pendingPrefillTime: 0,
    queue: new EngineQueue(),
    streams: new EngineStreams(),
    cache: beliefOf(server),
    reportedRequests: undefined,
    localAttemptsAtReport: 0,
    averageLocalAttempts: 0,
    averageAt: now,
    connectionLost: false,
    pools: [],
  };
}

function beliefOf(
  { cacheTokens }: BackendServer,
): PromptCacheEstimate | undefined {
  return cacheTokens === undefined
    ? undefined
    : new PromptCacheEstimate(cacheTokens);
}

function sameTargets(left: BackendServer, right: BackendServer): boolean {
  const targets = targetsOf(right);
  const before = targetsOf(left);
  return before.length === targets.length &&
    before.every((target, index) => target === targets[index]);
}

function updateAverage(entry: ServerEntry, now: number): void {
  const kept = Math.exp(Math.min(0, entry.averageAt - now) / ownMemory);
  entry.averageLocalAttempts = entry.localAttempts +
    (entry.averageLocalAttempts - entry.localAttempts) * kept;
  entry.averageAt = now;
}
