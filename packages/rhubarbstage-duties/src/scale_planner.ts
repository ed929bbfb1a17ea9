/**
 * Decides how many servers of a service to order in each zone. Pure: works on
 * observations and results of orders with their times.
 *
 * @module
 */

import type { AvailabilityZone, Region } from "rhubarbstage";
import { CapacityNeed } from "./capacity_need.ts";
import { OrderMemory } from "./order_memory.ts";
import {
  buildRegionPlans,
  type RegionPlan,
  totalServing,
} from "./region_plan.ts";
import {
  countOf,
  type KindCounts,
  type RegionLoad,
  type ScaleDecision,
  type ScaleObservation,
  type ScaleReason,
  type ServerKind,
  serverKinds,
} from "./scale_types.ts";
import { cheapestMix, costOf, type MixRequirement } from "./server_mix.ts";
import { carriesLoad, chooseLowering, keepsEnough } from "./lowering.ts";
import type { PlatformCallResult, ServerOrder } from "./types.ts";

/** Time for which the load is observed before the first order, in ms. */
export const observationTime = 10_000;
/**
 * Time for which the load is observed before a number is lowered, in ms: a
 * whole cycle of bursts that repeat every 14 s.
 */
const loweringObservationTime = 16_000;
/** Time without requests after which a service counts as idle, in ms. */
const idleObservationTime = 30_000;
/** Maximum age of the observed servers for a number to be lowered, in ms. */
const maxStateAge = 5_000;
/**
 * Share of unreachable hosts above which no number is lowered: in their region,
 * or anywhere if it is that of all hosts. The last load of single hosts that
 * were killed or frozen counts on; with none tolerated, hosts that fail in turn
 * would keep all servers forever.
 */
const maxUnreachableShare = 0.1;
/** Time between two lowered numbers in one region, in milliseconds. */
const loweringInterval = 5_000;
/** Time after refusals in which no number is lowered, in milliseconds. */
const refusalHold = 10_000;
/** Time in which new servers fill their caches before others are lowered. */
const warmUpTime = 5_000;
/** Servers ordered beyond a rising need, so that fewer orders follow. */
const raiseMargin = 1.05;
/** Servers kept beyond the need when numbers are lowered. */
const keepMargin = 1.1;
/** Cost, relative to the cheapest mix, up to which nothing is changed. */
const toleratedCost = 1.1;

interface RegionState {
  readonly need: CapacityNeed;
  serving: number;
  grewAt: number;
  loweredAt: number;
}

/** Plans the servers of one service during one term of the duty. */
export class ScalePlanner {
  readonly #orders = new OrderMemory();
  readonly #regions = new Map<Region, RegionState>();
  /** Monotonic time of the first report of hosts, in milliseconds. */
  #reportedSince: number | undefined;
  /** Monotonic time since which the load is known, in milliseconds. */
  #observedSince: number | undefined;

  /**
   * Returns the orders to send now; each must be followed by its
   * {@linkcode recordResult}.
   */
  plan(observation: ScaleObservation): ScaleDecision[] {
    const { now, loads } = observation;
    if (loads.length > 0) this.#reportedSince ??= now;
    const isIdle = now - (this.#reportedSince ?? now) >= idleObservationTime;
    // Before the first requests nothing is known of the load.
    if (isIdle || loads.some(({ arrivals }) => arrivals > 0)) {
      this.#observedSince ??= now;
    }
    const plans = buildRegionPlans(observation, this.#orders);
    const prefillShare = prefillShareOf(plans);
    for (const plan of plans) this.#observe(plan, observation, prefillShare);
    const observed = now - (this.#observedSince ?? now);
    if (observed < observationTime) return [];
    const requirements = this.#requirements(plans);
    // The servers of one region may be helping out another one.
    const isShort = plans.some((plan) =>
      totalServing(plan) < (requirements.get(plan.region)?.need ?? 0)
    );
    const mayLower = !isShort && observed >= loweringObservationTime &&
      observation.stateAge <= maxStateAge;
    return plans.flatMap((plan) => {
      const requirement = requirements.get(plan.region);
      if (requirement === undefined) return [];
      const isLoadKnown = mayLower && isReachable(loads, plan.region);
      return this.#planRegion({ plan, requirement, observation, isLoadKnown });
    });
  }

  /** Records the result of a planned order. */
  recordResult(
    order: ServerOrder,
    result: PlatformCallResult,
    now: number,
  ): void {
    this.#orders.recordResult(order, result, now);
  }

  /** Servers that each region needs by the present load. */
  needs(): ReadonlyMap<Region, number> {
    return new Map(
      [...this.#regions].map((
        [region, { need }],
      ) => [region, need.requirement().need]),
    );
  }

  #observe(
    plan: RegionPlan,
    observation: ScaleObservation,
    prefillShare: number | undefined,
  ): void {
    const { now, loads, slots } = observation;
    const state = this.#regionOf(plan.region);
    const serving = totalServing(plan);
    if (serving > state.serving) state.grewAt = now;
    state.serving = serving;
    const load = loads.find(({ region }) => region === plan.region);
    if (load === undefined) return;
    const booting = totalExpected(plan) > serving;
    state.need.observe(load, { slots, prefillShare, serving, booting }, now);
  }

  /** Needs by region; what a full region lacks is added to another one. */
  #requirements(plans: readonly RegionPlan[]): Map<Region, MixRequirement> {
    const requirements = new Map<Region, MixRequirement>();
    let missing = 0;
    for (const plan of plans) {
      const { need } = this.#regionOf(plan.region);
      const own = withStageFloor(plan, need.requirement());
      const room = capacityOf(plan);
      missing += Math.max(0, own.need - room);
      requirements.set(plan.region, {
        ...own,
        need: Math.min(own.need, room),
      });
    }
    for (const plan of plans) {
      const own = requirements.get(plan.region);
      if (own === undefined || missing <= 0) continue;
      const taken = Math.min(
        missing,
        Math.max(0, capacityOf(plan) - own.need),
      );
      missing -= taken;
      requirements.set(plan.region, { ...own, need: own.need + taken });
    }
    return requirements;
  }

