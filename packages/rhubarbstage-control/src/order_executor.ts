/**
 * Orders to engines from the leader of the control group.
 *
 * @module
 */

import {
  type Clock,
  type OrderId,
  RhubarbstageError,
  SystemClock,
} from "rhubarbstage";
import { orderWriteWindow } from "./constants.ts";
import { callUntilSuccess, callWithRetry } from "./group_calls.ts";
import { isSameProcess } from "./orders.ts";
import type {
  CallOptions,
  ControlCommand,
  ControlResult,
  EngineAnnouncement,
  EngineStatus,
  EngineTarget,
  IntentResult,
  Order,
  OrderConnection,
  OrderExecutorOptions,
  OrderIntent,
  OrderReport,
  OrderSendResult,
} from "./types.ts";

type ProposedEnding = Extract<ControlCommand, { type: "end_order" }>["ending"];

/** Ending that each result proves; undefined if the order may take effect. */
const endingBySendResult: Readonly<
  Record<OrderSendResult["type"], ProposedEnding | undefined>
> = {
  confirmed: "confirmed",
  refused: "refused",
  not_sent: "not_sent",
  unknown: undefined,
};

/**
 * Sends orders so that conflicting ones never both take effect. An attempt
 * writes once at most, on a connection checked before the intent commits; only
 * an engine that refuses stale fencing numbers may get an open order again.
 */
export class OrderExecutor {
  #options: OrderExecutorOptions;
  #clock: Clock;
  #running = new Set<OrderId>();
  #endings = new Set<Promise<unknown>>();

  constructor(options: OrderExecutorOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
  }

  /**
   * Executes an order. Throws `order_conflict`, also after an engine restart or
   * a withdrawal, `backend_unreachable`, or `no_quorum` if this host does not
   * lead or the intent is not committed in time; all have the outcome
   * `not_run`.
   */
  async execute(
    order: Order,
    target: EngineTarget,
    options: CallOptions = {},
  ): Promise<OrderReport> {
    this.#requireLeadership();
    this.#running.add(order.orderId);
    const connection = await this.#open(order, target, options);
    try {
      const status = await readVerifiedStatus(connection, target, options);
      const proposedAt = this.#clock.monotonicMilliseconds();
      const intent = await this.#intend(order, status, options);
      const expired = () => this.#expired(proposedAt);
      return await this.#write(intent, { connection, expired, options });
    } finally {
      connection.close();
      this.#running.delete(order.orderId);
    }
  }

  /**
   * Finishes the open orders of earlier leaders and of this process's failed
   * attempts. Orders to engines that ignore fencing numbers stay open unless
   * the engine's status shows a restart or the order's result. A target is
   * absent for an engine that no host announces.
   */
  async recover(
    targetOf: (intent: OrderIntent) => EngineTarget | undefined,
    options: CallOptions = {},
  ): Promise<readonly OrderReport[]> {
    this.#requireLeadership();
    const open = await this.openOrders(options);
    const reports: OrderReport[] = [];
    for (const intent of open) {
      const target = targetOf(intent);
      if (this.#running.has(intent.orderId)) continue;
      if (target === undefined) reports.push({ intent });
      else reports.push(await this.#recoverOrReport(intent, target, options));
    }
    return reports;
  }

  /** Ends orders to earlier processes of an engine that has restarted. */
  async observeEngine(
    report: EngineAnnouncement,
    options: CallOptions = {},
  ): Promise<readonly OrderId[]> {
    const { backendServer, incarnation } = report;
    const result = await this.#propose(
      { type: "observe_engine", backendServer, incarnation },
      options,
    );
    return result.type === "observe_engine" ? result.ended : [];
  }

  /**
   * Ends an order after an operator confirms that it can have no further
   * effect: the sender or the engine process has been stopped permanently.
   */
  async endByOperator(
    orderId: OrderId,
    options: CallOptions = {},
  ): Promise<OrderIntent | undefined> {
    const { sender } = this.#options;
    const result = await this.#propose(
      { type: "end_order", orderId, ending: "operator", sender },
      options,
    );
    return result.type === "end_order" ? result.intent : undefined;
  }

