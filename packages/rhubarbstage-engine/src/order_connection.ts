/**
 * One connection that carries one order to an engine.
 *
 * @module
 */

import { buildConnector, Client } from "undici";
import { defaultConnectTimeout } from "./constants.ts";
import { type CallOptions, readJsonResponse } from "./engine_client.ts";
import { EngineError } from "./errors.ts";
import { Exchange } from "./exchange.ts";
import { parseStatus } from "./schema.ts";
import type {
  BackendServerAddress,
  EngineOrder,
  EngineStatus,
  OrderResponse,
} from "./types.ts";

/** Options of {@linkcode openOrderConnection}. */
export interface OrderConnectionOptions extends CallOptions {
  /** Bearer token for orders. */
  readonly token?: string;
  /** Connect timeout in milliseconds. Defaults to 2,000. */
  readonly connectTimeout?: number;
  /** Timeout of the answer to an order, in milliseconds. Defaults to 60,000. */
  readonly orderTimeout?: number;
}

/** Engines answer an order when its change is complete, which takes seconds. */
const defaultOrderTimeout = 60_000;

/**
 * Opens the connection for an order and reads the engine's status over it, so
 * that the order can reach only the process that returned the status.
 */
export async function openOrderConnection(
  address: BackendServerAddress,
  options: OrderConnectionOptions = {},
): Promise<OrderConnection> {
  const connection = new OrderConnection(address, options);
  try {
    await connection.readStatus(options);
  } catch (thrown) {
    connection.close();
    throw thrown;
  }
  return connection;
}

/** A connection that is established once and carries at most one order. */
export class OrderConnection {
  #client: Client;
  #headers: Record<string, string>;
  #status: EngineStatus | undefined;
  #used = false;

  constructor(address: BackendServerAddress, options: OrderConnectionOptions) {
    this.#client = new Client(address.url, {
      pipelining: 1,
      connect: connectOnce(options.connectTimeout ?? defaultConnectTimeout),
      headersTimeout: options.orderTimeout ?? defaultOrderTimeout,
      bodyTimeout: options.orderTimeout ?? defaultOrderTimeout,
      keepAliveTimeout: options.orderTimeout ?? defaultOrderTimeout,
      keepAliveMaxTimeout: options.orderTimeout ?? defaultOrderTimeout,
    });
    this.#headers = { "content-type": "application/json" };
    if (options.token) this.#headers.authorization = `Bearer ${options.token}`;
  }

  /** Status that was last read over this connection. */
  get status(): EngineStatus {
    if (!this.#status) throw new Error("The status has not been read yet");
    return this.#status;
  }

  /** Reads the engine's status over the connection of the order. */
  async readStatus(options: CallOptions = {}): Promise<EngineStatus> {
    const exchange = this.#dispatch("GET", "/v1/status");
    this.#status = parseStatus(await readJsonResponse(exchange, options));
    return this.#status;
  }

  /**
   * Sends the order once, then closes the connection, also after a failure.
   *
   * @throws {EngineError} With `written: false` and outcome `not_run` if no
   * byte of the order was written; otherwise the order may have taken effect.
   */
  async send(
    order: EngineOrder,
    options: CallOptions = {},
  ): Promise<OrderResponse> {
    if (this.#used) {
      throw new EngineError("order_conflict", {
        message: "The connection has already carried an order",
        written: false,
      });
    }
    this.#used = true;
    try {
      const exchange = this.#dispatch("POST", "/v1/orders", {
        order_id: order.order,
        kind: order.kind,
        argument: order.argument,
        fencing_number: order.fencing,
        incarnation: order.incarnation,
      });
      const answer = await readJsonResponse(
        exchange,
        options,
      ) as OrderWireAnswer;
      return parseOrderAnswer(answer);
    } finally {
      this.close();
    }
  }

  /** Closes the connection. */
  close(): void {
    this.#client.destroy().catch(() => {});
  }

  #dispatch(method: "GET" | "POST", path: string, body?: unknown): Exchange {
    const exchange = new Exchange();
    this.#client.dispatch({
      path,
      method,
      headers: this.#headers,
      body: body === undefined ? null : JSON.stringify(body),
    }, exchange);
    return exchange;
  }
}

interface OrderWireAnswer {
  readonly result?: string;
  readonly reason?: string;
  readonly message?: string;
  readonly status?: unknown;
}

type RefusalReason = Extract<OrderResponse, { type: "refused" }>["reason"];

const refusalReasons: readonly RefusalReason[] = [
  "stale_fencing",
  "wrong_incarnation",
  "busy",
  "unknown_argument",
  "unauthenticated",
  "failed",
];

function parseOrderAnswer(answer: OrderWireAnswer): OrderResponse {
  if (answer.result === "done") {
    return { type: "done", status: parseStatus(answer.status) };
  }
  const reason = refusalReasons.find((reason) => reason === answer.reason);
  if (answer.result !== "refused" || reason === undefined) {
    throw new EngineError("backend_failed", {
      message:
        `The engine answered the order with result "${answer.result}" and reason "${answer.reason}"`,
      written: true,
    });
  }
  return { type: "refused", reason, message: answer.message ?? "" };
}

/** Prevents reconnection by `undici`, perhaps to a process started later. */
function connectOnce(timeout: number): buildConnector.connector {
  const connect = buildConnector({ timeout });
  let connected = false;
  return (options, callback) => {
    if (connected) {
      callback(new Error("The order connection is closed"), null);
      return;
    }
    connected = true;
    connect(options, callback);
  };
}
