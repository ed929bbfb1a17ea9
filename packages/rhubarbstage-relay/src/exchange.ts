/**
 * One request to one server and its answer, without any repeat.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Dispatcher, Pool } from "undici";
import { headerValue } from "./headers.ts";
import type { ResetDetector } from "./reset_watch.ts";
import type { HeaderList } from "./types.ts";

/** What is sent. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

/** The head of an answer and its body, piece by piece. */
export interface ExchangeResponse {
  readonly status: number;
  readonly headers: HeaderList;
  /** Ends with an error when the answer is not complete. */
  readonly body: AsyncGenerator<Buffer, void, void>;
}

/** An exchange that failed. */
export class ExchangeError extends Error {
  /** Whether a byte of the request may have reached the server. */
  readonly isSent: boolean;

  constructor(cause: unknown, options: { readonly isSent: boolean }) {
    super(cause instanceof Error ? cause.message : String(cause), { cause });
    this.name = "ExchangeError";
    this.isSent = options.isSent;
  }
}

/** Options of {@linkcode Exchange.start}. */
export interface ExchangeOptions {
  readonly signal: AbortSignal;
  /** Watch of the pool's connections. */
  readonly resetDetector: ResetDetector;
}

/** Bytes that wait for the caller before the server is held back. */
const highWaterBytes = 65_536;

/** Follows one exchange on a connection of a pool. */
export class Exchange {
  readonly #signal: AbortSignal;
  readonly #watch: ResetDetector;
  /** Whether the answer's end is the end of its connection. */
  #isUnframed = false;
  readonly #pieces: Buffer[] = [];
  #bytes = 0;
  #abort: ((reason: Error) => void) | undefined;
  #resume: () => void = () => {};
  #isSent = false;
  #ended = false;
  #error: Error | undefined;
  #wake: () => void = () => {};
  #head: {
    resolve: (answer: ExchangeResponse) => void;
    reject: (error: Error) => void;
  } | undefined;

  private constructor(options: ExchangeOptions) {
    this.#signal = options.signal;
    this.#watch = options.resetDetector;
  }

  /**
   * Sends a request and resolves with the head of its answer. Throws
   * `ExchangeError`; the abort of the signal destroys the connection.
   */
  static async start(
    pool: Pool,
    request: ExchangeRequest,
    options: ExchangeOptions,
  ): Promise<ExchangeResponse> {
    return await new Exchange(options).#run(pool, request);
  }

  #run(pool: Pool, request: ExchangeRequest): Promise<ExchangeResponse> {
    const onAbort = () => this.#cancel(this.#signal.reason);
    const answer = new Promise<ExchangeResponse>((resolve, reject) => {
      this.#head = { resolve, reject };
    });
    if (this.#signal.aborted) {
      onAbort();
      return answer;
    }
    this.#signal.addEventListener("abort", onAbort, { once: true });
    const { method, path, headers, body } = request;
    try {
      pool.dispatch(
        {
          method: method as Dispatcher.HttpMethod,
          path,
          headers: headers as string[],
          body: body === undefined || body.length === 0 ? null : body,
          idempotent: false,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        this.#handler(onAbort),
      );
    } catch (thrown) {
      this.#fail(thrown);
    }
    return answer;
  }

  #handler(onAbort: () => void): Dispatcher.DispatchHandler {
    const done = () => {
      this.#signal.removeEventListener("abort", onAbort);
      if (this.#isUnframed) this.#watch.closeDelimitedResponses -= 1;
    };
    return {
      onConnect: (abort: (reason?: Error) => void) => {
        // A second connection would mean that the client sends it again.
        if (this.#isSent || this.#ended) {
          abort(new Error("The request is not sent twice"));
          return;
        }
        this.#isSent = true;
        this.#abort = abort;
      },
      onHeaders: (status: number, raw: Buffer[], resume: () => void) => {
        if (status < 200) return true;
        this.#resume = resume;
        const headers = raw.map((item) => item.toString("latin1"));
        this.#isUnframed = isUnframed(headers);
        if (this.#isUnframed) this.#watch.closeDelimitedResponses += 1;
        this.#head?.resolve({ status, headers, body: this.#read() });
        this.#head = undefined;
        return true;
      },
      onData: (chunk: Buffer) => {
        this.#pieces.push(chunk);
        this.#bytes += chunk.length;
        this.#wake();
        return this.#bytes < highWaterBytes;
      },
      onComplete: () => {
        done();
        if (this.#isUnframed && this.#watch.isResetting) {
          this.#fail(new Error("The connection was reset"));
          return;
        }
        this.#ended = true;
        this.#wake();
      },
      onError: (error: Error) => {
        done();
        this.#fail(error);
      },
    } as unknown as Dispatcher.DispatchHandler;
  }

  async *#read(): AsyncGenerator<Buffer, void, void> {
    try {
      while (true) {
        const piece = this.#pieces.shift();
        if (piece !== undefined) {
          this.#bytes -= piece.length;
          if (this.#bytes < highWaterBytes) this.#resume();
          yield piece;
          continue;
        }
        if (this.#error !== undefined) throw this.#error;
        if (this.#ended) return;
        await new Promise<void>((resolve) => this.#wake = resolve);
      }
    } finally {
      // A reader that stops early must not leave the connection half read.
      if (!this.#ended) this.#cancel(new Error("The answer is not read"));
    }
  }

  #cancel(reason: unknown): void {
    const error = reason instanceof Error ? reason : new Error(String(reason));
    const abort = this.#abort;
    this.#fail(error);
    abort?.(error);
  }

  #fail(thrown: unknown): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#error = new ExchangeError(thrown, { isSent: this.#isSent });
    this.#head?.reject(this.#error);
    this.#head = undefined;
    this.#wake();
  }
}

function isUnframed(headers: HeaderList): boolean {
  return headerValue(headers, "content-length") === undefined &&
    headerValue(headers, "transfer-encoding") === undefined;
}
