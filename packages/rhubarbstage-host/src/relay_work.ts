/**
 * What relay hosts tell each other of their work on engines.
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

/** Time between two messages about work on engines, in milliseconds. */
const workInterval = 10;

/** Carries out the effects of the policy that concern other hosts. */
export class RelayPolicyListener extends PolicyEffectHandler {
  readonly #demand: DemandReport;
  membership: Membership | undefined;
  /** Present on hosts that may lead control. */
  orders: OrderCoordinator | undefined;
  readonly #work: (EngineWork | EngineWorkEnd)[] = [];

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
    this.#work.push(work);
  }

  /** Work since the last call, for other hosts. */
  dequeueWork(): readonly (EngineWork | EngineWorkEnd)[] {
    return this.#work.splice(0);
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

/** Exchanges what hosts send to engines, so that all know their queues. */
export function exchangeEngineWork(
  base: RelayHostContext,
  parts: {
    readonly transport: PeerTransport;
    readonly membership: Membership;
    readonly dispatcher: Dispatcher;
    readonly listener: RelayPolicyListener;
  },
): void {
  const { transport, membership, dispatcher, listener } = parts;
  transport.onMessage(workMessage, (works) => {
    for (const work of works) {
      dispatcher.notify(
        "ended" in work
          ? { type: "work_ended", end: work }
          : { type: "work_announced", work },
      );
    }
  });
  every(workInterval, () => {
    const body = listener.dequeueWork();
    if (body.length === 0) return;
    for (const { host, servesCallers } of membership.listLiveHosts()) {
      if (servesCallers === false || host === base.settings.host) continue;
      transport.send(workMessage, { to: host, body });
    }
  }, { signal: base.stopController.signal });
}
