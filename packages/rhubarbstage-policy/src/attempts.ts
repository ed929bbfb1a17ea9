/**
 * Start and end of attempts, and the estimates learned from them.
 *
 * @module
 */

import type { AttemptId, BackendServerId, RequestId } from "rhubarbstage";
import { promptOverhead } from "./constants.ts";
import { learnCost, paceFactor } from "./cost_learning.ts";
import type { Attempt, FleetState, RequestRecord } from "./fleet_state.ts";
import type { Route } from "./routing.ts";
import { announceWork, endAnswer, endPrompt } from "./shared_work.ts";
import {
  type AnswerOrigin,
  budgetScopeOf,
  type CancelReason,
  type PolicyEffect,
  sharedPartsOf,
} from "./types.ts";

/** Window over which the speed of a stream is measured, in tokens or time. */
const speedWindowTokens = 16;
const speedWindowTime = 250;
/**
 * Multiple of the expected first token time; with 1, hedges preceded the slow
 * server's first latency sample.
 */
const slowServerHedgeFactor = 2;
/** Shorter delays are within network and timer jitter, in milliseconds. */
const minHedgeDelay = 30;
/** Shorter token gaps are within one engine step, in milliseconds. */
const minTokenIntervalWindow = 100;
/** Multiple of the estimated output above which running work is long. */
const stragglerFactor = 4;

/** Starts a request on the chosen server. */
export function startAttempt(
  state: FleetState,
  record: RequestRecord,
  route: Route,
  now: number,
): PolicyEffect[] {
  const { work, pool } = record;
  const attempt = createAttempt(state, record, { route, now });
  record.attempts.set(attempt.id, attempt);
  record.starts += 1;
  reserveSlots(state, attempt, now);
  if (record.attempts.size === 1) markPreemptible(record);
  if (work.repeatable) {
    const at = now + hedgeDelayOf(state, attempt);
    state.hedges.push({ at, subject: attempt });
  }
  if (!attempt.isPlacedRemotely) recordSends(state, attempt, now);
  if (work.model !== undefined) recordPlacement(state, attempt, now);
  const effects = announceWork(state, attempt, { route, now });
  pool.slowServers.recordDispatch(attempt.entry.server.id, now);
  const { prefill } = attempt;
  const { softwareVersion } = attempt;
  effects.push({
    type: "dispatch",
    request: work.request,
    attempt: attempt.id,
    server: attempt.entry.server.id,
    ...(softwareVersion === undefined ? {} : { softwareVersion }),
    ...(prefill === undefined ? {} : { prefillServer: prefill.server.id }),
    priority: work.settings.priority * 2 + (record.long ? 0 : 1),
    rank: attempt.rank,
    resumeFrom: record.deliveredTokens,
    forecast: {
      firstToken: attempt.expectedFirstToken,
      wait: attempt.expectedWait,
      uncachedTokens: attempt.uncachedTokens,
    },
  });
  return effects;
}

/** Counts the requests of an attempt against its servers' limits. */
export function recordSends(
  state: FleetState,
  { entry, prefill }:
    & Pick<Attempt, "entry">
    & Partial<Pick<Attempt, "prefill">>,
  now: number,
): void {
  state.requestLimits.recordSend(entry.server, now);
  if (prefill === undefined) return;
  state.requestLimits.recordSend(prefill.server, now);
}

function createAttempt(
  state: FleetState,
  record: RequestRecord,
  options: { readonly route: Route; readonly now: number },
): Attempt {
  const { route, now } = options;
  const { entry, prefill, uncachedTokens, expectedFirstToken } = route;
  const { request, fingerprint } = record.work;
  const rank = route.rank ?? record.work.rank ?? 0;
  const computing = prefill ?? entry;
  state.attemptCount += 1;
  return {
    id: `${request}-${state.attemptCount}` as AttemptId,
    record,
    entry,
    incarnation: entry.server.incarnation,
    softwareVersion: entry.server.softwareVersion,
    prefill,
    startedAt: now,
    uncachedTokens,
    expectedFirstToken,
    resumeFrom: record.deliveredTokens,
    suspect: state.quarantine.isSuspect(fingerprint, now),
    queuedOnServer:
      state.table.estimatedRequests(computing) >= computing.server.capacity,
    rank,
    isPlacedRemotely: route.works !== undefined,
    promptWork: undefined,
    answerWork: undefined,
    expectedWait: route.wait ?? computing.queue.waitTime(now, rank),
    pendingPrefillTime: Math.max(
      0,
      expectedFirstToken - entry.pendingPrefillTime,
    ),
    countedLong: record.long,
    computedAt: undefined,
    fixedTime: undefined,
    firstTokenAt: undefined,
    generatedTokens: 0,
    windowTokens: 0,
    windowAt: now,
    lastTokenIntervalRatio: 1,
  };
}

