/**
 * Stages of a host from its start to its end.
 *
 * @module
 */

import { Readiness } from "@rhubarbstage/gateway";
import type { ActiveSettings } from "./active_settings.ts";

/** Stage of a host. */
export type LifecycleStage = "running" | "leaving" | "refusing";

/** Tells the load balancer and the gateway whether the host takes work. */
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
