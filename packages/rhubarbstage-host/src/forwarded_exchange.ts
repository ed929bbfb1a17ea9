/**
 * One exchange with a server through another host, at the host that needs it.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import {
  type Dialect,
  ExchangeError,
  type ExchangeRequest,
  type ExchangeResponse,
} from "@rhubarbstage/relay";
import { type Transport, TransportError } from "@rhubarbstage/transport";
import {
  AnswerStatusError,
  type BackendServerId,
  type HostId,
  isAnswerStatus,
} from "rhubarbstage";
import {
  type ForwardedPart,
  forwardedRequest,
  forwardingCredit,
  type ForwardingRefusal,
  type ForwardingResult,
  forwardingWindowBytes,
} from "./forwarding_messages.ts";

/**
 * Longest time for a forwarded request, in milliseconds; callers and timeouts of
 * routes end requests earlier.
 */
const maxForwardingTime = 600_000;
/** Time to wait for the last parts after the end, in milliseconds. */
const lastPartsTimeout = 200;

/** Thrown if the other host has sent nothing. */
export class ForwardingRefusedError extends Error {
  readonly reason: ForwardingRefusal | "unreachable";

  constructor(reason: ForwardingRefusal | "unreachable") {
    super(`The other host did not forward the request: ${reason}`);
    this.name = "ForwardingRefusedError";
    this.reason = reason;
  }
}

/** Options of a {@linkcode ForwardedExchange}. */
export interface ForwardedExchangeOptions {
  readonly id: number;
  /** Host that sends the request to the server. */
  readonly peer: HostId;
  readonly transport: Transport;
  readonly dialect: Dialect;
  readonly signal: AbortSignal;
  /** Called once, when the exchange has ended. */
  readonly onEnd: () => void;
}

