/**
 * A simulated platform with servers in three regions, for tests of the planner.
 *
 * @module
 */

import {
  type AvailabilityZone,
  type Region,
  SeededRandom,
  type ServiceName,
} from "rhubarbstage";
import type {
  ObservedServer,
  RegionLoad,
  ScaleDecision,
  ServerKind,
  ServiceScaling,
} from "../../src/scale_types.ts";
import { ScalePlanner } from "../../src/scale_planner.ts";
import type { PlatformCallResult, ServerOrder } from "../../src/types.ts";

export const regions = ["north", "south", "east"] as Region[];
export const zones = regions.flatMap((region) =>
  ["a", "b"].map((letter) => ({
    region,
    availabilityZone: `${region}-${letter}` as AvailabilityZone,
  }))
);

export const scaling: ServiceScaling = {
  min: 1,
  max: 27,
  bootTime: 4_000,
  spotPrice: 0.18,
  zonePrices: new Map([["south-a" as AvailabilityZone, 0.8]]),
};

/** Time for which announcements and gossip are behind, in seconds. */
const observationLag = 1;
/** Time constant of the measured rates, in seconds. */
const rateTimeConstant = 2;
/** Time until reclaimed servers are gone, in seconds. */
const reclaimNotice = 2;
const slots = 12;
const service = "chat" as ServiceName;

interface SimulatedServer extends ObservedServer {
  readonly servesAt: number;
  goneAt: number;
}

/** What happens in a simulation. */
export interface Scenario {
  readonly seconds: number;
  /** Servers that the load keeps busy in each region. */
  readonly work: (second: number, region: Region) => number;
  readonly scaling?: ServiceScaling;
  /** On-demand servers in each zone at the start. */
  readonly initial?: number;
  readonly stages?: boolean;
  /** At these seconds the zone with most spot servers loses them, ... */
  readonly reclaims?: readonly number[];
  /** ... and has none to offer for this long. */
  readonly scarceFor?: number;
  /** At these seconds the planner starts anew. */
  readonly holderChanges?: readonly number[];
  /** At this second so many servers of the first zone crash. */
  readonly crash?: { readonly at: number; readonly servers: number };
  /** Result of a call instead of its execution. */
  readonly fault?: (
    draw: number,
    order: ServerOrder,
  ) => PlatformCallResult | undefined;
  /** Orders that are accepted and have no effect. */
  readonly isIgnored?: (order: ServerOrder) => boolean;
  readonly refusedShare?: (second: number) => number;
  readonly unreachableHosts?: (second: number, region: Region) => number;
  readonly stateAge?: (second: number) => number;
}

/** State of one second. */
export interface Second {
  readonly second: number;
  readonly serving: ReadonlyMap<Region, number>;
  /** Servers that the measured load keeps busy. */
  readonly measured: ReadonlyMap<Region, number>;
  readonly spot: number;
  readonly cost: number;
  readonly decisions: readonly ScaleDecision[];
  /** Ordered servers of both kinds by zone. */
  readonly ordered: ReadonlyMap<AvailabilityZone, number>;
}

/** Plays a scenario; returns what happened in each second. */
export function simulate(scenario: Scenario): Second[] {
  const run = new Simulation(scenario);
  return Array.from(
    { length: scenario.seconds },
    (_, second) => run.step(second),
  );
}

