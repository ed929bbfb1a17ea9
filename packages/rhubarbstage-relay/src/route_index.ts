/**
 * Route lookup by host name and path.
 *
 * @module
 */

import type { ServiceName } from "rhubarbstage";
import { CustomerKeys } from "./customer_keys.ts";
import type { RelayService, Route, RouteTable } from "./types.ts";

/** Index of a route table by host name and service name. */
export class RouteIndex {
  readonly table: RouteTable;
  /** Absent if the table has no customers. */
  readonly customerKeys: CustomerKeys | undefined;
  /** Routes of each host name, longest prefix first. */
  #routes = new Map<string, Route[]>();
  #services = new Map<ServiceName, RelayService>();

  constructor(table: RouteTable) {
    this.table = table;
    this.customerKeys = table.customers === undefined
      ? undefined
      : new CustomerKeys(table.customers);
    for (const service of table.services) {
      this.#services.set(service.name, service);
    }
    for (const route of table.routes) {
      const routes = this.#routes.get(route.hostName) ?? [];
      routes.push(route);
      this.#routes.set(route.hostName, routes);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((left, right) =>
        right.pathPrefix.length - left.pathPrefix.length
      );
    }
  }

  /** Returns the route with the longest matching path prefix, if any. */
  find(hostName: string, path: string): Route | undefined {
    return this.#routes.get(hostName.toLowerCase())
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  service(name: ServiceName): RelayService | undefined {
    return this.#services.get(name);
  }
}

/**
 * Selects a target of a route by weight.
 *
 * @param draw Random number in [0, 1).
 */
export function pickTarget(route: Route, draw: number): ServiceName {
  let remaining = draw *
    route.targets.reduce((sum, target) => sum + target.weight, 0);
  for (const { service, weight } of route.targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return (route.targets.at(-1) as Route["targets"][number]).service;
}
