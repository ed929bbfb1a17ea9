/**
 * Whether a relay host takes callers.
 *
 * @module
 */

import { Readiness } from "@rhubarbstage/gateway/dispatch";
import type { RouteTable } from "@rhubarbstage/relay";

/** Ready from its first table of routes until it is told to stop. */
export class RelayReadiness extends Readiness {
  /** Called with each table that comes into force. */
  onRouteTable: (table: RouteTable) => void = () => {};
  #table: RouteTable | undefined;
  #stage: "running" | "leaving" | "refusing" = "running";

  /** Takes a table that is in force. */
  setRouteTable(table: RouteTable): void {
    this.#table = table;
    this.onRouteTable(table);
  }

  /** Tells the balancer to send no new connections. */
  markNotReady(): void {
    this.#stage = "leaving";
  }

  /** Refuses new requests. */
  stopAcceptingWork(): void {
    this.#stage = "refusing";
  }

  override notReadyReason(): string | undefined {
    if (this.#stage !== "running") return "shutting_down";
    return this.#table === undefined ? "no_configuration" : undefined;
  }

  override acceptsWork(): boolean {
    return this.#stage !== "refusing";
  }
}
