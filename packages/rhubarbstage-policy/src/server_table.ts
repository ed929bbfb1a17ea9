/**
 * Known servers, this host's outstanding work on them, and their pools.
 *
 * @module
 */

import { PromptCacheEstimate } from "./prompt_cache_estimate.ts";
import { EngineQueue } from "./engine_queue.ts";
import { RemainingWork } from "./remaining_work.ts";
import { ServerPace } from "./server_pace.ts";
import { EngineStreams } from "./engine_streams.ts";
import type { BackendServerId, Region, SeededRandom } from "rhubarbstage";
import { SampledSet } from "./sampled_set.ts";
import type { BackendServer, Work } from "./types.ts";

/**
 * Time constant in milliseconds, to match local attempts in a delayed load
 * report.
 */
const averagingTimeConstant = 2_000;

/** One known server. */
export interface ServerEntry {
  server: BackendServer;
  /** Attempts of this host on the server. */
  localAttempts: number;
  /** Local attempts of long work. */
  localLongAttempts: number;
  /** Local attempts of work under suspicion of crashing servers. */
  localSuspectAttempts: number;
  /** Expected milliseconds of local prompts that have no first token yet. */
  pendingPrefillTime: number;
  /** Outstanding prompts of all hosts. */
  readonly queue: EngineQueue;
  /** Streams of all hosts; empty unless hosts share engine state. */
  readonly streams: EngineStreams;
  /** Prompts probably cached, if the engine's KV cache capacity is known. */
  cache: PromptCacheEstimate | undefined;
  /** How long work takes on the server, apart from its load. */
  readonly pace: ServerPace;
  /** Requests of all hosts on a plain server. */
  readonly remaining: RemainingWork;
  /** Requests of all hosts in the last load report, if there was one. */
  reportedRequests: number | undefined;
  /** Estimate of the local attempts that the report includes. */
  localAttemptsAtReport: number;
  /** Exponential average of the local attempts. */
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
  /** Members with free slots that generate answers. */
  readonly openGeneratingServers: OpenServers;
  /** Members with free slots that only compute prompts. */
  readonly openPrefillServers: OpenServers;
  /**
   * Members for this host's long and suspect work and work beyond capacity;
   * shared if fewer than hosts.
   */
  readonly owned: SampledSet<ServerEntry>;
  ownedValid: boolean;
  capacity: number;
  /** Attempts of this host in the pool. */
  localAttempts: number;
}

/** Name of the pool that serves a request. */
export function poolNameOf(work: Work): string {
  return work.model === undefined
    ? `service ${work.service}`
    : `model ${work.model}`;
}

function poolNamesOf(server: BackendServer): string[] {
  return [
    ...server.models.map((model) => `model ${model}`),
    ...server.services.map((service) => `service ${service}`),
  ];
}

/** Whether the server is connected and neither leaving nor drained. */
export function isAvailable(entry: ServerEntry): boolean {
  return entry.server.acceptsNewWork && !entry.connectionLost;
}

/** Options of a {@linkcode ServerTable}. */
export interface ServerTableOptions {
  /** Slots that hosts together may use, as a multiple of the capacity. */
  readonly oversubscriptionFactor: number;
  /** Servers sampled for one decision. */
  readonly sampled: number;
  /**
   * Whether one host of each region places engine work: then contention is not
   * assumed and plain services may be oversubscribed.
   */
  readonly shareEngineState: boolean;
}

/** Servers and pools known to this host. */
export class ServerTable {
  readonly servers = new Map<BackendServerId, ServerEntry>();
  readonly pools = new Map<string, Pool>();
  /** Removed servers on which local attempts are still running. */
  #departed = new Map<BackendServerId, ServerEntry>();
  #hosts = 1;
  #position = 0;
  #oversubscriptionFactor: number;
  #serversSampled: number;
  #shareEngineState: boolean;

  constructor(options: ServerTableOptions) {
    this.#oversubscriptionFactor = options.oversubscriptionFactor;
    this.#serversSampled = options.sampled;
    this.#shareEngineState = options.shareEngineState;
  }

