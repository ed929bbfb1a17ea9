/**
 * Processor time of placement decisions on the host that places a region's work,
 * by the number of engines.
 *
 * @module
 */

import type {
  AvailabilityZone,
  BackendServerId,
  CustomerId,
  HostId,
  Incarnation,
  ModelName,
  Region,
  RequestId,
  WorkKind,
} from "rhubarbstage";
import {
  FleetPolicy,
  type FleetState,
  type PolicyEffect,
} from "@rhubarbstage/policy";

const model = "assistant" as ModelName;
const regions = ["north", "south", "east"] as Region[];
const engineCounts = [13, 109, 600];
const warmUpDecisions = 500;
const measuredDecisions = 2_000;
/** Distinct shared prompt parts. */
const sharedParts = 200;
/** Customers that compete. */
const customers = 1_700;
/** Time between requests for each engine, in milliseconds. */
const interval = 400;

/** One measured size. */
export interface PlacementCost {
  readonly engines: number;
  /** Microseconds of processor time for each decision, with its ends. */
  readonly microseconds: number;
}

/** What is measured. */
export interface PlacementOptions {
  readonly engines: number;
  readonly hasCustomers: boolean;
}

/** Measures decisions at each number of engines. */
export function measurePlacementCosts(): PlacementCost[] {
  return engineCounts.map((engines) =>
    measurePlacementCost({ engines, hasCustomers: false })
  );
}

/** Measures decisions with and without customers that compete. */
export function measurePlacementCost(options: PlacementOptions): PlacementCost {
  const { engines } = options;
  const run = new PlacementRun(options);
  run.decide(warmUpDecisions);
  const before = process.cpuUsage();
  run.decide(measuredDecisions);
  const { user, system } = process.cpuUsage(before);
  const microseconds = (user + system) / measuredDecisions;
  return { engines, microseconds };
}

/** A placing host under steady load, whose work ends in order. */
class PlacementRun {
  readonly #policy = new FleetPolicy({
    region: regions[0] as Region,
    hosts: 200,
    settings: { shareEngineState: true, longCostFactor: 1e6 },
  });
  readonly #state: FleetState = this.#policy.initial();
  readonly #running: Extract<PolicyEffect, { type: "answer_placement" }>[] = [];
  readonly #engines: number;
  readonly #hasCustomers: boolean;
  #now = 0;
  #count = 0;

  constructor({ engines, hasCustomers }: PlacementOptions) {
    this.#engines = engines;
    this.#hasCustomers = hasCustomers;
    for (let index = 0; index < engines; index += 1) {
      const region = regions[index % regions.length] as Region;
      this.#policy.reduce(this.#state, {
        type: "server_seen",
        now: 0,
        server: {
          id: `engine-${index}` as BackendServerId,
          incarnation: 1 as Incarnation,
          region,
          availabilityZone: `${region}-a` as AvailabilityZone,
          models: [model],
          services: [],
          role: index % 5 < 3 ? "prefill" : "decode",
          capacity: 64,
          cacheTokens: 420_000,
          acceptsNewWork: true,
        },
      });
    }
  }

  decide(count: number): void {
    for (let index = 0; index < count; index += 1) this.#decideOne();
  }

  #decideOne(): void {
    this.#count += 1;
    this.#now += interval / this.#engines;
    const effects = this.#policy.reduce(this.#state, {
      type: "placement_requested",
      now: this.#now,
      from: "host" as HostId,
      query: {
        request: `request-${this.#count}` as RequestId,
        model,
        promptTokens: 17_000,
        outputTokens: 15,
        parts: [
          { id: `part-${this.#count % sharedParts}`, tokens: 13_300 },
          { id: `own-${this.#count}`, tokens: 3_700 },
        ],
        rank: 2,
        waited: 1,
        firstTokenTarget: 1_000,
        startTimeout: 4_000,
        excludedServers: [],
        suspect: false,
        ...(this.#hasCustomers
          ? {
            customer: `customer-${this.#count % customers}` as CustomerId,
            kind: "chat" as WorkKind,
            timeLeft: 5_000,
          }
          : {}),
      },
    });
    for (const effect of effects) {
      if (effect.type !== "answer_placement") continue;
      if (effect.works.length > 0) this.#running.push(effect);
    }
    if (this.#running.length > this.#engines) this.#endOldest();
  }

  #endOldest(): void {
    for (const { server, id } of this.#running.shift()?.works ?? []) {
      for (const ended of ["computed", "answered"] as const) {
        this.#policy.reduce(this.#state, {
          type: "work_ended",
          now: this.#now,
          end: { server, id, ended },
        });
      }
    }
  }
}
