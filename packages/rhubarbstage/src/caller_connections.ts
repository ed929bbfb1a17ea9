/**
 * Limits the connections of an HTTP server and the requests on each of them.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
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
/** Header names and values that all waiting requests keep together. */
const defaultMaxWaitingHeaders = 65_536;
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
  /**
   * Header names and values that the waiting requests of all connections keep
   * together; a request that would exceed them closes its connection. 65,536 by
   * default.
   */
  readonly maxWaitingHeaders?: number;
  /** Reads new connections in turn; a scheduler of its own by default. */
  readonly scheduler?: ReadScheduler;
}

/** A request and the function that serves it. */
interface ReceivedRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly serve: () => void;
}

/** Requests of one connection whose responses are open. */
interface ConnectionRequests {
  /** The latest request that was started. */
  incoming: IncomingMessage;
  startedAt: number;
  readonly running: Set<ServerResponse>;
  readonly waiting: ReceivedRequest[];
}

/**
 * Connections of one server. At the limit, a new connection takes the place of the
 * one that has been of least use: without a request for longest, or with a body
 * that has been arriving, or pipelined requests that have waited, for longest.
 */
export class CallerConnections {
  /** Shares the event loop among the connections. */
  readonly scheduler: ReadScheduler;
  readonly #maxConnections: number;
  readonly #maxWaitingHeaders: number;
  /** Connections without a request and since when, longest first. */
  readonly #idle = new Map<Socket, number>();
  /** Requests of the other connections. */
  readonly #running = new Map<Socket, ConnectionRequests>();
  /** Bytes that connections had read when they began their last request. */
  readonly #readBytes = new WeakMap<Socket, number>();
  #waiting = 0;
  #waitingHeaders = 0;
  #closed = 0;
  #closedForPipelining = 0;

  constructor(options: CallerConnectionsOptions = {}) {
    this.#maxConnections = options.maxConnections ?? Infinity;
    this.#maxWaitingHeaders = options.maxWaitingHeaders ??
      defaultMaxWaitingHeaders;
    this.scheduler = options.scheduler ?? new ReadScheduler();
  }

  get open(): number {
    return this.#idle.size + this.#running.size;
  }

  /** Connections that were closed for others. */
  get closed(): number {
    return this.#closed;
  }

  /** Pipelined requests that wait for earlier ones or for their turn. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Connections that were closed for too many pipelined requests. */
  get closedForPipelining(): number {
    return this.#closedForPipelining;
  }

  /** Tracks the connections and the requests of a server. */
  attach(server: Server): void {
    server.on("connection", (socket: Socket) => {
      if (this.open >= this.#maxConnections) {
        this.#closed += 1;
        const victim = this.#selectVictim();
        (victim ?? socket).destroy();
        if (victim === undefined) return;
        this.#forget(victim);
      }
      this.#idle.set(socket, performance.now());
      this.scheduler.trackConnection(socket);
      socket.once("close", () => this.#forget(socket));
    });
    const handlers = server.listeners("request");
    server.removeAllListeners("request");
    server.on("request", (incoming, response) => {
      const serve = () => {
        for (const handler of handlers) {
          Reflect.apply(handler, server, [incoming, response]);
        }
      };
      this.#receive({ incoming, response, serve });
    });
  }

  /** Serves a request, or lets it wait for earlier ones of its connection. */
  #receive(request: ReceivedRequest): void {
    const { incoming } = request;
    const { socket } = incoming;
    // The parser goes on to the end of what was read.
    if (socket.destroyed) return;
    const requests = this.#running.get(socket) ??
      { incoming, startedAt: 0, running: new Set(), waiting: [] };
    const isPipelined = requests.running.size > 0 ||
      this.#readBytes.get(socket) === socket.bytesRead;
    this.#readBytes.set(socket, socket.bytesRead);
    this.#idle.delete(socket);
    this.#running.set(socket, requests);
    if (!isPipelined) {
      this.scheduler.recordRequest(incoming);
      return this.#start(requests, request);
    }
    const headers = this.#waitingHeaders + incoming.rawHeaders.length;
    if (
      requests.waiting.length >= maxWaitingRequests ||
      headers > this.#maxWaitingHeaders
    ) {
      this.#closedForPipelining += 1;
      socket.destroy();
      return;
    }
    this.#waiting += 1;
    this.#waitingHeaders = headers;
    requests.waiting.push(request);
    this.#serveWaiting(socket, requests);
  }

  #serveWaiting(socket: Socket, requests: ConnectionRequests): void {
    const { running, waiting } = requests;
    while (running.size < maxRunningRequests) {
      const [next] = waiting;
      if (next === undefined || socket.destroyed) return;
      if (this.scheduler.isOverrun) {
        this.scheduler.deferRequests(
          socket,
          () => this.#serveWaiting(socket, requests),
        );
        return;
      }
      waiting.shift();
      this.#waiting -= 1;
      this.#waitingHeaders -= next.incoming.rawHeaders.length;
      this.scheduler.countPipelined(next.incoming);
      this.#start(requests, next);
    }
  }

  #start(requests: ConnectionRequests, request: ReceivedRequest): void {
    const { incoming, response, serve } = request;
    requests.incoming = incoming;
    requests.startedAt = performance.now();
    requests.running.add(response);
    response.once("close", () => this.#end(requests, response));
    serve();
  }

  #end(requests: ConnectionRequests, response: ServerResponse): void {
    const { running, waiting } = requests;
    const { socket } = requests.incoming;
    running.delete(response);
    if (socket.destroyed) return;
    this.#serveWaiting(socket, requests);
    if (running.size > 0 || waiting.length > 0) return;
    this.#running.delete(socket);
    this.#idle.set(socket, performance.now());
    this.scheduler.endPipelining(socket);
  }

  #forget(socket: Socket): void {
    const requests = this.#running.get(socket);
    this.#idle.delete(socket);
    this.#running.delete(socket);
    if (requests === undefined) return;
    this.#waiting -= requests.waiting.length;
    for (const { incoming } of requests.waiting) {
      this.#waitingHeaders -= incoming.rawHeaders.length;
    }
    requests.waiting.length = 0;
    for (const response of requests.running) {
      // Node.js does not close responses that wait for earlier ones.
      if (response.socket !== null || response.writableFinished) continue;
      response.destroy();
      response.emit("close");
    }
  }

  #selectVictim(): Socket | undefined {
    const latest = performance.now() - ordinaryTime;
    const [idle] = this.#idle;
    if (idle !== undefined && idle[1] < latest) return idle[0];
    for (const [socket, requests] of this.#running) {
      const { incoming, startedAt, waiting } = requests;
      const isOrdinary = incoming.complete && waiting.length === 0;
      if (startedAt < latest && !isOrdinary) return socket;
    }
    return idle?.[0];
  }
}
