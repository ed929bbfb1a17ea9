/**
 * Tracking of the work that this and other hosts send to shared engines.
 *
 * @module
 */

import type { ModelName } from "rhubarbstage";
import {
  type Attempt,
  type FleetState,
  type PoolState,
  routesByRemainingWork,
} from "./fleet_state.ts";
import { learnReportedPace, paceFactor } from "./cost_learning.ts";
import type { Route } from "./routing.ts";
import type { ServerEntry } from "./server_table.ts";
import type { QueuedPrompt } from "./engine_queue.ts";
import type {
  EngineWork,
  EngineWorkEnd,
  ObservedSpeed,
  PolicyEffect,
} from "./types.ts";

/** Ids of engine work are drawn at random from [0, 2^31). */
const workIdRange = 2 ** 31;

/** Fewer tokens say little about the time between them. */
const minIntervalTokens = 4;

/** Records an attempt on its engines and announces it. */
export function announceWork(
  state: FleetState,
  attempt: Attempt,
  options: { readonly route: Route; readonly now: number },
): PolicyEffect[] {
  const { route, now } = options;
  const { record, rank } = attempt;
  const { model, promptParts: parts = [] } = record.work;
  if (!state.settings.shareEngineState || model === undefined) return [];
  const { pool } = record;
  if (route.works !== undefined) adoptSpeed(pool, route);
  const works = route.works ??
    createEngineWorks(state, { ...route, pool, rank, parts });
  observeModelDemand(state, attempt, now);
  const isPlaced = route.works !== undefined;
  return works.map((work) => {
    if (work.uncachedTokens !== undefined) attempt.promptWork = work;
    if (work.answers) attempt.answerWork = work;
    applyEngineWork(state, work, now);
    return { type: "announce_work", work, isPlaced };
  });
}

/** Creates the work of a request on the engines that were chosen for it. */
export function createEngineWorks(
  state: FleetState,
  placed: {
    readonly entry: ServerEntry;
    readonly prefill?: ServerEntry;
    readonly uncachedTokens: number;
    readonly pool: PoolState;
    readonly rank: number;
    readonly parts: EngineWork["parts"];
  },
): EngineWork[] {
  const { entry, prefill, uncachedTokens, pool, rank, parts } = placed;
  const computing = prefill ?? entry;
  const used = prefill === undefined ? [entry] : [entry, prefill];
  return used.map(({ server }) => {
    const id = state.random.integer(workIdRange);
    const answers = server.id === entry.server.id;
    const work = { server: server.id, id, answers, rank, parts };
    if (server.id !== computing.server.id) return { ...work, milliseconds: 0 };
    const milliseconds = Math.round(
      pool.speed.promptTime(uncachedTokens, server.role),
    );
    return { ...work, milliseconds, uncachedTokens };
  });
}

/** Learns the speed of engines from work that another host has placed. */
function adoptSpeed(pool: PoolState, route: Route): void {
  const { works = [], entry, prefill, uncachedTokens: tokens } = route;
  const { computeTimePerToken } = route;
  if (computeTimePerToken !== undefined) {
    pool.speed.adoptComputeTime(computeTimePerToken);
  }
  const computing = prefill ?? entry;
  for (const { server, milliseconds: elapsed } of works) {
    if (server !== computing.server.id || elapsed === 0) continue;
    const { role } = computing.server;
    pool.speed.learnPromptTime({ tokens, role, elapsed });
  }
}

/** Counts the attempt's work for the split of engines between the roles. */
function observeModelDemand(
  state: FleetState,
  attempt: Attempt,
  now: number,
): void {
  const { record, uncachedTokens: promptTokens } = attempt;
  const { pool, estimate, work } = record;
  const { outputTokens } = estimate;
  state.limits.observeModel(work.model as ModelName, {
    promptTokens,
    outputTokens,
    promptTime: pool.speed.promptTime(promptTokens, "prefill"),
    computeTime: pool.speed.computeTime(promptTokens),
    streamTime: outputTokens * pool.estimates.tokenInterval(0),
  }, now);
}

/** Records work of any host on an engine. */
export function applyEngineWork(
  state: FleetState,
  work: EngineWork,
  now: number,
): void {
  const entry = state.table.servers.get(work.server);
  if (entry === undefined) return;
  const { id, parts } = work;
  if (work.milliseconds > 0) entry.queue.add(id, work, now);
  if (work.answers) entry.streams.add(id, totalTokens(parts), now);
  entry.cache?.store(parts);
}

function totalTokens(parts: EngineWork["parts"]): number {
  let sum = 0;
  for (const { tokens } of parts) sum += tokens;
  return sum;
}

/**
 * Records the end of work of any host. Returns the milliseconds for which the
 * engine computed the prompt, if known.
 */
export function applyEngineWorkEnd(
  state: FleetState,
  end: EngineWorkEnd,
  now: number,
): number | undefined {
  const entry = state.table.servers.get(end.server);
  switch (end.ended) {
    case "computed":
      entry?.streams.start(end.id);
      return entry?.queue.complete(end.id, now);
    case "dropped":
      entry?.queue.drop(end.id, now);
      if (end.parts !== undefined) entry?.cache?.forget(end.parts);
      return undefined;
    case "answered":
      entry?.streams.end(end.id);
      return undefined;
  }
}

