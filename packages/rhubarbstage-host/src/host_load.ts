/**
 * Load of the scaled services at one entry host.
 *
 * @module
 */

import {
  type EngineDemand,
  type ServiceLoad,
  ServiceLoadMeter,
} from "@rhubarbstage/duties";
import type { ModelDemand, Work } from "@rhubarbstage/policy";
import type { RouteTable } from "@rhubarbstage/relay";
import type {
  Clock,
  ErrorKind,
  ModelName,
  RhubarbstageError,
  ServiceName,
} from "rhubarbstage";

/** Refusals that more servers would prevent. */
const capacityRefusals: ReadonlySet<ErrorKind> = new Set([
  "overloaded",
  "no_backend_server",
  "deadline_exceeded",
]);

/** Measures requests of services whose number of servers is not fixed. */
export class HostLoad {
  readonly #meter: ServiceLoadMeter;
  #scaled: ReadonlySet<ServiceName> = new Set();

  constructor(options: { readonly clock: Clock }) {
    this.#meter = new ServiceLoadMeter(options);
  }

  setRouteTable({ services }: Pick<RouteTable, "services">): void {
    this.#scaled = new Set(
      services.filter(({ scaling }) => scaling !== undefined)
        .map(({ name }) => name),
    );
  }

  /** Replaces the engine time that the policy measured. */
  setModelDemand(models: ReadonlyMap<ModelName, ModelDemand>): void {
    this.#meter.setEngineDemand(toEngineDemand(models));
  }

  /** Counts a request that is about to be placed. */
  recordBegun({ service, model }: Pick<Work, "service" | "model">): void {
    this.#meter.recordArrival(service);
    if (model === undefined) this.#meter.recordRunning(service, 1);
  }

  /** Counts the end of a request, with its error unless it was served. */
  recordEnded(
    { service, model }: Pick<Work, "service" | "model">,
    error?: RhubarbstageError,
  ): void {
    if (model === undefined) this.#meter.recordRunning(service, -1);
    if (error?.outcome === "not_run" && capacityRefusals.has(error.kind)) {
      this.#meter.recordRefusal(service);
    }
  }

  /** Returns the load of the scaled services. */
  read(): readonly ServiceLoad[] {
    if (this.#scaled.size === 0) return [];
    return this.#meter.read().filter(({ service }) =>
      this.#scaled.has(service)
    );
  }
}

/** All engines of a service form the pool of a model of the same name. */
function toEngineDemand(
  models: ReadonlyMap<ModelName, ModelDemand>,
): ReadonlyMap<ServiceName, EngineDemand> {
  return new Map(
    [...models].map((
      [model, demand],
    ) => {
      const { promptTimePerSecond = 0, streamTimePerSecond = 0 } = demand;
      const { computeTimePerSecond = promptTimePerSecond } = demand;
      return [
        model as string as ServiceName,
        { promptTime: computeTimePerSecond, streamTime: streamTimePerSecond },
      ];
    }),
  );
}
