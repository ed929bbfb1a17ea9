/**
 * One generation of the fake engine, written as an event stream.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { FakeSequence } from "./fake_engine_batch.ts";
import { fakeSeed, fakeTokenOfSeed } from "./fake_engine_text.ts";
import type {
  FakeEngineSwitches,
  FakeGenerationRecord,
} from "./fake_engine_types.ts";

/** Callbacks from a stream to its engine. */
export interface FakeStreamOwner {
  readonly switches: FakeEngineSwitches;
  /** Called when a sequence starts; returns the prompt tokens to compute. */
  prepare(stream: FakeStream): number;
  prefilled(stream: FakeStream): void;
  ended(stream: FakeStream): void;
}

/** Fields of a generation request that the fake engine uses. */
export interface FakeGeneration {
  readonly chat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly limit: number;
  readonly created: number;
  readonly prefixes: readonly string[];
  readonly cacheHandle?: string;
  readonly record: FakeGenerationRecord;
}

/** A sequence whose tokens are written to an HTTP response. */
export class FakeStream implements FakeSequence {
  readonly generation: FakeGeneration;
  readonly priority: number;
  readonly limit: number;
  prefillTokens = 0;
  position: number;
  /** Time of the last write, in milliseconds since the Unix epoch. */
  lastWriteAt = Date.now();
  #owner: FakeStreamOwner;
  #response: ServerResponse;
  #seed: number;
  #head: string;
  #tail: string;
  #stalled = false;

  constructor(
    owner: FakeStreamOwner,
    options: { generation: FakeGeneration; response: ServerResponse },
  ) {
    const { generation, response } = options;
    this.generation = generation;
    this.priority = generation.record.priority;
    this.limit = generation.limit;
    this.position = generation.record.resumeFrom;
    this.#owner = owner;
    this.#response = response;
    this.#seed = fakeSeed(generation.prompt);
    [this.#head, this.#tail] = this.#chunkFrame();
  }

  /** Sends the response headers and, for a new chat, the role chunk. */
  open(): void {
    const { record, chat } = this.generation;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
      "rhubarbstage-resumed-from": String(record.resumeFrom),
    });
    if (chat && record.resumeFrom === 0) {
      const delta = { role: "assistant", content: "" };
      this.#write(this.#event(this.#chunk({ delta })));
      return;
    }
    this.#response.flushHeaders();
  }

  blocked(): boolean {
    return this.#stalled || this.#response.writableNeedDrain;
  }

  onStart(): void {
    this.generation.record.startedAt = Date.now();
    this.prefillTokens = this.#owner.prepare(this);
  }

  onPrefilled(): void {
    this.#owner.prefilled(this);
  }

  onTokens(from: number, to: number): void {
    let text = "";
    for (let position = from; position < to; position++) {
      if (this.#applyFaults(position)) break;
      const token = fakeTokenOfSeed(this.#seed, position);
      text += `id: ${position + 1}\ndata: ${this.#head}${token}${this.#tail}`;
      this.generation.record.position = position + 1;
    }
    if (text !== "") this.#write(text);
    if (this.generation.record.end === "interrupted") this.#interrupt();
  }

  onFinish(): void {
    if (this.#stalled || this.#response.destroyed) return;
    const { chat, promptTokens, record } = this.generation;
    // One step may cover both the place of the fault and the last token.
    if (record.end !== "running") return;
    const finish = this.#chunk({
      ...(chat ? { delta: {} } : { text: "" }),
      finish_reason: "length",
    });
    const usage = JSON.stringify({
      ...this.#commonFields(),
      choices: [],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: this.position,
        total_tokens: promptTokens + this.position,
      },
    });
    record.end = "finished";
    record.endedAt = Date.now();
    this.#response.end(
      `${this.#event(finish)}${this.#event(usage)}data: [DONE]\n\n`,
    );
  }

  /** Sends a comment so that the client can detect that the engine is alive. */
  heartbeat(): void {
    if (!this.#stalled) this.#write(": waiting\n\n");
  }

  /** Closes the stream on a cancellation or an interrupting order. */
  stop(end: "cancelled" | "interrupted"): void {
    if (this.generation.record.end !== "running") return;
    this.generation.record.end = end;
    this.generation.record.endedAt = Date.now();
    this.#response.destroy();
  }

  /** Applies the configured faults; returns whether to withhold the token. */
  #applyFaults(position: number): boolean {
    const { switches } = this.#owner;
    if (this.#stalled) return true;
    if (switches.faultyStreams <= 0) return false;
    if (switches.stallAtToken > 0 && position >= switches.stallAtToken) {
      this.#stalled = true;
      switches.faultyStreams -= 1;
      return true;
    }
    const breaks = switches.breakAtToken > 0 &&
      position >= switches.breakAtToken;
    const ends = switches.endAtToken > 0 && position >= switches.endAtToken;
    if (breaks || ends) this.generation.record.end = "interrupted";
    return breaks || ends;
  }

  #interrupt(): void {
    const { switches } = this.#owner;
    switches.faultyStreams -= 1;
    this.generation.record.endedAt = Date.now();
    if (switches.endAtToken > 0) {
      this.#response.end();
    } else {
      // Lets the tokens before the fault be sent before the socket closes.
      setImmediate(() => this.#response.socket?.destroy());
    }
    this.#owner.ended(this);
  }

  #write(text: string): void {
    this.lastWriteAt = Date.now();
    this.#response.write(text);
  }

  #event(data: string): string {
    return `id: ${this.position}\ndata: ${data}\n\n`;
  }

  #commonFields(): Record<string, unknown> {
    const { chat, model, created, record } = this.generation;
    return {
      id: `${chat ? "chatcmpl" : "cmpl"}-${record.request}`,
      object: chat ? "chat.completion.chunk" : "text_completion",
      created,
      model,
    };
  }

  #chunk(choice: Record<string, unknown>): string {
    const full = { index: 0, logprobs: null, finish_reason: null, ...choice };
    return JSON.stringify({ ...this.#commonFields(), choices: [full] });
  }

  /** Text around the token of an event, serialized once per stream. */
  #chunkFrame(): [string, string] {
    const marker = "\u0000";
    const choice = this.generation.chat
      ? { delta: { content: marker } }
      : { text: marker };
    const [head, tail] = this.#chunk(choice).split("\\u0000");
    return [head as string, `${tail}\n\n`];
  }
}
