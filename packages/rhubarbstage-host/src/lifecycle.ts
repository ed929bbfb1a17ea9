/**
 * Lifecycle stages of a host.
 *
 * @module
 */

import { Readiness } from "@rhubarbstage/gateway";
import type { ActiveSettings } from "./active_settings.ts";

/** Host stage; `leaving` is not ready, `refusing` refuses work. */
export type LifecycleStage = "running" | "leaving" | "refusing";

/** Reports to the load balancer and the gateway whether the host is ready. */
export class Lifecycle extends Readiness {
  #settings: ActiveSettings;
  #stage: LifecycleStage = "running";

  constructor(settings: ActiveSettings) {
    super();
    this.#settings = settings;
  }

  /** Whether the host is shutting down. */
  get shuttingDown(): boolean {
    return this.#stage !== "running";
  }

  /** Moves to the next stage of a shutdown. */
  enterStage(stage: Exclude<LifecycleStage, "running">): void {
    this.#stage = stage;
  }

  override notReadyReason(): string | undefined {
    if (this.shuttingDown) return "shutting_down";
    if (!this.#settings.ready) return "no_configuration";
    if (this.#settings.configuration.tree.regions === undefined) {
      return "empty_tree";
    }
    return undefined;
  }

  override acceptsWork(): boolean {
    return this.#stage !== "refusing";
  }
}
