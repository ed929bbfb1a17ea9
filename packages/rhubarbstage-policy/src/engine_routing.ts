/**
 * Choice of the engines that compute a prompt and generate its answer, where
 * hosts share the engines. The host that places the work of a region tracks the
 * work of all hosts on each engine, so that a decision weighs the engine's
 * queue and cache, the transfer of KV cache and the cost of the network path.
 *
 * The cost of an engine is computed once for each decision. Pairs of engines
 * are scored only among the best few of each region, because all that depends
 * on a pair is whether the transfer crosses regions.
 *
 * @module
 */

import type { AvailabilityZone, BackendServerId, Region } from "rhubarbstage";
import { lastRank, lateRankOffset } from "./engine_queue.ts";
import type { EngineSpeed } from "./engine_speed.ts";
import { distanceCost } from "./completion_time.ts";
import { kvTransferTime } from "./kv_transfer.ts";
import { promptBlocks } from "./prompt_cache_estimate.ts";
import {
  isEligible,
  mayContinue,
  type Route,
  type RoutingView,
} from "./routing.ts";
import { usualPace } from "./server_pace.ts";
import type { ServerEntry } from "./server_table.ts";
import type { AnswerOrigin, PromptPart, Work } from "./types.ts";

/** Most engines of the own region scored for one decision, and of the others. */
const maxLocalEngines = 64;
const maxRemoteEngines = 24;
/** Engines of each role and region that are paired with each other. */
const pairedEnginesPerRegion = 3;
/**
 * Weight of a prompt's engine time relative to the request's latency: others
 * are delayed by as much.
 */
const occupancyWeight = 1;
/**
 * Weight of the delay of a stream whose engine computes another request's
 * prompt, relative to that request's own latency.
 */
const interferenceWeight = 1;
/** Part of an engine's prompt backlog by which a stream on it is delayed. */
const backlogWeight = 0.5;
/**
 * Growth of the time between tokens with each other stream on the engine, as a
 * part of that time: the growth of the decode step with the batch size on
 * current accelerators.
 */
const tokenDelayPerStream = 0.02;
/** Time between tokens before any observation, in milliseconds. */
const initialTokenInterval = 8;
/**
 * Part of an engine's KV cache that prompts of streams may fill; the rest is
 * reserved for generated tokens.
 */
const maxPromptKvCacheFraction = 0.85;
/**
 * Cost of a stream on an engine without free KV cache, in milliseconds: it
 * waits for another stream to end.
 */
const kvCacheShortageCost = 2_000;
/** Longest pause that callers accept if their route has no target, in ms. */
export const defaultTokenGapTarget = 300;
/**
 * Compute times of a prompt, as parts of the longest accepted pause, up to
 * which (`from`) callers never notice the pause of the streams on its engine,
 * and from which (`certain`) they always do. Decode steps alone cause pauses.
 */
const noticeablePause = { from: 0.27, certain: 0.83 } as const;
/** Scores up to this far above the best one count as equal, in ms. */
const equalScoreMargin = 8;
/** Largest margin as a part of the best score. */
const equalScoreFraction = 0.1;
/** Tolerance for forecast errors, as a factor on the first-token target. */
const latenessSlack = 1.1;

/** Request as seen by the choice of engines. Times in milliseconds. */
export interface EngineRequirements {
  readonly promptTokens: number;
  readonly promptParts: readonly PromptPart[];
  /** Expected output in tokens. */
  readonly outputTokens: number;
  /** Rank in engine queues, 0 first, while its target can still be met. */
  readonly rank: number;
  readonly arrivedAt: number;
  readonly firstTokenTarget: number;
  readonly tokenGapTarget: number;
  /** Servers on which the request has failed or is running. */
  readonly excludedServers: ReadonlySet<BackendServerId>;
  readonly suspect: boolean;
  /** Present if the answer has begun. */
  readonly answerOrigin?: AnswerOrigin;
  /** Zone of the host that asks; defaults to that of this host. */
  readonly zone?: AvailabilityZone;
  /** Whether engines get no more streams than they have slots. */
  readonly isStrict?: boolean;
  /** Longest queue at the request's rank, behind the running prompt. */
  readonly maxWait?: number;
}

/** Options of {@linkcode toEngineRequirements}. */
export interface EngineRequestOptions {
  readonly excludedServers: ReadonlySet<BackendServerId>;
  readonly outputTokens: number;
  readonly suspect: boolean;
  readonly answerOrigin?: AnswerOrigin;
}

