/**
 * Connection pools for backend servers.
 *
 * @module
 */

import { connect } from "node:net";
import type { BackendServerId } from "rhubarbstage";
import type { BackendServerAddress } from "@rhubarbstage/engine";
import { type Client, Pool } from "undici";
import {
  connectionShare,
  connectTimeout,
  idleConnectionTimeout,
  livenessTimeout,
  minConnections,
} from "./constants.ts";
import type { Dialect } from "./dialect.ts";
import {
  Exchange,
  type ExchangeRequest,
  type ExchangeResponse,
} from "./exchange.ts";
import { ResetDetector } from "./reset_detector.ts";
import { GuardedClient } from "./response_guard.ts";

/** Options of {@linkcode ServerConnections}. */
export interface ServerConnectionsOptions {
  readonly dialect: Dialect;
  /** Connections that a server accepts from all hosts together. */
  readonly maxConnections: (server: BackendServerId) => number;
  /** Number of hosts that connect to servers, this one included. */
  readonly hosts: () => number;
}

interface ServerPool {
  readonly url: string;
  readonly pool: Pool;
  readonly detector: ResetDetector;
}

/** One connection pool per server, limited to this host's share. */
export class ServerConnections {
  #options: ServerConnectionsOptions;
  #pools = new Map<BackendServerId, ServerPool>();

  constructor(options: ServerConnectionsOptions) {
    this.#options = options;
  }

  /** Sends a request once. Throws `ExchangeError`. */
  send(
    server: BackendServerAddress,
    request: ExchangeRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<ExchangeResponse> {
    const { pool, detector } = this.#poolOf(server);
    return Exchange.start(pool, request, {
      ...options,
      dialect: this.#options.dialect,
      resetDetector: detector,
    });
  }

  /** Closes a server's pool once its running requests have ended. */
  closeWhenIdle(server: BackendServerId): void {
    const existing = this.#pools.get(server);
    if (existing === undefined) return;
    this.#pools.delete(server);
    closeInBackground(existing.pool);
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  #poolOf({ id, url }: BackendServerAddress): ServerPool {
    const existing = this.#pools.get(id);
    if (existing?.url === url) return existing;
    if (existing !== undefined) closeInBackground(existing.pool);
    const detector = new ResetDetector({ timeout: connectTimeout });
    const pool = new Pool(url, {
      factory: (origin, options) =>
        new GuardedClient(origin, options as Client.Options),
      connections: this.#connectionsPerHost(id),
      pipelining: 1,
      connect: detector.connector,
      keepAliveTimeout: idleConnectionTimeout,
    });
    const created = { url, pool, detector };
    this.#pools.set(id, created);
    return created;
  }

  #connectionsPerHost(id: BackendServerId): number {
    const total = this.#options.maxConnections(id) * connectionShare;
    const perHost = Math.floor(total / Math.max(1, this.#options.hosts()));
    return Math.max(minConnections, perHost);
  }
}

function closeInBackground(pool: Pool): void {
  // Running requests report their own errors.
  pool.close().catch(() => {});
}

/**
 * Checks whether a server's address refuses connections, to distinguish an
 * ended process from a reset connection. A timeout counts as not refused.
 */
export function refusesConnections(url: string): Promise<boolean> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) });
    const finish = (refused: boolean) => {
      socket.destroy();
      resolve(refused);
    };
    socket.setTimeout(livenessTimeout, () => finish(false));
    socket.once("connect", () => finish(false));
    socket.once(
      "error",
      ({ code }: NodeJS.ErrnoException) => finish(code === "ECONNREFUSED"),
    );
  });
}
