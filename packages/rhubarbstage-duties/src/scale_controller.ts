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

/** Time between two plans, in milliseconds. */
const planInterval = 1_000;

/** A service whose number of servers is not fixed. */
export interface ScaledService {
  readonly service: ServiceName;
  readonly scaling: ServiceScaling;
  /** Requests that one server runs at the same time. */
  readonly slots: number;
}

/** Servers of a service as this host knows them. */
export interface ObservedServers {
  readonly servers: readonly ObservedServer[];
  /** Age of the knowledge, in milliseconds. */
  readonly age: number;
}

/** What this host knows of the services and their servers. */
export abstract class ScaledFleet {
  /** Services of the configuration in force that are scaled. */
  abstract services(): readonly ScaledService[];
  /** Availability zones in which servers of the service may be ordered. */
  abstract zones(service: ServiceName): readonly ScaledZone[];
  abstract serversOf(service: ServiceName): ObservedServers;
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
    const run = { term, load, planners, startedAt };
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
    const services = fleet.services();
    removeOthers(run.planners, services);
    for (const { service, scaling, slots } of services) {
      const planner = run.planners.get(service) ?? new ScalePlanner();
      run.planners.set(service, planner);
      const { servers, age: stateAge } = fleet.serversOf(service);
      const loads = run.load.regionLoads(service, { live, now });
      const decisions = planner.plan({
        now,
        service,
        scaling,
        slots,
        zones: fleet.zones(service),
        servers,
        loads,
        stateAge,
      });
      onNeeds?.(service, planner.needs());
      for (const decision of decisions) {
        void this.#send(decision, { planner, term: run.term });
      }
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
