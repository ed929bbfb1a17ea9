/**
 * Selection of the next waiting request and its server.
 *
 * @module
 */

import { cancelAttempt, excludedServers, startAttempt } from "./attempts.ts";
import {
  chooseEngines,
  type EngineRequirements,
  toEngineRequirements,
} from "./engine_routing.ts";
import { expectedOutputTokens } from "./cost_learning.ts";
import { createRefusalNote, refuse } from "./refusals.ts";
import { promptOverhead } from "./constants.ts";
import type { NextItem, QueueItem } from "./fair_queue.ts";
import {
  type FleetState,
  type Lane,
  type PoolState,
  recordSlotTime,
  type RequestRecord,
  routesByRemainingWork,
  routingView,
  serverPause,
} from "./fleet_state.ts";
import {
  chooseRoute,
  isEligible,
  mayContinue,
  type Route,
  type RoutingRequirements,
} from "./routing.ts";
import type { ServerEntry } from "./server_table.ts";
import {
  budgetScopeOf,
  type PlacementQuery,
  type PolicyEffect,
  type Work,
} from "./types.ts";
import type { ModelName, RequestId } from "rhubarbstage";

interface LaneHead {
  readonly lane: Lane;
  readonly next: NextItem;
  readonly aged: boolean;
}

/** Order in which lanes are served at equal priority. */
const laneOrder: readonly Lane[] = ["short", "retry", "long"];
/** Servers sampled for slots beyond capacity. */
const overcommitSampleSize = 8;
/** Running requests examined for one preemption. */
const maxPreemptionCandidates = 8;

/** Shortest delay after which a refused request may come back, in ms. */
const minRetryAfter = 100;

/** Adds a request to the queue of its pool. */
export function enqueue(
  state: FleetState,
  record: RequestRecord,
  now: number,
): void {
  const { work, pool } = record;
  const suspect = state.quarantine.isSuspect(work.fingerprint, now);
  const isRetry = suspect || record.failedOn.size > 0;
  const lane: Lane = isRetry ? "retry" : record.long ? "long" : "short";
  const item: QueueItem = {
    work,
    cost: Math.max(1, record.estimate.runTime),
    queuedAt: now,
    taken: false,
  };
  record.lane = lane;
  record.queuedAt = now;
  const floorRate = state.limits.floorRate(budgetScopeOf(work), work.settings);
  pool.lanes[lane].push(item, floorRate, now);
}

/** Removes a request from the queue without running it. */
export function dequeue(record: RequestRecord): void {
  if (record.lane === undefined) return;
  record.pool.lanes[record.lane].remove(record.work.request);
  record.lane = undefined;
}

/** Returns the number of requests waiting in a pool. */
export function waitingCount(pool: PoolState): number {
  const { short, long, retry } = pool.lanes;
  return short.size + long.size + retry.size;
}

/** Returns the number of slots of a pool that this host may use. */
export function slotLimit(state: FleetState, pool: PoolState): number {
  const { hosts } = state.limits;
  const { capacity } = pool.pool;
  if (hosts === 1 || pool.model === undefined) return Infinity;
  const total = state.modelDemand.get(pool.model);
  const own = state.localModelDemand.get(pool.model);
  let fraction = 1 / hosts;
  if (total !== undefined && own !== undefined) {
    const sum = total.promptTokensPerSecond + total.outputTokensPerSecond;
    const ownRate = own.promptTokensPerSecond + own.outputTokensPerSecond;
    if (sum > 0) fraction = Math.min(1, Math.max(0.5 / hosts, ownRate / sum));
  }
  return Math.ceil(capacity * fraction * state.settings.oversubscriptionFactor);
}

/** Dispatches waiting work of a pool while slots are free. */
export function dispatchPool(
  state: FleetState,
  pool: PoolState,
  now: number,
): PolicyEffect[] {
  const effects: PolicyEffect[] = [];
  for (;;) {
    const dispatched = dispatchNext(state, pool, now);
    if (dispatched === undefined) return effects;
    effects.push(...dispatched);
  }
}

