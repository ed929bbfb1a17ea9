/**
 * Input and output of the scale planner. Times are monotonic milliseconds.
 *
 * @module
 */

import type { AvailabilityZone, Region, ServiceName } from "rhubarbstage";
import type { ServerOrder } from "./types.ts";

/** Spot servers cost less and may be reclaimed; the others stay. */
export type ServerKind = "on_demand" | "spot";

/** Both kinds, in the order in which zones list their numbers. */
export const serverKinds: readonly ServerKind[] = ["spot", "on_demand"];

/** How many servers of a service may be ordered, and what they cost. */
export interface ServiceScaling {
  /** Servers of both kinds in each zone, at least. */
  readonly min: number;
  /** Servers of both kinds in each zone, at most. */
  readonly max: number;
  /** Time from an order until a new server serves, in milliseconds. */
  readonly bootTime: number;
  /** Price of a spot server as a fraction of its zone's; absent: none exist. */
  readonly spotPrice?: number;
  /** Price of a server by zone; 1 in zones that are not listed. */
  readonly zonePrices: ReadonlyMap<AvailabilityZone, number>;
}

/** A zone in which servers of the service may be ordered. */
export interface ScaledZone {
  readonly availabilityZone: AvailabilityZone;
  readonly region: Region;
}

/** A server of the service that announces itself. */
export interface ObservedServer {
  readonly availabilityZone: AvailabilityZone;
  readonly kind: ServerKind;
  readonly state: "serving" | "draining";
  /** Absent for plain servers and engines that serve both stages. */
  readonly stage?: "prefill" | "decode";
}

/** Load that the entry hosts of one region report, added up. */
export interface RegionLoad {
  readonly region: Region;
  /** Engine time of prompts, in milliseconds a second. */
  readonly promptTime: number;
  /** Time of streams, in milliseconds a second. */
  readonly streamTime: number;
  /** Run time of plain requests, in milliseconds a second. */
  readonly busyTime: number;
  /** Requests a second. */
  readonly arrivals: number;
  /** Requests refused for lack of capacity, a second. */
  readonly refusals: number;
  /** Live entry hosts of the region. */
  readonly hosts: number;
  /** Those of them that have not answered for 5 s. */
  readonly unreachableHosts: number;
}

/** What the holder observes of one service at one time. */
export interface ScaleObservation {
  readonly now: number;
  readonly service: ServiceName;
  readonly scaling: ServiceScaling;
  /** Requests that one server runs at the same time. */
  readonly slots: number;
  readonly zones: readonly ScaledZone[];
  readonly servers: readonly ObservedServer[];
  /** Empty while no host has answered. */
  readonly loads: readonly RegionLoad[];
  /** Age of the observed servers, in milliseconds. */
  readonly stateAge: number;
}

/** An order and why it is made. */
export interface ScaleDecision {
  readonly order: ServerOrder;
  readonly reason: ScaleReason;
}

/** Reason of an order. */
export type ScaleReason =
  /** The serving and booting servers don't carry the load. */
  | "raise_for_load"
  /** A zone has fewer servers than its minimum. */
  | "raise_to_minimum"
  /** Cheaper servers take over the work of others. */
  | "replace"
  /** More servers serve than the load needs. */
  | "lower"
  /** An order had no clear answer or was throttled. */
  | "repeat";

/** Numbers of servers of one zone. */
export interface KindCounts {
  readonly onDemand: number;
  readonly spot: number;
}

/** Returns the number of servers of a kind. */
export function countOf(counts: KindCounts, kind: ServerKind): number {
  return kind === "spot" ? counts.spot : counts.onDemand;
}
