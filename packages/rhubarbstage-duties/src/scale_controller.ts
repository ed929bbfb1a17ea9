/**
 * Orders servers while this host holds the duty of scaling.
 *
 * @module
 */

import {
  type Clock,
  every,
  type Region,
  type ServiceName,
  SystemClock,
} from "rhubarbstage";
import type { DutyEvent } from "./duty_leader.ts";
import { FleetLoad } from "./fleet_load.ts";
import { observationTime, ScalePlanner } from "./scale_planner.ts";
import type {
  ObservedServer,
  RegionLoad,
  ScaleDecision,
  ScaledZone,
  ServiceScaling,
} from "./scale_types.ts";
import type {
  DutyContext,
  DutyTerm,
  PlatformCallResult,
  ServerOrder,
} from "./types.ts";

/** Time between two records of the load and the need, in milliseconds. */
const loadRecordInterval = 5_000;
/** Time between two plans, in milliseconds. */
const planInterval = 1_000;

/** A service whose number of servers is not fixed, as this host knows it. */
export interface ScaledService {
  readonly service: ServiceName;
  readonly scaling: ServiceScaling;
  /** Requests that one server runs at the same time. */
  readonly slots: number;
  /** Availability zones in which servers may be ordered. */
  readonly zones: readonly ScaledZone[];
  readonly servers: readonly ObservedServer[];
  /** Age of what is known of the servers, in milliseconds. */
  readonly stateAge: number;
}

/** Source of what this host knows of the scaled services. */
export abstract class ScaledFleet {
  /** Returns the services of the configuration in force that are scaled. */
  abstract observe(): readonly ScaledService[];
}

/** Options of a {@linkcode ScaleController}. */
export interface ScaleControllerOptions extends Omit<DutyContext, "clock"> {
  readonly fleet: ScaledFleet;
  readonly onEvent?: DutyEvent;
  readonly onResult?: (order: ServerOrder, result: PlatformCallResult) => void;
  /** Called with the servers that each region needs, at each plan. */
  readonly onNeeds?: (
    service: ServiceName,
    needs: ReadonlyMap<Region, number>,
  ) => void;
  /** Called when this host no longer holds the duty. */
  readonly onTermEnd?: () => void;
  readonly clock?: Clock;
  /** Time between two plans, in milliseconds. */
  readonly interval?: number;
}

/** Plans in each term anew, from what is observed. */
export class ScaleController {
  readonly #options: ScaleControllerOptions;
  readonly #clock: Clock;

  constructor(options: ScaleControllerOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
  }

  /** Orders servers in every term of the duty until the signal is aborted. */
  start(): void {
    const { holder, signal } = this.#options;
    holder.whenHeld("scaling", (term) => this.#runTerm(term), { signal });
  }

  #runTerm(term: DutyTerm): void {
    const { polls, onTermEnd, interval = planInterval } = this.#options;
    const { signal } = term;
    signal.addEventListener("abort", () => onTermEnd?.(), { once: true });
    const load = new FleetLoad();
    const planners = new Map<ServiceName, ScalePlanner>();
    polls.onOutcome((outcome) => load.observe(outcome), { signal });
    const startedAt = this.#clock.monotonicMilliseconds();
    const run = { term, load, planners, startedAt, recordedAt: startedAt };
    every(interval, () => this.#plan(run), { signal });
  }

  #plan(run: TermRun): void {
    const { fleet, polls, onNeeds } = this.#options;
    const now = this.#clock.monotonicMilliseconds();
    // Orders that can't be sent are not planned. The load is observed before.
    const isObserving = now - run.startedAt < observationTime;
    if (!isObserving && !run.term.mayAct()) return;
    const live = polls.hosts();
    run.load.prune(live);
    const services = fleet.observe();
    const isRecordDue = now - run.recordedAt >= loadRecordInterval;
    if (isRecordDue) run.recordedAt = now;
    removeOthers(run.planners, services);
    for (const observed of services) {
      const { service } = observed;
      const planner = run.planners.get(service) ?? new ScalePlanner();
      run.planners.set(service, planner);
      const loads = run.load.regionLoads(service, { live, now });
      const decisions = planner.plan({ ...observed, now, loads });
      const needs = planner.needs();
      onNeeds?.(service, needs);
      if (isRecordDue) this.#recordLoads(service, loads, needs);
      for (const decision of decisions) {
        void this.#send(decision, { planner, term: run.term });
      }
    }
  }

  /** Records what the plans are made from. */
  #recordLoads(
    service: ServiceName,
    loads: readonly RegionLoad[],
    needs: ReadonlyMap<Region, number>,
  ): void {
    for (const load of loads) {
      this.#options.onEvent?.("service_load", {
        service,
        region: load.region,
        prompt_time: Math.round(load.promptTime),
        stream_time: Math.round(load.streamTime),
        busy_time: Math.round(load.busyTime),
        arrivals: Math.round(load.arrivals),
        refusals: Math.round(load.refusals),
        unreachable: load.unreachableHosts,
        servers_needed: needs.get(load.region) ?? 0,
      });
    }
  }

  async #send(
    { order, reason }: ScaleDecision,
    sender: { readonly planner: ScalePlanner; readonly term: DutyTerm },
  ): Promise<void> {
    const { calls, onEvent, onResult } = this.#options;
    const result = await calls.orderServers(order, sender.term);
    sender.planner.recordResult(
      order,
      result,
      this.#clock.monotonicMilliseconds(),
    );
    onResult?.(order, result);
    onEvent?.("servers_ordered", {
      service: order.service,
      zone: order.availabilityZone,
      kind: order.spot ? "spot" : "on_demand",
      count: order.count,
      reason,
      result: result.type,
      fence: sender.term.fence,
    });
  }
}

interface TermRun {
  readonly term: DutyTerm;
  readonly load: FleetLoad;
  readonly startedAt: number;
  readonly planners: Map<ServiceName, ScalePlanner>;
  /** Monotonic time of the last record of the load, in milliseconds. */
  recordedAt: number;
}

/** Forgets the plans of services that are no longer scaled. */
function removeOthers(
  planners: Map<ServiceName, ScalePlanner>,
  services: readonly ScaledService[],
): void {
  const names = new Set(services.map(({ service }) => service));
  for (const service of planners.keys()) {
    if (!names.has(service)) planners.delete(service);
  }
}
