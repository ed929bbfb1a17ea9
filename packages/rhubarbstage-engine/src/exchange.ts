/**
 * One HTTP exchange with an engine, with back-pressure and an exact record of
 * its progress.
 *
 * @module
 */

import { AnswerStatusError, isAnswerStatus } from "rhubarbstage";
import type { Dispatcher } from "undici";
import { joinedChunksLimit, streamBufferLimit } from "./constants.ts";

/** Status line and headers of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/**
 * Handler of one `undici` dispatch. `undici` calls `onRequestStart` right
 * before it writes the head of the request, and never sends a started POST
 * again by itself.
 */
export class Exchange implements Dispatcher.DispatchHandler {
  /** Whether any byte of the request may have been written. */
  written = false;
  /** Resolves with the head of the answer. */
  readonly head: Promise<ResponseHead>;
  #settleHead!: {
    resolve: (head: ResponseHead) => void;
    reject: (cause: unknown) => void;
  };
  #controller: Dispatcher.DispatchController | undefined;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #ended = false;
  #failure: { cause: unknown } | undefined;
  #aborted: Error | undefined;
  #wake: (() => void) | undefined;

  constructor() {
    this.head = new Promise((resolve, reject) => {
      this.#settleHead = { resolve, reject };
    });
    // Prevents an unhandled rejection when the exchange fails before `head` is
    // awaited; `read` throws the same cause.
    this.head.catch(() => {});
  }

  /** Ends the exchange and closes its connection. */
  abort(reason: Error): void {
    if (this.#aborted || this.#ended) return;
    this.#aborted = reason;
    this.#fail(reason);
    this.#controller?.abort(reason);
  }

  /**
   * Yields the bytes of the answer; joins chunks that have already arrived.
   * Stops reading from the connection while the consumer is behind.
   */
  async *read(): AsyncGenerator<Buffer, void, void> {
    while (true) {
      if (this.#chunks.length > 0) {
        yield this.#takeChunks();
        continue;
      }
      if (this.#failure) throw this.#failure.cause;
      if (this.#ended) return;
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#aborted) {
      controller.abort(this.#aborted);
      return;
    }
    this.written = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (!isAnswerStatus(status)) {
      const error = new AnswerStatusError(status);
      this.#fail(error);
      controller.abort(error);
      return;
    }
    if (status >= 200) this.#settleHead.resolve({ status, headers });
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes > streamBufferLimit) controller.pause();
    this.#wakeReader();
  }

  onResponseEnd(): void {
    this.#ended = true;
    this.#wakeReader();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    cause: Error,
  ): void {
    this.#fail(cause);
  }

  /** Dequeues the next chunk, joined with the small ones that follow it. */
  #takeChunks(): Buffer {
    let size = 0;
    let count = 0;
    for (const chunk of this.#chunks) {
      size += chunk.length;
      if (count > 0 && size > joinedChunksLimit) break;
      count += 1;
    }
    const chunks = this.#chunks.splice(0, count);
    const bytes = chunks.length === 1
      ? chunks[0] as Buffer
      : Buffer.concat(chunks);
    this.#bufferedBytes -= bytes.length;
    if (this.#chunks.length === 0 && this.#controller?.paused) {
      this.#controller.resume();
    }
    return bytes;
  }

  #fail(cause: unknown): void {
    this.#failure ??= { cause };
    this.#settleHead.reject(cause);
    this.#wakeReader();
  }

  #wakeReader(): void {
    this.#wake?.();
    this.#wake = undefined;
  }
}