/** State of one forwarded exchange. */
export class ForwardedExchange {
  readonly #options: ForwardedExchangeOptions;
  readonly #controller = new AbortController();
  readonly #chunks: Buffer[] = [];
  #nextSequence = 0;
  #consumedBytes = 0;
  /** Number of parts, once the other host has sent the last one. */
  #parts: number | undefined;
  #lastPartsTimer: ReturnType<typeof setTimeout> | undefined;
  #isEnded = false;
  #error: ExchangeError | undefined;
  #wakeReader: () => void = () => {};
  #pendingHead: {
    resolve: (response: ExchangeResponse) => void;
    reject: (error: Error) => void;
  } | undefined;

  constructor(options: ForwardedExchangeOptions) {
    this.#options = options;
  }

  get peer(): HostId {
    return this.#options.peer;
  }

  /**
   * Sends the request and resolves with the head of the response.
   *
   * @throws {ForwardingRefusedError} If nothing was sent to the server.
   * @throws {ExchangeError} If the exchange failed.
   */
  start(
    server: BackendServerId,
    request: ExchangeRequest,
  ): Promise<ExchangeResponse> {
    const { signal } = this.#options;
    const response = new Promise<ExchangeResponse>((resolve, reject) => {
      this.#pendingHead = { resolve, reject };
    });
    const onAbort = () => this.#cancel(signal.reason);
    if (signal.aborted) {
      this.#fail(signal.reason, { maybeDelivered: false });
      return response;
    }
    signal.addEventListener("abort", onAbort, { once: true });
    void this.#send(server, request)
      .finally(() => signal.removeEventListener("abort", onAbort));
    return response;
  }

  /** Handles a part of the response. */
  receive({ sequence, head, chunk }: ForwardedPart): void {
    if (this.#isEnded) return;
    if (sequence !== this.#nextSequence) {
      return this.#cancel(
        new Error(`Part ${this.#nextSequence} of the response was lost`),
      );
    }
    this.#nextSequence += 1;
    if (head !== undefined) this.#receiveHead(head);
    if (chunk !== undefined) {
      this.#chunks.push(Buffer.from(chunk));
      this.#wakeReader();
    }
    if (this.#nextSequence === this.#parts) this.#complete();
  }

  async #send(server: BackendServerId, request: ExchangeRequest) {
    const { id, peer, transport } = this.#options;
    const { method, path, headers, body, isRepeatable = false } = request;
    try {
      const result = await transport.request(forwardedRequest, {
        to: peer,
        body: {
          id,
          server,
          method,
          path,
          headers: [...headers],
          isRepeatable,
          ...(request.id === undefined ? {} : { requestId: request.id }),
          ...(body === undefined ? {} : { body }),
        },
        signal: this.#controller.signal,
        timeout: maxForwardingTime,
      });
      this.#finish(result);
    } catch (thrown) {
      const isUnsent = thrown instanceof TransportError &&
        !thrown.maybeDelivered;
      if (isUnsent) this.#refuse("unreachable");
      else this.#fail(thrown, { maybeDelivered: true });
    }
  }

  #receiveHead(head: NonNullable<ForwardedPart["head"]>): void {
    const { status, headers } = head;
    if (status < 200 || !isAnswerStatus(status)) {
      return this.#cancel(new AnswerStatusError(status));
    }
    this.#pendingHead?.resolve({
      status,
      headers,
      metadata: this.#options.dialect.parseResponse(status, headers),
      body: this.#readBody(),
      discard: () => this.#discard(),
    });
    this.#pendingHead = undefined;
  }

  #finish(result: ForwardingResult): void {
    if (this.#isEnded) return;
    if (result.type === "refused") return this.#refuse(result.reason);
    if (result.type === "failed") {
      const { cause, maybeDelivered } = result;
      return this.#fail(new Error(cause), { maybeDelivered });
    }
    this.#parts = result.parts;
    if (this.#nextSequence >= result.parts) return this.#complete();
    // The last parts may take another link than the end.
    this.#lastPartsTimer = setTimeout(() => {
      const missing = result.parts - this.#nextSequence;
      this.#fail(
        new Error(`${missing} of ${result.parts} parts of the response lost`),
        { maybeDelivered: true },
      );
    }, lastPartsTimeout);
  }

  #complete(): void {
    this.#end();
    this.#wakeReader();
  }

  #end(): void {
    clearTimeout(this.#lastPartsTimer);
    this.#isEnded = true;
    this.#options.onEnd();
  }

  async *#readBody(): AsyncGenerator<Buffer, void, void> {
    try {
      while (true) {
        const chunk = this.#chunks.shift();
        if (chunk !== undefined) {
          this.#grantCredit(chunk.length);
          yield chunk;
          continue;
        }
        if (this.#error !== undefined) throw this.#error;
        if (this.#isEnded) return;
        await new Promise<void>((resolve) => this.#wakeReader = resolve);
      }
    } finally {
      this.#discard();
    }
  }

  /** Lets the other host send more once a part of the window was passed on. */
  #grantCredit(bytes: number): void {
    this.#consumedBytes += bytes;
    if (this.#isEnded || this.#consumedBytes < forwardingWindowBytes / 4) {
      return;
    }
    const { id, peer, transport } = this.#options;
    const body = { id, bytes: this.#consumedBytes };
    transport.send(forwardingCredit, { to: peer, body });
    this.#consumedBytes = 0;
  }

  #discard(): void {
    if (this.#isEnded) return;
    this.#cancel(new Error("The response body was not read to its end"));
  }

  /** Ends the exchange here and at the other host. */
  #cancel(reason: unknown): void {
    this.#fail(reason, { maybeDelivered: true });
    this.#controller.abort(reason);
  }

  #refuse(reason: ForwardingRefusedError["reason"]): void {
    if (this.#isEnded) return;
    this.#end();
    this.#pendingHead?.reject(new ForwardingRefusedError(reason));
    this.#pendingHead = undefined;
  }

  #fail(thrown: unknown, options: { readonly maybeDelivered: boolean }): void {
    if (this.#isEnded) return;
    this.#end();
    this.#error = new ExchangeError(thrown, options);
    this.#pendingHead?.reject(this.#error);
    this.#pendingHead = undefined;
    this.#wakeReader();
  }
}
