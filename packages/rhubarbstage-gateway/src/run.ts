/**
 * Tracks the attempts and the result of a request from arrival to end.
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

/** One attempt; late output of a cancelled attempt is discarded. */
export interface Attempt {
  readonly id: AttemptId;
  readonly effect: DispatchEffect;
  readonly address: BackendServerAddress;
  readonly controller: AbortController;
}

/** What a run needs from the dispatcher. */
export interface RunContext {
  readonly engines: EngineClient;
  readonly backendServers: Pick<BackendServers, "addressOf" | "acceptsNewWork">;
  readonly telemetry: GatewayTelemetry;
  readonly clock: Clock;
  /** Sends an event to the policy. */
  notify(input: PolicyInput): void;
}

/** Interface of a request to the dispatcher, independent of its result type. */
export interface ActiveRequest {
  readonly work: Work;
  /** Number of attempts so far. */
  readonly attempts: number;
  /** Whether an attempt is active; otherwise the request is waiting. */
  readonly isRunning: boolean;
  /** Whether the caller has received part of the answer. */
  readonly isAnswering: boolean;
  /** Starts an attempt on a server. */
  dispatch(effect: DispatchEffect): void;
  /** Cancels an attempt; its later output is discarded. */
  cancel(id: AttemptId): void;
  /** Ends the request with an error. */
  refuse(error: RhubarbstageError): void;
  /** Ends the request because its caller has disconnected. */
  abandon(): void;
}

/** Base class of runs; manages the attempts of one request. */
export abstract class RequestRun<Result> implements ActiveRequest {
  readonly work: Work;
  /** Resolves or rejects when the request ends. */
  readonly result: Promise<Result>;
  attempts = 0;
  /** Called when an attempt is started. */
  onAttemptStart: (() => void) | undefined;
  protected context: RunContext;
  #active = new Map<AttemptId, Attempt>();
  /** Whether a backend server may have run some of the request. */
  #mayHaveRun = false;
  #settlers!: {
    resolve: (result: Result) => void;
    reject: (error: Error) => void;
  };

  constructor(context: RunContext, work: Work) {
    this.context = context;
    this.work = work;
    this.result = new Promise((resolve, reject) => {
      this.#settlers = { resolve, reject };
    });
    // Avoids an unhandled rejection when the result is awaited only later.
    this.result.catch(() => {});
  }

  dispatch(effect: DispatchEffect): void {
    this.attempts += 1;
    this.onAttemptStart?.();
    const { attempt: id, server, priority, resumeFrom, softwareVersion } =
      effect;
    this.context.telemetry.recordEvent("attempt_started", {
      request: this.work.request,
      attempt: id,
      server,
      priority,
      resume_from: resumeFrom,
      ...(softwareVersion === undefined
        ? {}
        : { software_version: softwareVersion }),
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
    this.#active.set(id, attempt);
    void this.#runAttempt(attempt);
  }

  cancel(id: AttemptId): void {
    const attempt = this.#active.get(id);
    if (!attempt) return;
    this.#active.delete(id);
    this.#mayHaveRun = true;
    this.onAttemptAborted(attempt);
    attempt.controller.abort(new Error("The attempt was cancelled"));
  }

  refuse(error: RhubarbstageError): void {
    this.cancelAttempts();
    this.#settlers.reject(this.#correctOutcome(error));
  }

  abandon(): void {
    this.cancelAttempts();
    this.#settlers.reject(new CallerDisconnectedError());
  }

  /** Cancels all attempts. */
  cancelAttempts(): void {
    for (const id of [...this.#active.keys()]) this.cancel(id);
  }

  /** Runs one attempt; resolves with the result of the request. */
  protected abstract run(attempt: Attempt): Promise<Result>;

  /** Called when an attempt is cancelled or fails, but not when it succeeds. */
  protected onAttemptAborted(_attempt: Attempt): void {}

  /** Number of tokens sent to the caller. */
  protected get deliveredTokens(): number {
    return 0;
  }

  /** Returns the token counts that are reported to the policy. */
  protected abstract countTokens(result: Result): {
    readonly promptTokens: number;
    readonly outputTokens: number;
  };

  /** Whether the output of an attempt is still used. */
  protected isActive(attempt: Attempt): boolean {
    return this.#active.has(attempt.id);
  }

  get isRunning(): boolean {
    return this.#active.size > 0;
  }

  get isAnswering(): boolean {
    return this.deliveredTokens > 0;
  }

  /** Attempts whose output is still used. */
  protected get activeAttempts(): readonly Attempt[] {
    return [...this.#active.values()];
  }

  /** Replaces `not_run` by `may_have_run` if an attempt may have run. */
  #correctOutcome(error: RhubarbstageError): RhubarbstageError {
    if (error.outcome !== "not_run" || !this.#mayHaveRun) return error;
    const { kind, message, retryAfterSeconds } = error;
    return new RhubarbstageError(kind, {
      message,
      outcome: "may_have_run",
      retryAfterSeconds,
    });
  }

  async #runAttempt(attempt: Attempt): Promise<void> {
    try {
      const result = await this.run(attempt);
      if (!this.isActive(attempt)) return;
      this.#active.delete(attempt.id);
      // Resolves before the policy is notified, so that an error in the policy
      // cannot change the result; the response may already be sent.
      this.#settlers.resolve(result);
      this.#reportFinish(attempt.id, result);
    } catch (thrown) {
      if (!this.isActive(attempt)) return;
      this.#active.delete(attempt.id);
      this.onAttemptAborted(attempt);
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

/** Returns the forecast behind a routing decision as event fields. */
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
