/**
 * The HTTP server for callers of the relay.
 *
 * @module
 */

import type { Server } from "node:http";
import fastify, { type FastifyInstance } from "fastify";
import { bodyTimeout } from "./constants.ts";
import type { Relay } from "./relay.ts";
import type { CallerLimits } from "./types.ts";

/** Largest head of a request that is read at all, in bytes. */
const maxHeaderBytes = 65_536;
/** Path that every request is routed to; the relay has its own routes. */
const relayPath = "/";
/**
 * Idle time that a connection is kept beyond what callers are told, in
 * milliseconds, so that a request under way does not cross the close.
 */
const idleSlack = 1_000;

/** Listens for callers. */
export class RelayListener {
  readonly #server: FastifyInstance;

  constructor(relay: Relay) {
    this.#server = fastify({
      routerOptions: { ignoreTrailingSlash: false },
      // The path is relayed byte for byte, so the router never sees it.
      rewriteUrl: () => relayPath,
      forceCloseConnections: true,
      return503OnClosing: false,
      bodyLimit: Number.MAX_SAFE_INTEGER,
      keepAliveTimeout: 15_000 + idleSlack,
      http: {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: 10_000,
        requestTimeout: bodyTimeout,
      },
    });
    this.#server.removeAllContentTypeParsers();
    this.#server.addContentTypeParser(
      "*",
      (_request, _payload, done) => done(null),
    );
    this.#server.all(relayPath, (request, reply) => {
      reply.hijack();
      request.raw.url = request.originalUrl;
      void relay.handle(request.raw, reply.raw);
    });
  }

  /** Takes the limits in force. */
  configure(limits: CallerLimits): void {
    const server = this.#server.server as Server;
    server.keepAliveTimeout = limits.idleTimeout + idleSlack;
    server.headersTimeout = limits.headerTimeout + idleSlack;
  }

  /** Starts to listen. */
  async listen(options: {
    readonly address: string;
    readonly port: number;
  }): Promise<string> {
    const { address: host, port } = options;
    return await this.#server.listen({ host, port });
  }

  /** Closes idle connections and stops to listen. */
  async close(): Promise<void> {
    await this.#server.close();
  }
}
