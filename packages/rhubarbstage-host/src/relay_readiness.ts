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
  onTable: (table: RouteTable) => void = () => {};
  #table: RouteTable | undefined;
  #stage: "running" | "leaving" | "refusing" = "running";

  /** Takes a table that is in force. */
  take(table: RouteTable): void {
    this.#table = table;
    this.onTable(table);
  }

  /** Tells the balancer to send no new connections. */
  leave(): void {
    this.#stage = "leaving";
  }

  /** Refuses new requests. */
  refuse(): void {
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
