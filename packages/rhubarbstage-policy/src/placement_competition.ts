/**
 * Competition of customers and kinds for the engines that one host places: a
 * query that finds no engine waits here for a bounded time, and the next free
 * slot goes to the query that comes first in the order of `PlacementQueue`.
 *
 * Engines get no more streams than they have slots and no long queues of
 * prompts, because what has been sent to an engine cannot be ordered any more.
 *
 * @module
 */

import type { CustomerId, HostId } from "rhubarbstage";
import { recordSends } from "./attempts.ts";
import { CustomerShares } from "./customer_shares.ts";
import { DecayedSum } from "./decayed.ts";
import { hasFreeStream } from "./engine_routing.ts";
import {
  type FleetState,
  type PoolState,
  requestLimitWait,
} from "./fleet_state.ts";
import {
  findExcessWait,
  placeQuery,
  refusedPlacement,
  toPlacement,
} from "./placement.ts";
import { PlacementQueue, type WaitingQuery } from "./placement_queue.ts";
import { ReturnSchedule } from "./return_schedule.ts";
import type { Route } from "./routing.ts";
import { isAvailable } from "./server_table.ts";
import { applyEngineWork, createEngineWorks } from "./shared_work.ts";
import type { Placement, PlacementQuery, PolicyEffect } from "./types.ts";

/**
 * Part of its target for which a request may be held: a longer hold without
 * service costs its caller more than an early refusal.
 */
export const maxHoldFraction = 1 / 8;
/** Shorter holds are not worth a second answer, in milliseconds. */
const minHold = 4;
/**
 * Queue behind the running prompt of an engine beyond which queries wait here
 * instead, in ms. It keeps the engine busy over the messages that bring its next
 * prompt.
 */
const maxEngineWait = 60;
/** Time constant of the rate at which requests are placed, in milliseconds. */
const placementTimeConstant = 2_000;
/** Time after which a rate of placements is known, in milliseconds. */
const minRateAge = 200;
/** Queries tried for a free slot: some may exclude the engines that have one. */
const maxTries = 3;
/**
 * Part of a request's time that must be lost before it is refused because it
 * would miss its deadline: estimates of its length are not more precise.
 */
const notableDelay = 0.1;
/** Use, relative to the share, up to which a query gets a final try. */
const maxFinalOveruse = 2;

/** Competition for the engines of one model. */
export interface PlacementCompetition {
  readonly customers: CustomerShares<CustomerId>;
  readonly kinds: CustomerShares<string>;
  readonly queue: PlacementQueue;
  readonly returns: ReturnSchedule;
  readonly placements: DecayedSum;
  /** Time of the first query. */
  readonly startedAt: number;
}

/** Returns the competition for a pool, creating it on first use. */
function competitionOf(
  state: FleetState,
  pool: PoolState,
  now: number,
): PlacementCompetition {
  const { name } = pool.pool;
  let found = state.competitions.get(name);
  if (found === undefined) {
    const customers = new CustomerShares<CustomerId>();
    const kinds = new CustomerShares<string>();
    found = {
      customers,
      kinds,
      queue: new PlacementQueue({ customers, kinds }),
      returns: new ReturnSchedule(state.random),
      placements: new DecayedSum(placementTimeConstant),
      startedAt: now,
    };
    state.competitions.set(name, found);
  }
  return found;
}

/**
 * Requests that are placed in a second. A host that has just taken over has seen
 * few of them, so that its rate is scaled by the time that it has seen; before
 * that it assumes enough for every query to wait.
 */
function placementRate(
  { placements, startedAt }: PlacementCompetition,
  now: number,
): number {
  const age = now - startedAt;
  if (age < minRateAge) return Infinity;
  const seen = 1 - Math.exp(-age / placementTimeConstant);
  return Math.max(1, placements.rate(now) / seen);
}

/** Answers the query of an identified customer's request. */
export function answerCustomerQuery(
  state: FleetState,
  pool: PoolState,
  event: { readonly from: HostId; readonly query: PlacementQuery },
  now: number,
): PolicyEffect[] {
  const { customers, kinds, returns } = competitionOf(state, pool, now);
  const { from, query } = event;
  const { customer = "" as CustomerId, kind = "", share = 1 } = query;
  const returnKey = returnKeyOf(query);
  const returned = returnKey === undefined
    ? undefined
    : returns.find(returnKey, now);
  if (isCounted(query) && returned === undefined) {
    customers.ask(customer, share, now);
    kinds.ask(kind, 1, now);
  }
  const hold = holdOf(pool, query, now);
  const item: WaitingQuery = {
    key: queryKey(from, query.request),
    from,
    query,
    customer,
    queuedAt: now,
    limitAt: now + hold,
    cost: expectedCost(pool, query, now),
    ...(returned === undefined || returned.isEarly
      ? {}
      : { returnedSince: returned.since }),
  };
  // Those that wait come first, if they can use what is free.
  const effects = serveQueue(state, pool, now);
  return [...effects, ...admit(state, pool, { item, hold }, now)];
}