function dispatchNext(
  state: FleetState,
  pool: PoolState,
  now: number,
): PolicyEffect[] | undefined {
  if (waitingCount(pool) === 0) return undefined;
  for (const head of orderedHeads(state, pool, now)) {
    const effects = dispatchHead(state, pool, head, now);
    if (effects !== undefined) return effects;
  }
  return undefined;
}

function orderedHeads(
  state: FleetState,
  pool: PoolState,
  now: number,
): LaneHead[] {
  const heads: LaneHead[] = [];
  for (const lane of laneOrder) {
    const next = pool.lanes[lane].peek(now);
    if (next === undefined) continue;
    const waited = now - next.item.queuedAt;
    const aged = lane === "long" &&
      waited > state.settings.longRequestAgeingDelay;
    heads.push({ lane, next, aged });
  }
  return heads.sort((left, right) =>
    Number(right.next.entitledByFloor) - Number(left.next.entitledByFloor) ||
    right.next.item.work.settings.priority -
      left.next.item.work.settings.priority ||
    Number(right.aged) - Number(left.aged)
  );
}

function dispatchHead(
  state: FleetState,
  pool: PoolState,
  head: LaneHead,
  now: number,
): PolicyEffect[] | undefined {
  const { item, entitledByFloor: byFloor } = head.next;
  const record = state.requests.get(item.work.request);
  if (record === undefined) return undefined;
  if (now >= item.work.deadlineAt) return [refuseExpired(state, record)];
  // All servers pause: the request waits for the first to take one again.
  if (serverPause(state, pool, now) > 0) return undefined;
  if (isPlacedRemotely(state, record)) {
    pool.lanes[head.lane].take(item.work.request, now);
    record.lane = undefined;
    record.entitledByFloor = byFloor;
    return [requestPlacement(state, record, now)];
  }
  const urgent = byFloor || item.work.settings.priority > 0;
  const mayUseReservedSlots = head.aged || urgent;
  const needs = routingRequirements(state, record, {
    mayUseReservedSlots,
    now,
  });
  const view = routingView(state, pool, now);
  const effects: PolicyEffect[] = [];
  let route: Route | undefined;
  const mayStart = urgent || pool.pool.localAttempts < slotLimit(state, pool);
  if (mayStart) {
    route = state.settings.shareEngineState && pool.model !== undefined
      ? chooseEngines(
        view,
        engineRequirements(state, record, now),
        pool.speed,
      )
      : chooseRoute(view, needs);
  }
  if (route === undefined && urgent) {
    const freed = preempt(state, { record, needs, now });
    if (freed !== undefined) {
      effects.push(...freed.effects);
      route = directRoute(state, record, { entry: freed.entry, now });
    } else route = overcommit(state, { record, needs, now });
  }
  if (route === undefined) {
    return mayStart && isHeldByVersion(record)
      ? refuseHeld(state, record)
      : undefined;
  }
  pool.lanes[head.lane].take(item.work.request, now);
  record.lane = undefined;
  record.entitledByFloor = byFloor;
  effects.push(...dispatchRecord(state, record, { route, now }));
  return effects;
}

/**
 * Whether a waiting request holds up others, which might start on servers of
 * another software version than the one that its answer needs.
 */
function isHeldByVersion({ pool, answerOrigin }: RequestRecord): boolean {
  return [...pool.pool.members.values()]
    .some(({ server }) => !mayContinue(server, answerOrigin));
}

/** Refuses a request for which no server of its answer's version is free. */
function refuseHeld(state: FleetState, record: RequestRecord): PolicyEffect[] {
  const { work, estimate, answerOrigin } = record;
  const { request } = work;
  dequeue(record);
  state.requests.delete(request);
  const retryAfter = Math.max(minRetryAfter, estimate.runTime);
  return [
    createRefusalNote(request, {
      reason: "software_version",
      software_version: answerOrigin?.softwareVersion ?? "",
    }),
    {
      ...refuse(request, "overloaded", retryAfter / 1_000),
      outcome: mayHaveRun(record) ? "may_have_run" : "not_run",
    },
  ];
}

