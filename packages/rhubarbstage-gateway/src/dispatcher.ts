/**
 * Drives a policy: feeds it events about requests and executes the effects that
 * it returns.
 *
 * @module
 */

import type { EngineClient } from "@rhubarbstage/engine";
import {
  isCancellable,
  type Policy,
  type PolicyEffect,
  type PolicyEvent,
  type Work,
} from "@rhubarbstage/policy";
import {
  type Clock,
  every,
  type RequestId,
  RhubarbstageError,
  type ServiceName,
  SystemClock,
} from "rhubarbstage";
import { tickInterval } from "./constants.ts";
import { GenerationRun } from "./generation_run.ts";
import type {
  BackendServers,
  GatewayTelemetry,
  PolicyEffectHandler,
  SendServiceAttempt,
  ServiceResponse,
} from "./ports.ts";
import type {
  ActiveRequest,
  DispatchEffect,
  RequestRun,
  RunContext,
} from "./run.ts";
import { ServiceRun } from "./service_run.ts";
import type { GenerationSink } from "./sinks.ts";
import type { Generation, GenerationResult, PolicyInput } from "./types.ts";

/** Dependencies of a {@linkcode Dispatcher}. */
export interface DispatcherOptions {
  readonly policy: Policy;
  readonly engines: EngineClient;
  readonly backendServers: Pick<BackendServers, "addressOf" | "acceptsNewWork">;
  readonly effectHandler: PolicyEffectHandler;
  readonly telemetry: GatewayTelemetry;
  readonly clock?: Clock;
}

/** Numbers of open requests of one service. */
export interface RequestCounts {
  /** Requests without an active attempt. */
  readonly queued: number;
  readonly running: number;
}

const noRequests: RequestCounts = { queued: 0, running: 0 };

/** Options of one request. */
export interface DispatchOptions {
  /** Aborted when the caller closes its connection. */
  readonly signal: AbortSignal;
  /** Called when an attempt is started. */
  readonly onAttemptStart?: () => void;
}

/** Dispatches requests to the backend servers that the policy selects. */
export class Dispatcher implements RunContext {
  readonly engines: EngineClient;
  readonly backendServers: Pick<BackendServers, "addressOf" | "acceptsNewWork">;
  readonly telemetry: GatewayTelemetry;
  readonly clock: Clock;
  #policy: Policy;
  #state: unknown;
  #effectHandler: PolicyEffectHandler;
  #runs = new Map<RequestId, ActiveRequest>();
  #events: PolicyEvent[] = [];
  #isReducing = false;
  #isDraining = false;

  constructor(options: DispatcherOptions) {
    this.engines = options.engines;
    this.backendServers = options.backendServers;
    this.telemetry = options.telemetry;
    this.clock = options.clock ?? new SystemClock();
    this.#policy = options.policy;
    this.#state = options.policy.initial();
    this.#effectHandler = options.effectHandler;
  }