/** Serves the queries that wait for a pool's engines, as far as possible. */
export function serveQueue(
  state: FleetState,
  pool: PoolState,
  now: number,
): PolicyEffect[] {
  const competition = state.competitions.get(pool.pool.name);
  if (competition === undefined || competition.queue.size === 0) return [];
  const { queue } = competition;
  const effects: PolicyEffect[] = [];
  let canServe = hasFreeEngine(pool, now);
  while (canServe) {
    canServe = false;
    for (const item of queue.first(maxTries, now)) {
      const route = findRoute(state, pool, item, { now });
      if (route === undefined) continue;
      queue.delete(item.key);
      effects.push(place(state, pool, { item, route }, now));
      canServe = queue.size > 0 && hasFreeEngine(pool, now);
      break;
    }
  }
  for (const item of queue.due(now)) {
    queue.delete(item.key);
    effects.push(settle(state, pool, item, now));
  }
  return effects;
}

/** Serves all queues that are not empty. */
export function serveQueues(state: FleetState, now: number): PolicyEffect[] {
  const effects: PolicyEffect[] = [];
  for (const [name, { queue }] of state.competitions) {
    const pool = queue.size > 0 ? state.poolStates.get(name) : undefined;
    if (pool !== undefined) effects.push(...serveQueue(state, pool, now));
  }
  return effects;
}

/** Forgets a waiting query whose request has ended. */
export function forgetQuery(
  state: FleetState,
  query: { readonly from: HostId; readonly request: string },
): void {
  const key = queryKey(query.from, query.request);
  for (const { queue } of state.competitions.values()) queue.delete(key);
}

function admit(
  state: FleetState,
  pool: PoolState,
  arrival: { readonly item: WaitingQuery; readonly hold: number },
  now: number,
): PolicyEffect[] {
  const { item, hold } = arrival;
  const competition = competitionOf(state, pool, now);
  const { queue } = competition;
  const { from: to, query: { request } } = item;
  const route = hasFreeEngine(pool, now)
    ? findRoute(state, pool, item, { now })
    : undefined;
  if (route !== undefined) return [place(state, pool, { item, route }, now)];
  if (hold < minHold || queue.isFull) return [settle(state, pool, item, now)];
  const ahead = queue.countBefore(item, now) + 1;
  const expectedWait = ahead * 1_000 / placementRate(competition, now);
  if (expectedWait > hold) return [settle(state, pool, item, now)];
  queue.add(item);
  const placement: Placement = { type: "waiting", limit: hold };
  return [{ type: "answer_placement", to, request, placement, works: [] }];
}

/**
 * Time for which a query may be held: a part of its target, and no longer than
 * it can still be served in time.
 */
function holdOf(pool: PoolState, query: PlacementQuery, now: number): number {
  const { firstTokenTarget, timeLeft = Infinity } = query;
  const shortest = expectedCost(pool, query, now) + pool.speed.fixedTime;
  const slack = Math.min(startTimeLeft(query), timeLeft) - shortest;
  const hold = Math.min(firstTokenTarget * maxHoldFraction, slack);
  return Math.max(0, Math.floor(hold));
}

/**
 * Places a query that is not held any longer, or refuses it. A customer far beyond
 * its share gets no final try: its prompts would delay all others.
 */
function settle(
  state: FleetState,
  pool: PoolState,
  item: WaitingQuery,
  now: number,
): PolicyEffect {
  const { customers } = competitionOf(state, pool, now);
  const isModest = customers.overuse(item.customer, now) <= maxFinalOveruse;
  const route = isModest && hasFreeEngine(pool, now)
    ? findRoute(state, pool, item, { isFinal: true, now })
    : undefined;
  return route === undefined
    ? refuseItem(state, pool, item, now)
    : place(state, pool, { item, route }, now);
}

/**
 * Returns the engines for a query, unless it would begin or end too late there.
 * The final try accepts a longer queue of prompts.
 */
function findRoute(
  state: FleetState,
  pool: PoolState,
  item: WaitingQuery,
  options: { readonly isFinal?: boolean; readonly now: number },
): Route | undefined {
  const { isFinal = false, now } = options;
  const { waited } = item.query;
  const held = now - item.queuedAt;
  const query = { ...item.query, waited: waited + held };
  const route = placeQuery(state, pool, query, now, {
    isStrict: true,
    maxWait: isFinal ? longestEngineWait(item) : maxEngineWait,
  });
  if (route === undefined) return undefined;
  if (findExcessWait(route, startTimeLeft(query)) !== undefined) {
    return undefined;
  }
  return missesDeadline(pool, { route, query, held }, now) ? undefined : route;
}

function longestEngineWait({ query }: WaitingQuery): number {
  return Math.max(maxEngineWait, query.firstTokenTarget * maxHoldFraction);
}

