/**
 * Placement of engine work by one host of each region.
 *
 * Hosts ask the placing host which engines should serve a request and tell it
 * when the work ends, so that it knows all queues, streams and caches without a
 * broadcast. Its state is soft: a host whose query is not answered chooses by
 * its own work and the reported loads, and announces what it chose.
 *
 * @module
 */

import type { BackendServerId, HostId, RequestId } from "rhubarbstage";
import { recordSends } from "./attempts.ts";
import {
  chooseEngines,
  defaultTokenGapTarget,
  type EngineRequirements,
} from "./engine_routing.ts";
import {
  type FleetState,
  type PoolState,
  poolStateOf,
  requestLimitWait,
  type RequestRecord,
  routingView,
} from "./fleet_state.ts";
import { createRefusalNote, refuse } from "./refusals.ts";
import { mayContinue, type Route } from "./routing.ts";
import {
  dispatchPool,
  dispatchRecord,
  engineRequirements,
  enqueue,
  mayHaveRun,
} from "./scheduling.ts";
import { isAvailable } from "./server_table.ts";
import { applyEngineWork, createEngineWorks } from "./shared_work.ts";
import {
  type EngineWork,
  type Placement,
  type PlacementQuery,
  type PolicyEffect,
  startDeadlineOf,
} from "./types.ts";

/**
 * Maximum fraction of the first-token (start) timeout that may pass in an
 * engine's queue.
 */
const maxQueueWaitFraction = 0.5;
/** Largest part by which retry delays are lengthened at random. */
const maxRetrySpread = 0.5;
/** Minimum retry delay after a refusal for an engine's queue, in ms. */
const minRetryAfter = 100;

/** Details of a request that would start too late; times in milliseconds. */
interface InfeasibleRequest {
  /** Time after which the queue is short enough. */
  readonly retryAfter: number;
  readonly server: BackendServerId;
  readonly expected_wait: number;
  readonly expected_first_token: number;
  readonly patience: number;
}

/**
 * Returns details of a request that would probably start too late for its
 * caller and only waste engine time.
 */
export function findInfeasibleRequest(
  state: FleetState,
  record: RequestRecord,
  now: number,
): InfeasibleRequest | undefined {
  const { work, pool } = record;
  if (!state.settings.shareEngineState || work.model === undefined) {
    return undefined;
  }
  const route = chooseEngines(
    routingView(state, pool, now),
    engineRequirements(state, record, now),
    pool.speed,
  );
  if (route === undefined) return undefined;
  return findExcessWait(route, startTimeoutOf(record));
}

/**
 * The engine's queue may take a fraction of the start timeout, whatever the
 * prompt's length, so that long prompts are not refused before short ones; the
 * expected first token may take all of it.
 */
export function findExcessWait(
  route: Route,
  startTimeout: number,
): InfeasibleRequest | undefined {
  const { wait = 0, expectedFirstToken } = route;
  const excess = Math.max(
    wait - startTimeout * maxQueueWaitFraction,
    expectedFirstToken - startTimeout,
  );
  if (excess <= 0) return undefined;
  return {
    retryAfter: Math.max(minRetryAfter, excess),
    server: (route.prefill ?? route.entry).server.id,
    expected_wait: Math.round(wait),
    expected_first_token: Math.round(expectedFirstToken),
    patience: Math.round(startTimeout),
  };
}

function startTimeoutOf({ work }: RequestRecord): number {
  return startDeadlineOf(work) - work.arrivedAt;
}

/** Answers another host's query and records the work that it places. */
export function answerQuery(
  state: FleetState,
  event: { readonly from: HostId; readonly query: PlacementQuery },
  now: number,
): PolicyEffect[] {
  const { from: to, query } = event;
  const { request } = query;
  const pool = state.table.pools.get(`model ${query.model}`);
  // A host that has just started does not know the engines yet. Without its
  // answer, the asking host chooses.
  if (pool === undefined) return [];
  const poolState = poolStateOf(state, pool, query.model);
  const route = placeQuery(state, poolState, query, now);
  if (route === undefined) {
    const { estimates } = poolState;
    const slotTime = query.outputTokens * estimates.tokenInterval(0);
    const limitWait = requestLimitWait(state, poolState, now);
    const placement = refusedPlacement({
      retryAfter: Math.max(
        minRetryAfter,
        slotTime,
        Math.min(limitWait, query.startTimeout),
      ),
    });
    return [{ type: "answer_placement", to, request, placement, works: [] }];
  }
  const infeasible = findExcessWait(route, query.startTimeout);
  if (infeasible !== undefined) {
    const placement = refusedPlacement({
      retryAfter: infeasible.retryAfter,
      expectedWait: infeasible.expected_wait,
      expectedFirstToken: infeasible.expected_first_token,
    });
    return [{ type: "answer_placement", to, request, placement, works: [] }];
  }
  const works = createEngineWorks(state, {
    ...route,
    pool: poolState,
    rank: route.rank ?? query.rank,
    parts: query.parts,
  });
  for (const work of works) applyEngineWork(state, work, now);
  recordSends(state, route, now);
  const placement = {
    ...toPlacement(route, { works, rank: query.rank }),
    ...statedComputeTime(state, poolState),
  };
  return [{ type: "answer_placement", to, request, placement, works }];
}

function statedComputeTime(
  { settings }: FleetState,
  { speed: { computeTimePerToken } }: PoolState,
): { readonly computeTimePerToken?: number } {
  return settings.shareComputeTime && computeTimePerToken !== undefined
    ? { computeTimePerToken }
    : {};
}

