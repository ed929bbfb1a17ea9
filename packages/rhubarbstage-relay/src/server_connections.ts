/**
 * Connections to backend servers.
 *
 * @module
 */

import { connect } from "node:net";
import type { BackendServerId } from "rhubarbstage";
import type { BackendServerAddress } from "@rhubarbstage/engine";
import { Pool } from "undici";
import {
  connectionShare,
  connectTimeout,
  idleConnectionTimeout,
  livenessTimeout,
  minConnections,
} from "./constants.ts";
import {
  Exchange,
  type ExchangeRequest,
  type ExchangeResponse,
} from "./exchange.ts";
import { ResetDetector } from "./reset_watch.ts";

/** Options of {@linkcode ServerConnections}. */
export interface ServerConnectionsOptions {
  /** Connections that a server accepts from all hosts together. */
  readonly maxConnections: (server: BackendServerId) => number;
  /** Hosts that connect to servers, this one included. */
  readonly hosts: () => number;
}

interface ServerPool {
  readonly url: string;
  readonly pool: Pool;
  readonly watch: ResetDetector;
}

/** One pool of connections for each server, within this host's part. */
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
    const { pool, watch } = this.#poolOf(server);
    return Exchange.start(pool, request, { ...options, resetDetector: watch });
  }

  /** Lets what runs on a server end and opens no more connections to it. */
  closeWhenIdle(server: BackendServerId): void {
    const known = this.#pools.get(server);
    if (known === undefined) return;
    this.#pools.delete(server);
    closeQuietly(known.pool);
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  #poolOf({ id, url }: BackendServerAddress): ServerPool {
    const known = this.#pools.get(id);
    if (known?.url === url) return known;
    if (known !== undefined) closeQuietly(known.pool);
    const watch = new ResetDetector({ timeout: connectTimeout });
    const pool = new Pool(url, {
      connections: this.#share(id),
      pipelining: 1,
      connect: watch.connector,
      keepAliveTimeout: idleConnectionTimeout,
    });
    const created = { url, pool, watch };
    this.#pools.set(id, created);
    return created;
  }

  #share(id: BackendServerId): number {
    const all = this.#options.maxConnections(id) * connectionShare;
    const part = Math.floor(all / Math.max(1, this.#options.hosts()));
    return Math.max(minConnections, part);
  }
}

function closeQuietly(pool: Pool): void {
  // Requests that still run report their own failure.
  pool.close().catch(() => {});
}

/**
 * Whether a server's address refuses connections. Tells a process that has
 * ended from a connection that was reset; silence tells neither.
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