/**
 * Whether a request would miss its deadline because of its wait. One that is too
 * long without any wait is not refused for it.
 */
function missesDeadline(
  pool: PoolState,
  placed: {
    readonly route: Route;
    readonly query: PlacementQuery;
    readonly held: number;
  },
  now: number,
): boolean {
  const { route, query, held } = placed;
  const { timeLeft, waited, outputTokens, answerOrigin } = query;
  if (timeLeft === undefined || answerOrigin !== undefined) return false;
  const { wait = 0, expectedFirstToken } = route;
  const duration = expectedFirstToken + answeringTime(pool, outputTokens, now);
  const total = timeLeft - held + waited;
  return duration > timeLeft - held && duration - wait <= total &&
    waited + wait >= total * notableDelay;
}

/** Time to generate an answer in ms; 0 before any observation. */
function answeringTime(
  { estimates }: PoolState,
  outputTokens: number,
  now: number,
): number {
  return estimates.tokenInterval(0) === 0
    ? 0
    : estimates.decodeTime(outputTokens, now);
}

/** Milliseconds in which an answer must begin, or go on if it has begun. */
function startTimeLeft(query: PlacementQuery): number {
  const { startTimeout, waited, answerOrigin } = query;
  return answerOrigin === undefined ? startTimeout - waited : startTimeout;
}

function place(
  state: FleetState,
  pool: PoolState,
  placed: { readonly item: WaitingQuery; readonly route: Route },
  now: number,
): PolicyEffect {
  const { item, route } = placed;
  const { from: to, query, customer } = item;
  const { request, parts, rank, kind = "" } = query;
  const { customers, kinds, returns, placements } = competitionOf(
    state,
    pool,
    now,
  );
  const works = createEngineWorks(state, {
    ...route,
    pool,
    rank: route.rank ?? rank,
    parts,
  });
  for (const work of works) applyEngineWork(state, work, now);
  recordSends(state, route, now);
  const served = {
    cost: costOf(pool, { uncachedTokens: route.uncachedTokens, query }, now),
    isCounted: isCounted(query),
  };
  customers.serve(customer, served, now);
  kinds.serve(kind, served, now);
  placements.add(1, now);
  const returnKey = returnKeyOf(query);
  if (returnKey !== undefined) returns.forget(returnKey);
  const placement = toPlacement(route, { works, rank });
  return { type: "answer_placement", to, request, placement, works };
}

function refuseItem(
  state: FleetState,
  pool: PoolState,
  item: WaitingQuery,
  now: number,
): PolicyEffect {
  const competition = competitionOf(state, pool, now);
  const { returns, queue } = competition;
  const { from: to, query } = item;
  const retryAfter = returns.refuse(returnKeyOf(query), {
    rate: placementRate(competition, now),
    waiting: queue.size,
    pause: Math.min(requestLimitWait(state, pool, now), query.startTimeout),
  }, now);
  const placement = refusedPlacement({ retryAfter, isOrdered: true });
  const { request } = query;
  return { type: "answer_placement", to, request, placement, works: [] };
}

/** Whether an engine has a free slot for a stream. */
function hasFreeEngine({ pool }: PoolState, now: number): boolean {
  for (const entry of pool.members.values()) {
    if (entry.server.role === "prefill" || !isAvailable(entry)) continue;
    if (hasFreeStream(entry, now)) return true;
  }
  return false;
}

/** Retries and taken-up streams count once for their customer. */
function isCounted({ isRetry, answerOrigin }: PlacementQuery): boolean {
  return isRetry !== true && answerOrigin === undefined;
}

/** Expected engine time if only the request's own part is computed, in ms. */
function expectedCost(
  pool: PoolState,
  query: PlacementQuery,
  now: number,
): number {
  const uncachedTokens = query.parts.at(-1)?.tokens ?? query.promptTokens;
  return costOf(pool, { uncachedTokens, query }, now);
}

/**
 * Engine time of a request in milliseconds: its prompt, which runs alone, and its
 * stream, which shares the engine with as many others as there are slots.
 */
function costOf(
  pool: PoolState,
  work: { readonly uncachedTokens: number; readonly query: PlacementQuery },
  now: number,
): number {
  const { members, capacity } = pool.pool;
  const slots = Math.max(1, capacity / Math.max(1, members.size));
  return pool.speed.promptTime(work.uncachedTokens, "mixed") +
    answeringTime(pool, work.query.outputTokens, now) / slots;
}

/**
 * Names the request of a caller that returns. The last part of a prompt is unique
 * to its request, and the same when it is sent again.
 */
function returnKeyOf({ customer, parts }: PlacementQuery): string | undefined {
  const own = parts.at(-1);
  return own === undefined ? undefined : `${customer}\n${own.id}`;
}

function queryKey(from: HostId, request: string): string {
  return `${from}\n${request}`;
}
