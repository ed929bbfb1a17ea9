/**
 * One request to one server and its response, without retries.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { AnswerStatusError, isAnswerStatus } from "rhubarbstage";
import type { Dispatcher } from "undici";
import { maxWholeBodyBytes } from "./constants.ts";
import type { Dialect } from "./dialect.ts";
import { isCloseDelimited } from "./headers.ts";
import type { ResetDetector } from "./reset_detector.ts";
import type { ExchangeActivity } from "./server_activity.ts";
import type { HeaderList, ResponseMetadata } from "./types.ts";

/** A request to a server. */
export interface ExchangeRequest {
  /** Id that the server echoes in its response; absent if none is sent. */
  readonly id?: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Whether it may be sent again after it may have run. */
  readonly isRepeatable?: boolean;
}

/** The head of a response and its body as a stream of chunks. */
export interface ExchangeResponse {
  readonly status: number;
  readonly headers: HeaderList;
  /** Parsed from the status and the headers. */
  readonly metadata: ResponseMetadata;
  /** Throws `ExchangeError` if the response is incomplete. */
  readonly body: AsyncGenerator<Buffer, void, void>;
  /** Closes the connection unless the response has ended. */
  discard(): void;
}

/** Failure of an exchange. */
export class ExchangeError extends Error {
  /** Whether a byte of the request may have reached the server. */
  readonly maybeDelivered: boolean;

  constructor(cause: unknown, options: { readonly maybeDelivered: boolean }) {
    super(cause instanceof Error ? cause.message : String(cause), { cause });
    this.name = "ExchangeError";
    this.maybeDelivered = options.maybeDelivered;
  }
}

/**
 * Reads a body that is not relayed. Throws `ExchangeError` and closes the
 * connection if it exceeds `maxWholeBodyBytes`.
 */
