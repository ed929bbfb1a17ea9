/**
 * Orders to engines over the relay's connections.
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
import {
  type Dialect,
  type EngineState,
  readWhole,
  type ServerCall,
  type ServerConnections,
} from "@rhubarbstage/relay";

/**
 * Timeout of an engine's response, in ms: several round trips between regions,
 * but below the default order handover delay of 3,000 ms, so that a delayed
 * order is aborted before another leader sends one.
 */
const responseTimeout = 1_000;

/** An order that this process has started to write. */
interface WrittenOrder {
  readonly incarnation: Incarnation;
  readonly fencingNumber: OrderIntent["fencingNumber"];
  /** Number of orders that the engine had accepted before. */
  readonly acceptedBefore: number;
}

/** Options of a {@linkcode RelayOrderConnector}. */
export interface RelayOrderConnectorOptions {
  readonly dialect: Dialect;
  readonly connections: ServerConnections;
  /** Identifies this host to engines as the sender of its orders. */
  readonly holder: string;
  /** Returns the latest announced incarnation; undefined if there is none. */
  readonly incarnationOf: (server: BackendServerId) => Incarnation | undefined;
}

/** Opens order connections that use the relay's dialect. */
export class RelayOrderConnector extends OrderConnector {
  readonly #options: RelayOrderConnectorOptions;
  /** Last order to each engine; engines do not report which they accepted. */
  readonly #writtenOrders = new Map<BackendServerId, WrittenOrder>();

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
        written: this.#writtenOrders,
      }),
    );
  }
}

/** Order connection to one engine process. */
class RelayOrderConnection extends OrderConnection {
  readonly #options: RelayOrderConnectorOptions;
  readonly #target: EngineTarget;
  readonly #incarnation: Incarnation;
  readonly #writtenOrders: Map<BackendServerId, WrittenOrder>;
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
    this.#writtenOrders = engine.written;
  }

  override async status(options: CallOptions = {}): Promise<EngineStatus> {
    const { dialect } = this.#options;
    const response = await this.#call(dialect.buildStateRequest(), options);
    this.#state = response.status === 200
      ? dialect.parseState(response.body)
      : undefined;
    if (this.#state === undefined) {
      throw new RhubarbstageError("backend_unreachable", {
        message: `State query to engine ${this.#target.backendServer} ` +
          `returned status ${response.status} without a valid state`,
      });
    }
    const { backendServer } = this.#target;
    const status = {
      backendServer,
      incarnation: this.#incarnation,
      honoursFencing: false,
    };
    const written = this.#writtenOrders.get(backendServer);
    const isAccepted = written?.incarnation === this.#incarnation &&
      this.#state.acceptedOrders > written.acceptedBefore;
    if (!isAccepted) return status;
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
      return { type: "not_sent", message: `Cannot send order ${intent.kind}` };
    }
    const { acceptedOrders } = this.#state;
    const { fencingNumber, incarnation, backendServer } = intent;
    this.#writtenOrders.set(backendServer, {
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
      const outcome = dialect.parseOrderOutcome(status);
      if (outcome === "accepted") return { type: "confirmed" };
      const message =
        `Engine ${this.#target.backendServer} answered with status ${status}`;
      return { type: outcome === "refused" ? "refused" : "unknown", message };
    } catch (thrown) {
      const maybeDelivered =
        !(thrown instanceof Error && "maybeDelivered" in thrown) ||
        thrown.maybeDelivered !== false;
      return {
        type: maybeDelivered ? "unknown" : "not_sent",
        message: String(thrown),
      };
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
    const signals = [AbortSignal.timeout(responseTimeout)];
    if (signal !== undefined) signals.push(signal);
    const response = await connections.sendDirect({ id, url }, {
      method: call.method,
      path: call.path,
      headers: dialect.attemptHeaders(call.headers ?? [], {
        server: id,
        timeLeft: responseTimeout,
        step: "run",
      }),
      body: call.body === undefined ? undefined : Buffer.from(call.body),
    }, { signal: AbortSignal.any(signals) });
    return { status: response.status, body: await readWhole(response) };
  }
}
