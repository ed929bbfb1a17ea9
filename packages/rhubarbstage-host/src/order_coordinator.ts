/**
 * Orders to engines: role changes requested by the policy, recovery of open
 * orders by a new leader, and endings by operators.
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

/** Interval between recoveries of open orders, in milliseconds. */
const recoveryInterval = 5_000;

/** Maximum wait for the streams of a drained engine, in milliseconds. */
const drainTimeout = 60_000;
/** Interval between load queries to a drained engine, in milliseconds. */
const drainPollInterval = 100;

/** Options of an {@linkcode OrderCoordinator}. */
export interface OrderCoordinatorOptions {
  readonly executor: OrderExecutor;
  readonly backends: BackendRegistry;
  readonly events: HostEvents;
  /** Whether this host leads the control group. */
  readonly isLeader: () => boolean;
  /** Whether engines finish their work by themselves before a role change. */
  readonly enginesDrainThemselves?: boolean;
  /** Maximum of engines out of service at once, by a server's pool settings. */
  readonly maxUnavailableEngines: (record: ServerRecord) => number;
  /** Reads the load of an engine. Throws when it cannot be reached. */
  readonly readLoad: (target: EngineTarget) => Promise<ServerLoad>;
}

/** Sends orders from the host that leads the control group. */
export class OrderCoordinator {
  #options: OrderCoordinatorOptions;
  #recovering = false;
  /** Engines that this host has taken out of service for a role change. */
  #changingEngines = new Set<BackendServerId>();
  /** Latest incarnations reported to the control group. */
  #reportedIncarnations = new Map<BackendServerId, number>();

  constructor(options: OrderCoordinatorOptions) {
    this.#options = options;
  }

  /** Periodically recovers open orders until the signal is aborted. */
  start(options: { readonly signal: AbortSignal }): void {
    every(recoveryInterval, () => void this.#recover(), options);
  }

  /**
   * Changes the role of an engine. A role change ends the streams of an engine,
   * so the engine is drained first; if its streams last too long, it keeps its
   * role. Engines that drain themselves get only the order.
   */
  async setRole(server: BackendServerId, role: EngineRole): Promise<void> {
    if (this.#changingEngines.has(server) || !this.#mayChange(server)) return;
    this.#changingEngines.add(server);
    try {
      if (this.#options.enginesDrainThemselves === true) {
        await this.#executeOrder(server, "set_role", role);
        return;
      }
      if (!await this.#executeOrder(server, "drain", "")) return;
      if (await this.#waitUntilIdle(server)) {
        await this.#executeOrder(server, "set_role", role);
      }
      await this.#executeOrder(server, "undrain", "");
    } finally {
      this.#changingEngines.delete(server);
    }
  }

  /** Ends orders to earlier processes of an engine than the announced one. */
  async endStaleOrders(record: ServerRecord): Promise<void> {
    const { id, incarnation, models } = record;
    const reported = this.#reportedIncarnations.get(id) ?? 0;
    const isEngine = models.length > 0;
    if (!isEngine || reported >= incarnation || !this.#options.isLeader()) {
      return;
    }
    this.#reportedIncarnations.set(id, incarnation);
    try {
      await this.#options.executor.observeEngine({
        backendServer: id,
        incarnation,
      });
    } catch {
      this.#reportedIncarnations.delete(id);
    }
  }

  /** Lists orders that may still take effect. Throws `no_quorum`. */
  listOpen(): Promise<readonly OrderIntent[]> {
    return this.#options.executor.openOrders();
  }

  /** Ends an order; returns false if an operator ended it, now or earlier. */
  async endByOperator(orderId: OrderId): Promise<boolean> {
    const intent = await this.#options.executor.endByOperator(orderId);
    return intent?.ending !== "operator";
  }

  /**
   * Counts engines of all pools, so the limit is never looser than configured.
   */
  #mayChange(server: BackendServerId): boolean {
    const record = this.#options.backends.recordOf(server);
    if (record === undefined) return false;
    return this.#changingEngines.size <
      this.#options.maxUnavailableEngines(record);
  }

  /** Sends one order; true when the engine confirmed it. */
  async #executeOrder(
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
      this.#recordReport(report);
      return report.ending === "confirmed";
    } catch (thrown) {
      const error = toRhubarbstageError(thrown).kind;
      events.record("order_not_sent", { server, order: orderId, kind, error });
      return false;
    }
  }

  /** Waits until a drained engine has no running or queued requests. */
  async #waitUntilIdle(server: BackendServerId): Promise<boolean> {
    const target = this.#targetOf(server);
    if (target === undefined) return false;
    const deadline = performance.now() + drainTimeout;
    while (performance.now() < deadline && this.#options.isLeader()) {
      const load = await this.#options.readLoad(target).catch(() => undefined);
      if (load === undefined) return false;
      if (load.runningRequests + load.queuedRequests === 0) return true;
      await delay(drainPollInterval);
    }
    return false;
  }

  /** Undrains engines that an earlier leader drained for a role change. */
  async #undrainAbandoned(): Promise<void> {
    if (this.#options.enginesDrainThemselves === true) return;
    for (const record of this.#options.backends.records()) {
      const isAbandoned = record.state === "draining" &&
        !this.#changingEngines.has(record.id);
      if (isAbandoned) await this.#executeOrder(record.id, "undrain", "");
    }
  }

  async #recover(): Promise<void> {
    if (this.#recovering || !this.#options.isLeader()) return;
    this.#recovering = true;
    try {
      await this.#undrainAbandoned();
      const reports = await this.#options.executor.recover((intent) =>
        this.#targetOf(intent.backendServer)
      );
      for (const report of reports) this.#recordReport(report);
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

  #recordReport(report: OrderReport): void {
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