  #planRegion(context: RegionContext): ScaleDecision[] {
    const repeats = this.#repeats(context);
    const raises = this.#raises(context);
    const changes = raises.length > 0 ? raises : this.#replacements(context);
    return [...repeats, ...changes];
  }

  /** Sends orders again that had no clear answer, if they are still wanted. */
  #repeats(context: RegionContext): ScaleDecision[] {
    const { plan, observation: { now } } = context;
    const decisions: ScaleDecision[] = [];
    for (const { mix: { availabilityZone: zone }, serving } of plan.zones) {
      const repeat = this.#orders.dueRepeat(zone, now);
      if (repeat === undefined) continue;
      const { order, isRaise } = repeat;
      const kind: ServerKind = order.spot ? "spot" : "on_demand";
      const step = countOf(serving, kind) - order.count;
      const isWanted = isRaise ? step < 0 : context.isLoadKnown &&
        keepsEnough(context, { zone, kind, step: Math.max(0, step) });
      if (!isWanted) {
        this.#orders.dropRepeat(zone);
        continue;
      }
      this.#orders.recordSent(order, { isRaise, now });
      decisions.push({ order, reason: "repeat" });
    }
    return decisions;
  }

  /** Orders what the load needs beyond the serving and booting servers. */
  #raises(context: RegionContext): ScaleDecision[] {
    const { plan, requirement } = context;
    const zones = plan.zones.map(({ mix, expected }) => ({
      ...mix,
      floor: expected,
      limit: {
        spot: Math.max(mix.limit.spot, expected.spot),
        onDemand: Math.max(mix.limit.onDemand, expected.onDemand),
      },
    }));
    const present = new Map(
      plan.zones.map(({ mix, expected }) => [mix.availabilityZone, expected]),
    );
    const lacksMinimum = plan.zones.some(({ mix, expected }) =>
      expected.onDemand + expected.spot < mix.min
    );
    const lacks = !carriesLoad(present, requirement);
    if (!lacksMinimum && !lacks) return [];
    const target = cheapestMix(
      zones,
      lacks ? scale(requirement, raiseMargin) : noRequirement,
    );
    const reason = lacks ? "raise_for_load" : "raise_to_minimum";
    return this.#order(context, { target: target.counts, reason });
  }

  /** Replaces servers by cheaper ones, and lowers what is not needed. */
  #replacements(context: RegionContext): ScaleDecision[] {
    const { plan, requirement } = context;
    const zones = plan.zones.map(({ mix }) => mix);
    const target = cheapestMix(zones, scale(requirement, keepMargin));
    const present = new Map(
      plan.zones.map(({ mix, expected }) => [mix.availabilityZone, expected]),
    );
    const cost = costOf(zones, present);
    if (cost <= target.cost * toleratedCost) return [];
    const raises = this.#order(context, {
      target: target.counts,
      reason: "replace",
    });
    const lowering = this.#mayLower(context)
      ? this.#lower(context, target.counts)
      : [];
    return [...raises, ...lowering];
  }

  /** Orders those numbers of the target that are above the expected ones. */
  #order(
    context: RegionContext,
    options: {
      readonly target: ReadonlyMap<AvailabilityZone, KindCounts>;
      readonly reason: ScaleReason;
    },
  ): ScaleDecision[] {
    const { plan, observation } = context;
    const { target, reason } = options;
    const decisions: ScaleDecision[] = [];
    for (const { mix, expected } of plan.zones) {
      const zone = mix.availabilityZone;
      const wanted = target.get(zone);
      if (wanted === undefined) continue;
      let room = mix.max - expected.onDemand - expected.spot;
      for (const kind of serverKinds) {
        const from = countOf(expected, kind);
        const added = Math.min(room, countOf(wanted, kind) - from);
        const isReady = this.#orders.isReady(zone, observation.now);
        if (added <= 0 || !isReady) continue;
        room -= added;
        decisions.push(
          this.#decide(context, { zone, kind, count: from + added, reason }),
        );
      }
    }
    return decisions;
  }

  #lower(
    context: RegionContext,
    target: ReadonlyMap<AvailabilityZone, KindCounts>,
  ): ScaleDecision[] {
    const { plan, observation: { now } } = context;
    const isReady = (zone: AvailabilityZone) => this.#orders.isReady(zone, now);
    const lowestCount = (zone: AvailabilityZone, kind: ServerKind) =>
      this.#orders.lowestCount(zone, kind, now);
    const lowering = chooseLowering(context, { target, isReady, lowestCount });
    if (lowering === undefined) return [];
    const { zone, kind, count } = lowering;
    this.#regionOf(plan.region).loweredAt = now;
    return [this.#decide(context, { zone, kind, count, reason: "lower" })];
  }

  #decide(
    { observation: { service, now } }: RegionContext,
    change: {
      readonly zone: AvailabilityZone;
      readonly kind: ServerKind;
      readonly count: number;
      readonly reason: ScaleReason;
    },
  ): ScaleDecision {
    const { zone: availabilityZone, kind, count, reason } = change;
    const spot = kind === "spot";
    const order = { service, availabilityZone, count, spot };
    this.#orders.recordSent(order, { isRaise: reason !== "lower", now });
    return { order, reason };
  }

  /** Whether a further number of the region may be lowered now. */
  #mayLower({ plan, observation, isLoadKnown }: RegionContext): boolean {
    const { now } = observation;
    const state = this.#regionOf(plan.region);
    const isSettling = plan.zones.some(({ mix }) =>
      serverKinds.some((kind) =>
        this.#orders.isLowering(mix.availabilityZone, kind)
      )
    );
    return isLoadKnown && !isSettling &&
      now - state.loweredAt >= loweringInterval &&
      now - state.grewAt >= warmUpTime &&
      now - state.need.refusedAt >= refusalHold;
  }

  #regionOf(region: Region): RegionState {
    let state = this.#regions.get(region);
    if (state === undefined) {
      state = {
        need: new CapacityNeed(),
        serving: 0,
        grewAt: -Infinity,
        loweredAt: -Infinity,
      };
      this.#regions.set(region, state);
    }
    return state;
  }
}