export async function readWhole(
  { body }: Pick<ExchangeResponse, "body">,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > maxWholeBodyBytes) {
      throw new ExchangeError(
        `A response of ${size} bytes or more exceeds the limit of ` +
          `${maxWholeBodyBytes} bytes`,
        { maybeDelivered: true },
      );
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Options of {@linkcode Exchange.start}. */
export interface ExchangeOptions {
  readonly signal: AbortSignal;
  readonly dialect: Dialect;
  /** Reset detector of the connections. */
  readonly resetDetector: ResetDetector;
  /** Tracks the signs of the server; absent for probes. */
  readonly activity?: ExchangeActivity;
  /** Called if the exchange fails, before or after its head. */
  readonly onError?: (error: ExchangeError) => void;
}

/** Buffered bytes at which reading from the server pauses. */
const highWaterBytes = 65_536;

/** State of one exchange on a connection. */
export class Exchange {
  readonly #request: ExchangeRequest;
  readonly #signal: AbortSignal;
  readonly #dialect: Dialect;
  readonly #detector: ResetDetector;
  readonly #activity: ExchangeActivity | undefined;
  readonly #onError: ((error: ExchangeError) => void) | undefined;
  /** Whether the response ends with its connection. */
  #isCloseDelimited = false;
  readonly #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #abort: ((reason: Error) => void) | undefined;
  #resume: () => void = () => {};
  #maybeDelivered = false;
  #isEnded = false;
  #error: Error | undefined;
  #wakeReader: () => void = () => {};
  #pendingHead: {
    resolve: (answer: ExchangeResponse) => void;
    reject: (error: Error) => void;
  } | undefined;

  private constructor(request: ExchangeRequest, options: ExchangeOptions) {
    this.#request = request;
    this.#signal = options.signal;
    this.#dialect = options.dialect;
    this.#detector = options.resetDetector;
    this.#activity = options.activity;
    this.#onError = options.onError;
    if (this.#activity !== undefined && request.isRepeatable === true) {
      this.#activity.onBreak = (reason) => this.#cancel(reason);
    }
  }

  /**
   * Sends a request and resolves with the head of its response. Throws
   * `ExchangeError`, also if the response belongs to another request; aborting
   * the signal destroys the connection.
   */
  static async start(
    connections: Dispatcher,
    request: ExchangeRequest,
    options: ExchangeOptions,
  ): Promise<ExchangeResponse> {
    return await new Exchange(request, options).#run(connections);
  }

  #run(connections: Dispatcher): Promise<ExchangeResponse> {
    const onAbort = () => this.#cancel(this.#signal.reason);
    const response = new Promise<ExchangeResponse>((resolve, reject) => {
      this.#pendingHead = { resolve, reject };
    });
    if (this.#signal.aborted) {
      this.#activity?.end();
      onAbort();
      return response;
    }
    this.#signal.addEventListener("abort", onAbort, { once: true });
    const { method, path, headers, body } = this.#request;
    try {
      connections.dispatch(
        {
          method: method as Dispatcher.HttpMethod,
          path,
          headers: headers as string[],
          body: body === undefined || body.length === 0 ? null : body,
          idempotent: false,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        this.#createHandler(onAbort),
      );
    } catch (thrown) {
      this.#fail(thrown);
    }
    return response;
  }

  #createHandler(onAbort: () => void): Dispatcher.DispatchHandler {
    const cleanUp = () => {
      this.#activity?.end();
      this.#signal.removeEventListener("abort", onAbort);
      if (this.#isCloseDelimited) this.#detector.closeDelimitedResponses -= 1;
    };
    return {
      onConnect: (abort: (reason?: Error) => void) => {
        // A second call means that undici is sending the request again.
        if (this.#maybeDelivered || this.#isEnded) {
          abort(new Error("Refused to send the request a second time"));
          return;
        }
        this.#maybeDelivered = true;
        this.#abort = abort;
      },
      onHeaders: (status: number, rawHeaders: Buffer[], resume: () => void) => {
        this.#activity?.touch();
        if (!isAnswerStatus(status)) {
          this.#cancel(new AnswerStatusError(status));
          return true;
        }
        if (status < 200) return true;
        this.#resume = resume;
        const headers = rawHeaders.map((item) => item.toString("latin1"));
        this.#isCloseDelimited = isCloseDelimited(headers);
        if (this.#isCloseDelimited) this.#detector.closeDelimitedResponses += 1;
        const metadata = this.#dialect.parseResponse(status, headers);
        if (!this.#isOwnResponse(metadata)) return true;
        this.#pendingHead?.resolve({
          status,
          headers,
          metadata,
          body: this.#readBody(),
          discard: () => this.#discard(),
        });
        this.#pendingHead = undefined;
        return true;
      },
      onData: (chunk: Buffer) => {
        this.#activity?.touch();
        this.#chunks.push(chunk);
        this.#bufferedBytes += chunk.length;
        this.#wakeReader();
        return this.#bufferedBytes < highWaterBytes;
      },
      onComplete: () => {
        cleanUp();
        if (this.#isCloseDelimited && this.#detector.isResetDetected) {
          this.#fail(
            new Error(
              "The connection was reset before the response was complete",
            ),
          );
          return;
        }
        this.#isEnded = true;
        this.#wakeReader();
      },
      onError: (error: Error) => {
        cleanUp();
        this.#fail(error);
      },
    } as unknown as Dispatcher.DispatchHandler;
  }

  /**
   * Whether a response echoes the id of the request. A server that sends a
   * response twice is one response ahead on its connection, so another request's
   * response ends the connection here, before anything is read from it.
   */
  #isOwnResponse(metadata: ResponseMetadata): boolean {
    const { id } = this.#request;
    if (id === undefined || metadata.request === id) return true;
    this.#cancel(
      new Error(
        `The server answered request "${metadata.request ?? ""}" instead of ` +
          `"${id}"`,
      ),
    );
    return false;
  }

  async *#readBody(): AsyncGenerator<Buffer, void, void> {
    try {
      while (true) {
        const chunk = this.#chunks.shift();
        if (chunk !== undefined) {
          this.#bufferedBytes -= chunk.length;
          if (this.#bufferedBytes < highWaterBytes) this.#resume();
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

  /** A partly read response would block its connection. */
  #discard(): void {
    if (this.#isEnded) return;
    this.#cancel(new Error("The response body was not read to its end"));
  }

  #cancel(reason: unknown): void {
    const error = reason instanceof Error ? reason : new Error(String(reason));
    const abort = this.#abort;
    this.#fail(error);
    abort?.(error);
  }

  #fail(thrown: unknown): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#activity?.end();
    const error = new ExchangeError(thrown, {
      maybeDelivered: this.#maybeDelivered,
    });
    this.#error = error;
    this.#onError?.(error);
    this.#pendingHead?.reject(this.#error);
    this.#pendingHead = undefined;
    this.#wakeReader();
  }
}
