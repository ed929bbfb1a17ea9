/**
 * Assembles the chunks of a stream into a complete response.
 *
 * @module
 */

import type { GenerationEndpoint } from "@rhubarbstage/engine";
import { RhubarbstageError } from "rhubarbstage";
import { bufferedCompletionLimit } from "./constants.ts";

interface ToolCall {
  index: number;
  id?: string;
  type?: string;
  function: { name: string; arguments: string };
}

interface Delta {
  readonly role?: string;
  readonly content?: string | null;
  readonly refusal?: string | null;
  readonly tool_calls?: readonly Partial<ToolCall>[];
}

interface Choice {
  readonly delta?: Delta;
  readonly text?: string;
  readonly finish_reason?: string | null;
  readonly logprobs?: { readonly content?: readonly unknown[] } | null;
}

interface Chunk {
  readonly id?: string;
  readonly created?: number;
  readonly model?: string;
  readonly system_fingerprint?: string;
  readonly choices?: readonly Choice[];
  readonly usage?: unknown;
}

/** Assembles the chunks of one choice. */
export class CompletionAssembler {
  #endpoint: GenerationEndpoint;
  #first: Chunk | undefined;
  #text: string[] = [];
  #refusal = "";
  #toolCalls: ToolCall[] = [];
  #logprobs: unknown[] | undefined;
  #finishReason: string | null = null;
  #usage: unknown;
  #size = 0;

  constructor(endpoint: GenerationEndpoint) {
    this.#endpoint = endpoint;
  }

  /** Adds a chunk in JSON form; throws if the total is too large. */
  add(data: string): void {
    this.#size += data.length;
    if (this.#size > bufferedCompletionLimit) {
      throw new RhubarbstageError("backend_failed", {
        message: `The response exceeds ${bufferedCompletionLimit} characters`,
      });
    }
    const chunk = JSON.parse(data) as Chunk;
    this.#first ??= chunk;
    this.#usage = chunk.usage ?? this.#usage;
    const choice = chunk.choices?.[0];
    if (!choice) return;
    this.#finishReason = choice.finish_reason ?? this.#finishReason;
    if (choice.logprobs?.content) {
      this.#logprobs = [...this.#logprobs ?? [], ...choice.logprobs.content];
    }
    if (choice.text) this.#text.push(choice.text);
    if (choice.delta) this.#addDelta(choice.delta);
  }

  /** Returns the response in the format of the caller's endpoint. */
  toCompletion(): unknown {
    const chat = this.#endpoint === "chat";
    const first = this.#first ?? {};
    return {
      id: first.id,
      object: chat ? "chat.completion" : "text_completion",
      created: first.created,
      model: first.model,
      system_fingerprint: first.system_fingerprint,
      choices: [{
        index: 0,
        ...(chat
          ? { message: this.#message() }
          : { text: this.#text.join("") }),
        logprobs: this.#logprobs ? { content: this.#logprobs } : null,
        finish_reason: this.#finishReason,
      }],
      usage: this.#usage,
    };
  }

  #addDelta(delta: Delta): void {
    if (delta.content) this.#text.push(delta.content);
    if (delta.refusal) this.#refusal += delta.refusal;
    for (const part of delta.tool_calls ?? []) this.#addToolCall(part);
  }

  #addToolCall(part: Partial<ToolCall>): void {
    const index = part.index ?? 0;
    let call = this.#toolCalls.find((call) => call.index === index);
    if (!call) {
      call = { index, function: { name: "", arguments: "" } };
      this.#toolCalls.push(call);
    }
    call.id = part.id ?? call.id;
    call.type = part.type ?? call.type;
    call.function.name += part.function?.name ?? "";
    call.function.arguments += part.function?.arguments ?? "";
  }

  #message(): unknown {
    const calls = this.#toolCalls.map(({ index: _, ...call }) => call);
    const text = this.#text.join("");
    return {
      role: "assistant",
      content: calls.length > 0 && text === "" ? null : text,
      refusal: this.#refusal === "" ? null : this.#refusal,
      ...(calls.length > 0 ? { tool_calls: calls } : {}),
    };
  }
}
