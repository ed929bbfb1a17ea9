/**
 * Early refusal of work that would miss its deadline or first-token target.
 *
 * @module
 */

import type { SeededRandom } from "rhubarbstage";
import { samplesForAdmission } from "./constants.ts";
import type { WorkEstimate } from "./work_estimates.ts";
import type { Work } from "./types.ts";

/** Pool state for admission decisions; times in milliseconds. */
export interface AdmissionView {
  /** Estimated slot time of the work ahead in the queue. */
  readonly costAhead: number;
  /** Slots in use by this host, less those of higher priorities. */
  readonly slots: number;
  /** Whether a server has a free slot now. */
  readonly hasFreeSlot: boolean;
  /** Finished requests behind the pool's estimates. */
  readonly samples: number;
  readonly typicalRunTime: number;
  /** Recent ratio of actual to predicted waits. */
  readonly correction: number;
  readonly targetFactor: number;
  readonly now: number;
}

/** Predicts the wait for a slot, in milliseconds. */
export function predictWait(view: AdmissionView): number {
  if (view.hasFreeSlot && view.costAhead === 0) return 0;
  return uncorrectedWait(view) * view.correction;
}

/** Predicts the wait without the correction learned from actual waits. */
export function uncorrectedWait(view: AdmissionView): number {
  const slots = Math.max(1, view.slots);
  return (view.costAhead + view.typicalRunTime / 2) / slots;
}

/** Whether the predicted wait would miss the deadline or first-token target. */
export function wouldMissDeadlineOrTarget(
  work: Work,
  estimate: WorkEstimate,
  view: AdmissionView,
): boolean {
  if (view.samples < samplesForAdmission) return false;
  const wait = predictWait(view);
  if (wait === 0) return false;
  const end = view.now + wait + estimate.runTime;
  if (end > work.deadlineAt) return true;
  const firstToken = view.now - work.arrivedAt + wait +
    estimate.firstTokenTime;
  return firstToken > work.settings.firstTokenTarget * view.targetFactor;
}

/** Returns the retry delay for a refused caller, in seconds, with jitter. */
export function jitteredRetryAfter(
  milliseconds: number,
  random: SeededRandom,
): number {
  const bounded = Math.min(Math.max(milliseconds, 500), 30_000);
  return Math.ceil(bounded * (1 + random.next()) / 1_000);
}
