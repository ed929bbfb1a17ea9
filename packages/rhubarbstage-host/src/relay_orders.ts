/**
 * Orders to engines over the connections of the relay.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import {
  type BackendServerId,
  type Incarnation,
  RhubarbstageError,
} from "rhubarbstage";
import {
  type CallOptions,
  type EngineStatus,
  type EngineTarget,
  OrderConnection,
  OrderConnector,
  type OrderIntent,
  type OrderSendResult,
} from "@rhubarbstage/control";
import type { EngineRole } from "@rhubarbstage/policy";
import type {
  Dialect,
  EngineState,
  ServerCall,
  ServerConnections,
} from "@rhubarbstage/relay";

/**
 * Longest wait for one answer of an engine, in milliseconds: several round
 * trips between regions, and well inside the time that an order may take from
 * its intent to its write.
 */
const answerTimeout = 1_000;

/** An order that was written, as far as this process knows. */
interface WrittenOrder {
  readonly incarnation: Incarnation;
  readonly fencingNumber: OrderIntent["fencingNumber"];
  /** Orders that the engine had accepted before. */
  readonly acceptedBefore: number;
}

/** Options of a {@linkcode RelayOrderConnector}. */
export interface RelayOrderConnectorOptions {
  readonly dialect: Dialect;
  readonly connections: ServerConnections;
  /** Name under which this host gives orders. */
  readonly holder: string;
  /** Process of an engine that was announced last. */
  readonly incarnationOf: (server: BackendServerId) => Incarnation | undefined;
}

/** Gives orders in the manner of the relay's dialect. */
export class RelayOrderConnector extends OrderConnector {
  readonly #options: RelayOrderConnectorOptions;
  /** Last order to each engine; engines do not tell whose order they took. */
  readonly #written = new Map<BackendServerId, WrittenOrder>();

  constructor(options: RelayOrderConnectorOptions) {
    super();
    this.#options = options;
  }

  override open(target: EngineTarget): Promise<OrderConnection> {
    const incarnation = this.#options.incarnationOf(target.backendServer);
    if (incarnation === undefined) {
      return Promise.reject(
        new RhubarbstageError("backend_unreachable", {
          message: `Backend server ${target.backendServer} is not announced`,
        }),
      );
    }
    return Promise.resolve(
      new RelayOrderConnection(this.#options, {
        target,
        incarnation,
        written: this.#written,
      }),
    );
  }
}

/** Orders to one process of an engine. */
class RelayOrderConnection extends OrderConnection {
  readonly #options: RelayOrderConnectorOptions;
  readonly #target: EngineTarget;
  readonly #incarnation: Incarnation;
  readonly #written: Map<BackendServerId, WrittenOrder>;
  #state: EngineState | undefined;

  constructor(
    options: RelayOrderConnectorOptions,
    engine: {
      readonly target: EngineTarget;
      readonly incarnation: Incarnation;
      readonly written: Map<BackendServerId, WrittenOrder>;
    },
  ) {
    super();
    this.#options = options;
    this.#target = engine.target;
    this.#incarnation = engine.incarnation;
    this.#written = engine.written;
  }

  override async status(options: CallOptions = {}): Promise<EngineStatus> {
    const { dialect } = this.#options;
    const answer = await this.#call(dialect.buildStateRequest(), options);
    this.#state = answer.status === 200
      ? dialect.parseState(answer.body)
      : undefined;
    if (this.#state === undefined) {
      throw new RhubarbstageError("backend_unreachable", {
        message: `The engine answers ${answer.status} to a question for its ` +
          "state",
      });
    }
    const { backendServer } = this.#target;
    const status = {
      backendServer,
      incarnation: this.#incarnation,
      honoursFencing: false,
    };
    const written = this.#written.get(backendServer);
    const isTaken = written?.incarnation === this.#incarnation &&
      this.#state.acceptedOrders > written.acceptedBefore;
    if (!isTaken) return status;
    const { fencingNumber } = written;
    const state = this.#state.isBusy ? "running" : "done";
    return { ...status, lastOrder: { fencingNumber, state } };
  }

  override async send(
    intent: OrderIntent,
    options: CallOptions = {},
  ): Promise<OrderSendResult> {
    const { dialect, holder } = this.#options;
    if (intent.kind !== "set_role" || this.#state === undefined) {
      return { type: "not_sent", message: `No way to order ${intent.kind}` };
    }
    const { acceptedOrders } = this.#state;
    const { fencingNumber, incarnation, backendServer } = intent;
    this.#written.set(backendServer, {
      incarnation,
      fencingNumber,
      acceptedBefore: acceptedOrders,
    });
    const call = dialect.buildRoleOrder({
      role: intent.argument as EngineRole,
      holder,
      fencingNumber,
      acceptedOrders,
    });
    try {
      const { status } = await this.#call(call, options);
      const verdict = dialect.parseOrderOutcome(status);
      if (verdict === "accepted") return { type: "confirmed" };
      const message = `status ${status}`;
      return { type: verdict === "refused" ? "refused" : "unknown", message };
    } catch (thrown) {
      const isSent = !(thrown instanceof Error && "isSent" in thrown) ||
        thrown.isSent !== false;
      return { type: isSent ? "unknown" : "not_sent", message: String(thrown) };
    }
  }

  override close(): void {
    // The connection belongs to the pool of the server.
  }

  async #call(
    call: ServerCall,
    { signal }: CallOptions,
  ): Promise<{ readonly status: number; readonly body: Buffer }> {
    const { dialect, connections } = this.#options;
    const { backendServer: id, address: url } = this.#target;
    const limits = [AbortSignal.timeout(answerTimeout)];
    if (signal !== undefined) limits.push(signal);
    const answer = await connections.send({ id, url }, {
      method: call.method,
      path: call.path,
      headers: dialect.attemptHeaders(call.headers ?? [], {
        server: id,
        timeLeft: answerTimeout,
        step: "run",
      }),
      body: call.body === undefined ? undefined : Buffer.from(call.body),
    }, { signal: AbortSignal.any(limits) });
    const pieces: Buffer[] = [];
    for await (const piece of answer.body) pieces.push(piece);
    return { status: answer.status, body: Buffer.concat(pieces) };
  }
}
