/**
 * Which waiting request runs next, and where.
 *
 * @module
 */

import { avoidedServers, cancelAttempt, startAttempt } from "./attempts.ts";
import { chooseEngines } from "./engine_routing.ts";
import { promptOverhead } from "./constants.ts";
import type { NextItem, QueueItem } from "./fair_queue.ts";
import {
  addServed,
  type FleetState,
  type Lane,
  type PoolState,
  type RequestRecord,
  routingView,
} from "./fleet_state.ts";
import {
  chooseRoute,
  isEligible,
  type Route,
  type RoutingRequirements,
} from "./routing.ts";
import type { ServerEntry } from "./server_table.ts";
import type { PolicyEffect } from "./types.ts";

interface LaneHead {
  readonly lane: Lane;
  readonly next: NextItem;
  readonly aged: boolean;
}

/** Lanes in the order in which they are served at equal priority. */
const laneOrder: readonly Lane[] = ["short", "confined", "long"];
/** Servers that are looked at for room beyond capacity. */
const sampledForOvercommit = 8;
/** Victims that are looked at for one preemption. */
const sampledVictims = 8;

/** Puts a request in the queue of its pool. */
export function enqueue(
  state: FleetState,
  record: RequestRecord,
  now: number,
): void {
  const { work, pool } = record;
  const suspect = state.quarantine.isSuspect(work.fingerprint, now);
  const confined = suspect || record.failedOn.size > 0;
  const lane: Lane = confined ? "confined" : record.long ? "long" : "short";
  const item: QueueItem = {
    work,
    cost: Math.max(1, record.estimate.runTime),
    queuedAt: now,
    taken: false,
  };
  record.lane = lane;
  record.queuedAt = now;
  const floorRate = state.limits.floorRate(work.customer, work.settings);
  pool.lanes[lane].push(item, floorRate, now);
}

/** Takes a request out of the queue without running it. */
export function dequeue(record: RequestRecord): void {
  if (record.lane === undefined) return;
  record.pool.lanes[record.lane].remove(record.work.request);
  record.lane = undefined;
}

/** Requests that wait in a pool. */
export function waitingIn(pool: PoolState): number {
  const { short, long, confined } = pool.lanes;
  return short.size + long.size + confined.size;
}

/** Slots of a pool that this host may use. */
export function slotLimit(state: FleetState, pool: PoolState): number {
  const { hosts } = state.limits;
  const { capacity } = pool.pool;
  if (hosts === 1 || pool.model === undefined) return Infinity;
  const total = state.modelDemand.get(pool.model);
  const own = state.ownModelDemand.get(pool.model);
  let part = 1 / hosts;
  if (total !== undefined && own !== undefined) {
    const all = total.promptTokensPerSecond + total.outputTokensPerSecond;
    const mine = own.promptTokensPerSecond + own.outputTokensPerSecond;
    if (all > 0) part = Math.min(1, Math.max(0.5 / hosts, mine / all));
  }
  return Math.ceil(capacity * part * state.settings.oversubscriptionFactor);
}

/** Runs as much waiting work of a pool as there is room for. */
export function dispatchPool(
  state: FleetState,
  pool: PoolState,
  now: number,
): PolicyEffect[] {
  const effects: PolicyEffect[] = [];
  for (;;) {
    const placed = placeOne(state, pool, now);
    if (placed === undefined) return effects;
    effects.push(...placed);
  }
}