class Simulation {
  readonly #scenario: Scenario;
  readonly #random = new SeededRandom(5);
  readonly #desired = new Map<string, number>();
  readonly #measured = new Map<Region, number>();
  #planner = new ScalePlanner();
  #servers: SimulatedServer[] = [];
  #snapshots: ObservedServer[][] = [];
  #scarceZone: AvailabilityZone | undefined;
  #scarceUntil = 0;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
    for (const { availabilityZone } of zones) {
      const count = scenario.initial ?? 19;
      this.#desired.set(`${availabilityZone}/on_demand`, count);
      for (let index = 0; index < count; index += 1) {
        this.#addServer(availabilityZone, "on_demand", 0);
      }
    }
  }

  step(second: number): Second {
    const { reclaims, holderChanges, crash } = this.#scenario;
    if (reclaims?.includes(second)) this.#reclaim(second);
    if (holderChanges?.includes(second)) this.#planner = new ScalePlanner();
    if (second === crash?.at) this.#servers.splice(0, crash.servers);
    this.#servers = this.#servers.filter(({ goneAt }) => goneAt > second);
    this.#snapshots.push(this.#observable(second));
    const observed = this.#snapshots.at(-1 - observationLag) ??
      this.#snapshots[0] ?? [];
    const decisions = this.#plan(second, observed);
    for (const decision of decisions) this.#execute(decision, second);
    return this.#describe(second, decisions);
  }

  #plan(second: number, servers: ObservedServer[]): ScaleDecision[] {
    const { stateAge } = this.#scenario;
    return this.#planner.plan({
      now: second * 1_000,
      service,
      scaling: this.#scenario.scaling ?? scaling,
      slots,
      zones,
      servers,
      loads: regions.map((region) => this.#load(second, region)),
      stateAge: stateAge?.(second) ?? 500,
    });
  }

  #load(second: number, region: Region): RegionLoad {
    const { work, refusedShare, unreachableHosts } = this.#scenario;
    const before = this.#measured.get(region) ?? work(0, region);
    const weight = 1 - Math.exp(-1 / rateTimeConstant);
    const measured = before + (work(second, region) - before) * weight;
    this.#measured.set(region, measured);
    const share = this.#scenario.stages === true ? 0.5 : 1;
    return {
      region,
      promptTime: measured * share * 1_000,
      streamTime: measured * (1 - share) * 1_000 * slots,
      busyTime: 0,
      arrivals: 100,
      refusals: 100 * (refusedShare?.(second) ?? 0),
      hosts: 30,
      unreachableHosts: unreachableHosts?.(second, region) ?? 0,
    };
  }

  #execute({ order }: ScaleDecision, second: number): void {
    const { availabilityZone: zone, count, spot } = order;
    const draw = this.#random.next();
    const fault = this.#scenario.fault?.(draw, order);
    const kind: ServerKind = spot ? "spot" : "on_demand";
    const key = `${zone}/${kind}`;
    const isScarce = spot && zone === this.#scarceZone &&
      second < this.#scarceUntil && count > (this.#desired.get(key) ?? 0);
    const result: PlatformCallResult = fault ??
      { type: isScarce ? "unavailable" : "accepted" };
    const isIgnored = this.#scenario.isIgnored?.(order) ?? false;
    if (result.type === "accepted" && !isIgnored) {
      this.#desired.set(key, count);
      const present = this.#servers.filter((server) =>
        server.availabilityZone === zone && server.kind === kind &&
        server.state === "serving"
      );
      for (let index = present.length; index < count; index += 1) {
        this.#addServer(zone, kind, second + 4);
      }
      for (const server of present.slice(count)) {
        this.#drain(server, second + 5);
      }
    }
    this.#planner.recordResult(order, result, second * 1_000 + 20);
  }

  #addServer(zone: AvailabilityZone, kind: ServerKind, servesAt: number): void {
    const stage = this.#servers.length % 2 === 0 ? "prefill" : "decode";
    this.#servers.push({
      availabilityZone: zone,
      kind,
      state: "serving",
      ...(this.#scenario.stages === true ? { stage } : {}),
      servesAt,
      goneAt: Infinity,
    });
  }

  #drain(server: SimulatedServer, goneAt: number): void {
    const index = this.#servers.indexOf(server);
    this.#servers[index] = { ...server, state: "draining", goneAt };
  }

  #reclaim(second: number): void {
    const spotOf = (zone: AvailabilityZone) =>
      this.#servers.filter(({ availabilityZone, kind }) =>
        availabilityZone === zone && kind === "spot"
      );
    const [largest] = zones.map(({ availabilityZone }) => availabilityZone)
      .sort((left, right) => spotOf(right).length - spotOf(left).length);
    if (largest === undefined) return;
    for (const server of spotOf(largest)) {
      this.#drain(server, second + reclaimNotice);
    }
    this.#desired.set(`${largest}/spot`, 0);
    this.#scarceZone = largest;
    this.#scarceUntil = second + (this.#scenario.scarceFor ?? 0);
  }

  #observable(second: number): SimulatedServer[] {
    return this.#servers.filter(({ servesAt }) => servesAt <= second);
  }

  #describe(second: number, decisions: readonly ScaleDecision[]): Second {
    const usable = this.#observable(second)
      .filter(({ state }) => state === "serving");
    const { zonePrices, spotPrice = 1 } = this.#scenario.scaling ?? scaling;
    const priceOf = ({ availabilityZone, kind }: SimulatedServer) =>
      (zonePrices.get(availabilityZone) ?? 1) *
      (kind === "spot" ? spotPrice : 1);
    const countIn = (region: Region) =>
      usable.filter(({ availabilityZone }) =>
        availabilityZone.startsWith(region)
      ).length;
    return {
      second,
      decisions,
      serving: new Map(regions.map((region) => [region, countIn(region)])),
      measured: new Map(this.#measured),
      spot: usable.filter(({ kind }) => kind === "spot").length,
      cost: this.#servers.reduce((sum, server) => sum + priceOf(server), 0),
      ordered: new Map(
        zones.map(({ availabilityZone: zone }) => [
          zone,
          (this.#desired.get(`${zone}/spot`) ?? 0) +
          (this.#desired.get(`${zone}/on_demand`) ?? 0),
        ]),
      ),
    };
  }
}
