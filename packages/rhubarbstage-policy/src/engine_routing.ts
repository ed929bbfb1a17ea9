/**
 * Choice of the engines that compute a prompt and generate its answer, where
 * hosts share the engines. Each host tracks the work of all hosts on an engine,
 * so that a decision weighs the engine's queue and cache, the transfer of KV
 * cache and the cost of the network path.
 *
 * @module
 */

import { lastRank } from "./engine_queue.ts";
import type { EngineSpeed } from "./engine_speed.ts";
import { kvTransferTime } from "./kv_transfer.ts";
import {
  isEligible,
  type Route,
  type RoutingRequirements,
  type RoutingView,
} from "./routing.ts";
import { isAvailable, type ServerEntry } from "./server_table.ts";

/** Most engines scored for one decision; larger pools are sampled. */
const maxConsideredEngines = 128;
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
 * Milliseconds added to each token by each other stream on the engine: the
 * growth of the decode step with the batch size on current accelerators.
 */
const tokenDelayPerStream = 0.15;
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
/**
 * Compute times of a prompt, in milliseconds, up to which (`from`) callers
 * never notice the pause of the streams on its engine, and from which
 * (`certain`) they always do. Decode steps alone cause pauses of some tens of
 * milliseconds.
 */
const noticeablePause = { from: 80, certain: 250 } as const;
/** Scores up to this far above the best one count as equal, in ms. */
const equalScoreMargin = 8;
/**
 * Added to the rank of requests that will miss their target, so that they do
 * not delay requests that can still meet theirs.
 */
const lateRankOffset = 5;
/** Tolerance for forecast errors, as a factor on the first-token target. */
const latenessSlack = 1.1;

interface RouteOption extends Route {
  readonly score: number;
}

/** Chooses the engines for a request, or returns undefined. */
export function chooseEngines(
  view: RoutingView,
  request: RoutingRequirements,
  speed: EngineSpeed,
): Route | undefined {
  const generating: ServerEntry[] = [];
  const prefilling: ServerEntry[] = [];
  for (const entry of consideredMembers(view)) {
    if (!isAvailable(entry) || !isEligible(view, request, entry)) continue;
    if (entry.server.role === "prefill") prefilling.push(entry);
    else if (view.table.freeSlots(entry) > 0) generating.push(entry);
  }
  const options = [
    ...directOptions(view, request, { generating, speed }),
    ...splitOptions(view, request, { generating, prefilling, speed }),
  ];
  return pickOption(view, options);
}

function consideredMembers(view: RoutingView): Iterable<ServerEntry> {
  const { members } = view.pool;
  if (members.size <= maxConsideredEngines) return members.values();
  const all = [...members.values()];
  const start = view.random.integer(all.length);
  return [...all.slice(start), ...all.slice(0, start)]
    .slice(0, maxConsideredEngines);
}

/** Options in which the generating engine also computes the prompt. */
function* directOptions(
  view: RoutingView,
  request: RoutingRequirements,
  engines: {
    readonly generating: readonly ServerEntry[];
    readonly speed: EngineSpeed;
  },
): Generator<RouteOption> {
  const { generating, speed } = engines;
  for (const entry of generating) {
    const uncachedTokens = uncachedTokensOn(request, entry);
    const compute = speed.promptTime(uncachedTokens, entry.server.role) *
      slowdownFactor(view, entry);
    const { rank, expectedFirstToken } = queueForecast(view, request, {
      engine: entry,
      afterWait: compute + speed.fixedTime + pathCost(view, entry),
    });
    yield {
      entry,
      uncachedTokens,
      rank,
      expectedFirstToken,
      score: expectedFirstToken +
        compute * (occupancyWeight + interference(view, entry, compute)) +
        streamCost(view, request, entry),
    };
  }
}

/** Options in which a prefill engine computes the prompt and exports it. */
function* splitOptions(
  view: RoutingView,
  request: RoutingRequirements,
  engines: {
    readonly generating: readonly ServerEntry[];
    readonly prefilling: readonly ServerEntry[];
    readonly speed: EngineSpeed;
  },
): Generator<RouteOption> {
  const { generating, prefilling, speed } = engines;
  const { promptTokens } = request.work;
  for (const prefill of prefilling) {
    const uncachedTokens = uncachedTokensOn(request, prefill);
    const compute = speed.promptTime(uncachedTokens, "prefill") *
      slowdownFactor(view, prefill);
    for (const entry of generating) {
      const crossRegion = prefill.server.region !== entry.server.region;
      const transfer = kvTransferTime(view.settings, promptTokens, {
        crossRegion,
      });
      const { rank, expectedFirstToken } = queueForecast(view, request, {
        engine: prefill,
        afterWait: compute + transfer + speed.fixedTime +
          pathCost(view, prefill) + pathCost(view, entry),
      });
      yield {
        entry,
        prefill,
        uncachedTokens,
        rank,
        expectedFirstToken,
        score: expectedFirstToken + compute * occupancyWeight +
          entry.queue.waitTime(view.now) * backlogWeight +
          streamCost(view, request, entry),
      };
    }
  }
}

/** Forecasts a queued request; it ranks later if it misses its target. */
function queueForecast(
  view: RoutingView,
  request: RoutingRequirements,
  options: { readonly engine: ServerEntry; readonly afterWait: number },
): { readonly rank: number; readonly expectedFirstToken: number } {
  const { engine, afterWait } = options;
  const { work } = request;
  const rank = work.rank ?? 0;
  const first = engine.queue.waitTime(view.now, rank) + afterWait;
  const limit = work.settings.firstTokenTarget * latenessSlack;
  if (view.now - work.arrivedAt + first <= limit) {
    return { rank, expectedFirstToken: first };
  }
  const lateRank = Math.min(lastRank, rank + lateRankOffset);
  return {
    rank: lateRank,
    expectedFirstToken: engine.queue.waitTime(view.now, lateRank) + afterWait,
  };
}

function uncachedTokensOn(
  request: RoutingRequirements,
  entry: ServerEntry,
): number {
  const { promptTokens, promptParts = [] } = request.work;
  const cached = entry.cache?.cachedTokens(promptParts) ?? 0;
  return Math.max(0, promptTokens - cached);
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
  entry: ServerEntry,
  compute: number,
): number {
  const { from, certain } = noticeablePause;
  const part = (compute - from) / (certain - from);
  const noticedFraction = Math.min(1, Math.max(0, part));
  return runningStreams(view, entry) * interferenceWeight * noticedFraction;
}

function streamCost(
  view: RoutingView,
  request: RoutingRequirements,
  entry: ServerEntry,
): number {
  const { work } = request;
  const tokens = work.expectedOutputTokens ??
    view.estimates.estimate(work, view.now).outputTokens;
  const delay = entry.streams.count(view.now) * tokens * tokenDelayPerStream;
  return delay + kvCacheShortage(view, request, entry);
}

/** Cost of a prompt that probably exceeds the engine's free KV cache. */
function kvCacheShortage(
  view: RoutingView,
  request: RoutingRequirements,
  entry: ServerEntry,
): number {
  const { cacheTokens = Infinity } = entry.server;
  const usedTokens = entry.streams.tokens(view.now) +
    request.work.promptTokens;
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
  const good = options.filter(({ score }) => score <= best + equalScoreMargin);
  return good.length === 0 ? undefined : view.random.pick(good);
}
