/**
 * Sends requests to servers for hosts that do not reach them.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { BackendServerAddress } from "@rhubarbstage/engine";
import {
  ExchangeError,
  type ExchangeResponse,
  type ProbeResult,
  type ServerConnections,
} from "@rhubarbstage/relay";
import type { Transport } from "@rhubarbstage/transport";
import { type BackendServerId, type HostId, MemoryBudget } from "rhubarbstage";
import {
  type ForwardedPart,
  forwardedPart,
  type ForwardedRequest,
  forwardedRequest,
  forwardingCredit,
  forwardingOffer,
  type ForwardingRefusal,
  type ForwardingResult,
  forwardingWindowBytes,
  serverProbe,
} from "./forwarding_messages.ts";

/** Options of a {@linkcode ForwardingService}. */
export interface ForwardingServiceOptions {
  readonly transport: Transport;
  readonly connections: Pick<ServerConnections, "sendDirect">;
  /** Returns a server that may get new work; undefined for any other. */
  readonly serverOf: (
    server: BackendServerId,
  ) => BackendServerAddress | undefined;
  /** Whether this host reaches a server on its own connections. */
  readonly isDirect: (server: BackendServerId) => boolean;
  readonly isCutOff: () => boolean;
  /** Whether this host takes requests; false once it stops. */
  readonly acceptsWork: () => boolean;
  /** Probes whether the process of a server answers. Never rejects. */
  readonly probe: (server: BackendServerId) => Promise<ProbeResult>;
  /** Requests that are forwarded at the same time. */
  readonly maxRequests: number;
  /** Memory for their bodies; unlimited by default. */
  readonly budget?: MemoryBudget;
  readonly onForward?: (exchange: {
    /** Id that the caller sent for its attempt; empty if it sent none. */
    readonly request: string;
    readonly server: BackendServerId;
    readonly peer: HostId;
  }) => void;
  readonly signal: AbortSignal;
}

/** Answers the hosts that ask for help. */
export class ForwardingService {
  readonly #options: ForwardingServiceOptions;
  readonly #budget: MemoryBudget;
  readonly #running = new Set<ForwardedResponse>();
  #onIdle: () => void = () => {};

  constructor(options: ForwardingServiceOptions) {
    this.#options = options;
    this.#budget = options.budget ?? new MemoryBudget();
    const { transport } = options;
    transport.onRequest(
      forwardingOffer,
      () => this.#findRefusal() === undefined,
    );
    transport.onRequest(
      forwardedRequest,
      (request, { sender, signal }) =>
        this.#forward(request, { peer: sender.host, signal }),
    );
    transport.onMessage(forwardingCredit, ({ id, bytes }, { host }) => {
      for (const response of this.#running) {
        if (response.id === id && response.peer === host) {
          response.addCredit(bytes);
        }
      }
    });
    transport.onRequest(serverProbe, (server) => this.#probe(server));
  }

  /** Resolves when no request is being forwarded. */
  async waitUntilIdle(): Promise<void> {
    while (this.#running.size > 0) {
      await new Promise<void>((resolve) => this.#onIdle = resolve);
    }
  }

  #findRefusal(): ForwardingRefusal | undefined {
    const { acceptsWork, isCutOff, maxRequests } = this.#options;
    if (!acceptsWork()) return "leaving";
    // A host that needs help itself must not pass it on in a circle.
    if (isCutOff()) return "cut_off";
    return this.#running.size >= maxRequests ? "busy" : undefined;
  }

  #findServerRefusal(server: BackendServerId): ForwardingRefusal | undefined {
    return this.#options.isDirect(server) ? undefined : "unreachable_server";
  }

