/**
 * Choice of a server for one request.
 *
 * @module
 */

import type {
  AvailabilityZone,
  BackendServerId,
  Region,
  SeededRandom,
} from "rhubarbstage";
import { expectCompletion, openPlainServers } from "./completion_time.ts";
import { promptOverhead, tokensPerBlock } from "./constants.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import { kvTransferPays, kvTransferTime } from "./kv_transfer.ts";
import type { PrefixMap } from "./prefix_map.ts";
import type { RequestCosts } from "./request_cost.ts";
import {
  isAvailable,
  type Pool,
  type ServerEntry,
  type ServerTable,
} from "./server_table.ts";
import type { RequestLimits } from "./request_limits.ts";
import type { ServerNotices } from "./server_notices.ts";
import type { SlowServerDetector } from "./slow_servers.ts";
import type { WorkEstimates } from "./work_estimates.ts";
import type { AnswerOrigin, BackendServer, EngineWork, Work } from "./types.ts";

/** Read-only view of the policy state that routing decides on. */
export interface RoutingView {
  readonly table: ServerTable;
  readonly pool: Pool;
  readonly estimates: WorkEstimates;
  readonly slowServers: SlowServerDetector;
  readonly costs: RequestCosts;
  /** Whether servers are chosen by their remaining work. */
  readonly byRemainingWork: boolean;
  /** Running attempts of this host on each server, oldest first. */
  readonly attempts?: ReadonlyMap<
    BackendServerId,
    Iterable<{ readonly startedAt: number }>
  >;
  /** Availability zone of the caller's host, if distance within it counts. */
  readonly zone: AvailabilityZone | undefined;
  readonly prefixes: PrefixMap;
  readonly roundTrips: ReadonlyMap<Region, number>;
  readonly random: SeededRandom;
  readonly requestLimits: RequestLimits;
  readonly serverNotices: ServerNotices;
  readonly settings: FleetSettings;
  readonly region: Region;
  readonly now: number;
}

/** Constraints of a request on the choice of its server. */
export interface RoutingRequirements {
  readonly work: Work;
  /** Servers on which the request has failed or is running. */
  readonly excludedServers: ReadonlySet<BackendServerId>;
  /** Whether the estimated cost makes the request long. */
  readonly long: boolean;
  /**
   * Whether long work may use reserved slots and any member: it has waited past
   * the ageing delay, has priority or is below its floor, or is hedged or moved.
   */
  readonly mayUseReservedSlots: boolean;
  readonly suspect: boolean;
  /** Present if the answer has begun. */
  readonly answerOrigin?: AnswerOrigin;
}

/** Chosen servers of an attempt, and the forecast behind them. */
export interface Route {
  readonly entry: ServerEntry;
  /** Exports the KV cache: computes the prompt or has part cached. */
  readonly prefill?: ServerEntry;
  /** Tokens of the prompt that have to be computed. */
  readonly uncachedTokens: number;
  /** Expected time to the first token, in milliseconds. */
  readonly expectedFirstToken: number;
  /** Rank in the queue of the engine that computes the prompt, 0 first. */
  readonly rank?: number;
  /** Expected wait for the prompts ahead on that engine, in milliseconds. */
  readonly wait?: number;
  /** Milliseconds for which a prompt token occupies an engine, if stated. */
  readonly computeTimePerToken?: number;
  /** Work already recorded by the host that placed the request. */
  readonly works?: readonly EngineWork[];
}

interface Candidate extends Route {
  readonly score: number;
}

/** Scores up to this factor above the best one count as equally good. */
const equalScoreFactor = 1.15;
/** Added to the limit, in milliseconds, so that tiny scores count as equal. */
const equalScoreMargin = 2;
/**
 * Difference of scores at which a server is chosen e times less often, as a part
 * of the usual run time. In trials with the recorded calls at a load of 2, 5.1%
 * of them were late with 0.12, 7.0% with 0.25 and 5.4% with 0.05.
 */
const choiceSpread = 0.12;
/** Factor that favours a probe, so that a recovered server is noticed. */
const probeFactor = 0.5;

/** Chooses a server with free slots, or returns undefined. */
export function chooseRoute(
  view: RoutingView,
  request: RoutingRequirements,
): Route | undefined {
  const cached = cachedTokensByServer(view, request.work);
  const entries = candidateEntries(view, request, cached)
    .filter((entry) => isEligible(view, request, entry));
  const responsive = entries.filter((entry) =>
    passesTrafficWeight(view, request, entry)
  );
  const usable = responsive.length > 0 ? responsive : entries;
  const candidates = usable.map((entry) =>
    scoreEntry(view, request, { entry, cached })
  );
  const chosen = view.byRemainingWork && request.work.model === undefined
    ? pickByCompletion(view, candidates)
    : pickAmongBest(view, candidates);
  if (chosen === undefined) return undefined;
  const prefill = choosePrefill(view, request, { route: chosen, cached });
  return prefill ?? chosen;
}

