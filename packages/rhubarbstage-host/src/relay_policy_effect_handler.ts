/**
 * Policy effects of a relay host that concern orders and other hosts.
 *
 * @module
 */

import { PolicyEffectHandler } from "@rhubarbstage/gateway/dispatch";
import type { Membership } from "@rhubarbstage/membership";
import type { EngineWorkEffect } from "@rhubarbstage/policy";
import type { DemandReport } from "./demand_report.ts";
import type { HostLoad } from "./host_load.ts";
import type { OrderCoordinator } from "./order_coordinator.ts";
import type { PartMarksFile } from "./part_marks_file.ts";
import type { PlacementExchange } from "./placement_exchange.ts";

/** Handles the policy's effects that concern orders and other hosts. */
export class RelayPolicyEffectHandler extends PolicyEffectHandler {
  readonly #demand: DemandReport;
  membership: Membership | undefined;
  /** Set after construction, because it notifies the policy. */
  placement: PlacementExchange | undefined;
  /** Present on hosts with a data folder. */
  partMarksFile: PartMarksFile | undefined;
  /** Present on hosts that may lead the control group. */
  orders: OrderCoordinator | undefined;
  /** Measures the load of scaled services. */
  load: HostLoad | undefined;

  constructor(demand: DemandReport) {
    super();
    this.#demand = demand;
  }

  override setRole(
    ...change: Parameters<PolicyEffectHandler["setRole"]>
  ): void {
    void this.orders?.setRole(...change);
  }

  override shareEngineWork(effect: EngineWorkEffect): void {
    this.placement?.execute(effect);
  }

  override publishQuarantine(
    marks: Parameters<PolicyEffectHandler["publishQuarantine"]>[0],
  ): void {
    this.membership?.publishQuarantineMarks(marks);
  }

  override publishRequestLimits(
    limits: Parameters<PolicyEffectHandler["publishRequestLimits"]>[0],
  ): void {
    this.membership?.publishRequestLimits(limits);
  }

  override publishPartMarks(
    marks: Parameters<PolicyEffectHandler["publishPartMarks"]>[0],
  ): void {
    this.membership?.publishPartMarks(marks);
    this.partMarksFile?.write(marks);
  }

  override publishDemand(
    ...demand: Parameters<PolicyEffectHandler["publishDemand"]>
  ): void {
    this.#demand.update(...demand);
    const [, models] = demand;
    this.load?.setModelDemand(models);
  }
}