function placeOne(
  state: FleetState,
  pool: PoolState,
  now: number,
): PolicyEffect[] | undefined {
  if (waitingIn(pool) === 0) return undefined;
  for (const head of orderedHeads(state, pool, now)) {
    const effects = placeHead(state, pool, head, now);
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

function placeHead(
  state: FleetState,
  pool: PoolState,
  head: LaneHead,
  now: number,
): PolicyEffect[] | undefined {
  const { item, entitledByFloor: byFloor } = head.next;
  const record = state.requests.get(item.work.request);
  if (record === undefined) return undefined;
  if (now >= item.work.deadlineAt) return [refuseLate(state, record)];
  const urgent = byFloor || item.work.settings.priority > 0;
  const aged = head.aged || urgent;
  const demand = routingRequirements(state, record, { aged, now });
  const view = routingView(state, pool, now);
  const effects: PolicyEffect[] = [];
  let route: Route | undefined;
  if (urgent || pool.pool.localAttempts < slotLimit(state, pool)) {
    route = state.settings.shareEngineState && pool.model !== undefined
      ? chooseEngines(view, demand, pool.speed)
      : chooseRoute(view, demand);
  }
  if (route === undefined && urgent) {
    const freed = preempt(state, { record, demand, now });
    if (freed !== undefined) {
      effects.push(...freed.effects);
      route = directRoute(state, record, { entry: freed.entry, now });
    } else route = overcommit(state, { record, demand, now });
  }
  if (route === undefined) return undefined;
  pool.lanes[head.lane].take(item.work.request, now);
  record.lane = undefined;
  record.entitledByFloor = byFloor;
  if (record.tries === 0) {
    pool.waitCorrection.add(now - record.queuedAt, record.predictedWait, now);
    state.retries.earn(item.work.customer, item.work.settings.retryRatio);
    state.hedgeBudget.earn(state.settings.hedgeRatio);
  }
  record.tries += 1;
  const { priority } = item.work.settings;
  addServed(pool, { priority, cost: item.cost }, now);
  effects.push(...startAttempt(state, record, route, now));
  return effects;
}

/** Ends a waiting request whose deadline passed since the last tick. */
function refuseLate(state: FleetState, record: RequestRecord): PolicyEffect {
  const { request } = record.work;
  dequeue(record);
  state.requests.delete(request);
  const outcome = mayHaveRun(record) ? "may_have_run" : "not_run";
  return { type: "refuse", request, kind: "deadline_exceeded", outcome };
}

/** Whether an earlier attempt may have had an effect. */
export function mayHaveRun(record: RequestRecord): boolean {
  return record.tries > 0 && record.work.repeatable;
}

/** What a request demands of its server now. */
export function routingRequirements(
  state: FleetState,
  record: RequestRecord,
  options: { readonly aged: boolean; readonly now: number },
): RoutingRequirements {
  const { work } = record;
  return {
    work,
    avoided: avoidedServers(record),
    long: record.long,
    aged: options.aged,
    suspect: state.quarantine.isSuspect(work.fingerprint, options.now),
  };
}

/** Cancels lent work of lower priority on a server that suits the request. */
function preempt(
  state: FleetState,
  request: {
    readonly record: RequestRecord;
    readonly demand: RoutingRequirements;
    readonly now: number;
  },
): { entry: ServerEntry; effects: PolicyEffect[] } | undefined {
  const { record, demand, now } = request;
  const view = routingView(state, record.pool, now);
  const { priority } = record.work.settings;
  const levels = [...record.pool.preemptible.keys()]
    .filter((level) => level < priority)
    .sort((left, right) => left - right);
  let looked = 0;
  for (const level of levels) {
    for (const victim of record.pool.preemptible.get(level) ?? []) {
      looked += 1;
      if (looked > sampledVictims) return undefined;
      const attempt = victim.attempts.values().next().value;
      if (attempt === undefined || victim.attempts.size !== 1) continue;
      if (victim.preemptions >= state.settings.preemptionLimit) continue;
      if (!isEligible(view, demand, attempt.entry)) continue;
      victim.preemptions += 1;
      const cancel = cancelAttempt(state, attempt, "preempted", now);
      enqueue(state, victim, now);
      return { entry: attempt.entry, effects: [cancel] };
    }
  }
  return undefined;
}

/** A server with room beyond its capacity; the engine's priorities decide. */
function overcommit(
  state: FleetState,
  request: {
    readonly record: RequestRecord;
    readonly demand: RoutingRequirements;
    readonly now: number;
  },
): Route | undefined {
  const { record, demand, now } = request;
  const { pool } = record.pool;
  const view = routingView(state, record.pool, now);
  let best: ServerEntry | undefined;
  let bestUsed = Infinity;
  const owned = state.table.ownedMembers(pool)
    .sample(sampledForOvercommit, state.random);
  for (const entry of owned) {
    const { capacity, role } = entry.server;
    const extra = Math.ceil(capacity * state.settings.priorityOvercommit);
    const used = state.table.estimatedRequests(entry);
    if (role === "prefill" || entry.localAttempts >= capacity + extra) continue;
    if (used >= capacity + extra || !isEligible(view, demand, entry)) continue;
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
  const path = state.roundTrips.get(entry.server.region) ?? 0;
  const compute = record.work.model === undefined
    ? record.estimate.firstTokenTime
    : record.pool.estimates.prefillTime(
      record.work.promptTokens + promptOverhead,
      now,
    );
  return {
    entry,
    uncachedTokens: record.work.promptTokens,
    expectedFirstToken: compute + entry.pendingPrefillTime + path,
  };
}
