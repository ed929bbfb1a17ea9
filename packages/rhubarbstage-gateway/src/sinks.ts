/**
 * Writes the output of a generation to the caller.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { RhubarbstageError } from "rhubarbstage";
import { tokenChunks } from "@rhubarbstage/engine";
import { CompletionAssembler } from "./completion_assembler.ts";
import { errorBody } from "./errors.ts";
import type { Generation, OutputEvent } from "./types.ts";

/** Receives the events of one generation in order. */
export abstract class GenerationSink {
  /**
   * Processes an event. A returned promise signals backpressure; it must
   * resolve before the next event is passed.
   */
  abstract accept(event: OutputEvent): Promise<void> | undefined;
  /** Completes the response. */
  abstract finish(): void;
}

/** Options of a {@linkcode StreamSink}. */
export interface StreamSinkOptions {
  /** Headers of the response. */
  readonly headers: Readonly<Record<string, string>>;
  /** Whether the caller requested token counts. */
  readonly includeUsage: boolean;
  /** Time after which a caller that reads nothing is disconnected, in ms. */
  readonly stallTimeout: number;
}

/** Writes server-sent events to a caller. */
export class StreamSink extends GenerationSink {
  #response: ServerResponse;
  #options: StreamSinkOptions;
  #drainPromise: Promise<void> | undefined;
  /**
   * Parts before the first token, buffered so that an error before that token
   * can still be sent with its own status.
   */
  #pendingParts = "";

  constructor(response: ServerResponse, options: StreamSinkOptions) {
    super();
    this.#response = response;
    this.#options = options;
  }

  /** Whether the response headers have been sent. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  override accept(event: OutputEvent): Promise<void> | undefined {
    if (event.type === "tokens") {
      return this.#write(event.bytes);
    }
    if (event.type === "usage" && !this.#options.includeUsage) return undefined;
    const text = `data: ${event.data}\n\n`;
    if (this.#response.headersSent) return this.#write(text);
    this.#pendingParts += text;
    return undefined;
  }

  override finish(): void {
    this.#startResponse();
    this.#response.end("data: [DONE]\n\n");
  }

  /** Ends a started stream with an error event and without `[DONE]`. */
  fail(error: RhubarbstageError, request: string): void {
    if (this.#response.writableEnded) return;
    this.#response.end(`data: ${errorBody(error, request)}\n\n`);
  }

  #startResponse(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      ...this.#options.headers,
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-cache",
      "x-accel-buffering": "no",
    });
    if (this.#pendingParts !== "") this.#response.write(this.#pendingParts);
    this.#pendingParts = "";
  }

  #write(text: string | Buffer): Promise<void> | undefined {
    this.#startResponse();
    if (this.#response.write(text)) return undefined;
    if (this.#response.destroyed) return undefined;
    this.#drainPromise ??= this.#waitForDrain();
    return this.#drainPromise;
  }

  #waitForDrain(): Promise<void> {
    const response = this.#response;
    return new Promise((resolve) => {
      const onReady = () => {
        clearTimeout(timer);
        response.off("drain", onReady);
        response.off("close", onReady);
        this.#drainPromise = undefined;
        resolve();
      };
      const timer = setTimeout(
        () => response.destroy(),
        this.#options.stallTimeout,
      );
      response.on("drain", onReady);
      response.on("close", onReady);
    });
  }
}

/** Assembles a complete response for a caller that does not stream. */
export class BufferedSink extends GenerationSink {
  #assembler: CompletionAssembler;
  #send: (body: string) => void;

  constructor(generation: Generation, send: (body: string) => void) {
    super();
    this.#assembler = new CompletionAssembler(generation.endpoint);
    this.#send = send;
  }

  override accept(event: OutputEvent): undefined {
    if (event.type === "tokens") {
      for (const data of tokenChunks(event.bytes)) this.#assembler.add(data);
      return;
    }
    this.#assembler.add(event.data);
  }

  override finish(): void {
    this.#send(JSON.stringify(this.#assembler.toCompletion()));
  }
}
