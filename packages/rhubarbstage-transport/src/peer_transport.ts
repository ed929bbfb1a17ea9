/**
 * Transport over WebSocket connections between hosts.
 *
 * @module
 */

import { createServer as createHttpServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import { createServer as createHttpsServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import type { HostId, HybridLogicalClock, Incarnation } from "rhubarbstage";
import { WebSocket, WebSocketServer } from "ws";
import {
  defaultHandshakeTimeout,
  defaultHeartbeatInterval,
  defaultIdleTimeout,
  defaultMaxBackoff,
  defaultMinBackoff,
  defaultQueueBytes,
  defaultRequestTimeout,
  maxFrameBytes,
  maxMessagesWhileDialling,
  maxUnauthenticatedBytes,
  maxUnauthenticatedConnections,
  minTokenLength,
} from "./constants.ts";
import { TransportError } from "./errors.ts";
import type { TransportFailure } from "./errors.ts";
import { HandlerTable } from "./handler_table.ts";
import { dialHandshake, listenHandshake } from "./handshake.ts";
import type { HandshakeOptions, HandshakeResult } from "./handshake.ts";
import { Link } from "./link.ts";
import { TrafficCounters } from "./traffic.ts";
import { Transport } from "./transport.ts";
import type {
  LinkChange,
  MessageHandler,
  MessageOptions,
  MessageType,
  Peer,
  PeerAddress,
  RequestHandler,
  RequestOptions,
  RequestType,
  TransportCounters,
} from "./types.ts";

/** Certificates for mutual TLS, in PEM format. */
export interface TransportCertificates {
  readonly key: string;
  /** Certificate of the local host, issued for its IP address. */
  readonly certificate: string;
  /** Certificate of the authority that signed the certificates of all hosts. */
  readonly authority: string;
}

/** Options of `PeerTransport.listen`. Times in milliseconds. */
export interface PeerTransportOptions {
  readonly host: HostId;
  /** Incarnation of the process; defaults to the current time. */
  readonly incarnation?: Incarnation;
  /** IP address to listen on. */
  readonly address: string;
  /** Port to listen on; 0 selects a free port. */
  readonly port: number;
  /** Secret shared by all hosts, at least 16 characters. Never sent. */
  readonly token: string;
  /** Addresses of other hosts; `setAddress` adds more. */
  readonly peers?: ReadonlyMap<HostId, PeerAddress>;
  readonly certificates?: TransportCertificates;
  /** Maximum bytes queued on one link; defaults to 32 MiB. */
  readonly queueBytes?: number;
  /** Defaults to 2,000; a link is closed after three missed heartbeats. */
  readonly heartbeatInterval?: number;
  /** Time without messages after which a link is closed; defaults to 60,000. */
  readonly idleTimeout?: number;
  /** Timeout of connection and authentication; defaults to 3,000. */
  readonly handshakeTimeout?: number;
  /** Minimum back-off before reconnecting; defaults to 100. */
  readonly minBackoff?: number;
  /** Maximum back-off before reconnecting; defaults to 5,000. */
  readonly maxBackoff?: number;
  /**
   * Clock that timestamps sent frames and follows received ones, so that events
   * of several hosts can be put in causal order. Without it, frames have no
   * timestamp.
   */
  readonly clock?: HybridLogicalClock;
}

/** State of the connection attempts to one host. */
interface DialState {
  /** Settles when the current attempt ends; undefined between attempts. */
  attempt: Promise<void> | undefined;
  failures: number;
  /** Number of one-way messages queued for the link. */
  queuedMessages: number;
  /** Monotonic time before which no further attempt starts. */
  nextAt: number;
}

/**
 * Maintains at most one link to each host. A link is opened on first use; after a
 * failure, it is reopened on the next use past a jittered back-off.
 */
export class PeerTransport extends Transport {
  override readonly host: HostId;
  override readonly incarnation: Incarnation;
  readonly #options: PeerTransportOptions;
  readonly #server: Server;
  readonly #socketServer: WebSocketServer;
  readonly #handlers = new HandlerTable();
  readonly #traffic = new TrafficCounters();
  readonly #addresses: Map<HostId, PeerAddress>;
  readonly #links = new Map<HostId, Link>();
  /** Links that others have replaced and that still answer requests. */
  readonly #retired = new Set<Link>();
  readonly #dials = new Map<HostId, DialState>();
  readonly #listeners = new Set<(change: LinkChange) => void>();
  readonly #closing = new AbortController();
  #unauthenticated = 0;

  private constructor(options: PeerTransportOptions) {
    super();
    if (options.token.length < minTokenLength) {
      throw new Error(
        `Token has ${options.token.length} characters; the minimum is ${minTokenLength}`,
      );
    }
    this.#options = options;
    this.host = options.host;
    this.incarnation = options.incarnation ?? Date.now() as Incarnation;
    this.#addresses = new Map(options.peers);
    this.#server = createServer(options);
    this.#socketServer = new WebSocketServer({
      server: this.#server,
      perMessageDeflate: false,
      maxPayload: maxFrameBytes,
    });
    this.#socketServer.on("connection", (socket, { socket: connection }) => {
      void this.#accept(socket, connection);
    });
    this.#socketServer.on("error", () => {});
  }

  /** Starts listening. Throws when the address is in use. */
  static async listen(options: PeerTransportOptions): Promise<PeerTransport> {
    const transport = new PeerTransport(options);
    const server = transport.#server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(options.port, options.address, () => {
        server.off("error", reject);
        resolve();
      });
    });
    return transport;
  }

  /** Address on which this transport listens. */
  get address(): PeerAddress {
    const { address, port } = this.#server.address() as AddressInfo;
    return { address, port };
  }

  override send<Body>(
    type: MessageType<Body>,
    options: MessageOptions<Body>,
  ): boolean {
    const link = this.#links.get(options.to);
    if (link !== undefined) return link.send(type.name, options.body);
    return this.#sendOnceConnected(type.name, options);
  }

  override async request<Body, Answer>(
    type: RequestType<Body, Answer>,
    options: RequestOptions<Body>,
  ): Promise<Answer> {
    const { to, body, signal } = options;
    signal?.throwIfAborted();
    const deadline = new AbortController();
    const onAbort = () => deadline.abort();
    const timeout = options.timeout ?? defaultRequestTimeout;
    const timer = setTimeout(onAbort, timeout);
    signal?.addEventListener("abort", onAbort, { once: true });
    let link: Link | undefined;
    try {
      link = this.#links.get(to) ?? await this.#openLink(to, deadline.signal);
      const answer = await link.request(type.name, {
        body,
        signal: deadline.signal,
      });
      return answer as Answer;
    } catch (thrown) {
      if (signal?.aborted) throw signal.reason;
      if (!deadline.signal.aborted) throw thrown;
      const maybeDelivered = link !== undefined;
      throw new TransportError("timeout", { peer: to, maybeDelivered });
    } finally {
      clearTimeout(timer);
      signal?.removeEventListener("abort", onAbort);
    }
  }

  override onMessage<Body>(
    type: MessageType<Body>,
    handler: MessageHandler<Body>,
  ): void {
    this.#handlers.addMessage(type.name, handler as MessageHandler<never>);
  }

  override onRequest<Body, Answer>(
    type: RequestType<Body, Answer>,
    handler: RequestHandler<Body, Answer>,
  ): void {
    this.#handlers.addRequest(
      type.name,
      handler as RequestHandler<never, unknown>,
    );
  }

  override setAddress(host: HostId, address: PeerAddress): void {
    const known = this.#addresses.get(host);
    if (known?.address === address.address && known.port === address.port) {
      return;
    }
    this.#addresses.set(host, address);
    this.#dials.delete(host);
  }

  override removeAddress(host: HostId): void {
    this.#addresses.delete(host);
    this.#dials.delete(host);
    this.#links.get(host)?.close("address removed");
  }

  override peers(): readonly Peer[] {
    return [...this.#links.values()].map((link) => link.peer);
  }

  override onLink(
    listener: (change: LinkChange) => void,
    options: { signal?: AbortSignal } = {},
  ): void {
    if (options.signal?.aborted) return;
    this.#listeners.add(listener);
    options.signal?.addEventListener(
      "abort",
      () => this.#listeners.delete(listener),
      { once: true },
    );
  }

  override counters(): TransportCounters {
    return this.#traffic.toTransportCounters(this.#handlers.handlerErrors);
  }

  override async close(): Promise<void> {
    this.#closing.abort(
      new Error(`Transport of host "${this.host}" is closed`),
    );
    for (const link of [...this.#links.values(), ...this.#retired]) {
      link.close("closed");
    }
    for (const socket of this.#socketServer.clients) socket.terminate();
    this.#socketServer.close();
    if (!this.#server.listening) return;
    await new Promise((resolve) => this.#server.close(resolve));
  }

  /** Queues a message until the link to its host is open. */
  #sendOnceConnected(name: string, options: MessageOptions<unknown>): boolean {
    const { to, body } = options;
    const attempt = this.#connect(to);
    const dial = this.#dials.get(to);
    const canQueue = attempt !== undefined && dial !== undefined &&
      dial.queuedMessages < maxMessagesWhileDialling;
    if (!canQueue) {
      this.#traffic.dropped += 1;
      return false;
    }
    dial.queuedMessages += 1;
    attempt.then(
      () => this.#links.get(to)?.send(name, body),
      () => this.#traffic.dropped += 1,
    ).finally(() => dial.queuedMessages -= 1);
    return true;
  }

  /** Waits for a link. Throws when closed, unreachable or in back-off. */
  async #openLink(to: HostId, signal: AbortSignal): Promise<Link> {
    const createError = (failure: TransportFailure, cause?: unknown) =>
      new TransportError(failure, { peer: to, maybeDelivered: false, cause });
    if (this.#closing.signal.aborted) throw createError("closed");
    const attempt = this.#connect(to);
    if (attempt === undefined) throw createError("unreachable");
    const aborted = new Promise<never>((_, reject) => {
      signal.addEventListener("abort", () => reject(signal.reason), {
        once: true,
      });
    });
    try {
      await Promise.race([attempt, aborted]);
    } catch (thrown) {
      throw createError("unreachable", thrown);
    }
    const link = this.#links.get(to);
    if (link === undefined) throw createError("unreachable");
    return link;
  }

  /**
   * Returns the attempt in progress or starts one, unless it cannot dial now.
   */
  #connect(to: HostId): Promise<void> | undefined {
    const address = this.#addresses.get(to);
    if (address === undefined || this.#closing.signal.aborted) return undefined;
    const dial = this.#dials.get(to) ??
      { attempt: undefined, failures: 0, queuedMessages: 0, nextAt: 0 };
    this.#dials.set(to, dial);
    if (dial.attempt !== undefined) return dial.attempt;
    if (performance.now() < dial.nextAt) return undefined;
    dial.attempt = this.#dial(to, address).then(
      () => {
        dial.failures = 0;
      },
      (thrown) => {
        dial.nextAt = performance.now() + this.#backoff(dial.failures);
        dial.failures += 1;
        throw thrown;
      },
    ).finally(() => {
      dial.attempt = undefined;
    });
    return dial.attempt;
  }

  /** Doubles with each failure; jitter spreads the retries of several hosts. */
  #backoff(failures: number): number {
    const { minBackoff = defaultMinBackoff, maxBackoff = defaultMaxBackoff } =
      this.#options;
    const maxDelay = Math.min(maxBackoff, minBackoff * 2 ** failures);
    return maxDelay * (0.5 + Math.random() / 2);
  }

  async #dial(to: HostId, target: PeerAddress): Promise<void> {
    const { certificates } = this.#options;
    const scheme = certificates === undefined ? "ws" : "wss";
    const name = target.address.includes(":")
      ? `[${target.address}]`
      : target.address;
    const socket = new WebSocket(`${scheme}://${name}:${target.port}/`, {
      perMessageDeflate: false,
      maxPayload: maxFrameBytes,
      ...(certificates === undefined ? {} : {
        key: certificates.key,
        cert: certificates.certificate,
        ca: certificates.authority,
      }),
    });
    await this.#authenticate(socket, {
      isDialled: true,
      handshake: async (options) => {
        await waitForOpen(socket, options.signal);
        return await dialHandshake(socket, { ...options, to });
      },
    });
  }

  async #accept(socket: WebSocket, connection: Socket): Promise<void> {
    if (this.#unauthenticated >= maxUnauthenticatedConnections) {
      this.#traffic.rejected += 1;
      socket.on("error", () => {});
      socket.terminate();
      return;
    }
    this.#unauthenticated += 1;
    const checkBytes = () => {
      if (connection.bytesRead > maxUnauthenticatedBytes) socket.terminate();
    };
    connection.on("data", checkBytes);
    try {
      await this.#authenticate(socket, {
        isDialled: false,
        handshake: (options) => listenHandshake(socket, options),
      });
    } catch {
      this.#traffic.rejected += 1;
    } finally {
      connection.off("data", checkBytes);
      this.#unauthenticated -= 1;
    }
  }

  /** Runs a handshake within its timeout and registers the link. */
  async #authenticate(
    socket: WebSocket,
    connection: {
      isDialled: boolean;
      handshake: (options: HandshakeOptions) => Promise<HandshakeResult>;
    },
  ): Promise<void> {
    const { isDialled, handshake } = connection;
    const { token, handshakeTimeout = defaultHandshakeTimeout } = this.#options;
    const deadline = new AbortController();
    const timer = setTimeout(
      () =>
        deadline.abort(
          new Error(`Handshake not completed within ${handshakeTimeout} ms`),
        ),
      handshakeTimeout,
    );
    const onClosing = () => deadline.abort(this.#closing.signal.reason);
    this.#closing.signal.addEventListener("abort", onClosing, { once: true });
    const ignoreError = () => {};
    socket.on("error", ignoreError);
    try {
      const { host, incarnation } = this;
      const self = { host, incarnation };
      const signal = deadline.signal;
      const authenticated = await handshake({ token, self, signal });
      this.#closing.signal.throwIfAborted();
      this.#register(socket, { ...authenticated, isDialled });
    } catch (thrown) {
      socket.terminate();
      throw thrown;
    } finally {
      clearTimeout(timer);
      this.#closing.signal.removeEventListener("abort", onClosing);
    }
  }

  #register(
    socket: WebSocket,
    authenticated: HandshakeResult & { isDialled: boolean },
  ): void {
    const { peer } = authenticated;
    const {
      queueBytes = defaultQueueBytes,
      heartbeatInterval = defaultHeartbeatInterval,
      idleTimeout = defaultIdleTimeout,
    } = this.#options;
    const link = new Link(socket, {
      ...authenticated,
      handlers: this.#handlers,
      traffic: this.#traffic,
      clock: this.#options.clock,
      queueBytes,
      heartbeatInterval,
      idleTimeout,
      onClose: (closed, reason) => this.#unregister(closed, reason),
    });
    const known = this.#links.get(peer.host);
    const isSimultaneous = known !== undefined &&
      this.#areSimultaneous(known, link);
    if (isSimultaneous && known.isDialled === (this.host < peer.host)) {
      link.close("duplicate");
      return;
    }
    this.#links.set(peer.host, link);
    if (isSimultaneous) this.#retire(known);
    else known?.close("replaced");
    this.#emit({ kind: "up", peer, reason: "" });
    link.start();
  }

  /**
   * Whether both hosts dialled at once; both then keep the link dialled by the
   * smaller host id. A known link with the same direction or older than the
   * handshake timeout is replaced at once, as its other end may have lost it. So
   * is one to another process: the handshake proves that the new process runs, so
   * incarnations, which follow wall clocks, need not be ordered.
   */
  #areSimultaneous(known: Link, other: Link): boolean {
    if (known.peer.incarnation !== other.peer.incarnation) return false;
    const { handshakeTimeout = defaultHandshakeTimeout } = this.#options;
    const age = other.startedAt - known.startedAt;
    return known.isDialled !== other.isDialled && age <= handshakeTimeout;
  }

  /** Lets the requests on a superfluous link end before it is closed. */
  #retire(link: Link): void {
    this.#retired.add(link);
    link.retire();
  }

  #unregister(link: Link, reason: string): void {
    const { peer } = link;
    this.#retired.delete(link);
    if (this.#links.get(peer.host) !== link) return;
    this.#links.delete(peer.host);
    this.#emit({ kind: "down", peer, reason });
  }

  #emit(change: LinkChange): void {
    for (const listener of [...this.#listeners]) listener(change);
  }
}

/** Creates a server that only upgrades connections and drops slow ones. */
function createServer(options: PeerTransportOptions): Server {
  const { certificates, handshakeTimeout = defaultHandshakeTimeout } = options;
  const limits = {
    headersTimeout: handshakeTimeout,
    requestTimeout: handshakeTimeout,
    connectionsCheckingInterval: handshakeTimeout,
  };
  const refuse: RequestListener = (_request, response) => {
    response.writeHead(426, { connection: "close" }).end();
  };
  if (certificates === undefined) return createHttpServer(limits, refuse);
  return createHttpsServer({
    ...limits,
    handshakeTimeout,
    key: certificates.key,
    cert: certificates.certificate,
    ca: certificates.authority,
    requestCert: true,
    rejectUnauthorized: true,
  }, refuse);
}

function waitForOpen(socket: WebSocket, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once("open", resolve);
    socket.once("error", reject);
    signal.addEventListener("abort", () => reject(signal.reason), {
      once: true,
    });
  });
}
