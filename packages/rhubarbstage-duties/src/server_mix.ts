/**
 * The cheapest numbers of servers by zone and kind that carry a region's load,
 * also without the spot servers of any one zone.
 *
 * @module
 */

import type { AvailabilityZone } from "rhubarbstage";
import { countOf, type KindCounts, type ServerKind } from "./scale_types.ts";

/** Bounds and prices of one zone. */
export interface MixZone {
  readonly availabilityZone: AvailabilityZone;
  /** Price of an on-demand server. */
  readonly price: number;
  /** Price of a spot server. */
  readonly spotPrice: number;
  /** Servers of both kinds, at least and at most. */
  readonly min: number;
  readonly max: number;
  /** Servers of each kind, at least and at most. */
  readonly floor: KindCounts;
  readonly limit: KindCounts;
}

/** Servers that a region needs. */
export interface MixRequirement {
  /** Servers at all. */
  readonly need: number;
  /** Servers that remain without the zone with most spot servers. */
  readonly survivors: number;
}

/** Numbers of servers of a region. */
export interface ServerMix {
  readonly counts: ReadonlyMap<AvailabilityZone, KindCounts>;
  readonly cost: number;
  /** Servers that the bounds don't allow. */
  readonly shortfall: number;
}

/**
 * Returns the cheapest mix. Tries each number of spot servers that one zone may
 * have at most: the more it has, the more servers must remain elsewhere.
 */
export function cheapestMix(
  zones: readonly MixZone[],
  requirement: MixRequirement,
): ServerMix {
  const lowest = Math.max(0, ...zones.map(({ floor }) => floor.spot));
  const highest = Math.max(lowest, ...zones.map(({ limit }) => limit.spot));
  let best: ServerMix | undefined;
  for (let cap = lowest; cap <= highest; cap += 1) {
    const mix = fillZones(zones, { requirement, cap });
    if (best === undefined || isBetter(mix, best)) best = mix;
  }
  return best as ServerMix;
}

/** Returns the price of numbers of servers. */
export function costOf(
  zones: readonly MixZone[],
  counts: ReadonlyMap<AvailabilityZone, KindCounts>,
): number {
  let sum = 0;
  for (const { availabilityZone, price, spotPrice } of zones) {
    const count = counts.get(availabilityZone);
    sum += (count?.onDemand ?? 0) * price + (count?.spot ?? 0) * spotPrice;
  }
  return sum;
}

/** Returns the largest number of spot servers in one zone. */
export function largestSpotCount(counts: Iterable<KindCounts>): number {
  return Math.max(0, ...[...counts].map(({ spot }) => spot));
}

function isBetter(left: ServerMix, right: ServerMix): boolean {
  if (left.shortfall !== right.shortfall) {
    return left.shortfall < right.shortfall;
  }
  return left.cost < right.cost - costTolerance;
}

/** Differences of cost below this are rounding errors. */
const costTolerance = 1e-9;

/** Numbers of one zone while a mix is being filled. */
interface FilledZone {
  readonly zone: MixZone;
  onDemand: number;
  spot: number;
}

interface Option {
  readonly filled: FilledZone;
  readonly kind: ServerKind;
  readonly price: number;
  readonly limit: number;
}

function fillZones(
  zones: readonly MixZone[],
  options: { readonly requirement: MixRequirement; readonly cap: number },
): ServerMix {
  const { requirement, cap } = options;
  const filled = zones.map((zone): FilledZone => ({ zone, ...zone.floor }));
  const choices = listOptions(filled, cap);
  for (const item of filled) {
    const own = choices.filter((choice) => choice.filled === item);
    while (totalOf(item) < item.zone.min && addServer(own)) continue;
  }
  let total = filled.reduce((sum, item) => sum + totalOf(item), 0);
  const needed = Math.max(requirement.need, requirement.survivors + cap);
  while (total < needed && addServer(choices)) total += 1;
  const counts = new Map(
    filled.map(({ zone, onDemand, spot }) => [
      zone.availabilityZone,
      { onDemand, spot },
    ]),
  );
  const largest = largestSpotCount(filled);
  const shortfall = Math.max(
    0,
    requirement.need - total,
    requirement.survivors + largest - total,
  );
  return { counts, cost: costOf(zones, counts), shortfall };
}

/** Returns the kinds of all zones, cheapest first. */
function listOptions(filled: readonly FilledZone[], cap: number): Option[] {
  return filled.flatMap((item): Option[] => {
    const { price, spotPrice, limit } = item.zone;
    const spotLimit = Math.min(limit.spot, cap);
    return [
      { filled: item, kind: "spot", price: spotPrice, limit: spotLimit },
      { filled: item, kind: "on_demand", price, limit: limit.onDemand },
    ];
  }).sort((left, right) => left.price - right.price);
}

/** Adds a server of the cheapest kind with room, in the emptiest such zone. */
function addServer(choices: readonly Option[]): boolean {
  let best: Option | undefined;
  for (const choice of choices) {
    if (best !== undefined && choice.price > best.price) break;
    const { filled, kind, limit } = choice;
    const total = totalOf(filled);
    if (total >= filled.zone.max || countOf(filled, kind) >= limit) continue;
    if (best === undefined || total < totalOf(best.filled)) best = choice;
  }
  if (best === undefined) return false;
  if (best.kind === "spot") best.filled.spot += 1;
  else best.filled.onDemand += 1;
  return true;
}

function totalOf({ onDemand, spot }: FilledZone): number {
  return onDemand + spot;
}