/**
 * Applies the end of another host's work. Learns the engine's speed within the
 * region only: times over longer paths say more about the path.
 */
export function endSharedWork(
  state: FleetState,
  event: { readonly end: EngineWorkEnd; readonly isForwarded?: boolean },
  now: number,
): void {
  const { end, isForwarded = false } = event;
  const entry = state.table.servers.get(end.server);
  const prompt = entry?.queue.find(end.id);
  const elapsed = applyEngineWorkEnd(state, end, now);
  if (entry === undefined || isForwarded) return;
  if (end.pace !== undefined) learnReportedPace(state, entry, end.pace, now);
  if (entry.server.region !== state.region) return;
  const pool = state.poolStates.get(entry.pools[0]?.name ?? "");
  if (pool === undefined) return;
  if (elapsed !== undefined && prompt !== undefined) {
    const pace = paceFactor(state, entry, now);
    const unpaced = elapsed / pace;
    learnPromptTime({ entry, pool, prompt, elapsed: unpaced }, now);
    if (routesByRemainingWork(state) && prompt.milliseconds > 0) {
      entry.pace.measure(elapsed / prompt.milliseconds, now);
    }
  }
  learnObservedSpeed(pool, end, now);
}

function learnPromptTime(
  computed: {
    readonly entry: ServerEntry;
    readonly pool: PoolState;
    readonly prompt: QueuedPrompt;
    readonly elapsed: number;
  },
  now: number,
): void {
  const { entry, pool, prompt, elapsed } = computed;
  const { id, role } = entry.server;
  const { uncachedTokens: tokens } = prompt;
  pool.speed.learnPromptTime({ tokens, role, elapsed });
  if (tokens > 0) pool.speed.learnComputeTime({ tokens, role, elapsed });
  if (prompt.milliseconds === 0) return;
  const ratio = Math.max(1, elapsed) / prompt.milliseconds;
  pool.slowServers.observe(id, { kind: "first_token", ratio }, now);
}

function learnObservedSpeed(
  pool: PoolState,
  { server, observed = {} }: EngineWorkEnd,
  now: number,
): void {
  const { fixedTime, tokenInterval } = observed;
  if (fixedTime !== undefined) pool.speed.learnFixedTime(fixedTime);
  if (tokenInterval === undefined) return;
  const expected = pool.estimates.tokenInterval(tokenInterval);
  pool.estimates.learnTokens(1, tokenInterval, now);
  const sample = {
    kind: "between_tokens",
    ratio: tokenInterval / expected,
  } as const;
  pool.slowServers.observe(server, sample, now);
}

/**
 * Ends the prompt work of an attempt on all hosts. Returns the milliseconds for
 * which the engine computed it, if known.
 */
export function endPrompt(
  state: FleetState,
  attempt: Attempt,
  options: { readonly isComputed: boolean; readonly now: number },
): number | undefined {
  const { promptWork } = attempt;
  if (promptWork === undefined) return undefined;
  attempt.promptWork = undefined;
  const { isComputed, now } = options;
  const { server, id, parts } = promptWork;
  const ended = isComputed ? "computed" : "dropped";
  const dropped = isComputed ? {} : { parts };
  const stated = isComputed ? statedPace(state, server, now) : {};
  const { answerWork } = attempt;
  if (isComputed && answerWork !== undefined && answerWork.id !== id) {
    const { server, id } = answerWork;
    publishEnd(state, { server, id, ended }, now);
  }
  return publishEnd(state, { server, id, ended, ...dropped, ...stated }, now);
}

/** Passes a recently stated pace on to the host that places work. */
function statedPace(
  state: FleetState,
  server: EngineWork["server"],
  now: number,
): Pick<EngineWorkEnd, "pace"> {
  if (!routesByRemainingWork(state)) return {};
  const pace = state.table.servers.get(server)?.pace.recent(now);
  return pace === undefined ? {} : { pace };
}

/** Ends the stream of an attempt on all hosts. */
export function endAnswer(
  state: FleetState,
  attempt: Attempt,
  now: number,
): void {
  const { answerWork } = attempt;
  if (answerWork === undefined) return;
  attempt.answerWork = undefined;
  const { server, id } = answerWork;
  const observed = observedSpeed(attempt, now);
  publishEnd(state, {
    server,
    id,
    ended: "answered",
    ...(observed === undefined ? {} : { observed }),
  }, now);
}

/** Returns the speeds that an attempt has shown; undefined without any. */
function observedSpeed(
  attempt: Attempt,
  now: number,
): ObservedSpeed | undefined {
  const { fixedTime, firstTokenAt, generatedTokens } = attempt;
  const tokenInterval =
    firstTokenAt === undefined || generatedTokens < minIntervalTokens
      ? undefined
      : (now - firstTokenAt) / (generatedTokens - 1);
  if (fixedTime === undefined && tokenInterval === undefined) return undefined;
  return { fixedTime, tokenInterval };
}

function publishEnd(
  state: FleetState,
  end: EngineWorkEnd,
  now: number,
): number | undefined {
  state.endedWork.push(end);
  return applyEngineWorkEnd(state, end, now);
}
