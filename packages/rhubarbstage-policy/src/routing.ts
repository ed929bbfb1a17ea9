/**
 * Choice of a server for one request.
 *
 * @module
 */

import type { BackendServerId, Region, SeededRandom } from "rhubarbstage";
import { promptOverhead, tokensPerBlock } from "./constants.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import { kvTransferPays, kvTransferTime } from "./kv_transfer.ts";
import type { PrefixMap } from "./prefix_map.ts";
import {
  acceptsNewWork,
  type Pool,
  type ServerEntry,
  type ServerTable,
} from "./server_table.ts";
import type { SlowServerDetector } from "./slow_servers.ts";
import type { WorkEstimates } from "./work_estimates.ts";
import type { Work } from "./types.ts";

/** What routing reads; all of it belongs to the state of the policy. */
export interface RoutingView {
  readonly table: ServerTable;
  readonly pool: Pool;
  readonly estimates: WorkEstimates;
  readonly slowServers: SlowServerDetector;
  readonly prefixes: PrefixMap;
  readonly roundTrips: ReadonlyMap<Region, number>;
  readonly random: SeededRandom;
  readonly settings: FleetSettings;
  readonly region: Region;
  readonly now: number;
}

/** What a request demands of its server. */
export interface RoutingRequirements {
  readonly work: Work;
  /** Servers on which the request has failed or is running. */
  readonly avoided: ReadonlySet<BackendServerId>;
  /** Whether the request is long, and whether it has waited for too long. */
  readonly long: boolean;
  readonly aged: boolean;
  readonly suspect: boolean;
}

/** The chosen server. */
export interface Route {
  readonly entry: ServerEntry;
  /** Server that computes the prompt or has it in its cache. */
  readonly prefill?: ServerEntry;
  /** Tokens of the prompt that have to be computed. */
  readonly uncachedTokens: number;
  /** Expected time to the first token, in milliseconds. */
  readonly expectedFirstToken: number;
  /** Rank in the queue of the engine that computes the prompt, 0 first. */
  readonly rank?: number;
}

interface Candidate extends Route {
  readonly score: number;
}

/** Scores this close to the best one count as equally good. */
const equalScoreFactor = 1.15;
/** In milliseconds; keeps tiny scores from counting as different. */
const equalScoreMargin = 2;

/** Chooses a server with room, or none. */
export function chooseRoute(
  view: RoutingView,
  demand: RoutingRequirements,
): Route | undefined {
  const cached = cachedTokens(view, demand.work);
  const entries = candidateEntries(view, demand, cached)
    .filter((entry) => isEligible(view, demand, entry));
  const lively = entries.filter((entry) => passesSlowGate(view, demand, entry));
  const usable = lively.length > 0 ? lively : entries;
  const candidates = usable.map((entry) =>
    scoreEntry(view, demand, { entry, cached })
  );
  const chosen = pickAmongBest(view, candidates);
  if (chosen === undefined) return undefined;
  const prefill = choosePrefill(view, demand, { route: chosen, cached });
  return prefill ?? chosen;
}

/** Whether a request may run on a server, apart from the server's room. */
export function isEligible(
  view: RoutingView,
  demand: RoutingRequirements,
  entry: ServerEntry,
): boolean {
  if (!acceptsNewWork(entry)) return false;
  if (demand.avoided.has(entry.server.id)) return false;
  if (demand.suspect && entry.localSuspectAttempts > 0) return false;
  if (!demand.long) return true;
  const { capacity } = entry.server;
  const reserved = Math.floor(
    capacity * view.settings.reservedCapacityFraction,
  );
  const used = view.table.estimatedRequests(entry);
  const limit = demand.aged ? Infinity : capacity - reserved;
  const fits = entry.localAttempts === 0 || used + 1 <= limit;
  return fits &&
    entry.localLongAttempts < view.settings.maxLongRequestsPerServer;
}

function cachedTokens(
  view: RoutingView,
  work: Work,
): ReadonlyMap<BackendServerId, number> {
  const cached = new Map<BackendServerId, number>();
  if (work.prefixHashes.length === 0) return cached;
  for (const holder of view.prefixes.find(work.prefixHashes, view.now)) {
    const tokens = Math.min(holder.blocks * tokensPerBlock, work.promptTokens);
    cached.set(holder.server, tokens);
  }
  return cached;
}

function candidateEntries(
  view: RoutingView,
  demand: RoutingRequirements,
  cached: ReadonlyMap<BackendServerId, number>,
): ServerEntry[] {
  const { table, pool, settings, random } = view;
  const confined = demand.suspect || (demand.long && !demand.aged);
  if (confined) {
    return table.ownedMembers(pool)
      .sample(settings.sampledServersPerRegion * 2, random)
      .filter((entry) => entry.server.role !== "prefill")
      .filter((entry) => acceptsNewWork(entry) && table.freeSlots(entry) > 0);
  }
  const count = settings.sampledServersPerRegion;
  const entries = new Set(
    table.sampleOpen(pool.openGeneratingServers, count, random),
  );
  if (entries.size === 0) {
    // Without any generating engine, prefill engines serve on their own.
    for (
      const entry of table.sampleOpen(pool.openPrefillServers, count, random)
    ) {
      entries.add(entry);
    }
  }
  for (const id of cached.keys()) {
    const entry = pool.members.get(id);
    if (entry === undefined || entry.server.role === "prefill") continue;
    if (acceptsNewWork(entry) && table.freeSlots(entry) > 0) entries.add(entry);
  }
  return [...entries];
}

/** Lets a slowed server pass as often as its weight says, and as a probe. */
function passesSlowGate(
  view: RoutingView,
  demand: RoutingRequirements,
  entry: ServerEntry,
): boolean {
  const { id } = entry.server;
  const weight = view.slowServers.trafficWeight(id);
  if (weight >= 1) return true;
  if (isProbe(view, demand, id)) return true;
  return view.random.next() < weight;
}

