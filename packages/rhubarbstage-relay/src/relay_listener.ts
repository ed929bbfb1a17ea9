/**
 * The HTTP server for callers of the relay.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import fastify, { type FastifyInstance } from "fastify";
import { CallerConnections, readArrivedBytes } from "rhubarbstage";
import { requestTimeout } from "./constants.ts";
import type { Relay } from "./relay.ts";
import type { CallerLimits } from "./types.ts";

/** Largest head of a request before limits are configured, in bytes. */
const maxHeaderBytes = 65_536;
/** The same as a multiple of the configured limit. */
const headMargin = 2;
/** Smallest limit of heads that can be configured, in bytes. */
const minHeaderBytes = 16_384;
/** Path to which every request is rewritten; the relay has its own routes. */
const catchAllPath = "/";
/**
 * Time added to the configured timeouts of callers' connections, in
 * milliseconds, so that none is closed while a request is in transit.
 */
const timeoutMargin = 1_000;

/**
 * Time in which requests that have begun to arrive at the stop may end, in
 * milliseconds.
 */
const lastRequestTimeout = 400;

/** Accepts callers' HTTP requests and passes them to a relay. */
export class RelayListener {
  readonly #server: FastifyInstance;

  constructor(
    relay: Relay,
    options: {
      /** Limits the connections; by default, their number is not limited. */
      readonly connections?: CallerConnections;
    } = {},
  ) {
    const { connections = new CallerConnections() } = options;
    this.#server = fastify({
      routerOptions: { ignoreTrailingSlash: false },
      // The path is relayed byte for byte, so the router must not parse it.
      rewriteUrl: () => catchAllPath,
      forceCloseConnections: "idle",
      return503OnClosing: false,
      // The relay reads bodies itself, with the limit of the configuration.
      bodyLimit: Number.MAX_SAFE_INTEGER,
      keepAliveTimeout: 15_000 + timeoutMargin,
      // Of the options for Node.js, fastify overrides this one.
      requestTimeout,
      http: { maxHeaderSize: maxHeaderBytes, headersTimeout: 10_000 },
    });
    this.#server.server.on("timeout", (socket: Socket) => {
      void closeIfSilent(socket);
    });
    connections.attach(this.#server.server as Server);
    this.#server.removeAllContentTypeParsers();
    this.#server.addContentTypeParser(
      "*",
      (_request, _payload, done) => done(null),
    );
    this.#server.all(catchAllPath, (request, reply) => {
      reply.hijack();
      request.raw.url = request.originalUrl;
      void relay.handle(request.raw, reply.raw);
    });
  }

  /** Applies the timeouts of the current limits. */
  configure(limits: CallerLimits): void {
    const server = this.#server.server as Server & { maxHeaderSize?: number };
    // Read by Node.js for each new connection.
    server.maxHeaderSize = Math.min(
      maxHeaderBytes,
      Math.max(minHeaderBytes, limits.maxHeaderBytes * headMargin),
    );
    server.keepAliveTimeout = limits.idleTimeout + timeoutMargin;
    server.headersTimeout = limits.headerTimeout + timeoutMargin;
  }

  /** Starts listening and returns the URL of the server. */
  async listen(options: {
    readonly address: string;
    readonly port: number;
  }): Promise<string> {
    const { address: host, port } = options;
    return await this.#server.listen({ host, port });
  }

  /**
   * Stops listening and closes all connections. Requests that have begun to
   * arrive are answered first, within `lastRequestTimeout`.
   */
  async close(): Promise<void> {
    // A connection with an unread request counts as idle.
    await readArrivedBytes();
    const server = this.#server.server as Server;
    const timer = setTimeout(
      () => server.closeAllConnections(),
      lastRequestTimeout,
    );
    try {
      await this.#server.close();
    } finally {
      clearTimeout(timer);
    }
  }
}

/** Closes a connection at its timeout, unless bytes have arrived unread. */
async function closeIfSilent(socket: Socket): Promise<void> {
  const { bytesRead } = socket;
  await readArrivedBytes();
  if (socket.bytesRead === bytesRead) socket.destroy();
}
