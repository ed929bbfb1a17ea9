/**
 * Where a prompt is computed and its answer generated, on engines that several
 * hosts share. Every host follows the work of all hosts on each engine, so that
 * one decision weighs the queue of an engine, what it has cached, the transfer
 * of KV cache and the price of the path.
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
import { acceptsNewWork, type ServerEntry } from "./server_table.ts";

/** Engines that one decision looks at; more are drawn at random. */
const consideredEngines = 128;
/**
 * Weight of the engine's own time beside the request's: what is computed here
 * delays others as long.
 */
const occupancyWeight = 1;
/**
 * Weight of a stream that waits while its engine computes a prompt for another
 * request, beside that request's own time.
 */
const interferenceWeight = 1;
/** Part of an engine's backlog that a stream on it is slowed by. */
const backlogWeight = 0.5;
/**
 * Delay of one token for each other stream on the engine, in milliseconds: the
 * growth of a batch's step with its size on current accelerators.
 */
const crowdingTime = 0.15;
/**
 * Part of an engine's memory that prompts of streams may fill; the rest is for
 * what they generate.
 */
const fullMemory = 0.85;
/**
 * Cost of a stream that finds the memory full, in milliseconds: it waits for
 * the end of another one.
 */
const shortageCost = 2_000;
/**
 * A prompt that takes an engine longer than the first time, in milliseconds,
 * slows its streams so that callers may notice; from the second time on they
 * do. The steps of an engine alone make pauses of some tens of milliseconds.
 */
const noticedPause = { from: 80, certain: 250 } as const;
/** Routes this close to the best one are as good, in milliseconds. */
const equalMargin = 8;
/**
 * Ranks by which requests that will be late go behind others, so that what can
 * be on time does not wait for what cannot.
 */
const lateRankOffset = 5;
/** Forecasts are this much too long or short before a request counts as late. */
const latenessSlack = 1.1;

interface Option extends Route {
  readonly score: number;
}

/** Chooses the engines for a prompt, or none. */
export function chooseEngines(
  view: RoutingView,
  demand: RoutingRequirements,
  speed: EngineSpeed,
): Route | undefined {
  const generating: ServerEntry[] = [];
  const prefilling: ServerEntry[] = [];
  for (const entry of consideredMembers(view)) {
    if (!acceptsNewWork(entry) || !isEligible(view, demand, entry)) continue;
    if (entry.server.role === "prefill") prefilling.push(entry);
    else if (view.table.freeSlots(entry) > 0) generating.push(entry);
  }
  const options = [
    ...directOptions(view, demand, { generating, speed }),
    ...splitOptions(view, demand, { generating, prefilling, speed }),
  ];
  return pickOption(view, options);
}

function consideredMembers(view: RoutingView): Iterable<ServerEntry> {
  const { members } = view.pool;
  if (members.size <= consideredEngines) return members.values();
  const all = [...members.values()];
  const start = view.random.integer(all.length);
  return [...all.slice(start), ...all.slice(0, start)]
    .slice(0, consideredEngines);
}

/** The generating engine computes the prompt itself. */
function* directOptions(
  view: RoutingView,
  demand: RoutingRequirements,
  engines: {
    readonly generating: readonly ServerEntry[];
    readonly speed: EngineSpeed;
  },
): Generator<Option> {
  const { generating, speed } = engines;
  for (const entry of generating) {
    const uncachedTokens = uncachedOn(demand, entry);
    const compute = speed.promptTime(uncachedTokens, entry.server.role) *
      slowness(view, entry);
    const { rank, expectedFirstToken } = queued(view, demand, {
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
        crowding(view, demand, entry),
    };
  }
}

/** A prefill engine computes the prompt and hands its KV cache on. */
function* splitOptions(
  view: RoutingView,
  demand: RoutingRequirements,
  engines: {
    readonly generating: readonly ServerEntry[];
    readonly prefilling: readonly ServerEntry[];
    readonly speed: EngineSpeed;
  },
): Generator<Option> {
  const { generating, prefilling, speed } = engines;
  const { promptTokens } = demand.work;
  for (const prefill of prefilling) {
    const uncachedTokens = uncachedOn(demand, prefill);
    const compute = speed.promptTime(uncachedTokens, "prefill") *
      slowness(view, prefill);
    for (const entry of generating) {
      const crossRegion = prefill.server.region !== entry.server.region;
      const transfer = kvTransferTime(view.settings, promptTokens, {
        crossRegion,
      });
      const { rank, expectedFirstToken } = queued(view, demand, {
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
          crowding(view, demand, entry),
      };
    }
  }
}

/** Rank and first token of a request in the queue of an engine. */
function queued(
  view: RoutingView,
  demand: RoutingRequirements,
  options: { readonly engine: ServerEntry; readonly afterWait: number },
): { readonly rank: number; readonly expectedFirstToken: number } {
  const { engine, afterWait } = options;
  const { work } = demand;
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

function uncachedOn(demand: RoutingRequirements, entry: ServerEntry): number {
  const { promptTokens, promptParts = [] } = demand.work;
  const cached = entry.cache?.cachedTokens(promptParts) ?? 0;
  return Math.max(0, promptTokens - cached);
}

function slowness(view: RoutingView, entry: ServerEntry): number {
  const { id } = entry.server;
  return view.slowServers.isSlow(id, view.now)
    ? view.slowServers.latencyFactor(id, view.now)
    : 1;
}

/** Weight of the streams that a prompt on their engine holds up. */
function interference(
  view: RoutingView,
  entry: ServerEntry,
  compute: number,
): number {
  const { from, certain } = noticedPause;
  const part = (compute - from) / (certain - from);
  const noticed = Math.min(1, Math.max(0, part));
  return runningOn(view, entry) * interferenceWeight * noticed;
}

function crowding(
  view: RoutingView,
  demand: RoutingRequirements,
  entry: ServerEntry,
): number {
  const { work } = demand;
  const tokens = work.expectedOutputTokens ??
    view.estimates.estimate(work, view.now).outputTokens;
  const delay = entry.streams.count(view.now) * tokens * crowdingTime;
  return delay + memoryShortage(view, demand, entry);
}

/** Cost of a prompt for which the engine's memory is probably too small. */
function memoryShortage(
  view: RoutingView,
  demand: RoutingRequirements,
  entry: ServerEntry,
): number {
  const { cacheTokens = Infinity } = entry.server;
  const held = entry.streams.tokens(view.now) + demand.work.promptTokens;
  return held > cacheTokens * fullMemory ? shortageCost : 0;
}

/** Streams that run on an engine, as far as hosts and reports tell. */
function runningOn(view: RoutingView, entry: ServerEntry): number {
  return Math.max(entry.streams.running(view.now), entry.reportedRequests ?? 0);
}

/** Round trip and price of the way to an engine, in milliseconds. */
function pathCost(view: RoutingView, entry: ServerEntry): number {
  const { region } = entry.server;
  if (region === view.region) return 0;
  return (view.roundTrips.get(region) ?? 0) + view.settings.crossRegionPenalty;
}

function pickOption(
  view: RoutingView,
  options: readonly Option[],
): Option | undefined {
  let best = Infinity;
  for (const { score } of options) best = Math.min(best, score);
  const good = options.filter(({ score }) => score <= best + equalMargin);
  return good.length === 0 ? undefined : view.random.pick(good);
}
