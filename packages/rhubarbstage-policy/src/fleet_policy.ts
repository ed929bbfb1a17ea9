/**
 * Fleet policy: one reducer over all events of one host.
 *
 * @module
 */

import type { BackendServerId } from "rhubarbstage";
import {
  type AdmissionView,
  jitteredRetryAfter,
  predictWait,
  uncorrectedWait,
  wouldMissDeadlineOrTarget,
} from "./admission.ts";
import {
  cancelAttempt,
  findAttempt,
  finishAttempt,
  handleFirstToken,
  handlePromptComputed,
  handleTokens,
} from "./attempts.ts";
import { applyFigures, learnLoad, publishFigures } from "./cost_learning.ts";
import { applyEngineWork, endSharedWork } from "./shared_work.ts";
import {
  demandPublishInterval,
  samplesForAdmission,
  samplesForRoles,
} from "./constants.ts";
import {
  handleFailure,
  markCrash,
  mergePartMarks,
  popDueRefusals,
  publishPartMarks,
} from "./failures.ts";
import {
  applyBudgetLimits,
  applySettings,
  createFleetState,
  type FleetOptions,
  type FleetState,
  isQuarantined,
  type PoolState,
  poolStateOf,
  requestLimitWait,
  type RequestRecord,
  serverPause,
  slotsUsedAbovePriority,
} from "./fleet_state.ts";
import { Policy } from "./policy.ts";
import {
  cancelQuery,
  dequeue,
  dispatchPool,
  enqueue,
  isCompeting,
  waitingCount,
} from "./scheduling.ts";
import { decideSharedRoles } from "./engine_roles.ts";
import {
  answerQuery,
  findInfeasibleRequest,
  placeLocally,
  receivePlacement,
} from "./placement.ts";
import {
  answerCustomerQuery,
  forgetQuery,
  serveQueues,
} from "./placement_competition.ts";
import { createRefusalNote, refuse } from "./refusals.ts";
import type { LimitChange } from "./request_limits.ts";
import { mayContinue } from "./routing.ts";
import { type Pool, poolNameOf } from "./server_table.ts";
import { expire, moveStreams, startDueHedges } from "./supervision.ts";
import {
  type AnswerOrigin,
  type BackendServer,
  budgetScopeOf,
  isCancellable,
  type PolicyEffect,
  type PolicyEvent,
  sharedPartsOf,
  type Work,
} from "./types.ts";
import type { WorkEstimate } from "./work_estimates.ts";

type EventOf<Type extends PolicyEvent["type"]> = Extract<
  PolicyEvent,
  { type: Type }
>;

/** Maximum factor by which predicted waits are corrected up or down. */
const maxWaitCorrection = 4;
/**
 * Minimum interval between publications of evidence about prompt parts, except
 * of crashes, which are published at once, in milliseconds.
 */
const partMarksInterval = 500;
/** Interval between decisions on engine roles, in milliseconds. */
const roleDecisionInterval = 500;

/**
 * Policy of one of many hosts that share servers. It learns of others' activity
 * only from load reports and gossip. An event's cost is independent of the
 * number of servers, except that membership and settings changes and role
 * decisions scan whole pools, and the placement of engine work scores up to
 * `maxLocalEngines` and `maxRemoteEngines`.
 */
export class FleetPolicy extends Policy<FleetState> {
  #options: FleetOptions;

  constructor(options: FleetOptions) {
    super();
    this.#options = options;
  }

