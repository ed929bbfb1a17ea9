/**
 * The scaled services and their servers, as membership knows them.
 *
 * @module
 */

import {
  type ObservedServer,
  ScaledFleet,
  type ScaledService,
} from "@rhubarbstage/duties";
import type {
  HostRecord,
  ServerRecord,
  ServerView,
} from "@rhubarbstage/membership";
import type { RelayService, RouteTable } from "@rhubarbstage/relay";
import type { AvailabilityZone, Region } from "rhubarbstage";

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
    listServers(): readonly ObservedView[];
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

  override observe(): readonly ScaledService[] {
    const { routeTable, membership } = this.#options;
    const services = routeTable()?.services ?? [];
    if (!services.some(({ scaling }) => scaling !== undefined)) return [];
    const views = groupByService(membership.listServers());
    const regions = this.#regions();
    return services.flatMap((service) =>
      toScaledService(service, {
        views: views.get(service.name) ?? [],
        regions,
      })
    );
  }

  /** Regions of the zones in which there are hosts or servers. */
  #regions(): ReadonlyMap<AvailabilityZone, Region> {
    const { membership } = this.#options;
    const places = [
      ...membership.listLiveHosts(),
      ...membership.listServers().map(({ record }) => record),
    ];
    return new Map(
      places.map(({ availabilityZone, region }) => [availabilityZone, region]),
    );
  }
}

type ObservedView = Pick<ServerView, "record" | "evidenceAge">;

function groupByService(
  views: readonly ObservedView[],
): ReadonlyMap<string, ObservedView[]> {
  const groups = new Map<string, ObservedView[]>();
  for (const view of views) {
    const { models, services } = view.record;
    for (const name of [...models, ...services]) {
      const group = groups.get(name) ?? [];
      group.push(view);
      groups.set(name, group);
    }
  }
  return groups;
}

function toScaledService(
  service: RelayService,
  known: {
    readonly views: readonly ObservedView[];
    readonly regions: ReadonlyMap<AvailabilityZone, Region>;
  },
): ScaledService[] {
  const { name, scaling, engine, maxConnections } = service;
  const { views, regions } = known;
  if (scaling === undefined) return [];
  // Plain servers announce how many requests they run.
  const capacities = views.map(({ record }) => record.capacity)
    .filter((capacity) => capacity > 0);
  const slots = engine?.slots ??
    (capacities.length > 0 ? Math.min(...capacities) : maxConnections);
  const used = new Set(views.map(({ record }) => record.availabilityZone));
  // Without prices, servers are ordered where there are some.
  const zones = [...regions]
    .filter(([zone]) => used.has(zone) || scaling.zonePrices.has(zone))
    .map(([availabilityZone, region]) => ({ availabilityZone, region }));
  return [{
    service: name,
    scaling,
    slots,
    zones,
    servers: views.map(({ record }) => toObserved(record)),
    stateAge: ageOf(views),
  }];
}

function ageOf(views: readonly ObservedView[]): number {
  const ages = views.map(({ evidenceAge }) => evidenceAge)
    .sort((left, right) => left - right);
  return ages[Math.floor((ages.length - 1) * agePercentile)] ?? 0;
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
