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
  type ExchangeError,
  type ExchangeOptions,
  type ExchangeRequest,
  type ExchangeResponse,
} from "./exchange.ts";
import { type ForwardingHosts, NoForwardingHostError } from "./forwarding.ts";
import { ResetDetector } from "./reset_detector.ts";
import { GuardedClient } from "./response_guard.ts";
import { ServerActivities } from "./server_activity.ts";

/** Options of {@linkcode ServerConnections}. */
export interface ServerConnectionsOptions {
  readonly dialect: Dialect;
  /** Connections that a server accepts from all hosts together. */
  readonly maxConnections: (server: BackendServerId) => number;
  /** Number of hosts that connect to servers, this one included. */
  readonly hosts: () => number;
  /** Knows which servers this host reaches itself; by default, all. */
  readonly paths?: ServerPaths;
  /** Hosts that send requests to servers which this host does not reach. */
  readonly forwarding?: ForwardingHosts;
}

/** What is known of this host's paths to servers. */
export interface ServerPaths {
  /** Whether to use this host's own connections to a server. */
  isDirect(server: BackendServerId): boolean;
  /** Handles a connection that was refused, reset or not answered. */
  recordFailure(server: BackendServerId): void;
}

/** Errors of sockets that say something of the path to their server. */
const pathErrorCodes = new Set([
  "ECONNREFUSED",
  "ECONNRESET",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EPIPE",
  "ETIMEDOUT",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Options of one send. */
export interface SendOptions {
  readonly signal: AbortSignal;
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
  /** Signs of servers on the connections of this host. */
  readonly activities = new ServerActivities();

  constructor(options: ServerConnectionsOptions) {
    this.#options = options;
  }

  /**
   * Sends a request once, through another host if this one does not reach the
   * server. Throws `ExchangeError`.
   */
  send(
    server: BackendServerAddress,
    request: ExchangeRequest,
    options: SendOptions,
  ): Promise<ExchangeResponse> {
    const { paths, forwarding } = this.#options;
    const isDirect = paths?.isDirect(server.id) ?? true;
    return isDirect || forwarding === undefined
      ? this.sendDirect(server, request, options)
      : this.#forward(forwarding, server, request, options);
  }

  /** Sends a request once on this host's connections, even to a lost server. */
  sendDirect(
    server: BackendServerAddress,
    request: ExchangeRequest,
    options: SendOptions,
  ): Promise<ExchangeResponse> {
    const { dialect, paths } = this.#options;
    const { pool, resetDetector, recentIds } = this.#poolOf(server);
    const isNewId = request.id !== undefined &&
      remember(recentIds, request.id);
    const tracked = {
      ...options,
      dialect,
      activity: this.activities.begin(server.id),
      onError: (error: ExchangeError) => {
        if (isPathError(error)) paths?.recordFailure(server.id);
      },
    };
    return isNewId
      ? Exchange.start(pool, request, { ...tracked, resetDetector })
      : this.#sendAlone(server, request, tracked);
  }

  /**
   * Sends a request on a connection of its own, without regard to what is known
   * of the path. Throws `ExchangeError`.
   */
  sendProbe(
    server: BackendServerAddress,
    request: ExchangeRequest,
    options: SendOptions,
  ): Promise<ExchangeResponse> {
    const { dialect } = this.#options;
    return this.#sendAlone(server, request, { ...options, dialect });
  }

  async #forward(
    forwarding: ForwardingHosts,
    server: BackendServerAddress,
    request: ExchangeRequest,
    options: SendOptions,
  ): Promise<ExchangeResponse> {
    try {
      return await forwarding.send(server, request, options);
    } catch (thrown) {
      if (!(thrown instanceof NoForwardingHostError)) throw thrown;
    }
    return await this.sendDirect(server, request, options);
  }

  /** Sends a request on a connection that is closed after its response. */
  #sendAlone(
    { url }: BackendServerAddress,
    request: ExchangeRequest,
    options: Omit<ExchangeOptions, "resetDetector">,
  ): Promise<ExchangeResponse> {
    const resetDetector = new ResetDetector({ timeout: connectTimeout });
    const client = createClient(url, resetDetector);
    this.#singleUse.add(client);
    const response = Exchange.start(client, request, {
      ...options,
      resetDetector,
    });
    // Waits for the response; its errors are reported with it.
    void client.close().catch(() => {})
      .finally(() => this.#singleUse.delete(client));
    return response;
  }

  /**
   * Closes a server's pool once its running requests have ended; later ones get
   * new connections.
   */
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

/** Whether an exchange failed by a socket error that its path may explain. */
function isPathError({ cause }: ExchangeError): boolean {
  const { code } = (cause ?? {}) as NodeJS.ErrnoException;
  return code !== undefined && pathErrorCodes.has(code);
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
