/**
 * Adapts the engine package's order connections to the control package.
 *
 * @module
 */

import { RhubarbstageError } from "rhubarbstage";
import {
  type CallOptions,
  type EngineStatus,
  type EngineTarget,
  OrderConnection,
  OrderConnector,
  type OrderIntent,
  type OrderSendResult,
} from "@rhubarbstage/control";
import {
  EngineError,
  openOrderConnection,
  type OrderConnection as EngineConnection,
} from "@rhubarbstage/engine";

/** Opens order connections over the engines' HTTP interface. */
export class EngineOrderConnector extends OrderConnector {
  #token: string | undefined;

  constructor(options: { readonly token?: string } = {}) {
    super();
    this.#token = options.token;
  }

  override async open(
    target: EngineTarget,
    options: CallOptions = {},
  ): Promise<OrderConnection> {
    const address = {
      id: target.backendServer,
      url: target.address,
    };
    try {
      const connection = await openOrderConnection(address, {
        token: this.#token,
        signal: options.signal,
      });
      return new EngineOrderConnection(connection);
    } catch (cause) {
      throw new RhubarbstageError("backend_unreachable", { cause });
    }
  }
}

/** Order connection to one engine process. */
class EngineOrderConnection extends OrderConnection {
  #connection: EngineConnection;

  constructor(connection: EngineConnection) {
    super();
    this.#connection = connection;
  }

  override async status(options: CallOptions = {}): Promise<EngineStatus> {
    const { signal } = options;
    const status = await this.#connection.readStatus({ signal });
    const { id, incarnation, fencing, lastOrder } = status;
    return {
      backendServer: id,
      incarnation,
      honoursFencing: fencing === "checked",
      ...lastOrder === undefined ? {} : {
        lastOrder: {
          fencingNumber: lastOrder.fencing,
          state: lastOrder.state,
        },
      },
    };
  }

  override async send(
    intent: OrderIntent,
    options: CallOptions = {},
  ): Promise<OrderSendResult> {
    const { signal } = options;
    try {
      const answer = await this.#connection.send({
        order: intent.orderId,
        kind: intent.kind,
        argument: intent.argument,
        fencing: intent.fencingNumber,
        incarnation: intent.incarnation,
      }, { signal });
      if (answer.type === "done") return { type: "confirmed" };
      return { type: "refused", message: answer.reason };
    } catch (thrown) {
      const isWritten = !(thrown instanceof EngineError) || thrown.written;
      const message = thrown instanceof Error ? thrown.message : String(thrown);
      return { type: isWritten ? "unknown" : "not_sent", message };
    }
  }

  override close(): void {
    this.#connection.close();
  }
}