/** Starts a request that was taken from its lane. */
export function dispatchRecord(
  state: FleetState,
  record: RequestRecord,
  options: { readonly route: Route; readonly now: number },
): PolicyEffect[] {
  const { route, now } = options;
  const { pool, work, estimate } = record;
  if (record.queueDispatches === 0) {
    pool.waitCorrection.add(now - record.queuedAt, record.uncorrectedWait, now);
    state.retries.earn(budgetScopeOf(work), work.settings.retryRatio);
    state.hedgeBudget.earn(state.settings.hedgeRatio);
  }
  record.queueDispatches += 1;
  const { priority } = work.settings;
  const cost = Math.max(1, estimate.runTime);
  recordSlotTime(pool, { priority, cost }, now);
  return startAttempt(state, record, route, now);
}

/** Whether another host chooses the engines of a request. */
function isPlacedRemotely(state: FleetState, record: RequestRecord): boolean {
  const { model } = record.work;
  // Where customers compete, the placing host's own requests join the queue.
  const joinsQueue = isCompeting(state, record.work);
  return (state.isPlacementRemote || joinsQueue) &&
    state.settings.shareEngineState && model !== undefined &&
    !record.isPlacedLocally;
}

/** Asks the host that places the region's work for the engines of a request. */
function requestPlacement(
  state: FleetState,
  record: RequestRecord,
  now: number,
): PolicyEffect {
  const { work } = record;
  const { request, model, promptTokens, promptParts: parts = [] } = work;
  const { firstTokenTimeout = Infinity, tokenGapTarget } = work;
  state.placing.set(request, record);
  return {
    type: "request_placement",
    query: {
      request,
      model: model as ModelName,
      promptTokens,
      outputTokens: expectedOutputTokens(state, record),
      parts,
      rank: work.rank ?? 0,
      waited: now - work.arrivedAt,
      firstTokenTarget: work.settings.firstTokenTarget,
      startTimeout: Math.min(
        firstTokenTimeout,
        work.deadlineAt - work.arrivedAt,
      ),
      ...(tokenGapTarget === undefined ? {} : { tokenGapTarget }),
      excludedServers: [
        ...excludedServers(record),
        ...state.serverNotices.unusableServers(now),
      ],
      suspect: state.quarantine.isSuspect(work.fingerprint, now),
      ...answerOriginOf(record),
      ...zoneOf(state),
      ...(!isCompeting(state, work) ? {} : {
        customer: work.customer,
        share: work.settings.share,
        kind: work.kind,
        timeLeft: work.deadlineAt - now,
        ...(record.queueDispatches > 0 ? { isRetry: true } : {}),
      }),
    },
  };
}

/** Names the host's zone where distance within the region counts. */
function zoneOf(state: FleetState): Pick<PlacementQuery, "zone"> {
  const { availabilityZone: zone } = state;
  return zone !== undefined && routesByRemainingWork(state) ? { zone } : {};
}

/** Whether a request competes with those of other customers for engines. */
export function isCompeting(state: FleetState, work: Work): boolean {
  return state.settings.customersCompete && work.budgetScope !== undefined;
}

/** Ends the query of a request that has ended before its answer. */
export function cancelQuery(
  state: FleetState,
  request: RequestId,
): PolicyEffect[] {
  const record = state.placing.get(request);
  if (record === undefined || !isCompeting(state, record.work)) return [];
  state.placing.delete(request);
  return [{ type: "cancel_placement", request }];
}

/** Builds the current requirements of a request on shared engines. */
export function engineRequirements(
  state: FleetState,
  record: RequestRecord,
  now: number,
): EngineRequirements {
  const { work } = record;
  return toEngineRequirements(work, {
    excludedServers: excludedServers(record),
    outputTokens: expectedOutputTokens(state, record),
    suspect: state.quarantine.isSuspect(work.fingerprint, now),
    ...answerOriginOf(record),
  });
}

function answerOriginOf(
  { answerOrigin }: RequestRecord,
): Pick<Work, "answerOrigin"> {
  return answerOrigin === undefined ? {} : { answerOrigin };
}

