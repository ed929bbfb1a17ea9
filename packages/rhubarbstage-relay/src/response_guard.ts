/**
 * Bounds the bytes on a connection that belong to no response.
 *
 * @module
 */

import type { Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { maxFramingBytes, maxFramingRatio } from "./constants.ts";

/** A response handler as undici calls it. */
interface ResponseHandler {
  onConnect(abort: (reason?: Error) => void, context: unknown): void;
  onData(chunk: Buffer): boolean;
}

/**
 * Counts the bytes that a connection receives beside the bodies of responses:
 * heads, chunk sizes, trailers and whatever else a faulty server sends. The HTTP
 * parser bounds header fields only, and reads a status line, interim responses,
 * a chunk size or a chunk extension without end.
 */
class FramingMeter {
  #socket: Socket | undefined;
  #startBytes = 0;
  #bodyBytes = 0;

  /** Watches a new connection and destroys it when the bound is exceeded. */
  watch(socket: Socket): void {
    this.#socket = socket;
    this.startResponse();
    socket.prependListener("readable", () => this.#check(socket));
  }

  /** Starts to count for the next response. */
  startResponse(): void {
    this.#startBytes = this.#socket?.bytesRead ?? 0;
    this.#bodyBytes = 0;
  }

  countBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  #check(socket: Socket): void {
    if (socket !== this.#socket || socket.destroyed) return;
    const received = socket.bytesRead - this.#startBytes;
    const framing = received - this.#bodyBytes;
    const limit = maxFramingBytes + this.#bodyBytes * maxFramingRatio;
    if (framing <= limit) return;
    socket.destroy(
      new Error(
        `The server at ${socket.remoteAddress}:${socket.remotePort} sent ` +
          `${framing} bytes beside ${this.#bodyBytes} bytes of a body; ` +
          `the limit is ${limit} bytes`,
      ),
    );
  }
}

/** HTTP client of one connection that bounds the framing of responses. */
export class GuardedClient extends Client {
  readonly #meter: FramingMeter;

  constructor(origin: string | URL, options: Client.Options) {
    const meter = new FramingMeter();
    const { connect } = options;
    if (typeof connect !== "function") {
      throw new TypeError("A GuardedClient needs a connector function");
    }
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...result) => {
          const [error, socket] = result;
          if (error === null) meter.watch(socket);
          callback(...result);
        });
      },
    });
    this.#meter = meter;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, this.#measure(handler));
  }

  #measure(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    const meter = this.#meter;
    const inner = handler as unknown as ResponseHandler;
    const onConnect = inner.onConnect.bind(inner);
    const onData = inner.onData.bind(inner);
    return Object.assign(Object.create(handler), {
      onConnect: (abort: (reason?: Error) => void, context: unknown) => {
        meter.startResponse();
        onConnect(abort, context);
      },
      onData: (chunk: Buffer) => {
        meter.countBody(chunk.length);
        return onData(chunk);
      },
    }) as Dispatcher.DispatchHandler;
  }
}
