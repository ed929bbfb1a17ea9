/**
 * Learns costs and paces from load reports, ended requests and the figures of
 * other hosts, where work is routed by remaining work.
 *
 * @module
 */

import {
  type Attempt,
  type FleetState,
  type PoolState,
  type RequestRecord,
  routesByRemainingWork,
} from "./fleet_state.ts";
import { type CostEstimate, predictedDecile } from "./request_cost.ts";
import { isPace, usualPace } from "./server_pace.ts";
import type { ServerEntry } from "./server_table.ts";
import type {
  BackendServerLoad,
  PolicyEffect,
  Work,
  WorkFigures,
} from "./types.ts";

const costPrefix = "cost/";
/** Fewer observations in the totals say nothing. */
const minObservations = 0.1;

/** Records a load report that a server has just sent to this host. */
export function learnLoad(
  state: FleetState,
  entry: ServerEntry,
  load: BackendServerLoad,
  now: number,
): void {
  const { pace } = load;
  if (isPace(pace)) {
    state.isPaceReported = true;
    entry.pace.report(pace, now);
  }
  if (!routesByRemainingWork(state) || !isPlain(entry)) return;
  const requests = load.runningRequests + load.queuedRequests;
  entry.remaining.report({ requests, own: entry.localAttempts }, now);
}

/** Records a pace that a server stated to another host a moment ago. */
export function learnReportedPace(
  state: FleetState,
  entry: ServerEntry,
  pace: number,
  now: number,
): void {
  if (!isPace(pace)) return;
  state.isPaceReported = true;
  entry.pace.report(pace, now);
}

/** Factor on the time of work on a server; 1 unless routing depends on it. */
export function paceFactor(
  state: FleetState,
  entry: ServerEntry,
  now: number,
): number {
  return routesByRemainingWork(state) ? entry.pace.current(now) : usualPace;
}

/** Estimates the output of a request in tokens, for the choice of engines. */
export function expectedOutputTokens(
  state: FleetState,
  { work, estimate, pool }: RequestRecord,
): number {
  if (routesByRemainingWork(state)) return estimateCost(pool, work).mean;
  return work.expectedOutputTokens ?? estimate.outputTokens;
}

/** Learns the cost of a request that one attempt has run as a whole. */
export function learnCost(
  state: FleetState,
  attempt: Attempt,
  result: { readonly outputTokens: number; readonly runTime: number },
  now: number,
): PolicyEffect[] {
  if (!routesByRemainingWork(state) || attempt.resumeFrom > 0) return [];
  const { work, pool } = attempt.record;
  const isModel = work.model !== undefined;
  const predicted = estimateCost(pool, work);
  const actual = isModel
    ? result.outputTokens
    : usualRunTime(state, attempt, { ...result, predicted }, now);
  if (!(actual > 0)) return [];
  pool.costs.learn(work.kind, actual, claimOf(work));
  const subject = `${costPrefix}${pool.pool.name}/${work.kind}`;
  state.figures.add(subject, Math.log(actual), now);
  return [{
    type: "compare_cost",
    quantity: isModel ? "output_tokens" : "run_time",
    expected: predicted.mean,
    actual,
    decile: predictedDecile(predicted, actual),
  }];
}

/** Returns the figures to publish; undefined where nothing depends on them. */
export function publishFigures(
  state: FleetState,
  now: number,
): WorkFigures | undefined {
  if (!routesByRemainingWork(state)) return undefined;
  return state.figures.publish(now);
}

/** Applies the totals of the figures over all hosts. */
export function applyFigures(state: FleetState, figures: WorkFigures): void {
  for (const [subject, [sum, count]] of figures) {
    if (!(count >= minObservations) || !subject.startsWith(costPrefix)) {
      continue;
    }
    applyCost(state, subject.slice(costPrefix.length), sum / count);
  }
}

function applyCost(state: FleetState, name: string, mean: number): void {
  // Pool names and routes may contain the separator, so known pools are compared.
  for (const [poolName, { costs }] of state.poolStates) {
    if (!name.startsWith(`${poolName}/`)) continue;
    costs.share(name.slice(poolName.length + 1), mean);
  }
}

/** Estimates the cost of a request in the unit of its pool. */
export function estimateCost(
  { costs }: Pick<PoolState, "costs">,
  work: Work,
): CostEstimate {
  const estimate = costs.estimate(work.kind, claimOf(work));
  if (work.model === undefined) return estimate;
  // Callers that name no limit have one of 0.
  const limit = work.outputTokenLimit > 0 ? work.outputTokenLimit : Infinity;
  return { ...estimate, mean: Math.min(limit, estimate.mean) };
}

function claimOf({ model, expectedOutputTokens }: Work): number | undefined {
  return model === undefined ? undefined : expectedOutputTokens;
}

/** Run time of a plain call at the usual pace, without its path and wait. */
function usualRunTime(
  state: FleetState,
  attempt: Attempt,
  run: { readonly runTime: number; readonly predicted: CostEstimate },
  now: number,
): number {
  const { entry, expectedWait } = attempt;
  const roundTrip = state.roundTrips.get(entry.server.region) ?? 0;
  const pace = entry.pace.current(now);
  const waited = entry.server.load?.queuedRequests ?? 0;
  const whole = (run.runTime - roundTrip) / pace;
  if (waited === 0) return whole;
  // With a queue on the server, part of the time was probably a wait.
  const withoutWait = whole - expectedWait / pace;
  return Math.min(whole, Math.max(withoutWait, run.predicted.median));
}

function isPlain({ server }: ServerEntry): boolean {
  return server.models.length === 0;
}
