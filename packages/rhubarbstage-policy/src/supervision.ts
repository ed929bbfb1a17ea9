/**
 * Deadlines, hedging and moving of running work.
 *
 * @module
 */

import {
  cancelAttempt,
  canStartAnotherAttempt,
  startAttempt,
  tokenIntervalRatio,
} from "./attempts.ts";
import {
  type Attempt,
  type FleetState,
  type RequestRecord,
  routingView,
} from "./fleet_state.ts";
import { chooseRoute, type Route } from "./routing.ts";
import {
  cancelQuery,
  dequeue,
  mayHaveRun,
  routingRequirements,
  waitingCount,
} from "./scheduling.ts";
import { isCancellable, type PolicyEffect } from "./types.ts";

/** Maximum number of streams moved in one tick. */
const maxMovesPerTick = 4;
/** Minimum time saved by moving a stream, in milliseconds. */
const minMoveSaving = 100;

/** Refuses waiting work and cancels running work at its deadline. */
export function expire(state: FleetState, now: number): PolicyEffect[] {
  const effects: PolicyEffect[] = [];
  for (;;) {
    const timer = state.deadlines.peek();
    if (timer === undefined || timer.at > now) return effects;
    state.deadlines.pop();
    const record = timer.subject;
    const { work } = record;
    if (state.requests.get(work.request) !== record) continue;
    // Its refusal waits until the marks have spread.
    if (record.isRefusalDue) continue;
    const running = record.attempts.size > 0;
    if (running && !isCancellable(work)) continue;
    for (const attempt of [...record.attempts.values()]) {
      effects.push(cancelAttempt(state, attempt, "deadline", now));
    }
    dequeue(record);
    state.requests.delete(work.request);
    effects.push(...cancelQuery(state, work.request));
    effects.push({
      type: "refuse",
      request: work.request,
      kind: "deadline_exceeded",
      outcome: running || mayHaveRun(record) ? "may_have_run" : "not_run",
    });
  }
}

/** Starts second attempts of requests that wait too long for a first token. */
export function startDueHedges(state: FleetState, now: number): PolicyEffect[] {
  const effects: PolicyEffect[] = [];
  for (;;) {
    const timer = state.hedges.peek();
    if (timer === undefined || timer.at > now) return effects;
    state.hedges.pop();
    const attempt = timer.subject;
    const { record } = attempt;
    if (!record.attempts.has(attempt.id)) continue;
    if (attempt.firstTokenAt !== undefined) continue;
    // A wait that is not over yet can already show that a server is slow.
    const expected = Math.max(1, attempt.expectedFirstToken);
    const ratio = (now - attempt.startedAt) / expected;
    const computing = attempt.prefill ?? attempt.entry;
    if (!attempt.queuedOnServer) {
      const kind = record.work.model === undefined ? "call" : "first_token";
      record.pool.slowServers.observeWait(
        computing.server.id,
        { kind, ratio },
        now,
      );
    }
    effects.push(...startHedge(state, attempt, now));
  }
}

/** Moves slow resumable streams to other servers. */
export function moveStreams(state: FleetState, now: number): PolicyEffect[] {
  const effects: PolicyEffect[] = [];
  let moved = 0;
  for (const attempt of state.slowStreams) {
    if (moved >= maxMovesPerTick) break;
    if (!isMoveWorthwhile(state, attempt, now)) continue;
    const moves = moveStream(state, attempt, now);
    if (moves.length > 0) moved += 1;
    effects.push(...moves);
  }
  return effects;
}

function startHedge(
  state: FleetState,
  attempt: Attempt,
  now: number,
): PolicyEffect[] {
  const { record } = attempt;
  if (!record.work.repeatable || record.attempts.size > 1) return [];
  if (isRoutedByQueue(state, record)) return [];
  if (!canStartAnotherAttempt(record)) return [];
  if (waitingCount(record.pool) > 0 || now >= record.work.deadlineAt) return [];
  const route = findAlternativeRoute(state, attempt, now);
  if (route === undefined || !state.hedgeBudget.spend()) return [];
  return [...startAttempt(state, record, route, now), {
    type: "note",
    event: "request_hedged",
    fields: {
      request: record.work.request,
      slow_server: attempt.entry.server.id,
      server: route.entry.server.id,
    },
  }];
}

/**
 * Whether moving a stream saves more time than it costs. The stream itself must
 * be slow: otherwise a recovered server would lose every stream that could show
 * its recovery.
 */
function isMoveWorthwhile(
  state: FleetState,
  attempt: Attempt,
  now: number,
): boolean {
  const { record } = attempt;
  const { work, pool } = record;
  if (!work.repeatable || !work.resumable) return false;
  if (isRoutedByQueue(state, record)) return false;
  if (!canStartAnotherAttempt(record)) return false;
  if (attempt.firstTokenAt === undefined || record.attempts.size !== 1) {
    return false;
  }
  const intervalRatio = tokenIntervalRatio(attempt, now);
  if (intervalRatio < state.settings.slowThreshold) return false;
  const expectedTokens = Math.max(
    record.estimate.outputTokens - attempt.generatedTokens,
    attempt.generatedTokens,
  );
  const remainingTokens = Math.min(
    expectedTokens,
    work.outputTokenLimit - attempt.generatedTokens,
  );
  const normalTime = pool.estimates.decodeTime(remainingTokens, now);
  const excessTime = normalTime * (intervalRatio - 1);
  const moveCost = pool.estimates.prefillTime(
    work.promptTokens + attempt.generatedTokens,
    now,
  );
  return excessTime > moveCost + minMoveSaving;
}

function moveStream(
  state: FleetState,
  attempt: Attempt,
  now: number,
): PolicyEffect[] {
  const { record } = attempt;
  const route = findAlternativeRoute(state, attempt, now);
  if (route === undefined || !state.hedgeBudget.spend()) return [];
  const sample = {
    kind: "between_tokens",
    ratio: tokenIntervalRatio(attempt, now),
  } as const;
  record.pool.slowServers.observeWait(attempt.entry.server.id, sample, now);
  const cancel = cancelAttempt(state, attempt, "moved", now);
  return [cancel, ...startAttempt(state, record, route, now), {
    type: "note",
    event: "stream_moved",
    fields: {
      request: record.work.request,
      slow_server: attempt.entry.server.id,
      server: route.entry.server.id,
    },
  }];
}

/** Finds a route to another server that is not slow itself. */
function findAlternativeRoute(
  state: FleetState,
  attempt: Attempt,
  now: number,
): Route | undefined {
  const { record } = attempt;
  const requirements = routingRequirements(state, record, {
    mayUseReservedSlots: true,
    now,
  });
  const view = routingView(state, record.pool, now);
  const route = chooseRoute(view, requirements);
  if (route === undefined) return undefined;
  const slow = record.pool.slowServers.trafficWeight(route.entry.server.id) < 1;
  return slow ? undefined : route;
}

/**
 * Whether engines are chosen by queue length. A second prompt on another engine
 * would then lengthen the queues that delay the first one.
 */
function isRoutedByQueue(state: FleetState, record: RequestRecord): boolean {
  return state.settings.shareEngineState && record.work.model !== undefined;
}