  override initial(): FleetState {
    const state = createFleetState(this.#options);
    applyBudgetLimits(state);
    return state;
  }

  override reduce(
    state: FleetState,
    event: PolicyEvent,
  ): readonly PolicyEffect[] {
    const effects = this.#reduce(state, event);
    if (state.endedWork.length === 0) return effects;
    const ends = state.endedWork.splice(0).map((end) =>
      ({ type: "announce_work_end", end }) as const
    );
    return [...effects, ...ends];
  }

  #reduce(state: FleetState, event: PolicyEvent): readonly PolicyEffect[] {
    switch (event.type) {
      case "arrived":
        return onArrived(state, event.work, event.now);
      case "caller_gone":
        return onCallerGone(state, event);
      case "first_token":
      case "tokens":
        return onProgress(state, event);
      case "finished":
        return onFinished(state, event);
      case "failed":
        return onFailed(state, event);
      case "server_seen":
        return onServerSeen(state, event);
      case "server_gone":
        return onServerGone(state, event);
      case "cache_changed":
        if (event.gap) state.prefixes.forget(event.server, event.now);
        state.prefixes.store(event.server, event.stored, event.now);
        state.prefixes.evict(event.server, event.evicted);
        return [];
      case "work_announced":
        applyEngineWork(state, event.work, event.now);
        return [];
      case "work_ended":
        endSharedWork(state, event, event.now);
        return serveQueues(state, event.now);
      case "placement_requested":
        return onPlacementRequested(state, event);
      case "placement_cancelled":
        forgetQuery(state, event);
        return [];
      case "placement_due":
        return serveQueues(state, event.now);
      case "placement_received":
        return receivePlacement(state, event, event.now);
      case "placement_unanswered":
        return placeLocally(state, event.request, event.now);
      case "placement_host_changed":
        state.isPlacementRemote = event.isRemote;
        return [];
      case "prompt_computed":
        return onPromptComputed(state, event);
      case "path_measured":
        state.roundTrips.set(event.region, event.roundTrip);
        return [];
      case "demand_reported":
        return onDemandReported(state, event);
      case "quarantine_reported":
        state.quarantine.mergeMarks(event.marks, event.now);
        return [];
      case "request_limit_observed":
        return onRequestLimitObserved(state, event);
      case "server_notice_observed":
        return onServerNoticeObserved(state, event);
      case "request_limits_reported":
        return onRequestLimitsReported(state, event);
      case "part_marks_reported":
        return mergePartMarks(state, event.marks, event.now);
      case "role_authority_changed":
        state.holdsRoleAuthority = event.held;
        return [];
      case "settings_changed":
        applySettings(state, event.settings);
        return [];
      case "tick":
        return onTick(state, event.now);
    }
  }
}

function onPlacementRequested(
  state: FleetState,
  event: EventOf<"placement_requested">,
): PolicyEffect[] {
  const { query, now } = event;
  const pool = state.table.pools.get(`model ${query.model}`);
  if (query.customer === undefined || pool === undefined) {
    return answerQuery(state, event, now);
  }
  const poolState = poolStateOf(state, pool, query.model);
  return answerCustomerQuery(state, poolState, event, now);
}