/** Refuses a waiting request whose deadline passed since the last tick. */
function refuseExpired(state: FleetState, record: RequestRecord): PolicyEffect {
  const { request } = record.work;
  dequeue(record);
  state.requests.delete(request);
  const outcome = mayHaveRun(record) ? "may_have_run" : "not_run";
  return { type: "refuse", request, kind: "deadline_exceeded", outcome };
}

/** Non-repeatable work is queued again only if it did not run. */
export function mayHaveRun(record: RequestRecord): boolean {
  return record.queueDispatches > 0 && record.work.repeatable;
}

/** Builds the current routing requirements of a request. */
export function routingRequirements(
  state: FleetState,
  record: RequestRecord,
  options: { readonly mayUseReservedSlots: boolean; readonly now: number },
): RoutingRequirements {
  const { work } = record;
  return {
    work,
    excludedServers: excludedServers(record),
    long: record.long,
    mayUseReservedSlots: options.mayUseReservedSlots,
    suspect: state.quarantine.isSuspect(work.fingerprint, options.now),
    ...answerOriginOf(record),
  };
}

/** Cancels preemptible lower-priority work on an eligible server. */
function preempt(
  state: FleetState,
  request: {
    readonly record: RequestRecord;
    readonly needs: RoutingRequirements;
    readonly now: number;
  },
): { entry: ServerEntry; effects: PolicyEffect[] } | undefined {
  const { record, needs, now } = request;
  const view = routingView(state, record.pool, now);
  const { priority } = record.work.settings;
  const levels = [...record.pool.preemptible.keys()]
    .filter((level) => level < priority)
    .sort((left, right) => left - right);
  let examined = 0;
  for (const level of levels) {
    for (const victim of record.pool.preemptible.get(level) ?? []) {
      examined += 1;
      if (examined > maxPreemptionCandidates) return undefined;
      const attempt = victim.attempts.values().next().value;
      if (attempt === undefined || victim.attempts.size !== 1) continue;
      if (victim.preemptions >= state.settings.preemptionLimit) continue;
      if (!isEligible(view, needs, attempt.entry)) continue;
      victim.preemptions += 1;
      const cancel = cancelAttempt(state, attempt, "preempted", now);
      enqueue(state, victim, now);
      return { entry: attempt.entry, effects: [cancel] };
    }
  }
  return undefined;
}

/** Finds a server to overcommit; the engine then schedules by priority. */
function overcommit(
  state: FleetState,
  request: {
    readonly record: RequestRecord;
    readonly needs: RoutingRequirements;
    readonly now: number;
  },
): Route | undefined {
  const { record, needs, now } = request;
  const { pool } = record.pool;
  const view = routingView(state, record.pool, now);
  let best: ServerEntry | undefined;
  let bestUsed = Infinity;
  const owned = state.table.ownedMembers(pool)
    .sample(overcommitSampleSize, state.random);
  for (const entry of owned) {
    const { capacity, role } = entry.server;
    const extra = Math.ceil(capacity * state.settings.priorityOvercommit);
    const used = state.table.estimatedRequests(entry);
    if (role === "prefill" || entry.localAttempts >= capacity + extra) continue;
    if (used >= capacity + extra || !isEligible(view, needs, entry)) continue;
    if (record.pool.slowServers.trafficWeight(entry.server.id) < 0.5) continue;
    if (used >= bestUsed) continue;
    best = entry;
    bestUsed = used;
  }
  if (best === undefined) return undefined;
  return directRoute(state, record, { entry: best, now });
}

function directRoute(
  state: FleetState,
  record: RequestRecord,
  options: { readonly entry: ServerEntry; readonly now: number },
): Route {
  const { entry, now } = options;
  const roundTrip = state.roundTrips.get(entry.server.region) ?? 0;
  const computeTime = record.work.model === undefined
    ? record.estimate.firstTokenTime
    : record.pool.estimates.prefillTime(
      record.work.promptTokens + promptOverhead,
      now,
    );
  return {
    entry,
    uncachedTokens: record.work.promptTokens,
    expectedFirstToken: computeTime + entry.pendingPrefillTime + roundTrip,
  };
}