  /** Orders that may still take effect. Throws `no_quorum`. */
  openOrders(options: CallOptions = {}): Promise<readonly OrderIntent[]> {
    return callWithRetry(
      (callOptions) =>
        this.#options.group.query<readonly OrderIntent[]>(
          "open_orders",
          {},
          callOptions,
        ),
      options,
    );
  }

  /** Resolves when every ending that this process reported is committed. */
  async waitUntilIdle(): Promise<void> {
    while (this.#endings.size > 0) await Promise.all(this.#endings);
  }

  #requireLeadership(): void {
    if (this.#options.isLeader()) return;
    throw new RhubarbstageError("no_quorum", {
      message: "This host does not lead the control group",
    });
  }

  async #open(
    order: Order,
    target: EngineTarget,
    options: CallOptions,
  ): Promise<OrderConnection> {
    try {
      return await this.#options.connector.open(target, options);
    } catch (error) {
      this.#running.delete(order.orderId);
      throw error;
    }
  }

  async #intend(
    order: Order,
    status: EngineStatus,
    options: CallOptions,
  ): Promise<OrderIntent> {
    const { incarnation, honoursFencing } = status;
    const { sender } = this.#options;
    try {
      const command = {
        type: "intend",
        order,
        incarnation,
        honoursFencing,
        sender,
      } as const;
      const answer = await this.#propose(command, options);
      const { result } = answer as Extract<ControlResult, { type: "intend" }>;
      return acceptedIntent(result);
    } catch (error) {
      // A delayed copy may still commit, but this process will not send the
      // order.
      this.#commitEnding(order.orderId, "not_sent");
      if (error instanceof RhubarbstageError) {
        if (error.kind !== "no_quorum") throw error;
      }
      throw new RhubarbstageError("no_quorum", {
        outcome: "not_run",
        cause: error,
      });
    }
  }

  async #write(
    intent: OrderIntent,
    context: {
      readonly connection: OrderConnection;
      readonly expired: () => boolean;
      readonly options: CallOptions;
    },
  ): Promise<OrderReport> {
    const { sender } = this.#options;
    if (intent.ending !== undefined || !isSameProcess(intent.sender, sender)) {
      return { intent, ending: intent.ending };
    }
    const { signal } = context.options;
    // A paused process may resume here long after it lost the leadership.
    const authorityLost = context.expired() || !this.#options.isLeader();
    const answer: OrderSendResult = authorityLost
      ? {
        type: "not_sent",
        message: "The write window or this host's leadership ended",
      }
      : await context.connection.send(intent, { signal });
    const message = "message" in answer ? answer.message : undefined;
    const ending = endingBySendResult[answer.type];
    if (ending === undefined) return { intent, message };
    // An earlier sender may have written an order that was taken over.
    if (ending === "not_sent" && intent.takenOver) return { intent, message };
    this.#commitEnding(intent.orderId, ending);
    return { intent, ending, message };
  }

  #expired(proposedAt: number): boolean {
    const elapsed = this.#clock.monotonicMilliseconds() - proposedAt;
    return elapsed > (this.#options.writeWindow ?? orderWriteWindow);
  }

  /** Commits, with unlimited retries, an ending known only to this process. */
  #commitEnding(orderId: OrderId, ending: ProposedEnding): void {
    const { group, sender, signal } = this.#options;
    const command = { type: "end_order", orderId, ending, sender } as const;
    const commit = callUntilSuccess(
      (callOptions) => group.propose(command, callOptions),
      { signal },
    ).catch(() => {}).finally(() => this.#endings.delete(commit));
    this.#endings.add(commit);
  }

  async #recoverOrReport(
    intent: OrderIntent,
    target: EngineTarget,
    options: CallOptions,
  ): Promise<OrderReport> {
    this.#running.add(intent.orderId);
    try {
      return await this.#recoverOne(intent, target, options);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      return { intent, message };
    } finally {
      this.#running.delete(intent.orderId);
    }
  }

  async #recoverOne(
    intent: OrderIntent,
    target: EngineTarget,
    options: CallOptions,
  ): Promise<OrderReport> {
    const connection = await this.#options.connector.open(target, options);
    try {
      const status = await readVerifiedStatus(connection, target, options);
      if (status.incarnation > intent.incarnation) {
        await this.observeEngine(status, options);
        return { intent, ending: "new_incarnation" };
      }
      const reported = this.#endFromStatus(intent, status);
      if (reported !== undefined) return reported;
      if (!intent.honoursFencing || !status.honoursFencing) {
        return { intent, message: "The engine ignores fencing numbers" };
      }
      const proposedAt = this.#clock.monotonicMilliseconds();
      const taken = await this.#takeOver(intent, options);
      if (taken === undefined) return { intent };
      const expired = () => this.#expired(proposedAt);
      return await this.#write(taken, { connection, expired, options });
    } finally {
      connection.close();
    }
  }

  /** Ends an order whose result the engine reports; it is not written again. */
  #endFromStatus(
    intent: OrderIntent,
    status: EngineStatus,
  ): OrderReport | undefined {
    const { lastOrder } = status;
    if (lastOrder?.fencingNumber !== intent.fencingNumber) return undefined;
    if (lastOrder.state === "running") {
      return { intent, message: "The engine is still executing the order" };
    }
    const ending = lastOrder.state === "done" ? "confirmed" : "refused";
    this.#commitEnding(intent.orderId, ending);
    return { intent, ending };
  }

  async #takeOver(
    intent: OrderIntent,
    options: CallOptions,
  ): Promise<OrderIntent | undefined> {
    const { sender } = this.#options;
    const { orderId } = intent;
    const result = await this.#propose(
      { type: "take_over", orderId, sender },
      options,
    );
    return result.type === "take_over" ? result.intent : undefined;
  }

  #propose(
    command: ControlCommand,
    options: CallOptions,
  ): Promise<ControlResult> {
    return callWithRetry(
      (callOptions) => this.#options.group.propose(command, callOptions),
      options,
    );
  }
}

async function readVerifiedStatus(
  connection: OrderConnection,
  target: EngineTarget,
  options: CallOptions,
): Promise<EngineStatus> {
  const status = await connection.status(options);
  if (status.backendServer === target.backendServer) return status;
  throw new RhubarbstageError("backend_unreachable", {
    message: `Backend server ${status.backendServer} answers at the address ` +
      `of ${target.backendServer}`,
  });
}

function acceptedIntent(result: IntentResult): OrderIntent {
  switch (result.type) {
    case "accepted":
      return result.intent;
    case "conflict":
      throw new RhubarbstageError("order_conflict", {
        message: `Order ${result.open.orderId} to ` +
          `${result.open.backendServer} has not ended`,
      });
    case "stale_incarnation":
      throw new RhubarbstageError("order_conflict", {
        message: `The engine has restarted with incarnation ${result.known}`,
      });
    case "withdrawn":
      throw new RhubarbstageError("order_conflict", {
        message: "The order was withdrawn before its intent was applied",
      });
  }
}
