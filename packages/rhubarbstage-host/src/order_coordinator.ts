/**
 * Orders to engines: role changes that the policy decides, recovery of open
 * orders by a new leader, and operators' statements.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import {
  type BackendServerId,
  delay,
  every,
  type OrderId,
  toRhubarbstageError,
} from "rhubarbstage";
import type {
  EngineTarget,
  OrderExecutor,
  OrderIntent,
  OrderKind,
  OrderReport,
} from "@rhubarbstage/control";
import type { ServerLoad, ServerRecord } from "@rhubarbstage/membership";
import type { EngineRole } from "@rhubarbstage/policy";
import type { BackendRegistry } from "./backend_registry.ts";
import type { HostEvents } from "./host_events.ts";

/** Time between two looks at open orders, in milliseconds. */
const recoveryInterval = 5_000;

/** Longest wait for the streams of a drained engine, in milliseconds. */
const drainLimit = 60_000;
/** Time between two looks at the load of a drained engine, in milliseconds. */
const drainPollInterval = 100;

/** Options of an {@linkcode OrderCoordinator}. */
export interface OrderCoordinatorOptions {
  readonly executor: OrderExecutor;
  readonly backends: BackendRegistry;
  readonly events: HostEvents;
  /** Whether this host leads the control group. */
  readonly leads: () => boolean;
  /** Whether engines end their work by themselves before they change roles. */
  readonly enginesDrainThemselves?: boolean;
  /** Engines that may be out of service at once in the pool of a server. */
  readonly maxEnginesAway: (record: ServerRecord) => number;
  /** Reads the load of an engine. Throws when it cannot be reached. */
  readonly readLoad: (target: EngineTarget) => Promise<ServerLoad>;
}

/** Gives orders on the host that leads the control group. */
export class OrderCoordinator {
  #options: OrderCoordinatorOptions;
  #recovering = false;
  /** Engines that this host has taken out of service for a change. */
  #changing = new Set<BackendServerId>();
  /** Incarnations that were reported to the control group. */
  #observed = new Map<BackendServerId, number>();

  constructor(options: OrderCoordinatorOptions) {
    this.#options = options;
  }

  /** Finishes open orders now and then, until the signal is aborted. */
  start(options: { readonly signal: AbortSignal }): void {
    every(recoveryInterval, () => void this.#recover(), options);
  }

  /**
   * Changes a role that the policy has decided. A role change ends the streams
   * of an engine, so the engine is drained first; when its streams last too
   * long, it keeps its role. Engines that end their work by themselves get
   * only the order.
   */
  async setRole(server: BackendServerId, role: EngineRole): Promise<void> {
    if (this.#changing.has(server) || !this.#mayTakeAway(server)) return;
    this.#changing.add(server);
    try {
      if (this.#options.enginesDrainThemselves === true) {
        await this.#order(server, "set_role", role);
        return;
      }
      if (!await this.#order(server, "drain", "")) return;
      if (await this.#becomesIdle(server)) {
        await this.#order(server, "set_role", role);
      }
      await this.#order(server, "undrain", "");
    } finally {
      this.#changing.delete(server);
    }
  }

  /** Ends the orders to processes that an announcement shows to be gone. */
  async endStaleOrders(record: ServerRecord): Promise<void> {
    const { id, incarnation, models } = record;
    const reported = this.#observed.get(id) ?? 0;
    const isEngine = models.length > 0;
    if (!isEngine || reported >= incarnation || !this.#options.leads()) return;
    this.#observed.set(id, incarnation);
    try {
      await this.#options.executor.observeEngine({
        backendServer: id,
        incarnation,
      });
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

  /** Whether one more engine may be out of service, by the tree. */
  #mayTakeAway(server: BackendServerId): boolean {
    const record = this.#options.backends.recordOf(server);
    if (record === undefined) return false;
    return this.#changing.size < this.#options.maxEnginesAway(record);
  }

  /** Gives one order; true when the engine confirmed it. */
  async #order(
    server: BackendServerId,
    kind: OrderKind,
    argument: string,
  ): Promise<boolean> {
    const target = this.#targetOf(server);
    if (target === undefined) return false;
    const orderId = randomUUID() as OrderId;
    const order = { orderId, backendServer: server, kind, argument };
    const { executor, events } = this.#options;
    try {
      const report = await executor.execute(order, target);
      this.#note(report);
      return report.ending === "confirmed";
    } catch (thrown) {
      const error = toRhubarbstageError(thrown).kind;
      events.record("order_not_sent", { server, order: orderId, kind, error });
      return false;
    }
  }

  /** Waits until no request runs or waits on a drained engine. */
  async #becomesIdle(server: BackendServerId): Promise<boolean> {
    const target = this.#targetOf(server);
    if (target === undefined) return false;
    const endsAt = performance.now() + drainLimit;
    while (performance.now() < endsAt && this.#options.leads()) {
      const load = await this.#options.readLoad(target).catch(() => undefined);
      if (load === undefined) return false;
      if (load.runningRequests + load.queuedRequests === 0) return true;
      await delay(drainPollInterval);
    }
    return false;
  }

  /** Puts engines back that an earlier leader drained and then left alone. */
  async #undrainForgotten(): Promise<void> {
    if (this.#options.enginesDrainThemselves === true) return;
    for (const record of this.#options.backends.records()) {
      const forgotten = record.state === "draining" &&
        !this.#changing.has(record.id);
      if (forgotten) await this.#order(record.id, "undrain", "");
    }
  }

  async #recover(): Promise<void> {
    if (this.#recovering || !this.#options.leads()) return;
    this.#recovering = true;
    try {
      await this.#undrainForgotten();
      const reports = await this.#options.executor.recover((intent) =>
        this.#targetOf(intent.backendServer)
      );
      for (const report of reports) this.#note(report);
    } catch (thrown) {
      const { kind } = toRhubarbstageError(thrown);
      this.#options.events.record("order_recovery_failed", { kind });
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
    this.#options.events.record("order", {
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