  async #forward(
    forwarded: ForwardedRequest,
    caller: { readonly peer: HostId; readonly signal: AbortSignal },
  ): Promise<ForwardingResult> {
    const { serverOf, onForward, signal } = this.#options;
    const { server: id } = forwarded;
    const server = serverOf(id);
    const reason = this.#findRefusal() ?? this.#findServerRefusal(id);
    if (reason !== undefined) return { type: "refused", reason };
    if (server === undefined) {
      return { type: "refused", reason: "unknown_server" };
    }
    const { peer } = caller;
    const lease = this.#budget.open();
    // The message and the copy that is sent, and a window of the response.
    const { length = 0 } = forwarded.body ?? [];
    if (!lease.grow(2 * length + forwardingWindowBytes)) {
      lease.close();
      return { type: "refused", reason: "busy" };
    }
    onForward?.({ request: forwarded.requestId ?? "", server: id, peer });
    const response = new ForwardedResponse({
      id: forwarded.id,
      peer,
      transport: this.#options.transport,
      signal: AbortSignal.any([caller.signal, signal]),
    });
    this.#running.add(response);
    try {
      return await response.run((options) =>
        this.#options.connections.sendDirect(
          server,
          toExchangeRequest(forwarded),
          options,
        )
      );
    } finally {
      lease.close();
      this.#running.delete(response);
      if (this.#running.size === 0) this.#onIdle();
    }
  }

  async #probe(server: BackendServerId): Promise<ProbeResult | "unknown"> {
    const { isDirect, isCutOff, probe } = this.#options;
    if (isCutOff() || !isDirect(server)) return "unknown";
    return await probe(server);
  }
}

function toExchangeRequest(forwarded: ForwardedRequest) {
  const { requestId, method, path, headers, body, isRepeatable } = forwarded;
  return {
    ...(requestId === undefined ? {} : { id: requestId }),
    method,
    path,
    headers,
    body: body === undefined ? undefined : Buffer.from(body),
    isRepeatable,
  };
}

/** Options of a {@linkcode ForwardedResponse}. */
interface ForwardedResponseOptions {
  readonly id: number;
  readonly peer: HostId;
  readonly transport: Transport;
  /** Aborted when the other host no longer wants the response. */
  readonly signal: AbortSignal;
}

/** The response of a server on its way to another host. */
class ForwardedResponse {
  readonly #options: ForwardedResponseOptions;
  #sequence = 0;
  #credit = forwardingWindowBytes;
  #onCredit: () => void = () => {};

  constructor(options: ForwardedResponseOptions) {
    this.#options = options;
  }

  get id(): number {
    return this.#options.id;
  }

  get peer(): HostId {
    return this.#options.peer;
  }

  addCredit(bytes: number): void {
    this.#credit += bytes;
    this.#onCredit();
  }

  /** Sends a request and passes its response on, until both have ended. */
  async run(
    send: (options: {
      readonly signal: AbortSignal;
    }) => Promise<ExchangeResponse>,
  ): Promise<ForwardingResult> {
    const { signal } = this.#options;
    try {
      const { status, headers, body } = await send({ signal });
      this.#send({ head: { status, headers: [...headers] } });
      for await (const chunk of body) {
        await this.#waitForCredit();
        this.#credit -= chunk.length;
        this.#send({ chunk });
      }
      return { type: "completed", parts: this.#sequence };
    } catch (thrown) {
      return {
        type: "failed",
        parts: this.#sequence,
        maybeDelivered: !(thrown instanceof ExchangeError) ||
          thrown.maybeDelivered,
        cause: thrown instanceof Error ? thrown.message : String(thrown),
      };
    }
  }

  async #waitForCredit(): Promise<void> {
    const { signal } = this.#options;
    while (this.#credit <= 0) {
      signal.throwIfAborted();
      await new Promise<void>((resolve) => {
        this.#onCredit = resolve;
        signal.addEventListener("abort", () => resolve(), { once: true });
      });
    }
  }

  #send(part: Pick<ForwardedPart, "head" | "chunk">): void {
    const { id, peer, transport } = this.#options;
    const body = { id, sequence: this.#sequence, ...part };
    this.#sequence += 1;
    if (!transport.send(forwardedPart, { to: peer, body })) {
      throw new Error(`The link to host "${peer}" takes no more messages`);
    }
  }
}
