/**
 * Where the answer of a generation goes.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { RhubarbstageError } from "rhubarbstage";
import { tokenChunks } from "@rhubarbstage/engine";
import { CompletionAssembler } from "./answer_assembler.ts";
import { errorBody } from "./errors.ts";
import type { AnswerEvent, Generation } from "./types.ts";

/** Takes the parts of one answer in order. */
export abstract class GenerationSink {
  /**
   * Takes a part. A promise means that the caller is behind; the next part must
   * wait for it.
   */
  abstract accept(event: AnswerEvent): Promise<void> | undefined;
  /** Completes the answer. */
  abstract finish(): void;
}

/** Options of a {@linkcode StreamSink}. */
export interface StreamSinkOptions {
  /** Headers of the answer. */
  readonly headers: Readonly<Record<string, string>>;
  /** Whether the caller asked for token counts. */
  readonly includeUsage: boolean;
  /** Time after which a caller that reads nothing counts as gone, in ms. */
  readonly stallTimeout: number;
}

/** Writes server-sent events to a caller. */
export class StreamSink extends GenerationSink {
  #response: ServerResponse;
  #options: StreamSinkOptions;
  #drained: Promise<void> | undefined;
  /**
   * Parts before the first token. They wait for it, so that an attempt that
   * fails earlier is still answered with the status of its error.
   */
  #held = "";

  constructor(response: ServerResponse, options: StreamSinkOptions) {
    super();
    this.#response = response;
    this.#options = options;
  }

  /** Whether the caller has the head of the answer. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  override accept(event: AnswerEvent): Promise<void> | undefined {
    if (event.type === "tokens") {
      return this.#write(event.bytes);
    }
    if (event.type === "usage" && !this.#options.includeUsage) return undefined;
    const text = `data: ${event.data}\n\n`;
    if (this.#response.headersSent) return this.#write(text);
    this.#held += text;
    return undefined;
  }

  override finish(): void {
    this.#open();
    this.#response.end("data: [DONE]\n\n");
  }

  /** Ends a started answer with an error event and without the terminator. */
  fail(error: RhubarbstageError, request: string): void {
    if (this.#response.writableEnded) return;
    this.#response.end(`data: ${errorBody(error, request)}\n\n`);
  }

  #open(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      ...this.#options.headers,
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-cache",
      "x-accel-buffering": "no",
    });
    if (this.#held !== "") this.#response.write(this.#held);
    this.#held = "";
  }

  #write(text: string | Buffer): Promise<void> | undefined {
    this.#open();
    if (this.#response.write(text)) return undefined;
    if (this.#response.destroyed) return undefined;
    this.#drained ??= this.#waitForDrain();
    return this.#drained;
  }

  #waitForDrain(): Promise<void> {
    const response = this.#response;
    return new Promise((resolve) => {
      const onReady = () => {
        clearTimeout(timer);
        response.off("drain", onReady);
        response.off("close", onReady);
        this.#drained = undefined;
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

/** Collects the answer for a caller that wants it whole. */
export class BufferedSink extends GenerationSink {
  #assembler: CompletionAssembler;
  #send: (body: string) => void;

  constructor(generation: Generation, send: (body: string) => void) {
    super();
    this.#assembler = new CompletionAssembler(generation.endpoint);
    this.#send = send;
  }

  override accept(event: AnswerEvent): undefined {
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