  /** Applies changed settings. */
  configure(options: ServerTableOptions): void {
    this.#oversubscriptionFactor = options.oversubscriptionFactor;
    this.#serversSampled = options.sampled;
    this.#shareEngineState = options.shareEngineState;
    for (const entry of this.servers.values()) this.updateOpenSets(entry);
  }

  /** Sets how many hosts share the servers and which of them this one is. */
  setHosts(hosts: number, position: number): void {
    if (hosts === this.#hosts && position === this.#position) return;
    this.#hosts = hosts;
    this.#position = position;
    for (const pool of this.pools.values()) pool.ownedValid = false;
    for (const entry of this.servers.values()) this.updateOpenSets(entry);
  }

  /** Stores a server's record; returns false if its incarnation is stale. */
  upsert(server: BackendServer, now: number): boolean {
    const known = this.servers.get(server.id);
    if (known === undefined) {
      this.#add(server, now);
      return true;
    }
    if (server.incarnation < known.server.incarnation) return false;
    const before = known.server;
    known.connectionLost = false;
    this.#removeFromOpenSets(known);
    known.server = server;
    const isRestarted = server.incarnation > before.incarnation;
    if (isRestarted) {
      known.queue.clear();
      known.streams.clear();
      known.pace.clear();
      known.remaining.clear();
    }
    if (isRestarted || known.cache === undefined) {
      known.cache = newCacheEstimate(server);
    }
    if (!servesSamePools(before, server)) this.#joinPools(known);
    else this.#changeCapacity(known, server.capacity - before.capacity);
    this.#applyLoadReport(known, now);
    this.updateOpenSets(known);
    return true;
  }

  remove(id: BackendServerId): ServerEntry | undefined {
    const entry = this.servers.get(id);
    if (entry === undefined) return undefined;
    this.#removeFromOpenSets(entry);
    this.#leavePools(entry);
    this.servers.delete(id);
    entry.server = { ...entry.server, acceptsNewWork: false };
    if (entry.localAttempts > 0) this.#departed.set(id, entry);
    return entry;
  }

  /** Marks the connection as lost and stops new work until the next record. */
  markConnectionLost(entry: ServerEntry): void {
    entry.connectionLost = true;
    this.updateOpenSets(entry);
  }

  /** Counts an attempt that starts (1) or ends (-1). */
  adjustAttempts(entry: ServerEntry, change: number, now: number): void {
    updateAverage(entry, now);
    entry.localAttempts += change;
    if (entry.localAttempts === 0) this.#departed.delete(entry.server.id);
    this.updateOpenSets(entry);
  }

  /**
   * Estimated requests of all hosts on the server. Other hosts react to the
   * same report like this one, so local changes since the report count once for
   * each host that probably considers the server.
   */
  estimatedRequests(entry: ServerEntry): number {
    if (entry.reportedRequests === undefined) return entry.localAttempts;
    const change = entry.localAttempts - entry.localAttemptsAtReport;
    const estimate = entry.reportedRequests +
      change * this.#hostsConsidering(entry);
    return Math.max(entry.localAttempts, estimate);
  }

  /** Expected number of hosts that consider the server for the same work. */
  #hostsConsidering(entry: ServerEntry): number {
    if (this.#shareEngineState) return 1;
    const size = entry.pools[0]?.members.size ?? 1;
    const sampledFraction = Math.min(
      1,
      this.#serversSampled / Math.max(1, size),
    );
    return Math.max(1, this.#hosts * sampledFraction);
  }

  /** Slots of the server that this host may still use. */
  freeSlots(entry: ServerEntry): number {
    const { capacity } = entry.server;
    if (this.#hosts === 1) return capacity - entry.localAttempts;
    // Delayed reports leave slots idle unless hosts oversubscribe a little; a
    // host may always use its even share of a server. Engines queue the excess
    // by priority; plain services may refuse it.
    const engine = entry.server.models.length > 0;
    const mayOversubscribe = engine || this.#shareEngineState;
    const slots = Math.ceil(
      capacity * (mayOversubscribe ? this.#oversubscriptionFactor : 1),
    );
    const freeSlots = Math.floor(slots - this.estimatedRequests(entry));
    const evenShareLeft = Math.ceil(capacity / this.#hosts) -
      entry.localAttempts;
    return Math.max(freeSlots, evenShareLeft);
  }

  /** Members assigned to this host; recomputed after members or hosts change. */
  ownedMembers(pool: Pool): SampledSet<ServerEntry> {
    if (!pool.ownedValid) this.#divideMembers(pool);
    return pool.owned;
  }

  /** Adds the server to the sets of open servers or removes it from them. */
  updateOpenSets(entry: ServerEntry): void {
    const open = isAvailable(entry) && this.freeSlots(entry) > 0;
    if (!open) {
      this.#removeFromOpenSets(entry);
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

  /** Samples up to `count` open servers of each region. */
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
    this.#joinPools(entry);
    this.#applyLoadReport(entry, now);
    this.updateOpenSets(entry);
  }

  #joinPools(entry: ServerEntry): void {
    this.#leavePools(entry);
    for (const poolName of poolNamesOf(entry.server)) {
      const pool = this.#pool(poolName);
      pool.members.set(entry.server.id, entry);
      pool.ownedValid = false;
      pool.capacity += entry.server.capacity;
      entry.pools.push(pool);
    }
  }

  #leavePools(entry: ServerEntry): void {
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

  #removeFromOpenSets(entry: ServerEntry): void {
    for (const pool of entry.pools) {
      pool.openPrefillServers.get(entry.server.region)?.delete(entry);
      pool.openGeneratingServers.get(entry.server.region)?.delete(entry);
    }
  }

  #applyLoadReport(entry: ServerEntry, now: number): void {
    const { load } = entry.server;
    if (load === undefined) return;
    updateAverage(entry, now);
    const reported = load.runningRequests + load.queuedRequests;
    entry.reportedRequests = reported;
    entry.localAttemptsAtReport = entry.averageLocalAttempts;
  }

  #pool(poolName: string): Pool {
    let pool = this.pools.get(poolName);
    if (pool === undefined) {
      pool = {
        name: poolName,
        members: new Map(),
        openGeneratingServers: new Map(),
        openPrefillServers: new Map(),
        owned: new SampledSet(),
        ownedValid: false,
        capacity: 0,
        localAttempts: 0,
      };
      this.pools.set(poolName, pool);
    }
    return pool;
  }

  /** Divides the members evenly; all hosts compute the same division. */
  #divideMembers(pool: Pool): void {
    const ids = [...pool.members.keys()].sort();
    pool.owned.clear();
    for (const [index, id] of ids.entries()) {
      const isOwned = ids.length >= this.#hosts
        ? index % this.#hosts === this.#position
        : this.#position % ids.length === index;
      if (isOwned) pool.owned.add(pool.members.get(id) as ServerEntry);
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
    pace: new ServerPace(),
    remaining: new RemainingWork(),
    cache: newCacheEstimate(server),
    reportedRequests: undefined,
    localAttemptsAtReport: 0,
    averageLocalAttempts: 0,
    averageAt: now,
    connectionLost: false,
    pools: [],
  };
}

function newCacheEstimate(
  { cacheTokens }: BackendServer,
): PromptCacheEstimate | undefined {
  return cacheTokens === undefined
    ? undefined
    : new PromptCacheEstimate(cacheTokens);
}

function servesSamePools(
  previous: BackendServer,
  next: BackendServer,
): boolean {
  const poolNames = poolNamesOf(next);
  const previousPoolNames = poolNamesOf(previous);
  return previousPoolNames.length === poolNames.length &&
    previousPoolNames.every((poolName, index) => poolName === poolNames[index]);
}

function updateAverage(entry: ServerEntry, now: number): void {
  const decay = Math.exp(
    Math.min(0, entry.averageAt - now) / averagingTimeConstant,
  );
  entry.averageLocalAttempts = entry.localAttempts +
    (entry.averageLocalAttempts - entry.localAttempts) * decay;
  entry.averageAt = now;
}