/** Returns the requirements of a request on its engines. */
export function toEngineRequirements(
  work: Work,
  options: EngineRequestOptions,
): EngineRequirements {
  const { promptTokens, promptParts = [], rank = 0, arrivedAt } = work;
  return {
    promptTokens,
    promptParts,
    rank,
    arrivedAt,
    firstTokenTarget: work.settings.firstTokenTarget,
    tokenGapTarget: work.tokenGapTarget ?? defaultTokenGapTarget,
    ...options,
  };
}

interface RouteOption extends Route {
  readonly score: number;
}

/** An engine with the costs of a prompt on it, in milliseconds. */
interface EngineCost {
  readonly entry: ServerEntry;
  readonly uncachedTokens: number;
  readonly compute: number;
  /** Network path between this host and the engine. */
  readonly path: number;
  /** Wait for the prompts ahead, at the request's rank. */
  readonly wait: number;
  /** Wait at the rank of requests that miss their target. */
  readonly lateWait: number;
}

/** A generating engine with the costs of a stream on it, in milliseconds. */
interface StreamCost extends EngineCost {
  readonly stream: number;
  readonly backlog: number;
}

/** Chooses the engines for a request, or returns undefined. */
export function chooseEngines(
  view: RoutingView,
  request: EngineRequirements,
  speed: EngineSpeed,
): Route | undefined {
  const generating: StreamCost[] = [];
  const prefilling: EngineCost[] = [];
  const blocks = promptBlocks(request.promptParts);
  const requirements = serverRequirements(request);
  const tokenInterval = view.estimates.tokenInterval(initialTokenInterval);
  for (const entry of consideredMembers(view, request)) {
    if (!isEligible(view, requirements, entry)) continue;
    const cost = costOn(view, request, { entry, speed, blocks });
    if (entry.server.role === "prefill") {
      if (mayJoinQueue(view, request, cost)) prefilling.push(cost);
    } else if (!mayContinue(entry.server, request.answerOrigin)) continue;
    else if (hasFreeSlot(view, request, entry)) {
      generating.push(addStreamCost(view, request, { cost, tokenInterval }));
    }
  }
  const options = [
    ...directOptions(view, request, { generating, speed }),
    ...splitOptions(view, request, { generating, prefilling, speed }),
  ];
  return pickOption(view, options);
}

/** Returns the requirements on any server; engines have no long requests. */
function serverRequirements({ excludedServers, suspect }: EngineRequirements) {
  return {
    excludedServers,
    suspect,
    long: false,
    mayUseReservedSlots: false,
  };
}

function* consideredMembers(
  view: RoutingView,
  { isStrict }: EngineRequirements,
): Generator<ServerEntry> {
  const { members } = view.pool;
  if (members.size <= maxRemoteEngines) {
    yield* members.values();
    return;
  }
  const local: ServerEntry[] = [];
  const remote: ServerEntry[] = [];
  for (const entry of members.values()) {
    // A sample might miss the few engines with a free slot.
    if (isStrict === true && !mayServe(entry, view.now)) continue;
    (entry.server.region === view.region ? local : remote).push(entry);
  }
  yield* sampleRun(view, local, maxLocalEngines);
  yield* sampleRun(view, remote, maxRemoteEngines);
}

/** Returns `count` consecutive entries from a random start. */
function sampleRun(
  view: RoutingView,
  entries: readonly ServerEntry[],
  count: number,
): ServerEntry[] {
  if (entries.length <= count) return [...entries];
  const start = view.random.integer(entries.length);
  const run = entries.slice(start, start + count);
  return [...run, ...entries.slice(0, count - run.length)];
}

function costOn(
  view: RoutingView,
  request: EngineRequirements,
  engine: {
    readonly entry: ServerEntry;
    readonly speed: EngineSpeed;
    readonly blocks: readonly string[];
  },
): EngineCost {
  const { entry, speed, blocks } = engine;
  const { queue, server } = entry;
  const cached = entry.cache?.cachedTokensOf(blocks) ?? 0;
  const uncachedTokens = Math.max(0, request.promptTokens - cached);
  const compute = speed.promptTime(uncachedTokens, server.role) *
    slowdownFactor(view, entry);
  const lateRank = lateRankOf(request);
  const isPaced = view.byRemainingWork;
  const current = isPaced ? entry.pace.current(view.now) : usualPace;
  const wait = queue.waitTime(view.now, request.rank, current);
  const lateWait = queue.lateWaitTime(view.now, lateRank, current);
  const pacedWait = isPaced ? entry.pace.duration(wait, view.now) : wait;
  return {
    entry,
    uncachedTokens,
    compute: isPaced
      ? entry.pace.duration(wait + compute, view.now) - pacedWait
      : compute,
    path: isPaced
      ? distanceCost(view, server, request.zone)
      : pathCost(view, entry),
    wait: pacedWait,
    lateWait: isPaced ? entry.pace.duration(lateWait, view.now) : lateWait,
  };
}

