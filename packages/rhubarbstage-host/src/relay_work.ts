/**
 * Announcements of engine work between relay hosts.
 *
 * @module
 */

import { every } from "rhubarbstage";
import {
  type Dispatcher,
  PolicyEffectHandler,
} from "@rhubarbstage/gateway/dispatch";
import type { Membership } from "@rhubarbstage/membership";
import type { EngineWork, EngineWorkEnd } from "@rhubarbstage/policy";
import { messageType, type PeerTransport } from "@rhubarbstage/transport";
import type { DemandReport } from "./demand_report.ts";
import type { OrderCoordinator } from "./order_coordinator.ts";
import type { RelayHostContext } from "./relay_parts.ts";

/** Interval between messages with announcements, in milliseconds. */
const workSendInterval = 10;

/** Handles the policy's effects that concern orders and other hosts. */
export class RelayPolicyEffectHandler extends PolicyEffectHandler {
  readonly #demand: DemandReport;
  membership: Membership | undefined;
  /** Present on hosts that may lead the control group. */
  orders: OrderCoordinator | undefined;
  readonly #unsentWork: (EngineWork | EngineWorkEnd)[] = [];

  constructor(demand: DemandReport) {
    super();
    this.#demand = demand;
  }

  override setRole(
    ...change: Parameters<PolicyEffectHandler["setRole"]>
  ): void {
    void this.orders?.setRole(...change);
  }

  override announceWork(work: EngineWork | EngineWorkEnd): void {
    this.#unsentWork.push(work);
  }

  /** Returns and removes the work announced since the last call. */
  dequeueWork(): readonly (EngineWork | EngineWorkEnd)[] {
    return this.#unsentWork.splice(0);
  }

  override publishQuarantine(
    marks: Parameters<PolicyEffectHandler["publishQuarantine"]>[0],
  ): void {
    this.membership?.publishQuarantineMarks(marks);
  }

  override publishDemand(
    ...demand: Parameters<PolicyEffectHandler["publishDemand"]>
  ): void {
    this.#demand.update(...demand);
  }
}

const workMessage = messageType<readonly (EngineWork | EngineWorkEnd)[]>(
  "engine_work",
);

/** Shares work sent to engines among hosts, so that all can estimate queues. */
export function exchangeWorkAnnouncements(
  context: RelayHostContext,
  parts: {
    readonly transport: PeerTransport;
    readonly membership: Membership;
    readonly dispatcher: Dispatcher;
    readonly effectHandler: RelayPolicyEffectHandler;
  },
): void {
  const { transport, membership, dispatcher, effectHandler } = parts;
  transport.onMessage(workMessage, (works) => {
    for (const work of works) {
      dispatcher.notify(
        "ended" in work
          ? { type: "work_ended", end: work }
          : { type: "work_announced", work },
      );
    }
  });
  every(workSendInterval, () => {
    const body = effectHandler.dequeueWork();
    if (body.length === 0) return;
    for (const { host, servesCallers } of membership.listLiveHosts()) {
      if (servesCallers === false || host === context.settings.host) continue;
      transport.send(workMessage, { to: host, body });
    }
  }, { signal: context.stopController.signal });
}
