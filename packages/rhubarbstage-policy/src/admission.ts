/**
 * Early refusal of work that would miss its time.
 *
 * @module
 */

import type { SeededRandom } from "rhubarbstage";
import { samplesForAdmission } from "./constants.ts";
import type { WorkEstimate } from "./work_estimates.ts";
import type { Work } from "./types.ts";

/** What admission knows of the pool. */
export interface AdmissionView {
  /** Estimated slot time of the work that is served first. */
  readonly costAhead: number;
  /** Slots that this host has in use in the pool. */
  readonly slots: number;
  /** Whether a server has room now. */
  readonly hasFreeSlot: boolean;
  /** Finished requests from which the pool's estimates come. */
  readonly samples: number;
  readonly typicalRunTime: number;
  /** Real over predicted waits in the recent past. */
  readonly correction: number;
  readonly targetFactor: number;
  readonly now: number;
}

/** Expected wait for a slot, in milliseconds. */
export function predictWait(view: AdmissionView): number {
  if (view.hasFreeSlot && view.costAhead === 0) return 0;
  return uncorrectedWait(view) * view.correction;
}

/** The wait without the correction that is learned from real waits. */
export function uncorrectedWait(view: AdmissionView): number {
  const slots = Math.max(1, view.slots);
  return (view.costAhead + view.typicalRunTime / 2) / slots;
}

/** Whether work that waits this long would miss its deadline or its target. */
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

/** Seconds after which a refused caller may try again, with jitter. */
export function jitteredRetryAfter(
  milliseconds: number,
  random: SeededRandom,
): number {
  const bounded = Math.min(Math.max(milliseconds, 500), 30_000);
  return Math.ceil(bounded * (1 + random.next()) / 1_000);
}
