/**
 * Policy effects that reach other hosts or change the roles of engines.
 *
 * @module
 */

import type { BackendServerId, CustomerId, ModelName } from "rhubarbstage";
import { PolicyEffectHandler } from "@rhubarbstage/gateway";
import type { Membership } from "@rhubarbstage/membership";
import type {
  CustomerDemand,
  EngineRole,
  ModelDemand,
  PartMark,
  QuarantineMark,
  RequestLimitReport,
} from "@rhubarbstage/policy";
import type { Metrics } from "@rhubarbstage/telemetry";
import type { DemandReport } from "./demand_report.ts";
import type { OrderCoordinator } from "./order_coordinator.ts";

/** Options of {@linkcode HostPolicyEffectHandler}. */
export interface HostPolicyEffectHandlerOptions {
  readonly orders: OrderCoordinator;
  readonly demand: DemandReport;
  readonly metrics: Metrics;
}

/** Forwards the policy's effects to orders, gossip and demand reports. */
export class HostPolicyEffectHandler extends PolicyEffectHandler {
  #options: HostPolicyEffectHandlerOptions;
  #membership: Membership | undefined;

  constructor(options: HostPolicyEffectHandlerOptions) {
    super();
    this.#options = options;
  }

  /** Set after construction, because membership reports to the policy. */
  set membership(membership: Membership) {
    this.#membership = membership;
  }

  override setRole(server: BackendServerId, role: EngineRole): void {
    this.#options.metrics.countRoleChange();
    void this.#options.orders.setRole(server, role);
  }

  override shareEngineWork(): void {
    // Engines report their caches and queues themselves.
  }

  override publishQuarantine(marks: readonly QuarantineMark[]): void {
    this.#membership?.publishQuarantineMarks(marks);
  }

  override publishRequestLimits(limits: readonly RequestLimitReport[]): void {
    this.#membership?.publishRequestLimits(limits);
  }

  override publishPartMarks(marks: readonly PartMark[]): void {
    this.#membership?.publishPartMarks(marks);
  }

  override publishDemand(
    localDemand: ReadonlyMap<CustomerId, CustomerDemand>,
    localModelDemand: ReadonlyMap<ModelName, ModelDemand>,
  ): void {
    this.#options.demand.update(localDemand, localModelDemand);
  }
}
