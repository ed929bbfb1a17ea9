/**
 * The scaled services and their servers, as membership knows them.
 *
 * @module
 */

import {
  type ObservedServer,
  type ObservedServers,
  ScaledFleet,
  type ScaledService,
  type ScaledZone,
} from "@rhubarbstage/duties";
import type {
  HostRecord,
  ServerRecord,
  ServerView,
} from "@rhubarbstage/membership";
import type { RelayService, RouteTable } from "@rhubarbstage/relay";
import type { AvailabilityZone, Region, ServiceName } from "rhubarbstage";

/**
 * Share of the servers whose evidence is at least as new as the age of the whole
 * observation; the rest may be on their way out.
 */
const agePercentile = 0.9;

/** Options of {@linkcode MembershipFleet}. */
export interface MembershipFleetOptions {
  /** The route table in force. */
  readonly routeTable: () => Pick<RouteTable, "services"> | undefined;
  readonly membership: {
    listServers(): readonly Pick<ServerView, "record" | "evidenceAge">[];
    listLiveHosts(): readonly HostRecord[];
  };
}

/** Services of the route table with the servers that membership lists. */
export class MembershipFleet extends ScaledFleet {
  readonly #options: MembershipFleetOptions;

  constructor(options: MembershipFleetOptions) {
    super();
    this.#options = options;
  }

  override services(): readonly ScaledService[] {
    const services = this.#options.routeTable()?.services ?? [];
    return services.flatMap((service) => {
      const { name, scaling } = service;
      if (scaling === undefined) return [];
      return [{ service: name, scaling, slots: this.#slotsOf(service) }];
    });
  }

  override zones(service: ServiceName): readonly ScaledZone[] {
    const { membership, routeTable } = this.#options;
    const regions = new Map<AvailabilityZone, Region>();
    const hosts = membership.listLiveHosts();
    for (const { availabilityZone, region } of hosts) {
      regions.set(availabilityZone, region);
    }
    const used = new Set<AvailabilityZone>();
    for (const { availabilityZone, region } of this.#recordsOf(service)) {
      regions.set(availabilityZone, region);
      used.add(availabilityZone);
    }
    const priced = routeTable()?.services
      .find(({ name }) => name === service)?.scaling?.zonePrices;
    // Without prices, servers are ordered where there are some.
    const isScaled = (zone: AvailabilityZone) =>
      used.has(zone) || priced?.has(zone) === true;
    return [...regions].filter(([zone]) => isScaled(zone))
      .map(([availabilityZone, region]) => ({ availabilityZone, region }));
  }

  override serversOf(service: ServiceName): ObservedServers {
    const views = this.#options.membership.listServers()
      .filter(({ record }) => runs(record, service));
    const ages = views.map(({ evidenceAge }) => evidenceAge)
      .sort((left, right) => left - right);
    const age = ages[Math.floor((ages.length - 1) * agePercentile)] ?? 0;
    return { servers: views.map(({ record }) => toObserved(record)), age };
  }

  /** Plain servers announce how many requests they run. */
  #slotsOf({ name, engine, maxConnections }: RelayService): number {
    if (engine !== undefined) return engine.slots;
    const capacities = this.#recordsOf(name).map(({ capacity }) => capacity)
      .filter((capacity) => capacity > 0);
    return capacities.length > 0 ? Math.min(...capacities) : maxConnections;
  }

  #recordsOf(service: ServiceName): ServerRecord[] {
    return this.#options.membership.listServers()
      .map(({ record }) => record)
      .filter((record) => runs(record, service));
  }
}

function runs({ models, services }: ServerRecord, name: ServiceName): boolean {
  return services.includes(name) ||
    (models as readonly string[]).includes(name);
}

function toObserved(record: ServerRecord): ObservedServer {
  const { availabilityZone, state, leaving, spot, role, models } = record;
  // Engines that change their stage serve again soon.
  const isServing = !leaving && (state === "serving" || state === "changing");
  return {
    availabilityZone,
    kind: spot === true ? "spot" : "on_demand",
    state: isServing ? "serving" : "draining",
    ...(models.length === 0 || role === "mixed" ? {} : { stage: role }),
  };
}