function onArrived(state: FleetState, work: Work, now: number): PolicyEffect[] {
  const { request, settings } = work;
  const scope = budgetScopeOf(work);
  if (state.requests.has(request)) return [];
  const pool = state.table.pools.get(poolNameOf(work));
  if (pool === undefined || pool.members.size === 0) {
    return [refuse(request, "no_backend_server", 1)];
  }
  const { answerOrigin } = work;
  if (answerOrigin !== undefined && !hasVersion(pool, answerOrigin)) {
    const { softwareVersion = "" } = answerOrigin;
    return [
      createRefusalNote(request, {
        reason: "software_version",
        software_version: softwareVersion,
      }),
      refuse(request, "no_backend_server", 1),
    ];
  }
  const poolState = poolStateOf(state, pool, work.model);
  const estimate = poolState.estimates.estimate(work, now);
  const tokens = work.promptTokens + Math.ceil(estimate.outputTokens);
  observeDemand(state, work, { estimate, tokens, now });
  if (now >= work.deadlineAt) return [refuse(request, "deadline_exceeded")];
  if (isQuarantined(state, work, now)) {
    const parts = sharedPartsOf(work).map(({ id }) => id).join(",");
    return [
      createRefusalNote(request, { reason: "crashes_servers", parts }),
      refuse(request, "request_quarantined"),
    ];
  }
  const exceeded = state.limits.check(scope, { tokens, settings }, now);
  if (exceeded !== undefined) {
    const wait = jitteredRetryAfter(
      exceeded.retryAfterMilliseconds,
      state.random,
    );
    return [refuse(request, "limit_exceeded", wait)];
  }
  const record = createRecord(state, poolState, { work, estimate, now });
  const withinFloor = state.limits.tryConsumeFloor(scope, settings, now);
  const view = admissionView(state, record, now);
  const full = state.requests.size >= state.settings.queueLimit;
  // The queues of shared engines are forecast by the placement instead.
  const isForecast = state.settings.shareEngineState &&
    work.model !== undefined;
  const wouldBeLate = !withinFloor && !isForecast &&
    wouldMissDeadlineOrTarget(work, estimate, view);
  if (full || wouldBeLate) {
    const wait = jitteredRetryAfter(predictWait(view), state.random);
    const reason = full ? "queue_limit" : "predicted_wait";
    return [
      createRefusalNote(request, {
        reason,
        expected_wait: Math.round(predictWait(view)),
        slots: Math.round(view.slots),
        target: work.settings.firstTokenTarget,
      }),
      refuse(request, "overloaded", wait),
    ];
  }
  const limitWait = requestLimitWait(state, poolState, now);
  const pause = serverPause(state, poolState, now);
  const serverWait = Math.max(limitWait, pause);
  if (serverWait > 0 && now + serverWait + estimate.runTime > work.deadlineAt) {
    const wait = Math.min(serverWait, work.deadlineAt - now);
    return [
      createRefusalNote(request, {
        reason: pause > limitWait ? "server_pause" : "request_limit",
        expected_wait: Math.round(wait),
      }),
      refuse(request, "overloaded", jitteredRetryAfter(wait, state.random)),
    ];
  }
  const hasQueue = !view.hasFreeSlot || view.costAhead > 0;
  if (hasQueue) record.uncorrectedWait = uncorrectedWait(view);
  const infeasible = state.isPlacementRemote || isCompeting(state, work)
    ? undefined
    : findInfeasibleRequest(state, record, now);
  if (infeasible !== undefined) {
    const { retryAfter, ...inputs } = infeasible;
    return [
      createRefusalNote(request, { reason: "engine_queue", ...inputs }),
      refuse(request, "overloaded", retryAfter / 1_000),
    ];
  }
  state.limits.charge(scope, tokens);
  record.chargedTokens = tokens;
  state.requests.set(request, record);
  state.deadlines.push({ at: work.deadlineAt, subject: record });
  enqueue(state, record, now);
  return dispatchPool(state, poolState, now);
}

/** Whether a pool has a server that may go on with an answer. */
function hasVersion(pool: Pool, origin: AnswerOrigin): boolean {
  return [...pool.members.values()]
    .some(({ server }) => mayContinue(server, origin));
}

function observeDemand(
  state: FleetState,
  work: Work,
  options: {
    readonly estimate: WorkEstimate;
    readonly tokens: number;
    readonly now: number;
  },
): void {
  const { estimate, tokens, now } = options;
  state.limits.observe(budgetScopeOf(work), tokens, now);
  // Work on shared engines is recorded when its uncached tokens are known.
  if (work.model === undefined || state.settings.shareEngineState) return;
  const { promptTokens } = work;
  const { outputTokens } = estimate;
  state.limits.observeModel(work.model, { promptTokens, outputTokens }, now);
}

function createRecord(
  state: FleetState,
  pool: PoolState,
  options: {
    readonly work: Work;
    readonly estimate: WorkEstimate;
    readonly now: number;
  },
): RequestRecord {
  const { work, estimate, now } = options;
  const long = isLong(state, pool, { work, estimate, now });
  return {
    work,
    pool,
    estimate,
    long,
    attempts: new Map(),
    failedOn: new Set(),
    answerOrigin: work.answerOrigin,
    deliveredTokens: 0,
    chargedTokens: 0,
    uncorrectedWait: 0,
    lane: undefined,
    queuedAt: now,
    preemptions: 0,
    queueDispatches: 0,
    starts: 0,
    entitledByFloor: false,
    isPlacedLocally: false,
    isRefusalDue: false,
  };
}

