/**
 * Which number of servers may be lowered, and by how much.
 *
 * @module
 */

import type { AvailabilityZone } from "rhubarbstage";
import { type RegionPlan, totalServing, type ZonePlan } from "./region_plan.ts";
import {
  countOf,
  type KindCounts,
  type ServerKind,
  serverKinds,
} from "./scale_types.ts";
import { largestSpotCount, type MixRequirement } from "./server_mix.ts";

/** Share of a region's serving servers that one order may drain. */
const maxStepShare = 0.5;
/** Engines of each stage in use that a region keeps. */
const stageFloor = 2;

/** A number to be lowered. */
export interface Lowering {
  readonly zone: AvailabilityZone;
  readonly kind: ServerKind;
  readonly count: number;
}

interface RegionState {
  readonly plan: RegionPlan;
  readonly requirement: MixRequirement;
}

interface Step {
  readonly zone: AvailabilityZone;
  readonly kind: ServerKind;
  readonly step: number;
}

/** Whether the numbers carry the load with and without the largest spot zone. */
export function carriesLoad(
  counts: ReadonlyMap<AvailabilityZone, KindCounts>,
  { need, survivors }: MixRequirement,
): boolean {
  let total = 0;
  for (const { onDemand, spot } of counts.values()) total += onDemand + spot;
  return total >= need &&
    total - largestSpotCount(counts.values()) >= survivors;
}

/** Whether the serving servers carry the load without those of the step. */
export function keepsEnough(state: RegionState, step: Step): boolean {
  const { plan, requirement } = state;
  const zone = plan.zones.find(({ mix }) => mix.availabilityZone === step.zone);
  if (zone === undefined) return false;
  const counts = new Map(
    plan.zones.map(({ mix, serving }) => [
      mix.availabilityZone,
      mix === zone.mix ? reduce(serving, step) : serving,
    ]),
  );
  const { onDemand, spot } = reduce(zone.serving, step);
  return onDemand + spot >= zone.mix.min &&
    carriesLoad(counts, requirement) && keepsStages(plan, { ...step, zone });
}

/** Returns the most expensive excess over the target that may be drained. */
export function chooseLowering(
  state: RegionState,
  options: {
    readonly target: ReadonlyMap<AvailabilityZone, KindCounts>;
    readonly isReady: (zone: AvailabilityZone) => boolean;
    /** Smallest number that the platform accepts. */
    readonly lowestCount: (zone: AvailabilityZone, kind: ServerKind) => number;
  },
): Lowering | undefined {
  const { plan } = state;
  const longest = Math.max(1, Math.ceil(totalServing(plan) * maxStepShare));
  let best: (Lowering & { readonly saving: number }) | undefined;
  for (const { mix, serving } of plan.zones) {
    const zone = mix.availabilityZone;
    const target = options.target.get(zone);
    if (target === undefined || !options.isReady(zone)) continue;
    for (const kind of serverKinds) {
      const lowest = Math.max(
        countOf(target, kind),
        options.lowestCount(zone, kind),
      );
      const excess = countOf(serving, kind) - lowest;
      const step = largestStep(state, {
        zone,
        kind,
        step: Math.min(longest, excess),
      });
      const price = kind === "spot" ? mix.spotPrice : mix.price;
      const saving = step * price;
      if (step <= 0 || saving <= (best?.saving ?? 0)) continue;
      best = { zone, kind, count: countOf(serving, kind) - step, saving };
    }
  }
  return best;
}

/** Returns the largest step up to the given one that keeps enough servers. */
function largestStep(state: RegionState, longest: Step): number {
  for (let step = longest.step; step > 0; step -= 1) {
    if (keepsEnough(state, { ...longest, step })) return step;
  }
  return 0;
}

/** The platform chooses which engines it drains: the worst choice counts. */
function keepsStages(
  plan: RegionPlan,
  { zone, kind, step }: { zone: ZonePlan; kind: ServerKind; step: number },
): boolean {
  return [...plan.stages].every(([stage, count]) => {
    const lost = Math.min(step, zone.stages[kind][stage]);
    return lost === 0 || count - lost >= stageFloor;
  });
}

function reduce(counts: KindCounts, { kind, step }: Step): KindCounts {
  return kind === "spot"
    ? { ...counts, spot: counts.spot - step }
    : { ...counts, onDemand: counts.onDemand - step };
}
