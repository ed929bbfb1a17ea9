/**
 * Runs a generation under the policy: relays tokens, resumes interrupted
 * streams and never sends a token twice.
 *
 * @module
 */

import { EngineError, type GenerationEvent } from "@rhubarbstage/engine";
import { progressInterval } from "./constants.ts";
import { type Attempt, RequestRun, type RunContext } from "./run.ts";
import type { GenerationSink } from "./sinks.ts";
import type { Generation, GenerationResult, OutputEvent } from "./types.ts";

type TokensEvent = Extract<GenerationEvent, { type: "tokens" }>;
type PartEvent = Exclude<OutputEvent, { type: "tokens" }>;
type FinishedEvent = Extract<GenerationEvent, { type: "finished" }>;

/** Generation and output sink of a {@linkcode GenerationRun}. */
export interface GenerationRunOptions {
  readonly generation: Generation;
  readonly sink: GenerationSink;
}

/** Progress of one attempt. */
interface AttemptProgress {
  /** Tokens not yet reported to the policy. */
  tokens: number;
  reportedAt: number;
  /** Number of `part` and `usage` events received since the last token. */
  parts: number;
}

/** Runs one generation in one or more attempts. */
export class GenerationRun extends RequestRun<GenerationResult> {
  #generation: Generation;
  #sink: GenerationSink;
  /** Number of tokens sent to the caller. */
  #delivered = 0;
  /**
   * Number of `part` and `usage` events sent to the caller since its last token.
   */
  #deliveredParts = 0;
  /** Attempt whose tokens the caller receives. */
  #outputOwner: Attempt | undefined;
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

  protected override onAttemptAborted(attempt: Attempt): void {
    if (this.#outputOwner === attempt) this.#outputOwner = undefined;
  }

  protected override async run(attempt: Attempt): Promise<GenerationResult> {
    const { engines } = this.context;
    const { signal } = attempt.controller;
    const request = this.#request(attempt);
    const cacheHandle = await this.#transferCache(attempt);
    const events = engines.generate(
      attempt.address,
      { ...request, cacheHandle },
      { signal },
    );
    const progress = { tokens: 0, reportedAt: this.#now(), parts: 0 };
    for await (const event of events) {
      if (!this.isActive(attempt)) break;
      if (event.type === "finished") return this.#finish(attempt, event);
      const drained = this.#relay(attempt, event, progress);
      if (drained) await drained;
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

  /** Transfers the prompt's KV cache from the prefill server. */
  async #transferCache(attempt: Attempt): Promise<string | undefined> {
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

  /** Relays an event to the sink; a returned promise signals backpressure. */
  #relay(
    attempt: Attempt,
    event: OutputEvent,
    progress: AttemptProgress,
  ): Promise<void> | undefined {
    const accepted = event.type === "tokens"
      ? this.#acceptTokens(attempt, event, progress)
      : this.#acceptPart(event, progress);
    return accepted ? this.#sink.accept(event) : undefined;
  }

  #acceptTokens(
    attempt: Attempt,
    event: TokensEvent,
    progress: AttemptProgress,
  ): boolean {
    if (!this.#acquireOutput(attempt)) return false;
    this.#checkPosition(event);
    this.#delivered = event.to;
    this.#deliveredParts = 0;
    progress.parts = 0;
    this.#reportProgress(attempt, event, progress);
    return true;
  }

  /**
   * Whether the caller lacks this event; attempts resend those at the current
   * position.
   */
  #acceptPart(event: PartEvent, progress: AttemptProgress): boolean {
    if (event.position !== this.#delivered) return false;
    progress.parts += 1;
    if (progress.parts <= this.#deliveredParts) return false;
    this.#deliveredParts = progress.parts;
    return true;
  }

  /** Returns whether the caller receives this attempt's tokens. */
  #acquireOutput(attempt: Attempt): boolean {
    if (this.#outputOwner === attempt) return true;
    if (this.#outputOwner !== undefined) return false;
    this.#outputOwner = attempt;
    this.#reportFirstToken(attempt);
    // The first of two concurrent attempts to yield a token is kept.
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
    progress: AttemptProgress,
  ): void {
    progress.tokens += event.to - event.from;
    const now = this.#now();
    if (now - progress.reportedAt < progressInterval) return;
    const count = progress.tokens;
    const meanLatency = (now - progress.reportedAt) / count;
    progress.tokens = 0;
    progress.reportedAt = now;
    this.context.telemetry.recordInterTokenLatency(
      this.work.service,
      meanLatency,
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
    if (this.#outputOwner !== undefined && this.#outputOwner !== attempt) {
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