/** Only short work that a hedge can rescue probes a slowed server. */
function isProbe(
  view: RoutingView,
  demand: RoutingRequirements,
  server: BackendServerId,
): boolean {
  if (!demand.work.repeatable || demand.long) return false;
  if (demand.work.settings.priority > 0) return false;
  return view.slowServers.probeDue(server, view.now);
}

function pathTime(view: RoutingView, entry: ServerEntry): number {
  return view.roundTrips.get(entry.server.region) ?? 0;
}

function scoreEntry(
  view: RoutingView,
  demand: RoutingRequirements,
  options: {
    readonly entry: ServerEntry;
    readonly cached: ReadonlyMap<BackendServerId, number>;
  },
): Candidate {
  const { entry, cached } = options;
  const { estimates, settings, now } = view;
  const { id, capacity, region } = entry.server;
  const { work } = demand;
  const uncachedTokens = work.promptTokens - (cached.get(id) ?? 0);
  const compute = work.model === undefined
    ? estimates.estimate(work, now).firstTokenTime
    : estimates.prefillTime(uncachedTokens + promptOverhead, now);
  const path = pathTime(view, entry);
  const penalty = region === view.region ? 0 : settings.crossRegionPenalty;
  const load = view.table.estimatedRequests(entry) / Math.max(1, capacity);
  const typical = estimates.typicalRunTime(now);
  const queueing = entry.pendingPrefillTime + typical * (load ** 2) / 2 +
    typical * Math.max(0, load - 1);
  // A probe must win, otherwise a recovered server would never be noticed.
  const probe = isProbe(view, demand, id);
  // Small differences between servers are noise.
  const slowed = view.slowServers.isSlow(id, now);
  const factor = probe
    ? 0.5
    : slowed
    ? view.slowServers.latencyFactor(id, now)
    : 1;
  return {
    entry,
    uncachedTokens,
    expectedFirstToken: compute + entry.pendingPrefillTime + path,
    score: (compute + queueing) * factor + path + penalty,
  };
}

function pickAmongBest(
  view: RoutingView,
  candidates: readonly Candidate[],
): Candidate | undefined {
  if (candidates.length === 0) return undefined;
  const sorted = [...candidates].sort((left, right) =>
    left.score - right.score
  );
  const [best] = sorted as [Candidate];
  const limit = best.score * equalScoreFactor + equalScoreMargin;
  const good = sorted.slice(0, view.settings.bestServers)
    .filter((candidate) => candidate.score <= limit);
  return view.random.pick(good);
}

/** A route and what is known of the prompt's cached parts. */
interface PrefillChoice {
  readonly route: Candidate;
  readonly cached: ReadonlyMap<BackendServerId, number>;
}

/**
 * Another server for the prompt: one that has it cached, or a prefill engine,
 * if the prefill time that this saves pays for moving the KV cache.
 */
function choosePrefill(
  view: RoutingView,
  demand: RoutingRequirements,
  choice: PrefillChoice,
): Route | undefined {
  if (demand.work.model === undefined) return undefined;
  let best: Route | undefined;
  for (const entry of prefillSources(view, choice)) {
    if (!isEligible(view, demand, entry)) continue;
    const route = routeThrough(view, entry, { ...choice, work: demand.work });
    if (route === undefined) continue;
    if (best && best.expectedFirstToken <= route.expectedFirstToken) continue;
    best = route;
  }
  return best;
}

/** Prefill engines with room and servers that hold a part of the prompt. */
function prefillSources(
  view: RoutingView,
  { route, cached }: PrefillChoice,
): ReadonlySet<ServerEntry> {
  const { table, pool, settings, random } = view;
  const count = settings.sampledServersPerRegion;
  const sources = new Set(
    table.sampleOpen(pool.openPrefillServers, count, random),
  );
  for (const id of cached.keys()) {
    const entry = pool.members.get(id);
    if (entry !== undefined) sources.add(entry);
  }
  sources.delete(route.entry);
  return sources;
}

/** The route with its prompt computed on another server, if that pays. */
function routeThrough(
  view: RoutingView,
  entry: ServerEntry,
  choice: PrefillChoice & { readonly work: Work },
): Route | undefined {
  const { route, cached, work } = choice;
  const { estimates, settings, now } = view;
  const own = cached.get(route.entry.server.id) ?? 0;
  const held = cached.get(entry.server.id) ?? 0;
  const prefills = entry.server.role === "prefill";
  const moved = prefills ? work.promptTokens - own : held - own;
  if (moved <= 0) return undefined;
  const uncachedTokens = prefills
    ? work.promptTokens - Math.max(held, own)
    : route.uncachedTokens - moved;
  const compute = estimates.prefillTime(uncachedTokens + promptOverhead, now);
  const wait = prefills ? entry.pendingPrefillTime : 0;
  const spared = prefills ? decodeInterference(view, uncachedTokens) : 0;
  const savedTime = route.expectedFirstToken - compute - wait + spared;
  const crossRegion = entry.server.region !== route.entry.server.region;
  if (!kvTransferPays(settings, moved, { crossRegion, savedTime })) {
    return undefined;
  }
  const transfer = kvTransferTime(settings, moved, { crossRegion });
  const path = pathTime(view, entry);
  const expectedFirstToken = compute + wait + transfer + path;
  return {
    entry: route.entry,
    prefill: entry,
    uncachedTokens,
    expectedFirstToken,
  };
}

/** Time that a prompt would take from the streams of a decode engine. */
function decodeInterference(view: RoutingView, tokens: number): number {
  return view.estimates.prefillTime(tokens, view.now);
}
