/**
 * The zones of each region with their observed and expected servers.
 *
 * @module
 */

import type { Region } from "rhubarbstage";
import type { OrderMemory } from "./order_memory.ts";
import type {
  KindCounts,
  ObservedServer,
  ScaledZone,
  ScaleObservation,
  ServerKind,
} from "./scale_types.ts";
import type { MixZone } from "./server_mix.ts";

/** A stage that engines of a pool are split into. */
export type Stage = NonNullable<ObservedServer["stage"]>;

/** Servers of one zone. */
export interface ZonePlan {
  readonly mix: MixZone;
  readonly serving: KindCounts;
  /** Serving servers once all orders have taken effect. */
  readonly expected: KindCounts;
  /** Serving engines of each stage by kind. */
  readonly stages: Readonly<
    Record<ServerKind, Readonly<Record<Stage, number>>>
  >;
}

/** Servers of one region. */
export interface RegionPlan {
  readonly region: Region;
  readonly zones: readonly ZonePlan[];
  /** Stages in use with their serving engines. */
  readonly stages: ReadonlyMap<Stage, number>;
}

/** Returns the regions in which the service may have servers. */
export function buildRegionPlans(
  observation: ScaleObservation,
  orders: OrderMemory,
): RegionPlan[] {
  const regions = new Map<Region, ScaledZone[]>();
  for (const zone of observation.zones) {
    const zones = regions.get(zone.region) ?? [];
    zones.push(zone);
    regions.set(zone.region, zones);
  }
  return [...regions].map(([region, members]) => {
    const zones = members.map((zone) =>
      buildZonePlan(zone, observation, orders)
    );
    return { region, zones, stages: countStages(zones) };
  });
}

/** Returns the serving servers of a region. */
export function totalServing({ zones }: RegionPlan): number {
  return zones.reduce(
    (sum, { serving }) => sum + serving.onDemand + serving.spot,
    0,
  );
}

function buildZonePlan(
  { availabilityZone: zone }: ScaledZone,
  observation: ScaleObservation,
  orders: OrderMemory,
): ZonePlan {
  const { now, scaling } = observation;
  const { min, max, bootTime, spotPrice } = scaling;
  const servers = observation.servers.filter(({ availabilityZone }) =>
    availabilityZone === zone
  );
  const observe = (kind: ServerKind) => {
    const ofKind = servers.filter((server) => server.kind === kind);
    const serving = ofKind.filter(({ state }) => state === "serving").length;
    const draining = ofKind.length - serving;
    return orders.observe({ zone, kind, serving, draining, bootTime }, now);
  };
  const spot = observe("spot");
  const onDemand = observe("on_demand");
  const price = scaling.zonePrices.get(zone) ?? 1;
  // What is blocked can't grow, but what there is may stay.
  const limitOf = (kind: ServerKind, expected: number) =>
    orders.isBlocked(zone, kind, now) ? Math.min(max, expected) : max;
  return {
    mix: {
      availabilityZone: zone,
      price,
      spotPrice: price * (spotPrice ?? 1),
      min,
      max,
      floor: { spot: 0, onDemand: 0 },
      limit: {
        spot: spotPrice === undefined ? 0 : limitOf("spot", spot.expected),
        onDemand: limitOf("on_demand", onDemand.expected),
      },
    },
    serving: { spot: spot.serving, onDemand: onDemand.serving },
    expected: { spot: spot.expected, onDemand: onDemand.expected },
    stages: {
      spot: countServing(servers, "spot"),
      on_demand: countServing(servers, "on_demand"),
    },
  };
}

function countServing(
  servers: readonly ObservedServer[],
  kind: ServerKind,
): Record<Stage, number> {
  const counts = { prefill: 0, decode: 0 };
  for (const server of servers) {
    if (server.kind !== kind || server.state !== "serving") continue;
    if (server.stage !== undefined) counts[server.stage] += 1;
  }
  return counts;
}

function countStages(zones: readonly ZonePlan[]): Map<Stage, number> {
  const counts = new Map<Stage, number>();
  for (const { stages } of zones) {
    for (const kind of [stages.spot, stages.on_demand]) {
      for (const stage of ["prefill", "decode"] as const) {
        if (kind[stage] === 0) continue;
        counts.set(stage, (counts.get(stage) ?? 0) + kind[stage]);
      }
    }
  }
  return counts;
}
