/**
 * A generation under the policy: relays tokens, resumes interrupted streams and
 * never sends a token twice.
 *
 * @module
 */

import { EngineError, type GenerationEvent } from "@rhubarbstage/engine";
import { progressInterval } from "./constants.ts";
import { type Attempt, RequestRun, type RunContext } from "./run.ts";
import type { GenerationSink } from "./sinks.ts";
import type { AnswerEvent, Generation, GenerationResult } from "./types.ts";

type TokensEvent = Extract<GenerationEvent, { type: "tokens" }>;
type PartEvent = Exclude<AnswerEvent, { type: "tokens" }>;
type FinishedEvent = Extract<GenerationEvent, { type: "finished" }>;

/** What a {@linkcode GenerationRun} runs. */
export interface GenerationRunOptions {
  readonly generation: Generation;
  readonly sink: GenerationSink;
}

/** How far one attempt has come. */
interface Progress {
  /** Tokens that the policy has not been told of. */
  tokens: number;
  reportedAt: number;
  /** Parts without tokens since the last token. */
  parts: number;
}

/** Runs one generation over one or more attempts. */
export class GenerationRun extends RequestRun<GenerationResult> {
  #generation: Generation;
  #sink: GenerationSink;
  /** Tokens that the caller has. */
  #delivered = 0;
  /** Parts without tokens that the caller has since its last token. */
  #deliveredParts = 0;
  /** Attempt whose tokens the caller receives. */
  #owner: Attempt | undefined;
  #hasFirstToken = false;

  constructor(context: RunContext, options: GenerationRunOptions) {
    super(context, options.generation.work);
    this.#generation = options.generation;
    this.#sink = options.sink;
  }

  protected override get deliveredTokens(): number {
    return this.#delivered;
  }

  protected override countTokens(result: GenerationResult) {
    const { promptTokens, outputTokens } = result;
    return { promptTokens, outputTokens };
  }

  protected override onAttemptEnd(attempt: Attempt): void {
    if (this.#owner === attempt) this.#owner = undefined;
  }

  protected override async run(attempt: Attempt): Promise<GenerationResult> {
    const { engines } = this.context;
    const { signal } = attempt.controller;
    const request = this.#request(attempt);
    const cacheHandle = await this.#moveCache(attempt);
    const events = engines.generate(
      attempt.address,
      { ...request, cacheHandle },
      { signal },
    );
    const progress = { tokens: 0, reportedAt: this.#now(), parts: 0 };
    for await (const event of events) {
      if (!this.isActive(attempt)) break;
      if (event.type === "finished") return this.#finish(attempt, event);
      const behind = this.#relay(attempt, event, progress);
      if (behind) await behind;
    }
    throw new EngineError("stream_interrupted", { written: true });
  }

  #request(attempt: Attempt) {
    const { work, endpoint, body, created } = this.#generation;
    return {
      endpoint,
      request: work.request,
      attempt: attempt.id,
      body,
      priority: attempt.effect.priority,
      resumeFrom: this.#delivered,
      created,
      prefixes: work.prefixHashes,
    };
  }

  /** Moves the KV cache of the prompt from the prefill server. */
  async #moveCache(attempt: Attempt): Promise<string | undefined> {
    const { prefillServer } = attempt.effect;
    if (prefillServer === undefined) return undefined;
    const { engines, backendServers } = this.context;
    const { signal } = attempt.controller;
    const source = backendServers.addressOf(prefillServer);
    if (!source) {
      throw new EngineError("backend_unreachable", { written: false });
    }
    const cache = await engines.exportCache(
      source,
      this.#request(attempt),
      { signal },
    );
    const imported = await engines.importCache(attempt.address, {
      source,
      cache,
      signal,
    });
    return imported.handle;
  }

  /** Hands an event to the caller; a promise means that the caller is behind. */
  #relay(
    attempt: Attempt,
    event: AnswerEvent,
    progress: Progress,
  ): Promise<void> | undefined {
    const wanted = event.type === "tokens"
      ? this.#takeTokens(attempt, event, progress)
      : this.#takePart(event, progress);
    return wanted ? this.#sink.accept(event) : undefined;
  }

  #takeTokens(
    attempt: Attempt,
    event: TokensEvent,
    progress: Progress,
  ): boolean {
    if (!this.#own(attempt)) return false;
    this.#checkPosition(event);
    this.#delivered = event.to;
    this.#deliveredParts = 0;
    progress.parts = 0;
    this.#reportProgress(attempt, event, progress);
    return true;
  }

  /** Whether the caller does not have this part from another attempt. */
  #takePart(event: PartEvent, progress: Progress): boolean {
    if (event.position !== this.#delivered) return false;
    progress.parts += 1;
    if (progress.parts <= this.#deliveredParts) return false;
    this.#deliveredParts = progress.parts;
    return true;
  }

  /** Whether the caller receives the tokens of this attempt. */
  #own(attempt: Attempt): boolean {
    if (this.#owner === attempt) return true;
    if (this.#owner !== undefined) return false;
    this.#owner = attempt;
    this.#reportFirstToken(attempt);
    // Of two attempts that run side by side, the faster one is kept.
    for (const other of this.activeAttempts) {
      if (other !== attempt) this.cancel(other.id);
    }
    return true;
  }

  #checkPosition(event: TokensEvent): void {
    if (event.from === this.#delivered) return;
    throw new EngineError("resume_failed", { written: true });
  }

  #reportFirstToken(attempt: Attempt): void {
    const { request, service, arrivedAt } = this.work;
    if (!this.#hasFirstToken) {
      this.#hasFirstToken = true;
      this.context.telemetry.recordTimeToFirstToken(
        service,
        this.#now() - arrivedAt,
      );
    }
    this.context.notify({
      type: "first_token",
      request,
      attempt: attempt.id,
    });
  }

  #reportProgress(
    attempt: Attempt,
    event: TokensEvent,
    progress: Progress,
  ): void {
    progress.tokens += event.to - event.from;
    const now = this.#now();
    if (now - progress.reportedAt < progressInterval) return;
    const count = progress.tokens;
    const mean = (now - progress.reportedAt) / count;
    progress.tokens = 0;
    progress.reportedAt = now;
    this.context.telemetry.recordInterTokenLatency(
      this.work.service,
      mean,
      count,
    );
    this.context.notify({
      type: "tokens",
      request: this.work.request,
      attempt: attempt.id,
      count,
    });
  }

  #finish(attempt: Attempt, event: FinishedEvent): GenerationResult {
    if (this.#owner !== undefined && this.#owner !== attempt) {
      throw new EngineError("stream_interrupted", { written: true });
    }
    this.#sink.finish();
    return {
      promptTokens: event.promptTokens,
      outputTokens: event.outputTokens,
    };
  }

  #now(): number {
    return this.context.clock.monotonicMilliseconds();
  }
}
