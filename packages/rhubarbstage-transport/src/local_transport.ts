/**
 * In-process transport, for tests and single-process use.
 *
 * @module
 */

import { RhubarbstageError } from "rhubarbstage";
import type { HostId, Incarnation } from "rhubarbstage";
import { decode, encode } from "./codec.ts";
import { defaultRequestTimeout } from "./constants.ts";
import { TransportError } from "./errors.ts";
import {
  fromRemoteError,
  HandlerTable,
  toRemoteError,
} from "./handler_table.ts";
import { Transport } from "./transport.ts";
import type {
  LinkChange,
  MessageHandler,
  MessageOptions,
  MessageType,
  Peer,
  RequestHandler,
  RequestOptions,
  RequestType,
  TransportCounters,
} from "./types.ts";

/** Connects the transports of several hosts in one process. */
export class LocalNetwork {
  readonly #transports = new Map<HostId, LocalTransport>();
  readonly #partitionedPairs = new Set<string>();

  /** Adds a host; replaces an earlier transport of the same host. */
  addHost(
    host: HostId,
    options: { incarnation?: Incarnation } = {},
  ): Transport {
    const incarnation = options.incarnation ?? Date.now() as Incarnation;
    const transport = new LocalTransport(this, { host, incarnation });
    this.#transports.set(host, transport);
    return transport;
  }

  /** Drops all traffic from `from` to `to` until `heal` is called. */
  partition(from: HostId, to: HostId): void {
    this.#partitionedPairs.add(`${from} ${to}`);
  }

  /** Removes all partitions. */
  heal(): void {
    this.#partitionedPairs.clear();
  }

  /** Returns the open transport of `to`, unless `from` is partitioned from it. */
  findTransport(from: HostId, to: HostId): LocalTransport | undefined {
    if (this.#partitionedPairs.has(`${from} ${to}`)) return undefined;
    const transport = this.#transports.get(to);
    return transport?.isOpen ? transport : undefined;
  }

  hosts(): readonly HostId[] {
    return [...this.#transports.keys()];
  }
}

/** One host of a {@linkcode LocalNetwork}. Bodies are copied by encoding. */
export class LocalTransport extends Transport {
  override readonly host: HostId;
  override readonly incarnation: Incarnation;
  readonly #network: LocalNetwork;
  readonly #handlers = new HandlerTable();
  readonly #closed = new AbortController();
  #sentBytes = 0;
  #sentMessages = 0;
  #receivedBytes = 0;
  #receivedMessages = 0;
  #droppedMessages = 0;

  constructor(network: LocalNetwork, peer: Peer) {
    super();
    this.#network = network;
    this.host = peer.host;
    this.incarnation = peer.incarnation;
  }

  get isOpen(): boolean {
    return !this.#closed.signal.aborted;
  }

  override send<Body>(
    type: MessageType<Body>,
    options: MessageOptions<Body>,
  ): boolean {
    const target = this.#findTarget(options.to);
    if (target === undefined) {
      this.#droppedMessages += 1;
      return false;
    }
    const bytes = this.#countSent(encode(options.body));
    setImmediate(() => {
      if (target.isOpen) target.#deliver(type.name, { bytes, sender: this });
    });
    return true;
  }

  override async request<Body, Answer>(
    type: RequestType<Body, Answer>,
    options: RequestOptions<Body>,
  ): Promise<Answer> {
    const { to, signal } = options;
    signal?.throwIfAborted();
    const target = this.#findTarget(to);
    if (target === undefined) {
      throw new TransportError("unreachable", {
        peer: to,
        maybeDelivered: false,
      });
    }
    const bytes = this.#countSent(encode(options.body));
    const timeoutSignal = AbortSignal.timeout(
      options.timeout ?? defaultRequestTimeout,
    );
    const abortSignal = AbortSignal.any([
      timeoutSignal,
      this.#closed.signal,
      target.#closed.signal,
      ...(signal === undefined ? [] : [signal]),
    ]);
    const answer = target.#answer(type.name, {
      bytes,
      sender: this,
      signal: abortSignal,
    });
    const reply = await raceAbort(answer, abortSignal).catch((thrown) => {
      if (!abortSignal.aborted) throw thrown;
      if (signal?.aborted) throw signal.reason;
      const failure = timeoutSignal.aborted ? "timeout" : "link_closed";
      throw new TransportError(failure, { peer: to, maybeDelivered: true });
    });
    // A partition in the return direction loses the answer.
    if (this.#network.findTransport(to, this.host) !== this) {
      throw new TransportError("timeout", { peer: to, maybeDelivered: true });
    }
    return decode(reply) as Answer;
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

  override setAddress(): void {}

  override removeAddress(): void {}

  override peers(): readonly Peer[] {
    return this.#network.hosts()
      .filter((host) => host !== this.host)
      .map((host) => this.#network.findTransport(this.host, host))
      .filter((peer) => peer !== undefined)
      .map(({ host, incarnation }) => ({ host, incarnation }));
  }

  /** Links of a local network neither open nor close. */
  override onLink(_listener: (change: LinkChange) => void): void {}

  override counters(): TransportCounters {
    return {
      sentBytes: this.#sentBytes,
      sentMessages: this.#sentMessages,
      receivedBytes: this.#receivedBytes,
      receivedMessages: this.#receivedMessages,
      droppedMessages: this.#droppedMessages,
      rejectedConnections: 0,
      handlerErrors: this.#handlers.handlerErrors,
      busyTime: 0,
      byName: new Map(),
    };
  }

  override close(): Promise<void> {
    this.#closed.abort(new RhubarbstageError("shutting_down"));
    return Promise.resolve();
  }

  #findTarget(to: HostId): LocalTransport | undefined {
    return this.isOpen ? this.#network.findTransport(this.host, to) : undefined;
  }

  #countSent(bytes: Uint8Array): Uint8Array {
    this.#sentBytes += bytes.length;
    this.#sentMessages += 1;
    return bytes;
  }

  #receive(bytes: Uint8Array): unknown {
    this.#receivedBytes += bytes.length;
    this.#receivedMessages += 1;
    return decode(bytes);
  }

  #deliver(name: string, delivery: { bytes: Uint8Array; sender: Peer }): void {
    const { host, incarnation } = delivery.sender;
    const body = this.#receive(delivery.bytes);
    this.#handlers.deliver({ name, body, sender: { host, incarnation } });
  }

  async #answer(
    name: string,
    delivery: { bytes: Uint8Array; sender: Peer; signal: AbortSignal },
  ): Promise<Uint8Array> {
    await new Promise((resolve) => setImmediate(resolve));
    const { host, incarnation } = delivery.sender;
    const body = this.#receive(delivery.bytes);
    try {
      const answer = await this.#handlers.answer({ name, body }, {
        sender: { host, incarnation },
        signal: delivery.signal,
      });
      return encode(answer);
    } catch (thrown) {
      throw fromRemoteError(toRemoteError(thrown));
    }
  }
}

function raceAbort<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const onAbort = () => reject(signal.reason);
    signal.addEventListener("abort", onAbort, { once: true });
    promise.then(resolve, reject).finally(() =>
      signal.removeEventListener("abort", onAbort)
    );
  });
}