function addStreamCost(
  view: RoutingView,
  request: EngineRequirements,
  engine: { readonly cost: EngineCost; readonly tokenInterval: number },
): StreamCost {
  const { cost, tokenInterval } = engine;
  const { entry } = cost;
  const generation = request.outputTokens * tokenInterval;
  const stream = entry.streams.count(view.now) * generation *
      tokenDelayPerStream + extraGenerationTime(view, entry, generation);
  return {
    ...cost,
    stream: stream + kvCacheShortage(view, request, entry),
    backlog: entry.queue.waitTime(view.now) * backlogWeight,
  };
}

/** Time that an engine's pace adds to the generation of an answer. */
function extraGenerationTime(
  view: RoutingView,
  { pace }: ServerEntry,
  generation: number,
): number {
  if (!view.byRemainingWork) return 0;
  return pace.duration(generation, view.now) - generation;
}

/**
 * Whether an engine may get another stream. Engines queue some more than they
 * run; the most urgent requests may queue when others may not. A stream whose
 * prompt is still computed elsewhere takes no slot yet.
 */
function hasFreeSlot(
  view: RoutingView,
  request: EngineRequirements,
  entry: ServerEntry,
): boolean {
  if (request.isStrict === true) return hasFreeStream(entry, view.now);
  const { oversubscriptionFactor, priorityOvercommit } = view.settings;
  const factor = oversubscriptionFactor +
    (request.rank === 0 ? priorityOvercommit : 0);
  const slots = Math.ceil(entry.server.capacity * factor);
  return entry.streams.running(view.now) + entry.queue.size < slots;
}

/** Whether an engine has fewer streams, dispatched or running, than slots. */
export function hasFreeStream(entry: ServerEntry, now: number): boolean {
  return entry.streams.count(now) < entry.server.capacity;
}

function mayJoinQueue(
  { now, byRemainingWork }: RoutingView,
  { maxWait }: EngineRequirements,
  { entry, wait }: EngineCost,
): boolean {
  if (maxWait === undefined) return true;
  const { queue, pace } = entry;
  const running = byRemainingWork
    ? pace.duration(queue.runningTime(now, pace.current(now)), now)
    : queue.runningTime(now);
  return wait - running <= maxWait;
}

function mayServe(entry: ServerEntry, now: number): boolean {
  return entry.server.role === "prefill" || hasFreeStream(entry, now);
}

/** Options in which the generating engine also computes the prompt. */
function* directOptions(
  view: RoutingView,
  request: EngineRequirements,
  engines: {
    readonly generating: readonly StreamCost[];
    readonly speed: EngineSpeed;
  },
): Generator<RouteOption> {
  const { generating, speed } = engines;
  for (const cost of generating) {
    if (!mayJoinQueue(view, request, cost)) continue;
    const { entry, uncachedTokens, compute, path, stream } = cost;
    const { rank, wait, expectedFirstToken } = queueForecast(view, request, {
      engine: cost,
      afterWait: compute + speed.fixedTime + path,
    });
    const interfered = interference(view, request, cost);
    yield {
      entry,
      uncachedTokens,
      rank,
      wait,
      expectedFirstToken,
      score: expectedFirstToken + compute * (occupancyWeight + interfered) +
        stream,
    };
  }
}

/** Options in which a prefill engine computes the prompt and exports it. */
function* splitOptions(
  view: RoutingView,
  request: EngineRequirements,
  engines: {
    readonly generating: readonly StreamCost[];
    readonly prefilling: readonly EngineCost[];
    readonly speed: EngineSpeed;
  },
): Generator<RouteOption> {
  const { speed } = engines;
  const generating = bestPerRegion(
    engines.generating,
    ({ path, stream, backlog }) => path + stream + backlog,
  );
  const prefilling = bestPerRegion(
    engines.prefilling,
    ({ path, compute, wait }) => path + compute * (1 + occupancyWeight) + wait,
  );
  for (const prefill of prefilling) {
    for (const answering of generating) {
      const crossRegion = prefill.entry.server.region !==
        answering.entry.server.region;
      const transfer = kvTransferTime(view.settings, request.promptTokens, {
        crossRegion,
      });
      const { rank, wait, expectedFirstToken } = queueForecast(view, request, {
        engine: prefill,
        afterWait: prefill.compute + transfer + speed.fixedTime +
          prefill.path + answering.path,
      });
      yield {
        entry: answering.entry,
        prefill: prefill.entry,
        uncachedTokens: prefill.uncachedTokens,
        rank,
        wait,
        expectedFirstToken,
        score: expectedFirstToken + prefill.compute * occupancyWeight +
          answering.backlog + answering.stream,
      };
    }
  }
}