/** Records where the prompt is computed and will be cached. */
function recordPlacement(
  state: FleetState,
  attempt: Attempt,
  now: number,
): void {
  const { record, entry, prefill, uncachedTokens } = attempt;
  const { promptTokens: tokens, prefixHashes: prefixes } = record.work;
  const onPrefillEngine = prefill?.server.role === "prefill";
  state.prefixes.store(entry.server.id, prefixes, now);
  record.pool.estimates.learnPlacement(
    { tokens, uncachedTokens, onPrefillEngine },
    now,
  );
}

/** Returns the attempt, or undefined if it has ended. */
export function findAttempt(
  state: FleetState,
  request: RequestId,
  attempt: AttemptId,
): Attempt | undefined {
  return state.requests.get(request)?.attempts.get(attempt);
}

/** Ends an attempt and frees its slots. */
export function endAttempt(
  state: FleetState,
  attempt: Attempt,
  now: number,
): void {
  const { record, entry, prefill } = attempt;
  if (!record.attempts.delete(attempt.id)) return;
  if (record.attempts.size === 0) unmarkPreemptible(record);
  state.slowStreams.delete(attempt);
  record.deliveredTokens = Math.max(
    record.deliveredTokens,
    attempt.resumeFrom + attempt.generatedTokens,
  );
  releasePendingPrefill(attempt);
  endPrompt(state, attempt, { isComputed: false, now });
  endAnswer(state, attempt, now);
  releaseSlot(state, { entry, attempt, now });
  if (prefill !== undefined && attempt.firstTokenAt === undefined) {
    releaseSlot(state, { entry: prefill, attempt, now });
  }
  if (attempt.countedLong) entry.localLongAttempts -= 1;
  if (attempt.suspect) entry.localSuspectAttempts -= 1;
  record.pool.pool.localAttempts -= 1;
}

/** Ends an attempt and returns the effect that cancels it on the host. */
export function cancelAttempt(
  state: FleetState,
  attempt: Attempt,
  reason: CancelReason,
  now: number,
): PolicyEffect {
  endAttempt(state, attempt, now);
  return {
    type: "cancel",
    request: attempt.record.work.request,
    attempt: attempt.id,
    reason,
  };
}

/** Handles a computed prompt: ends its work and learns the engine's speed. */
export function handlePromptComputed(
  state: FleetState,
  attempt: Attempt,
  now: number,
): void {
  const { record, entry, prefill, uncachedTokens } = attempt;
  const elapsed = endPrompt(state, attempt, { isComputed: true, now });
  attempt.computedAt = now;
  // Only the host that placed the prompt knows when its engine began it.
  if (elapsed === undefined || attempt.isPlacedRemotely) return;
  const { role, region } = (prefill ?? entry).server;
  if (region !== state.region) return;
  const tokens = uncachedTokens;
  const pace = paceFactor(state, prefill ?? entry, now);
  const unpaced = { tokens, role, elapsed: elapsed / pace };
  record.pool.speed.learnPromptTime(unpaced);
  record.pool.speed.learnComputeTime(unpaced);
}

/** Handles the first token: updates estimates and cancels other attempts. */
export function handleFirstToken(
  state: FleetState,
  attempt: Attempt,
  now: number,
): PolicyEffect[] {
  if (attempt.firstTokenAt !== undefined) return [];
  const { record, entry, prefill } = attempt;
  const { estimates, slowServers: slow } = record.pool;
  attempt.firstTokenAt = now;
  attempt.windowAt = now;
  record.answerOrigin ??= toAnswerOrigin(attempt);
  clearParts(state, record);
  releasePendingPrefill(attempt);
  if (prefill !== undefined) {
    releaseSlot(state, { entry: prefill, attempt, now });
  }
  const roundTrip = state.roundTrips.get(entry.server.region) ?? 0;
  const elapsed = Math.max(0.1, now - attempt.startedAt - roundTrip);
  if (record.work.model !== undefined) {
    const tokens = attempt.uncachedTokens + promptOverhead;
    const expected = state.settings.shareEngineState
      ? Math.max(1, attempt.expectedFirstToken)
      : estimates.prefillTime(tokens, now);
    // Queueing time on a full engine is not a measure of its speed.
    if (!attempt.queuedOnServer) {
      const sample = {
        kind: "first_token",
        ratio: elapsed / expected,
      } as const;
      slow.observe((prefill ?? entry).server.id, sample, now);
    }
    estimates.learnFirstToken(tokens, elapsed, now);
    if (prefill === undefined) handlePromptComputed(state, attempt, now);
    else if (attempt.computedAt !== undefined) {
      attempt.fixedTime = now - attempt.computedAt - roundTrip;
      if (entry.server.region === state.region) {
        record.pool.speed.learnFixedTime(attempt.fixedTime);
      }
    }
    const onPrefillEngine = prefill?.server.role === "prefill";
    estimates.learnPromptSpeed({ tokens, elapsed, onPrefillEngine });
  }
  return cancelOtherAttempts(state, attempt, now);
}

