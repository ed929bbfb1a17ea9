/**
 * Readiness of a relay host.
 *
 * @module
 */

import { Readiness } from "@rhubarbstage/gateway/dispatch";
import type { RouteTable } from "@rhubarbstage/relay";

/**
 * Reports ready from the first route table until shutdown starts, while requests
 * can reach servers.
 */
export class RelayReadiness extends Readiness {
  /** Called with each new active table. */
  onRouteTable: (table: RouteTable) => void = () => {};
  /** Whether neither this host nor another one for it reaches a server. */
  isCutOff: () => boolean = () => false;
  #routeTable: RouteTable | undefined;
  #stage: "running" | "leaving" | "refusing" = "running";

  /** Sets the active table. */
  setRouteTable(table: RouteTable): void {
    this.#routeTable = table;
    this.onRouteTable(table);
  }

  /** Reports not ready, so that the load balancer stops new connections. */
  markNotReady(): void {
    this.#stage = "leaving";
  }

  /** Makes the host refuse new requests. */
  stopAcceptingWork(): void {
    this.#stage = "refusing";
  }

  override notReadyReason(): string | undefined {
    if (this.#stage !== "running") return "shutting_down";
    if (this.#routeTable === undefined) return "no_configuration";
    return this.isCutOff() ? "cut_off" : undefined;
  }

  override acceptsWork(): boolean {
    return this.#stage !== "refusing";
  }
}