/** Returns the cheapest engines of each region. */
function bestPerRegion<Cost extends EngineCost>(
  costs: readonly Cost[],
  total: (cost: Cost) => number,
): Cost[] {
  const byRegion = new Map<Region, { cost: Cost; total: number }[]>();
  for (const cost of costs) {
    const { region } = cost.entry.server;
    const best = byRegion.get(region) ?? [];
    byRegion.set(region, best);
    insertSorted(best, { cost, total: total(cost) });
  }
  return [...byRegion.values()].flat().map(({ cost }) => cost);
}

function insertSorted<Item extends { readonly total: number }>(
  best: Item[],
  item: Item,
): void {
  const last = best[pairedEnginesPerRegion - 1];
  if (last !== undefined && last.total <= item.total) return;
  const index = best.findIndex(({ total }) => total > item.total);
  best.splice(index < 0 ? best.length : index, 0, item);
  if (best.length > pairedEnginesPerRegion) best.pop();
}

/** Forecasts a queued request; it ranks later if it misses its target. */
function queueForecast(
  view: RoutingView,
  request: EngineRequirements,
  options: { readonly engine: EngineCost; readonly afterWait: number },
): {
  readonly rank: number;
  readonly wait: number;
  readonly expectedFirstToken: number;
} {
  const { engine, afterWait } = options;
  const { rank, arrivedAt, firstTokenTarget } = request;
  const first = engine.wait + afterWait;
  if (view.now - arrivedAt + first <= firstTokenTarget * latenessSlack) {
    return { rank, wait: engine.wait, expectedFirstToken: first };
  }
  return {
    rank: lateRankOf(request),
    wait: engine.lateWait,
    expectedFirstToken: engine.lateWait + afterWait,
  };
}

function lateRankOf({ rank }: EngineRequirements): number {
  return Math.min(lastRank, rank + lateRankOffset);
}

function slowdownFactor(view: RoutingView, entry: ServerEntry): number {
  const { id } = entry.server;
  return view.slowServers.isSlow(id, view.now)
    ? view.slowServers.latencyFactor(id, view.now)
    : 1;
}

/** Weight of the running streams that a prompt on their engine stalls. */
function interference(
  view: RoutingView,
  request: EngineRequirements,
  { entry, compute }: EngineCost,
): number {
  const { from, certain } = noticeablePause;
  const pause = compute / request.tokenGapTarget;
  const part = (pause - from) / (certain - from);
  const noticedFraction = Math.min(1, Math.max(0, part));
  return runningStreams(view, entry) * interferenceWeight * noticedFraction;
}

/** Cost of a prompt that probably exceeds the engine's free KV cache. */
function kvCacheShortage(
  view: RoutingView,
  request: EngineRequirements,
  entry: ServerEntry,
): number {
  const { cacheTokens = Infinity } = entry.server;
  const usedTokens = entry.streams.tokens(view.now) + request.promptTokens;
  return usedTokens > cacheTokens * maxPromptKvCacheFraction
    ? kvCacheShortageCost
    : 0;
}

/** Streams on an engine, the larger of the announced and reported number. */
function runningStreams(view: RoutingView, entry: ServerEntry): number {
  return Math.max(entry.streams.running(view.now), entry.reportedRequests ?? 0);
}

/** Round trip plus cross-region penalty in ms; 0 in the host's own region. */
function pathCost(view: RoutingView, entry: ServerEntry): number {
  const { region } = entry.server;
  if (region === view.region) return 0;
  return (view.roundTrips.get(region) ?? 0) + view.settings.crossRegionPenalty;
}

function pickOption(
  view: RoutingView,
  options: readonly RouteOption[],
): RouteOption | undefined {
  let best = Infinity;
  for (const { score } of options) best = Math.min(best, score);
  const margin = Math.min(equalScoreMargin, best * equalScoreFraction);
  const good = options.filter(({ score }) => score <= best + margin);
  return good.length === 0 ? undefined : view.random.pick(good);
}