/** Whether a request may run on a server, regardless of its free slots. */
export function isEligible(
  view: RoutingView,
  request: Omit<RoutingRequirements, "work">,
  entry: ServerEntry,
): boolean {
  if (!isAvailable(entry)) return false;
  if (request.excludedServers.has(entry.server.id)) return false;
  if (!mayContinue(entry.server, request.answerOrigin)) return false;
  if (!view.serverNotices.allows(entry.server, view.now)) return false;
  if (!view.requestLimits.allows(entry.server, view.now)) return false;
  if (request.suspect && entry.localSuspectAttempts > 0) return false;
  if (!request.long) return true;
  const { capacity } = entry.server;
  const reserved = Math.floor(
    capacity * view.settings.reservedCapacityFraction,
  );
  const used = view.table.estimatedRequests(entry);
  const limit = request.mayUseReservedSlots ? Infinity : capacity - reserved;
  const fits = entry.localAttempts === 0 || used + 1 <= limit;
  return fits &&
    entry.localLongAttempts < view.settings.maxLongRequestsPerServer;
}

/** Whether a server may go on with an answer, or begin one. */
export function mayContinue(
  server: BackendServer,
  origin: AnswerOrigin | undefined,
): boolean {
  return origin === undefined ||
    server.softwareVersion === origin.softwareVersion;
}

function cachedTokensByServer(
  view: RoutingView,
  work: Work,
): ReadonlyMap<BackendServerId, number> {
  const cached = new Map<BackendServerId, number>();
  if (work.prefixHashes.length === 0) return cached;
  for (const prefixHolder of view.prefixes.find(work.prefixHashes, view.now)) {
    const tokens = Math.min(
      prefixHolder.blocks * tokensPerBlock,
      work.promptTokens,
    );
    cached.set(prefixHolder.server, tokens);
  }
  return cached;
}

function candidateEntries(
  view: RoutingView,
  request: RoutingRequirements,
  cached: ReadonlyMap<BackendServerId, number>,
): ServerEntry[] {
  const { table, pool, settings, random } = view;
  const usesOwnedMembers = request.suspect ||
    (request.long && !request.mayUseReservedSlots);
  if (usesOwnedMembers) {
    return table.ownedMembers(pool)
      .sample(settings.sampledServersPerRegion * 2, random)
      .filter((entry) => entry.server.role !== "prefill")
      .filter((entry) => isAvailable(entry) && table.freeSlots(entry) > 0);
  }
  if (view.byRemainingWork) {
    const open = openPlainServers(view, request.work);
    if (open !== undefined) return open;
  }
  const count = settings.sampledServersPerRegion;
  const entries = new Set(
    table.sampleOpen(pool.openGeneratingServers, count, random),
  );
  if (entries.size === 0) {
    // Without an open generating engine, prefill engines serve whole requests.
    for (
      const entry of table.sampleOpen(pool.openPrefillServers, count, random)
    ) {
      entries.add(entry);
    }
  }
  for (const id of cached.keys()) {
    const entry = pool.members.get(id);
    if (entry === undefined || entry.server.role === "prefill") continue;
    if (isAvailable(entry) && table.freeSlots(entry) > 0) entries.add(entry);
  }
  return [...entries];
}

/** Admits a slow server with the probability of its weight, or for a probe. */
function passesTrafficWeight(
  view: RoutingView,
  request: RoutingRequirements,
  entry: ServerEntry,
): boolean {
  const { id } = entry.server;
  const weight = view.slowServers.trafficWeight(id);
  if (weight >= 1) return true;
  if (isProbe(view, request, id)) return true;
  return view.random.next() < weight;
}

/** Whether to probe a slow server now, with work that can be hedged. */
function isProbe(
  view: RoutingView,
  request: RoutingRequirements,
  server: BackendServerId,
): boolean {
  if (!request.work.repeatable || request.long) return false;
  if (request.work.settings.priority > 0) return false;
  return view.slowServers.probeDue(server, view.now);
}

function roundTripTime(view: RoutingView, entry: ServerEntry): number {
  return view.roundTrips.get(entry.server.region) ?? 0;
}

function scoreEntry(
  view: RoutingView,
  request: RoutingRequirements,
  options: {
    readonly entry: ServerEntry;
    readonly cached: ReadonlyMap<BackendServerId, number>;
  },
): Candidate {
  const { entry, cached } = options;
  if (view.byRemainingWork && request.work.model === undefined) {
    return scoreByCompletion(view, request, entry);
  }
  const { estimates, settings, now } = view;
  const { id, capacity, region } = entry.server;
  const { work } = request;
  const uncachedTokens = work.promptTokens - (cached.get(id) ?? 0);
  const compute = work.model === undefined
    ? estimates.estimate(work, now).firstTokenTime
    : estimates.prefillTime(uncachedTokens + promptOverhead, now);
  const roundTrip = roundTripTime(view, entry);
  const penalty = region === view.region ? 0 : settings.crossRegionPenalty;
  const load = view.table.estimatedRequests(entry) / Math.max(1, capacity);
  const typicalRunTime = estimates.typicalRunTime(now);
  const queueing = entry.pendingPrefillTime + typicalRunTime * (load ** 2) / 2 +
    typicalRunTime * Math.max(0, load - 1);
  const probe = isProbe(view, request, id);
  // Latency counts only above the threshold; less is noise.
  const isSlow = view.slowServers.isSlow(id, now);
  const factor = probe
    ? probeFactor
    : isSlow
    ? view.slowServers.latencyFactor(id, now)
    : 1;
  return {
    entry,
    uncachedTokens,
    expectedFirstToken: compute + entry.pendingPrefillTime + roundTrip,
    score: (compute + queueing) * factor + roundTrip + penalty,
  };
}

