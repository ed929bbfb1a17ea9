/**
 * Turns the bytes of an engine's event stream into generation events.
 *
 * @module
 */

import { createParser, type EventSourceMessage } from "eventsource-parser";
import { eventSizeLimit, terminator } from "./constants.ts";
import { EngineError, refusalError } from "./errors.ts";
import type { GenerationChunk, GenerationEvent } from "./types.ts";

/** Incremental reader of one stream; checks positions and the terminator. */
export class EventStreamReader {
  #decoder = new TextDecoder("utf-8");
  #parser = createParser({
    onEvent: (message) => this.#onMessage(message),
    maxBufferSize: eventSizeLimit,
  });
  #events: GenerationEvent[] = [];
  #chunks: GenerationChunk[] = [];
  #from: number;
  #position: number;
  #promptTokens = 0;
  #outputTokens = 0;
  #finished = false;

  constructor(resumeFrom: number) {
    this.#from = resumeFrom;
    this.#position = resumeFrom;
  }

  /** Whether the terminator has been read. */
  get finished(): boolean {
    return this.#finished;
  }

  /** Tokens that the stream has reached. */
  get position(): number {
    return this.#position;
  }

  /** Takes bytes and returns the events that they complete. */
  feed(bytes: Buffer): readonly GenerationEvent[] {
    this.#events = [];
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }));
    this.#flushTokens();
    return this.#events;
  }

  #onMessage(message: EventSourceMessage): void {
    if (this.#finished) return;
    if (message.data === terminator) {
      this.#finish();
      return;
    }
    const position = parsePosition(message.id);
    if (position < this.#position) {
      throw protocolError("The engine's stream went back in position");
    }
    if (position > this.#position) {
      this.#position = position;
      this.#chunks.push({ position, data: message.data });
      return;
    }
    this.#flushTokens();
    this.#onPart(message.data);
  }

  #onPart(data: string): void {
    const part = parsePart(data);
    if (part.error) {
      throw refusalError({ status: 500, headers: {}, body: data });
    }
    if (!part.usage) {
      this.#events.push({ type: "part", position: this.#position, data });
      return;
    }
    this.#promptTokens = part.usage.prompt_tokens ?? 0;
    this.#outputTokens = part.usage.completion_tokens ?? this.#position;
    this.#events.push({
      type: "usage",
      position: this.#position,
      data,
      promptTokens: this.#promptTokens,
      outputTokens: this.#outputTokens,
    });
  }

  #finish(): void {
    this.#flushTokens();
    this.#finished = true;
    this.#events.push({
      type: "finished",
      position: this.#position,
      promptTokens: this.#promptTokens,
      outputTokens: this.#outputTokens || this.#position,
    });
  }

  #flushTokens(): void {
    if (this.#chunks.length === 0) return;
    this.#events.push({
      type: "tokens",
      from: this.#from,
      to: this.#position,
      chunks: this.#chunks,
    });
    this.#from = this.#position;
    this.#chunks = [];
  }
}

interface Part {
  readonly error?: unknown;
  readonly usage?: {
    readonly prompt_tokens?: number;
    readonly completion_tokens?: number;
  };
}

function parsePart(data: string): Part {
  try {
    return JSON.parse(data) ?? {};
  } catch {
    throw protocolError("The engine's stream contains malformed JSON");
  }
}

function parsePosition(id: string | undefined): number {
  const position = id === undefined ? NaN : Number(id);
  if (!Number.isSafeInteger(position) || position < 0) {
    throw protocolError("The engine's stream contains an event without id");
  }
  return position;
}

function protocolError(message: string): EngineError {
  return new EngineError("backend_failed", { message, written: true });
}