/** Whether slot time or prompt length far exceeds the pool's typical value. */
function isLong(
  state: FleetState,
  pool: PoolState,
  options: {
    readonly work: Work;
    readonly estimate: WorkEstimate;
    readonly now: number;
  },
): boolean {
  const { work, estimate, now } = options;
  const { estimates } = pool;
  if (estimates.sampleCount < samplesForAdmission) return false;
  const { longCostFactor } = state.settings;
  if (estimate.runTime > estimates.typicalRunTime(now) * longCostFactor) {
    return true;
  }
  return work.model !== undefined &&
    work.promptTokens > estimates.typicalPrompt(now) * longCostFactor;
}

function admissionView(
  state: FleetState,
  record: RequestRecord,
  now: number,
): AdmissionView {
  const { pool, work } = record;
  const { short, long, retry } = pool.lanes;
  const costAhead = short.costAhead(work) + retry.costAhead(work) +
    (record.long ? long.costAhead(work) : 0);
  const hasOpenServer = [...pool.pool.openGeneratingServers.values()]
    .some((servers) => servers.size > 0);
  const higherPrioritySlots = slotsUsedAbovePriority(
    pool,
    work.settings.priority,
    now,
  );
  return {
    costAhead: costAhead * pool.estimates.calibration(now),
    slots: Math.max(1, pool.pool.localAttempts - higherPrioritySlots),
    hasFreeSlot: hasOpenServer,
    samples: pool.estimates.sampleCount,
    typicalRunTime: pool.estimates.typicalRunTime(now),
    correction: clampCorrection(pool.waitCorrection.value(now)),
    targetFactor: state.settings.admissionTargetFactor,
    now,
  };
}

function clampCorrection(ratio: number): number {
  return Math.min(maxWaitCorrection, Math.max(1 / maxWaitCorrection, ratio));
}

function onCallerGone(
  state: FleetState,
  event: EventOf<"caller_gone">,
): PolicyEffect[] {
  const record = state.requests.get(event.request);
  if (record === undefined) return [];
  if (record.attempts.size > 0 && !isCancellable(record.work)) return [];
  dequeue(record);
  state.requests.delete(event.request);
  const cancelled = cancelQuery(state, event.request);
  const cancels = [...record.attempts.values()].map((attempt) =>
    cancelAttempt(state, attempt, "caller_gone", event.now)
  );
  return [
    ...cancelled,
    ...cancels,
    ...dispatchPool(state, record.pool, event.now),
  ];
}

function onProgress(
  state: FleetState,
  event: EventOf<"first_token"> | EventOf<"tokens">,
): PolicyEffect[] {
  const attempt = findAttempt(state, event.request, event.attempt);
  if (attempt === undefined) return [];
  const effects = event.type === "first_token"
    ? handleFirstToken(state, attempt, event.now)
    : handleTokens(state, attempt, event);
  if (effects.length === 0 && attempt.prefill === undefined) return effects;
  return [...effects, ...dispatchPool(state, attempt.record.pool, event.now)];
}

function onPromptComputed(
  state: FleetState,
  event: EventOf<"prompt_computed">,
): PolicyEffect[] {
  const attempt = findAttempt(state, event.request, event.attempt);
  if (attempt !== undefined) handlePromptComputed(state, attempt, event.now);
  return [];
}

function onFinished(
  state: FleetState,
  event: EventOf<"finished">,
): PolicyEffect[] {
  const attempt = findAttempt(state, event.request, event.attempt);
  if (attempt === undefined) return [];
  return [
    ...finishAttempt(state, attempt, event),
    ...dispatchPool(state, attempt.record.pool, event.now),
  ];
}

function onFailed(state: FleetState, event: EventOf<"failed">): PolicyEffect[] {
  const attempt = findAttempt(state, event.request, event.attempt);
  if (attempt === undefined) return [];
  return [
    ...handleFailure(state, attempt, event),
    ...dispatchPool(state, attempt.record.pool, event.now),
  ];
}