/** A region with what it needs. */
interface RegionContext {
  readonly plan: RegionPlan;
  readonly requirement: MixRequirement;
  readonly observation: ScaleObservation;
  /** Whether load and servers are known well enough to lower a number. */
  readonly isLoadKnown: boolean;
}

const noRequirement: MixRequirement = { need: 0, survivors: 0 };

function scale(
  { need, survivors }: MixRequirement,
  factor: number,
): MixRequirement {
  return {
    need: Math.ceil(need * factor),
    survivors: Math.ceil(survivors * factor),
  };
}

/** Two engines of each stage that is in use, one after a loss. */
function withStageFloor(
  { stages }: RegionPlan,
  { need, survivors }: MixRequirement,
): MixRequirement {
  return {
    need: Math.max(need, 2 * stages.size),
    survivors: Math.max(survivors, stages.size),
  };
}

/** Share of prefill engines in all regions; undefined without two stages. */
function prefillShareOf(plans: readonly RegionPlan[]): number | undefined {
  let prefill = 0;
  let decode = 0;
  for (const { stages } of plans) {
    prefill += stages.get("prefill") ?? 0;
    decode += stages.get("decode") ?? 0;
  }
  if (prefill === 0 || decode === 0) return undefined;
  return prefill / (prefill + decode);
}

/** Servers that the zones of a region can have, as far as they are available. */
function capacityOf({ zones }: RegionPlan): number {
  return zones.reduce(
    (sum, { mix: { max, limit } }) =>
      sum + Math.min(max, limit.onDemand + limit.spot),
    0,
  );
}

function totalExpected({ zones }: RegionPlan): number {
  return zones.reduce(
    (sum, { expected }) => sum + expected.onDemand + expected.spot,
    0,
  );
}

/** Whether the load of the region is known well enough to lower a number. */
function isReachable(loads: readonly RegionLoad[], region: Region): boolean {
  let hosts = 0;
  let unreachable = 0;
  for (const load of loads) {
    if (load.region === region && isUnreachable(load)) return false;
    hosts += load.hosts;
    unreachable += load.unreachableHosts;
  }
  return hosts > 0 && !isUnreachable({ hosts, unreachableHosts: unreachable });
}

function isUnreachable(
  { hosts, unreachableHosts }: Pick<RegionLoad, "hosts" | "unreachableHosts">,
): boolean {
  return unreachableHosts > hosts * maxUnreachableShare;
}