export function placeQuery(
  state: FleetState,
  pool: PoolState,
  query: PlacementQuery,
  now: number,
  limits: Pick<EngineRequirements, "isStrict" | "maxWait"> = {},
): Route | undefined {
  const { promptTokens, outputTokens, parts, rank, suspect } = query;
  const { firstTokenTarget, tokenGapTarget, answerOrigin } = query;
  const requirements = {
    promptTokens,
    outputTokens,
    promptParts: parts,
    rank,
    suspect,
    firstTokenTarget,
    arrivedAt: now - query.waited,
    tokenGapTarget: tokenGapTarget ?? defaultTokenGapTarget,
    excludedServers: new Set(query.excludedServers),
    ...limits,
    ...(answerOrigin === undefined ? {} : { answerOrigin }),
    ...(query.zone === undefined ? {} : { zone: query.zone }),
  };
  return chooseEngines(routingView(state, pool, now), requirements, pool.speed);
}

export function refusedPlacement(
  forecast: {
    readonly retryAfter: number;
    readonly expectedWait?: number;
    readonly expectedFirstToken?: number;
    readonly isOrdered?: boolean;
  },
): Placement {
  const { expectedWait = 0, expectedFirstToken = 0 } = forecast;
  return { type: "refused", ...forecast, expectedWait, expectedFirstToken };
}

export function toPlacement(
  route: Route,
  placed: { readonly works: readonly EngineWork[]; readonly rank: number },
): Placement {
  const { entry, prefill, uncachedTokens, expectedFirstToken } = route;
  return {
    type: "placed",
    server: entry.server.id,
    ...(prefill === undefined ? {} : { prefillServer: prefill.server.id }),
    rank: route.rank ?? placed.rank,
    uncachedTokens,
    expectedWait: route.wait ?? 0,
    expectedFirstToken,
    works: placed.works.map(({ parts: _parts, rank: _rank, ...work }) => work),
  };
}

/** Starts a request on the engines that the placing host chose. */
export function receivePlacement(
  state: FleetState,
  event: { readonly request: RequestId; readonly placement: Placement },
  now: number,
): PolicyEffect[] {
  const { request, placement } = event;
  if (placement.type === "waiting") return [];
  const record = state.placing.get(request);
  state.placing.delete(request);
  const isWaiting = record !== undefined &&
    state.requests.get(request) === record;
  if (placement.type === "refused") {
    return isWaiting ? refusePlacement(state, record, placement) : [];
  }
  const route = isWaiting
    ? toRoute(state, record, { placement, now })
    : undefined;
  if (route === undefined) {
    dropPlacement(state, placement);
    return isWaiting ? retryLocally(state, record, now) : [];
  }
  return dispatchRecord(state, record as RequestRecord, { route, now });
}

/** Places a request whose query was not answered. */
export function placeLocally(
  state: FleetState,
  request: RequestId,
  now: number,
): PolicyEffect[] {
  const record = state.placing.get(request);
  state.placing.delete(request);
  if (record === undefined || state.requests.get(request) !== record) return [];
  return retryLocally(state, record, now);
}

function retryLocally(
  state: FleetState,
  record: RequestRecord,
  now: number,
): PolicyEffect[] {
  record.isPlacedLocally = true;
  enqueue(state, record, now);
  return dispatchPool(state, record.pool, now);
}

function refusePlacement(
  state: FleetState,
  record: RequestRecord,
  placement: Extract<Placement, { type: "refused" }>,
): PolicyEffect[] {
  const { request } = record.work;
  state.requests.delete(request);
  const { retryAfter, expectedWait, expectedFirstToken } = placement;
  const { isOrdered = false } = placement;
  const note = createRefusalNote(request, {
    reason: "placement",
    expected_wait: expectedWait,
    expected_first_token: expectedFirstToken,
    patience: Math.round(startTimeoutOf(record)),
  });
  // Callers that are refused together must not return together.
  const spread = isOrdered ? 1 : 1 + state.random.next() * maxRetrySpread;
  const effect = refuse(request, "overloaded", retryAfter * spread / 1_000);
  if (!mayHaveRun(record)) return [note, effect];
  return [note, { ...effect, outcome: "may_have_run" }];
}

/** Returns the placement as a route, unless its engines are gone here. */
function toRoute(
  state: FleetState,
  record: RequestRecord,
  options: {
    readonly placement: Extract<Placement, { type: "placed" }>;
    readonly now: number;
  },
): Route | undefined {
  const { placement, now } = options;
  const { servers } = state.table;
  const { prefillServer, works, rank, ...forecast } = placement;
  const entry = servers.get(placement.server);
  if (entry === undefined || !isAvailable(entry)) return undefined;
  if (!mayContinue(entry.server, record.answerOrigin)) return undefined;
  const prefill = prefillServer && servers.get(prefillServer);
  if (prefillServer !== undefined && prefill === undefined) return undefined;
  const used = prefill === undefined ? [entry] : [entry, prefill];
  if (used.some(({ server }) => !state.serverNotices.allows(server, now))) {
    return undefined;
  }
  const { promptParts: parts = [] } = record.work;
  return {
    entry,
    ...(prefill === undefined ? {} : { prefill }),
    rank,
    uncachedTokens: forecast.uncachedTokens,
    expectedFirstToken: forecast.expectedFirstToken,
    wait: forecast.expectedWait,
    ...(forecast.computeTimePerToken === undefined
      ? {}
      : { computeTimePerToken: forecast.computeTimePerToken }),
    works: works.map((work) => ({ ...work, rank, parts })),
  };
}

/** Tells the placing host that its placement is not used. */
function dropPlacement(
  state: FleetState,
  placement: Extract<Placement, { type: "placed" }>,
): void {
  for (const { server, id, answers } of placement.works) {
    state.endedWork.push({ server, id, ended: "dropped" });
    if (answers) state.endedWork.push({ server, id, ended: "answered" });
  }
}
