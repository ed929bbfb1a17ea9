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
  maxRecentRequestIds,
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
  readonly resetDetector: ResetDetector;
  /** Ids of the latest requests, oldest first. */
  readonly recentIds: Set<string>;
}

/**
 * One connection pool per server, limited to this host's share. A pooled
 * connection carries only requests whose id no earlier one has had: a server may
 * repeat a response late, and only the id tells whose it is. All other requests,
 * such as state queries and second sends, get a connection of their own.
 */
export class ServerConnections {
  #options: ServerConnectionsOptions;
  #pools = new Map<BackendServerId, ServerPool>();
  /** Connections for one request each. */
  #singleUse = new Set<Client>();

  constructor(options: ServerConnectionsOptions) {
    this.#options = options;
  }

  /** Sends a request once. Throws `ExchangeError`. */
  send(
    server: BackendServerAddress,
    request: ExchangeRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<ExchangeResponse> {
    const { dialect } = this.#options;
    const { pool, resetDetector, recentIds } = this.#poolOf(server);
    const isNewId = request.id !== undefined &&
      remember(recentIds, request.id);
    return isNewId
      ? Exchange.start(pool, request, { ...options, dialect, resetDetector })
      : this.#sendAlone(server, request, options);
  }

  /** Sends a request on a connection that is closed after its response. */
  #sendAlone(
    { url }: BackendServerAddress,
    request: ExchangeRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<ExchangeResponse> {
    const { dialect } = this.#options;
    const resetDetector = new ResetDetector({ timeout: connectTimeout });
    const client = createClient(url, resetDetector);
    this.#singleUse.add(client);
    const response = Exchange.start(client, request, {
      ...options,
      dialect,
      resetDetector,
    });
    // Waits for the response; its errors are reported with it.
    void client.close().catch(() => {})
      .finally(() => this.#singleUse.delete(client));
    return response;
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
    const pools = [...this.#pools.values()].map(({ pool }) => pool);
    this.#pools.clear();
    const connections = [...pools, ...this.#singleUse];
    await Promise.all(connections.map((open) => open.destroy()));
  }

  #poolOf({ id, url }: BackendServerAddress): ServerPool {
    const existing = this.#pools.get(id);
    if (existing?.url === url) return existing;
    if (existing !== undefined) closeInBackground(existing.pool);
    const resetDetector = new ResetDetector({ timeout: connectTimeout });
    const pool = new Pool(url, {
      factory: (origin) => createClient(origin, resetDetector),
      connections: this.#connectionsPerHost(id),
    });
    const recentIds = new Set<string>();
    const created = { url, pool, resetDetector, recentIds };
    this.#pools.set(id, created);
    return created;
  }

  #connectionsPerHost(id: BackendServerId): number {
    const total = this.#options.maxConnections(id) * connectionShare;
    const perHost = Math.floor(total / Math.max(1, this.#options.hosts()));
    return Math.max(minConnections, perHost);
  }
}

function createClient(origin: string | URL, detector: ResetDetector): Client {
  return new GuardedClient(origin, {
    pipelining: 1,
    connect: detector.connector,
    keepAliveTimeout: idleConnectionTimeout,
  });
}

/** Adds an id; false if it is already among the latest. */
function remember(recentIds: Set<string>, id: string): boolean {
  if (recentIds.has(id)) return false;
  recentIds.add(id);
  if (recentIds.size > maxRecentRequestIds) {
    const [oldest] = recentIds;
    recentIds.delete(oldest as string);
  }
  return true;
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