  /** Ids of the requests that are waiting or running. */
  get requests(): readonly RequestId[] {
    return [...this.#runs.keys()];
  }

  /** Counts the queued and running requests of each service. */
  countRequests(): Map<ServiceName, RequestCounts> {
    const counts = new Map<ServiceName, RequestCounts>();
    for (const { work, isRunning } of this.#runs.values()) {
      const { queued, running } = counts.get(work.service) ?? noRequests;
      counts.set(work.service, {
        queued: queued + (isRunning ? 0 : 1),
        running: running + (isRunning ? 1 : 0),
      });
    }
    return counts;
  }

  /**
   * Refuses requests that wait for an attempt, now and later, as there is no time
   * left to run them. Attempts that have started go on, as do answers that have
   * begun, which may continue at another server.
   */
  drain(): void {
    this.#isDraining = true;
    for (const run of [...this.#runs.values()]) {
      if (isWaiting(run)) this.#refuseAtStop(run);
    }
  }

  /** Ends all requests with an error, so that their callers get an answer. */
  endAll(): void {
    this.#isDraining = true;
    for (const run of [...this.#runs.values()]) this.#refuseAtStop(run);
  }

  #refuseAtStop(run: ActiveRequest): void {
    this.notify({ type: "caller_gone", request: run.work.request });
    run.refuse(new RhubarbstageError("shutting_down"));
  }

  /** Sends ticks to the policy until the signal is aborted. */
  start(options: { readonly signal: AbortSignal }): void {
    every(tickInterval, () => this.notify({ type: "tick" }), options);
  }

  /** Sends an event to the policy and executes the resulting effects. */
  notify(input: PolicyInput): void {
    const now = this.clock.monotonicMilliseconds();
    this.#events.push({ ...input, now } as PolicyEvent);
    if (this.#isReducing) return;
    this.#isReducing = true;
    try {
      this.#drainEvents();
    } finally {
      this.#isReducing = false;
    }
  }

  /**
   * Runs a generation and writes its output to a sink.
   *
   * @throws {RhubarbstageError} If the policy refuses it.
   * @throws {CallerDisconnectedError} If the caller disconnects.
   */
  async generate(
    generation: Generation,
    sink: GenerationSink,
    options: DispatchOptions,
  ): Promise<GenerationResult> {
    const run = new GenerationRun(this, { generation, sink });
    return await this.execute(run, options);
  }

  /** Runs a call to a plain service. Throws as {@linkcode generate} does. */
  async callService(
    work: Work,
    send: SendServiceAttempt,
    options: DispatchOptions,
  ): Promise<ServiceResponse> {
    return await this.execute(new ServiceRun(this, { work, send }), options);
  }

  /**
   * Runs a request under the policy until it ends.
   *
   * @throws {RhubarbstageError} If the policy refuses the request.
   * @throws {CallerDisconnectedError} If the caller closes its connection.
   */
  async execute<Result>(
    run: RequestRun<Result>,
    options: DispatchOptions,
  ): Promise<Result> {
    const { work } = run;
    const { signal } = options;
    if (this.#runs.has(work.request)) {
      throw new RhubarbstageError("internal", {
        message: `The request id "${work.request}" is already in use`,
        outcome: "not_run",
      });
    }
    run.onAttemptStart = options.onAttemptStart;
    const onAbort = () => this.#onCallerDisconnect(run);
    this.#runs.set(work.request, run);
    signal.addEventListener("abort", onAbort, { once: true });
    try {
      this.notify({ type: "arrived", work });
      if (signal.aborted) onAbort();
      return await run.result;
    } finally {
      signal.removeEventListener("abort", onAbort);
      this.#runs.delete(work.request);
      run.cancelAttempts();
    }
  }

  #onCallerDisconnect(run: ActiveRequest): void {
    // Work that is not cancellable runs to its end once an attempt has started.
    if (!isCancellable(run.work) && run.attempts > 0) return;
    this.notify({ type: "caller_gone", request: run.work.request });
    run.abandon();
  }

  #drainEvents(): void {
    let event = this.#events.shift();
    while (event) {
      this.#reduce(event);
      event = this.#events.shift();
    }
  }

  /** An exception in the policy fails one request instead of the host. */
  #reduce(event: PolicyEvent): void {
    try {
      const effects = this.#policy.reduce(this.#state, event);
      for (const effect of effects) this.#applyEffect(effect);
    } catch (cause) {
      this.telemetry.recordEvent("policy_failed", {
        event: event.type,
        cause: cause instanceof Error ? cause.stack ?? cause.message : "",
      });
      if (!("request" in event || event.type === "arrived")) return;
      const request = "work" in event ? event.work.request : event.request;
      this.#runs.get(request)?.refuse(
        new RhubarbstageError("internal", { cause }),
      );
    }
  }

  #applyEffect(effect: PolicyEffect): void {
    switch (effect.type) {
      case "dispatch":
        return this.#dispatch(effect);
      case "refuse":
        return this.#refuse(effect);
      case "cancel":
        return this.#runs.get(effect.request)?.cancel(effect.attempt);
      case "set_role":
        return this.#effectHandler.setRole(effect.server, effect.role);
      case "publish_quarantine":
        return this.#effectHandler.publishQuarantine(effect.marks);
      case "publish_request_limits":
        return this.#effectHandler.publishRequestLimits(effect.limits);
      case "publish_part_marks":
        return this.#effectHandler.publishPartMarks(effect.marks);
      case "publish_demand":
        return this.#effectHandler.publishDemand(
          effect.localDemand,
          effect.localModelDemand,
          effect.figures,
        );
      case "announce_work":
      case "announce_work_end":
      case "request_placement":
      case "answer_placement":
      case "cancel_placement":
        return this.#effectHandler.shareEngineWork(effect);
      case "compare_cost":
        return this.telemetry.recordCostPrediction(effect);
      case "note":
        return this.telemetry.recordEvent(effect.event, effect.fields);
    }
  }

  #dispatch(effect: DispatchEffect): void {
    const run = this.#runs.get(effect.request);
    if (run && this.#isDraining && isWaiting(run)) {
      this.#refuseAtStop(run);
      return;
    }
    if (run) {
      run.dispatch(effect);
      return;
    }
    // The request has already ended, for example after an exception in the
    // policy; this event lets the policy free the slot.
    this.notify({ type: "caller_gone", request: effect.request });
  }

  #refuse(effect: Extract<PolicyEffect, { type: "refuse" }>): void {
    const { kind, outcome, retryAfterSeconds } = effect;
    const error = new RhubarbstageError(kind, { outcome, retryAfterSeconds });
    this.#runs.get(effect.request)?.refuse(error);
  }
}

/** Whether a request waits for an attempt and has no part of its answer. */
function isWaiting({ isRunning, isAnswering }: ActiveRequest): boolean {
  return !isRunning && !isAnswering;
}