function onServerSeen(
  state: FleetState,
  event: EventOf<"server_seen">,
): PolicyEffect[] {
  const { server, now } = event;
  const effects: PolicyEffect[] = [];
  const known = state.table.servers.get(server.id);
  if (known !== undefined && known.server.incarnation < server.incarnation) {
    effects.push(...markCrash(state, known, now));
    forgetServer(state, server, now);
  }
  const before = known?.server.load;
  if (!state.table.upsert(server, now)) return effects;
  observeLoad(state, { server, before, now });
  state.quarantine.recordServerSeen(server.id, server.incarnation, now);
  const entry = state.table.servers.get(server.id);
  for (const pool of entry?.pools ?? []) {
    const poolState = state.poolStates.get(pool.name);
    if (poolState === undefined) continue;
    effects.push(...dispatchPool(state, poolState, now));
  }
  return effects;
}

/** Learns from a load report, unless it is one that was seen before. */
function observeLoad(
  state: FleetState,
  seen: {
    readonly server: BackendServer;
    readonly before: BackendServer["load"];
    readonly now: number;
  },
): void {
  const { server: { id, load }, before, now } = seen;
  const entry = state.table.servers.get(id);
  if (load === undefined || load === before || entry === undefined) return;
  learnLoad(state, entry, load, now);
}

function onServerGone(
  state: FleetState,
  event: EventOf<"server_gone">,
): PolicyEffect[] {
  const entry = state.table.servers.get(event.server);
  if (entry === undefined) return [];
  const effects = event.crashed ? markCrash(state, entry, event.now) : [];
  forgetServer(state, entry.server, event.now);
  state.table.remove(event.server);
  return effects;
}

/** Drops state learned about a server process that is gone. */
function forgetServer(
  state: FleetState,
  server: BackendServer,
  now: number,
): void {
  state.prefixes.forget(server.id, now);
  state.requestLimits.forget(server.id);
  state.serverNotices.forget(server.id);
  const entry = state.table.servers.get(server.id);
  for (const pool of entry?.pools ?? []) {
    state.poolStates.get(pool.name)?.slowServers.forget(server.id);
  }
}

function onRequestLimitObserved(
  state: FleetState,
  event: EventOf<"request_limit_observed">,
): PolicyEffect[] {
  const entry = state.table.servers.get(event.server);
  if (entry === undefined) return [];
  const { limit, now } = event;
  const change = state.requestLimits.observe(entry.server, limit, now);
  return [
    ...limitNotes(event.server, change, true),
    ...publishRequestLimits(state, now),
  ];
}

function onServerNoticeObserved(
  state: FleetState,
  event: EventOf<"server_notice_observed">,
): PolicyEffect[] {
  const entry = state.table.servers.get(event.server);
  if (entry?.server.incarnation !== event.incarnation) return [];
  const { server, incarnation, notice, now } = event;
  const { serverNotices } = state;
  const knownWait = serverNotices.waitTime(entry.server, now);
  serverNotices.observe(entry.server, notice, now);
  if (serverNotices.waitTime(entry.server, now) <= knownWait) return [];
  return [{
    type: "note",
    event: notice.isLeaving ? "server_leaving" : "server_paused",
    fields: {
      server,
      incarnation,
      ...(notice.pause === undefined ? {} : { milliseconds: notice.pause }),
    },
  }];
}

function onRequestLimitsReported(
  state: FleetState,
  { limits, now }: EventOf<"request_limits_reported">,
): PolicyEffect[] {
  const effects: PolicyEffect[] = [];
  for (const report of limits) {
    const entry = state.table.servers.get(report.server);
    if (entry === undefined) continue;
    const change = state.requestLimits.merge(entry.server, report, now);
    effects.push(...limitNotes(report.server, change, false));
  }
  return [...effects, ...publishRequestLimits(state, now)];
}

