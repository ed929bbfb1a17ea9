/**
 * A request between its arrival and its end.
 *
 * @module
 */

import type { BackendServerAddress, EngineClient } from "@rhubarbstage/engine";
import type { PolicyEffect, Work } from "@rhubarbstage/policy";
import {
  type AttemptId,
  type Clock,
  RhubarbstageError,
  toRhubarbstageError,
} from "rhubarbstage";
import { CallerDisconnectedError } from "./errors.ts";
import type { BackendServers, EventFields, GatewayTelemetry } from "./ports.ts";
import type { PolicyInput } from "./types.ts";

/** The effect that starts an attempt. */
export type DispatchEffect = Extract<PolicyEffect, { type: "dispatch" }>;

/** One attempt; a late answer of a cancelled one is dropped. */
export interface Attempt {
  readonly id: AttemptId;
  readonly effect: DispatchEffect;
  readonly address: BackendServerAddress;
  readonly controller: AbortController;
}

/** What runs need of whoever leads them through the policy. */
export interface RunContext {
  readonly engines: EngineClient;
  readonly backendServers: Pick<BackendServers, "addressOf" | "takesNewWork">;
  readonly telemetry: GatewayTelemetry;
  readonly clock: Clock;
  /** Tells the policy what happened. */
  notify(input: PolicyInput): void;
}

/** A request as the dispatcher sees it, whatever its result. */
export interface ActiveRequest {
  readonly work: Work;
  /** Number of attempts so far. */
  readonly attempts: number;
  /** Whether an attempt runs; the request waits otherwise. */
  readonly isRunning: boolean;
  /** Starts an attempt on a server. */
  dispatch(effect: DispatchEffect): void;
  /** Ends an attempt; nothing that it still yields is used. */
  cancel(id: AttemptId): void;
  /** Ends the request with an error. */
  refuse(error: RhubarbstageError): void;
  /** Ends the request because its caller is gone. */
  abandon(): void;
}

/** Attempts and result of one request. */
export abstract class RequestRun<Result> implements ActiveRequest {
  readonly work: Work;
  /** Resolves or rejects when the request ends. */
  readonly result: Promise<Result>;
  attempts = 0;
  /** Called when an attempt is started. */
  onAttemptStart: (() => void) | undefined;
  protected context: RunContext;
  #live = new Map<AttemptId, Attempt>();
  /** Whether a backend server may have run some of the request. */
  #mayHaveRun = false;
  #settle!: {
    resolve: (result: Result) => void;
    reject: (error: Error) => void;
  };

  constructor(context: RunContext, work: Work) {
    this.context = context;
    this.work = work;
    this.result = new Promise((resolve, reject) => {
      this.#settle = { resolve, reject };
    });
    // The error is reported to whoever awaits the result later.
    this.result.catch(() => {});
  }

  dispatch(effect: DispatchEffect): void {
    this.attempts += 1;
    this.onAttemptStart?.();
    const { attempt: id, server, priority, resumeFrom } = effect;
    this.context.telemetry.recordEvent("attempt_started", {
      request: this.work.request,
      attempt: id,
      server,
      priority,
      resume_from: resumeFrom,
      ...forecastFields(effect),
    });
    const address = this.context.backendServers.addressOf(server);
    const controller = new AbortController();
    if (!address) {
      const error = new RhubarbstageError("backend_unreachable");
      this.#reportFailure(effect, error);
      return;
    }
    const attempt = { id, effect, address, controller };
    this.#live.set(id, attempt);
    void this.#follow(attempt);
  }

  cancel(id: AttemptId): void {
    const attempt = this.#live.get(id);
    if (!attempt) return;
    this.#live.delete(id);
    this.#mayHaveRun = true;
    this.onAttemptEnd(attempt);
    attempt.controller.abort(new Error("The attempt was cancelled"));
  }

  refuse(error: RhubarbstageError): void {
    this.cancelAttempts();
    this.#settle.reject(this.#withTrueOutcome(error));
  }

  abandon(): void {
    this.cancelAttempts();
    this.#settle.reject(new CallerDisconnectedError());
  }

  /** Cancels all attempts. */
  cancelAttempts(): void {
    for (const id of [...this.#live.keys()]) this.cancel(id);
  }

  /** Runs one attempt to the end of the request. */
  protected abstract run(attempt: Attempt): Promise<Result>;

  /** Called when an attempt ends without the result. */
  protected onAttemptEnd(_attempt: Attempt): void {}

  /** Tokens that the caller has. */
  protected get deliveredTokens(): number {
    return 0;
  }

  /** Tokens of the prompt and the answer for the policy. */
  protected abstract countTokens(result: Result): {
    readonly promptTokens: number;
    readonly outputTokens: number;
  };

  /** Whether an attempt may still contribute to the answer. */
  protected isActive(attempt: Attempt): boolean {
    return this.#live.has(attempt.id);
  }

  get isRunning(): boolean {
    return this.#live.size > 0;
  }

  /** Attempts that may still contribute to the answer. */
  protected get activeAttempts(): readonly Attempt[] {
    return [...this.#live.values()];
  }

  /** A refusal must not say `not_run` after an attempt that may have run. */
  #withTrueOutcome(error: RhubarbstageError): RhubarbstageError {
    if (error.outcome !== "not_run" || !this.#mayHaveRun) return error;
    const { kind, message, retryAfterSeconds } = error;
    return new RhubarbstageError(kind, {
      message,
      outcome: "may_have_run",
      retryAfterSeconds,
    });
  }

  async #follow(attempt: Attempt): Promise<void> {
    try {
      const result = await this.run(attempt);
      if (!this.isActive(attempt)) return;
      this.#live.delete(attempt.id);
      // The answer is out, so a fault of the policy must not change the result.
      this.#settle.resolve(result);
      this.#reportFinish(attempt.id, result);
    } catch (thrown) {
      if (!this.isActive(attempt)) return;
      this.#live.delete(attempt.id);
      this.onAttemptEnd(attempt);
      const error = toRhubarbstageError(thrown);
      if (error.outcome !== "not_run") this.#mayHaveRun = true;
      this.#reportFailure(attempt.effect, error);
    }
  }

  #reportFinish(attempt: AttemptId, result: Result): void {
    const { request } = this.work;
    const tokens = this.countTokens(result);
    this.context.notify({ type: "finished", request, attempt, ...tokens });
  }

  #reportFailure(effect: DispatchEffect, error: RhubarbstageError): void {
    const { attempt, server } = effect;
    const { request } = this.work;
    const { kind, outcome, cause } = error;
    const { connectionLost } = error as { connectionLost?: boolean };
    this.context.telemetry.recordEvent("attempt_failed", {
      request,
      attempt,
      server,
      kind,
      outcome,
      cause: cause instanceof Error ? cause.message : String(cause ?? ""),
    });
    this.context.notify({
      type: "failed",
      request,
      attempt,
      kind,
      outcome,
      deliveredTokens: this.deliveredTokens,
      connectionLost: connectionLost ?? false,
    });
  }
}

/** What decided on a route, as fields of its log line. */
function forecastFields(effect: DispatchEffect): EventFields {
  const { forecast, prefillServer } = effect;
  if (forecast === undefined) return {};
  return {
    ...(prefillServer === undefined ? {} : { prefill_server: prefillServer }),
    expected_first_token: Math.round(forecast.firstToken),
    expected_wait: Math.round(forecast.wait),
    uncached_tokens: Math.round(forecast.uncachedTokens),
  };
}