/** Scores a plain call by its expected completion time. */
function scoreByCompletion(
  view: RoutingView,
  request: RoutingRequirements,
  entry: ServerEntry,
): Candidate {
  const { id } = entry.server;
  const { wait, run, distance } = expectCompletion(view, request.work, entry);
  // Slowness beyond the stated pace; a probe notices the server's recovery.
  const factor = isProbe(view, request, id)
    ? probeFactor
    : view.slowServers.isSlow(id, view.now)
    ? view.slowServers.latencyFactor(id, view.now)
    : 1;
  return {
    entry,
    uncachedTokens: 0,
    wait,
    expectedFirstToken: wait + run +
      (view.roundTrips.get(entry.server.region) ?? 0),
    score: (wait + run) * factor + distance,
  };
}

/**
 * Picks a server at random, more often the earlier the call would end there.
 * Many hosts choose by similar figures at the same time; if all took the best
 * server, it would be the worst one a moment later.
 */
function pickByCompletion(
  view: RoutingView,
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best = Infinity;
  for (const { score } of candidates) best = Math.min(best, score);
  const scale = view.costs.typical() * choiceSpread;
  const weights = candidates.map(({ score }) =>
    Math.exp((best - score) / scale)
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let rest = view.random.next() * total;
  return candidates.find((_candidate, index) =>
    (rest -= weights[index] ?? 0) < 0
  ) ?? candidates.at(-1);
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
  const nearBest = sorted.slice(0, view.settings.bestServers)
    .filter((candidate) => candidate.score <= limit);
  return view.random.pick(nearBest);
}

/** A route and the cached tokens of its prompt on each server. */
interface PrefillChoice {
  readonly route: Candidate;
  readonly cached: ReadonlyMap<BackendServerId, number>;
}

/**
 * Chooses another server for the prompt, a prefill engine or one that has it
 * cached, if the saved prefill time outweighs the KV cache transfer.
 */
function choosePrefill(
  view: RoutingView,
  request: RoutingRequirements,
  choice: PrefillChoice,
): Route | undefined {
  if (request.work.model === undefined) return undefined;
  let best: Route | undefined;
  for (const entry of prefillSources(view, choice)) {
    if (!isEligible(view, request, entry)) continue;
    const route = routeWithRemotePrefill(view, entry, {
      ...choice,
      work: request.work,
    });
    if (route === undefined) continue;
    if (best && best.expectedFirstToken <= route.expectedFirstToken) continue;
    best = route;
  }
  return best;
}

/** Open prefill engines and servers that have a part of the prompt cached. */
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

/** Route with the prompt computed on another server, if the transfer pays. */
function routeWithRemotePrefill(
  view: RoutingView,
  entry: ServerEntry,
  choice: PrefillChoice & { readonly work: Work },
): Route | undefined {
  const { route, cached, work } = choice;
  const { estimates, settings, now } = view;
  const localCachedTokens = cached.get(route.entry.server.id) ?? 0;
  const remoteCachedTokens = cached.get(entry.server.id) ?? 0;
  const isPrefillEngine = entry.server.role === "prefill";
  const movedTokens = isPrefillEngine
    ? work.promptTokens - localCachedTokens
    : remoteCachedTokens - localCachedTokens;
  if (movedTokens <= 0) return undefined;
  const uncachedTokens = isPrefillEngine
    ? work.promptTokens - Math.max(remoteCachedTokens, localCachedTokens)
    : route.uncachedTokens - movedTokens;
  const compute = estimates.prefillTime(uncachedTokens + promptOverhead, now);
  const wait = isPrefillEngine ? entry.pendingPrefillTime : 0;
  const sparedTime = isPrefillEngine
    ? decodeInterference(view, uncachedTokens)
    : 0;
  const savedTime = route.expectedFirstToken - compute - wait + sparedTime;
  const crossRegion = entry.server.region !== route.entry.server.region;
  if (!kvTransferPays(settings, movedTokens, { crossRegion, savedTime })) {
    return undefined;
  }
  const transfer = kvTransferTime(settings, movedTokens, { crossRegion });
  const roundTrip = roundTripTime(view, entry);
  const expectedFirstToken = compute + wait + transfer + roundTrip;
  return {
    entry: route.entry,
    prefill: entry,
    uncachedTokens,
    expectedFirstToken,
  };
}

/** Time for which a prompt would stall the streams of a decode engine. */
function decodeInterference(view: RoutingView, tokens: number): number {
  return view.estimates.prefillTime(tokens, view.now);
}
