/**
 * Orders to engines: role changes that the policy decides, recovery of open
 * orders by a new leader, and operators' statements.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import {
  type BackendServerId,
  every,
  type OrderId,
  toRhubarbstageError,
} from "rhubarbstage";
import type {
  EngineTarget,
  OrderExecutor,
  OrderIntent,
  OrderReport,
} from "@rhubarbstage/control";
import type { ServerRecord } from "@rhubarbstage/membership";
import type { EngineRole } from "@rhubarbstage/policy";
import type { BackendRegistry } from "./backend_registry.ts";
import type { HostEvents } from "./host_events.ts";

/** Time between two looks at open orders, in milliseconds. */
const recoveryInterval = 5_000;

/** Options of an {@linkcode OrderDesk}. */
export interface OrderDeskOptions {
  readonly executor: OrderExecutor;
  readonly backends: BackendRegistry;
  readonly events: HostEvents;
  /** Whether this host leads the control group. */
  readonly leads: () => boolean;
}

/** Gives orders on the host that leads the control group. */
export class OrderDesk {
  #options: OrderDeskOptions;
  #recovering = false;
  /** Incarnations that were reported to the control group. */
  #observed = new Map<BackendServerId, number>();

  constructor(options: OrderDeskOptions) {
    this.#options = options;
  }

  /** Finishes open orders now and then, until the signal is aborted. */
  start(options: { readonly signal: AbortSignal }): void {
    every(recoveryInterval, () => void this.#recover(), options);
  }

  /** Orders a role that the policy has decided. */
  async setRole(server: BackendServerId, role: EngineRole): Promise<void> {
    const target = this.#targetOf(server);
    if (target === undefined) return;
    const orderId = randomUUID() as OrderId;
    const { executor, events } = this.#options;
    try {
      const report = await executor.execute({
        orderId,
        backendServer: server,
        kind: "set_role",
        argument: role,
      }, target);
      this.#note(report);
    } catch (thrown) {
      const { kind } = toRhubarbstageError(thrown);
      events.note("order_not_sent", { server, order: orderId, kind });
    }
  }

  /** Ends the orders to processes that an announcement shows to be gone. */
  async observe(record: ServerRecord): Promise<void> {
    const { id, incarnation, models } = record;
    const reported = this.#observed.get(id) ?? 0;
    const isEngine = models.length > 0;
    if (!isEngine || reported >= incarnation || !this.#options.leads()) return;
    this.#observed.set(id, incarnation);
    try {
      await this.#options.executor.observe({ backendServer: id, incarnation });
    } catch {
      this.#observed.delete(id);
    }
  }

  /** Orders that may still take effect. Throws `no_quorum`. */
  listOpen(): Promise<readonly OrderIntent[]> {
    return this.#options.executor.openOrders();
  }

  /** Ends an order on an operator's word; true if it had ended before. */
  async endByOperator(orderId: OrderId): Promise<boolean> {
    const intent = await this.#options.executor.endByOperator(orderId);
    return intent?.ending !== "operator";
  }

  async #recover(): Promise<void> {
    if (this.#recovering || !this.#options.leads()) return;
    this.#recovering = true;
    try {
      const reports = await this.#options.executor.recover((intent) =>
        this.#targetOf(intent.backendServer)
      );
      for (const report of reports) this.#note(report);
    } catch (thrown) {
      const { kind } = toRhubarbstageError(thrown);
      this.#options.events.note("order_recovery_failed", { kind });
    } finally {
      this.#recovering = false;
    }
  }

  #targetOf(server: BackendServerId): EngineTarget | undefined {
    const record = this.#options.backends.recordOf(server);
    if (record === undefined) return undefined;
    return { backendServer: server, address: record.address };
  }

  #note(report: OrderReport): void {
    const { intent, ending = "open", message = "" } = report;
    this.#options.events.note("order", {
      server: intent.backendServer,
      order: intent.orderId,
      kind: intent.kind,
      argument: intent.argument,
      fencing_number: intent.fencingNumber,
      ending,
      message,
    });
  }
}