function toAnswerOrigin({ softwareVersion }: Attempt): AnswerOrigin {
  return softwareVersion === undefined ? {} : { softwareVersion };
}

/** Handles generated tokens and measures the speed of the stream. */
export function handleTokens(
  state: FleetState,
  attempt: Attempt,
  options: { readonly count: number; readonly now: number },
): PolicyEffect[] {
  const { count, now } = options;
  const effects = handleFirstToken(state, attempt, now);
  const { record, entry } = attempt;
  attempt.generatedTokens += count;
  attempt.windowTokens += count;
  markStraggler(attempt);
  if (tokenIntervalRatio(attempt, now) >= state.settings.slowThreshold) {
    state.slowStreams.add(attempt);
  } else state.slowStreams.delete(attempt);
  const elapsed = now - attempt.windowAt;
  const due = attempt.windowTokens >= speedWindowTokens ||
    elapsed >= speedWindowTime;
  if (!due || elapsed <= 0) return effects;
  const expected = record.pool.estimates.decodeTime(attempt.windowTokens, now) *
    paceFactor(state, entry, now);
  const sample = { kind: "between_tokens", ratio: elapsed / expected } as const;
  record.pool.slowServers.observe(entry.server.id, sample, now);
  record.pool.estimates.learnTokens(attempt.windowTokens, elapsed, now);
  attempt.lastTokenIntervalRatio = sample.ratio;
  attempt.windowTokens = 0;
  attempt.windowAt = now;
  return effects;
}

/** Returns the current token interval of a stream relative to the pool's. */
export function tokenIntervalRatio(attempt: Attempt, now: number): number {
  const { pool } = attempt.record;
  const elapsed = now - attempt.windowAt;
  if (elapsed < minTokenIntervalWindow) return attempt.lastTokenIntervalRatio;
  const tokens = Math.max(1, attempt.windowTokens);
  return elapsed / pool.estimates.decodeTime(tokens, now);
}

/** Ends a request whose answer is complete. */
export function finishAttempt(
  state: FleetState,
  attempt: Attempt,
  result: {
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly now: number;
  },
): PolicyEffect[] {
  const { now } = result;
  const { record, entry } = attempt;
  const { work, pool } = record;
  const runTime = now - attempt.startedAt;
  const effects = cancelOtherAttempts(state, attempt, now);
  learnRemainingTokens(attempt, result.outputTokens, now);
  endAttempt(state, attempt, now);
  state.requests.delete(work.request);
  if (work.model === undefined) {
    const expected = Math.max(1, record.estimate.runTime);
    // A server's own pace is neither ill health nor load.
    const ratio = runTime / expected / paceFactor(state, entry, now);
    const sample = { kind: "call", ratio } as const;
    pool.slowServers.observe(entry.server.id, sample, now);
  }
  const outputTokens = Math.max(result.outputTokens, attempt.generatedTokens);
  effects.push(...learnCost(state, attempt, { outputTokens, runTime }, now));
  if (attempt.resumeFrom === 0) {
    const { estimate } = record;
    pool.estimates.learnRun(work, { outputTokens, runTime, estimate }, now);
  }
  const used = result.promptTokens + outputTokens;
  state.limits.settle(budgetScopeOf(work), used - record.chargedTokens);
  if (attempt.firstTokenAt === undefined) clearParts(state, record);
  const marks = state.quarantine.recordCompletion(work.fingerprint, now);
  if (marks.length > 0) effects.push({ type: "publish_quarantine", marks });
  return effects;
}

/** Records that a server has begun to answer a prompt without crashing. */
function clearParts(state: FleetState, { work }: RequestRecord): void {
  state.partQuarantine.recordAnswer(sharedPartsOf(work).map(({ id }) => id));
}