function limitNotes(
  server: BackendServerId,
  change: LimitChange | undefined,
  noticedHere: boolean,
): PolicyEffect[] {
  if (change === undefined) return [];
  return [{
    type: "note",
    event: change.limit === undefined
      ? "request_limit_ended"
      : "request_limit_named",
    fields: { server, ...change, noticed_here: noticedHere },
  }];
}

function publishRequestLimits(
  state: FleetState,
  now: number,
): PolicyEffect[] {
  const limits = state.requestLimits.takeChangedReports(now);
  return limits === undefined
    ? []
    : [{ type: "publish_request_limits", limits }];
}

function onDemandReported(
  state: FleetState,
  event: EventOf<"demand_reported">,
): PolicyEffect[] {
  state.limits.updateDemand(event.total, event);
  state.table.setHosts(
    Math.max(1, event.hosts),
    // A host not yet listed in gossip uses the first position.
    Math.max(0, event.position ?? 0),
  );
  state.modelDemand = event.models ?? new Map();
  if (event.figures !== undefined) {
    applyFigures(state, event.figures);
  }
  applyBudgetLimits(state);
  return [];
}

function onTick(state: FleetState, now: number): PolicyEffect[] {
  const effects = [
    ...popDueRefusals(state, now),
    ...expire(state, now),
    ...startDueHedges(state, now),
    ...serveQueues(state, now),
    ...moveStreams(state, now),
  ];
  for (const pool of state.poolStates.values()) {
    if (waitingCount(pool) > 0) effects.push(...dispatchPool(state, pool, now));
  }
  if (now - state.partMarksPublishedAt >= partMarksInterval) {
    effects.push(...publishPartMarks(state, now));
  }
  if (now - state.publishedAt >= demandPublishInterval) {
    state.publishedAt = now;
    const published = state.limits.publish(now);
    state.localModelDemand = published.localModelDemand;
    const figures = publishFigures(state, now);
    effects.push({
      type: "publish_demand",
      ...published,
      ...(figures === undefined ? {} : { figures }),
    });
  }
  if (
    state.holdsRoleAuthority &&
    now - state.rolesDecidedAt >= roleDecisionInterval
  ) {
    state.rolesDecidedAt = now;
    effects.push(...decideRoles(state, now));
  }
  return effects;
}

function decideRoles(state: FleetState, now: number): PolicyEffect[] {
  if (state.settings.shareEngineState) {
    return decideSharedRoles(state, now)
      .map((change) => ({ type: "set_role", ...change }));
  }
  const effects: PolicyEffect[] = [];
  for (const poolState of state.poolStates.values()) {
    const { model, pool, estimates } = poolState;
    if (model === undefined || estimates.sampleCount < samplesForRoles) {
      continue;
    }
    const demand = state.modelDemand.get(model) ??
      state.localModelDemand.get(model);
    if (demand === undefined || pool.members.size === 0) continue;
    const engines = [...pool.members.values()].map((entry) => ({
      id: entry.server.id,
      role: entry.server.role,
      outstanding: state.table.estimatedRequests(entry),
    }));
    const slotsPerEngine = pool.capacity / pool.members.size;
    const promptTimeOnPrefillEngines = estimates
      .prefillEnginePromptTimePerToken(now);
    const promptTimeOnDecodeEngines = estimates.decodeEnginePromptTimePerToken(
      now,
    );
    const engineTimePerOutputToken = estimates.unqueuedTokenInterval() /
      slotsPerEngine;
    const promptTokensPerMs = demand.promptTokensPerSecond / 1_000;
    const outputTokensPerMs = demand.outputTokensPerSecond / 1_000;
    const changes = state.roles.decide(
      {
        model,
        engines,
        demand: {
          prefillEngines: promptTokensPerMs * promptTimeOnPrefillEngines,
          decodeEngines: outputTokensPerMs * engineTimePerOutputToken +
            promptTokensPerMs * promptTimeOnDecodeEngines,
        },
      },
      state.settings,
      now,
    );
    for (const change of changes) effects.push({ type: "set_role", ...change });
  }
  return effects;
}
