/**
 * Limits the connections of an HTTP server and the requests on each of them.
 *
 * @module
 */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { ReadScheduler } from "./read_scheduler.ts";

/** Descriptors reserved for files, listeners, and links between hosts. */
const reservedDescriptors = 200;
/**
 * Share of the others for callers; each of their requests may need another one to
 * a server.
 */
const callerShare = 0.5;
/** Fewest connections of callers, however few descriptors there are. */
const minConnections = 16;
/**
 * Requests of one connection that are served at the same time. Node.js reads up to
 * 65,536 bytes of requests ahead and starts them all at once, so that each could
 * have an answer in memory.
 */
const maxRunningRequests = 64;
/** Further requests that may wait on one connection; more close it. */
const maxWaitingRequests = 64;
/** Time for which a connection counts as ordinary without progress, in ms. */
const ordinaryTime = 1_000;

/** Returns the connections of callers for a limit of descriptors. */
export function connectionsForDescriptors(maxDescriptors: number): number {
  const shared = (maxDescriptors - reservedDescriptors) * callerShare;
  return Math.max(minConnections, Math.floor(shared));
}

/** Options of {@linkcode CallerConnections}. */
export interface CallerConnectionsOptions {
  /** Open connections at the same time; unlimited by default. */
  readonly maxConnections?: number;
  /** Reads new connections in turn; a scheduler of its own by default. */
  readonly scheduler?: ReadScheduler;
}

/** Requests of one connection. */
interface ConnectionRequests {
  /** The latest request that was started. */
  incoming: IncomingMessage;
  startedAt: number;
  running: number;
  readonly waiting: {
    readonly incoming: IncomingMessage;
    readonly serve: () => Promise<void>;
  }[];
}

/**
 * Connections of one server. At the limit, a new connection takes the place of the
 * one that has been of least use: without a request for longest, or with a body
 * that has been arriving for longest.
 */
export class CallerConnections {
  /** Shares the event loop among the connections. */
  readonly scheduler: ReadScheduler;
  readonly #maxConnections: number;
  /** Connections without a request and since when, longest first. */
  readonly #idle = new Map<Socket, number>();
  /** Requests of the other connections. */
  readonly #running = new Map<Socket, ConnectionRequests>();
  #closed = 0;

  constructor(options: CallerConnectionsOptions = {}) {
    this.#maxConnections = options.maxConnections ?? Infinity;
    this.scheduler = options.scheduler ?? new ReadScheduler();
  }

  get open(): number {
    return this.#idle.size + this.#running.size;
  }

  /** Connections that were closed for others. */
  get closed(): number {
    return this.#closed;
  }

  /** Tracks the connections of a server. */
  attach(server: Server): void {
    server.on("connection", (socket: Socket) => {
      if (this.open >= this.#maxConnections) {
        this.#closed += 1;
        const victim = this.#selectVictim();
        (victim ?? socket).destroy();
        if (victim === undefined) return;
        this.#idle.delete(victim);
        this.#running.delete(victim);
      }
      this.#idle.set(socket, performance.now());
      this.scheduler.trackConnection(socket);
      socket.once("close", () => {
        this.#idle.delete(socket);
        this.#running.delete(socket);
      });
    });
  }

  /**
   * Serves a request, or lets it wait for earlier ones of its connection.
   * `serve` must not reject.
   */
  run(incoming: IncomingMessage, serve: () => Promise<void>): void {
    const { socket } = incoming;
    this.scheduler.recordRequest(incoming);
    const requests = this.#running.get(socket) ??
      { incoming, startedAt: 0, running: 0, waiting: [] };
    this.#idle.delete(socket);
    this.#running.set(socket, requests);
    if (requests.running < maxRunningRequests) {
      this.#start(requests, incoming, serve);
    } else if (requests.waiting.length < maxWaitingRequests) {
      requests.waiting.push({ incoming, serve });
    } else socket.destroy();
  }

  #start(
    requests: ConnectionRequests,
    incoming: IncomingMessage,
    serve: () => Promise<void>,
  ): void {
    requests.incoming = incoming;
    requests.startedAt = performance.now();
    requests.running += 1;
    void serve().then(() => this.#end(requests));
  }

  #end(requests: ConnectionRequests): void {
    requests.running -= 1;
    const { socket } = requests.incoming;
    if (socket.destroyed) return;
    const next = requests.waiting.shift();
    if (next !== undefined) this.#start(requests, next.incoming, next.serve);
    if (requests.running > 0) return;
    this.#running.delete(socket);
    this.#idle.set(socket, performance.now());
  }

  #selectVictim(): Socket | undefined {
    const latest = performance.now() - ordinaryTime;
    const [idle] = this.#idle;
    if (idle !== undefined && idle[1] < latest) return idle[0];
    for (const [socket, { incoming, startedAt }] of this.#running) {
      if (startedAt < latest && !incoming.complete) return socket;
    }
    return idle?.[0];
  }
}