/** Learns from tokens outside completed windows, as in answers not streamed. */
function learnRemainingTokens(
  attempt: Attempt,
  outputTokens: number,
  now: number,
): void {
  if (attempt.firstTokenAt === undefined) return;
  const learnedTokens = attempt.generatedTokens - attempt.windowTokens;
  const remainingTokens = outputTokens - learnedTokens;
  const elapsed = now - attempt.windowAt;
  if (remainingTokens <= 0 || elapsed <= 0) return;
  attempt.record.pool.estimates.learnTokens(remainingTokens, elapsed, now);
}

/** Returns the wait for the first token before hedging, in milliseconds. */
function hedgeDelayOf(state: FleetState, attempt: Attempt): number {
  const slow =
    attempt.record.pool.slowServers.trafficWeight(attempt.entry.server.id) < 1;
  const factor = slow
    ? Math.min(slowServerHedgeFactor, state.settings.hedgeDelayFactor)
    : state.settings.hedgeDelayFactor;
  return Math.max(minHedgeDelay, attempt.expectedFirstToken * factor);
}

/** Returns the servers on which a request failed or is running. */
export function excludedServers(
  record: RequestRecord,
): ReadonlySet<BackendServerId> {
  if (record.attempts.size === 0) return record.failedOn;
  const excluded = new Set(record.failedOn);
  for (const attempt of record.attempts.values()) {
    excluded.add(attempt.entry.server.id);
  }
  return excluded;
}

function cancelOtherAttempts(
  state: FleetState,
  winner: Attempt,
  now: number,
): PolicyEffect[] {
  return [...winner.record.attempts.values()]
    .filter((attempt) => attempt !== winner)
    .map((attempt) => cancelAttempt(state, attempt, "hedged", now));
}

/** Counts a request as long once its output far exceeds the estimate. */
function markStraggler(attempt: Attempt): void {
  if (attempt.countedLong) return;
  const expected = attempt.record.estimate.outputTokens;
  if (attempt.generatedTokens <= expected * stragglerFactor) return;
  attempt.countedLong = true;
  attempt.entry.localLongAttempts += 1;
}

function reserveSlots(state: FleetState, attempt: Attempt, now: number): void {
  const { entry, prefill, record } = attempt;
  const computing = prefill ?? entry;
  computing.pendingPrefillTime += attempt.pendingPrefillTime;
  if (attempt.countedLong) entry.localLongAttempts += 1;
  if (attempt.suspect) entry.localSuspectAttempts += 1;
  record.pool.pool.localAttempts += 1;
  for (const used of prefill === undefined ? [entry] : [entry, prefill]) {
    state.table.adjustAttempts(used, 1, now);
    let attempts = state.attemptsByServer.get(used.server.id);
    if (attempts === undefined) {
      attempts = new Set();
      state.attemptsByServer.set(used.server.id, attempts);
    }
    attempts.add(attempt);
  }
}

function releaseSlot(
  state: FleetState,
  options: {
    readonly entry: Attempt["entry"];
    readonly attempt: Attempt;
    readonly now: number;
  },
): void {
  const { entry, attempt, now } = options;
  state.table.adjustAttempts(entry, -1, now);
  const attempts = state.attemptsByServer.get(entry.server.id);
  attempts?.delete(attempt);
  if (attempts?.size === 0) state.attemptsByServer.delete(entry.server.id);
}

function releasePendingPrefill(attempt: Attempt): void {
  const computing = attempt.prefill ?? attempt.entry;
  computing.pendingPrefillTime = Math.max(
    0,
    computing.pendingPrefillTime - attempt.pendingPrefillTime,
  );
  attempt.pendingPrefillTime = 0;
}

/** Registers running work that higher priorities may preempt. */
function markPreemptible(record: RequestRecord): void {
  const { work, pool } = record;
  if (!work.repeatable || !work.resumable || record.entitledByFloor) return;
  const { priority } = work.settings;
  let records = pool.preemptible.get(priority);
  if (records === undefined) {
    records = new Set();
    pool.preemptible.set(priority, records);
  }
  records.add(record);
}

function unmarkPreemptible(record: RequestRecord): void {
  const { priority } = record.work.settings;
  record.pool.preemptible.get(priority)?.delete(record);
}

/** Whether the request may be started on one more server. */
export function canStartAnotherAttempt(record: RequestRecord): boolean {
  return record.starts < (record.work.maxAttempts ?? Infinity);
}
