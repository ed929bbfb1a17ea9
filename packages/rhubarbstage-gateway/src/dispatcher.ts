/**
 * Drives a policy: turns what happens to requests into its events and carries
 * out its effects.
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

/** What a {@linkcode Dispatcher} works with. */
export interface DispatcherOptions {
  readonly policy: Policy;
  readonly engines: EngineClient;
  readonly backendServers: Pick<BackendServers, "addressOf" | "takesNewWork">;
  readonly effectHandler: PolicyEffectHandler;
  readonly telemetry: GatewayTelemetry;
  readonly clock?: Clock;
}

/** Requests of one service. */
export interface RequestCounts {
  /** Requests without a running attempt. */
  readonly waiting: number;
  readonly running: number;
}

const noRequests: RequestCounts = { waiting: 0, running: 0 };

/** Options of one request. */
export interface DispatchOptions {
  /** Aborted when the caller closes its connection. */
  readonly signal: AbortSignal;
  /** Called when an attempt is started. */
  readonly onAttemptStart?: () => void;
}

/** Leads requests through the policy to backend servers. */
export class Dispatcher implements RunContext {
  readonly engines: EngineClient;
  readonly backendServers: Pick<BackendServers, "addressOf" | "takesNewWork">;
  readonly telemetry: GatewayTelemetry;
  readonly clock: Clock;
  #policy: Policy;
  #state: unknown;
  #listener: PolicyEffectHandler;
  #runs = new Map<RequestId, ActiveRequest>();
  #events: PolicyEvent[] = [];
  #reducing = false;

  constructor(options: DispatcherOptions) {
    this.engines = options.engines;
    this.backendServers = options.backendServers;
    this.telemetry = options.telemetry;
    this.clock = options.clock ?? new SystemClock();
    this.#policy = options.policy;
    this.#state = options.policy.initial();
    this.#listener = options.effectHandler;
  }

  /** Ids of the requests that wait or run. */
  get requests(): readonly RequestId[] {
    return [...this.#runs.keys()];
  }

  /** Requests of each service that wait and that run. */
  countRequests(): Map<ServiceName, RequestCounts> {
    const counts = new Map<ServiceName, RequestCounts>();
    for (const { work, isRunning } of this.#runs.values()) {
      const { waiting, running } = counts.get(work.service) ?? noRequests;
      counts.set(work.service, {
        waiting: waiting + (isRunning ? 0 : 1),
        running: running + (isRunning ? 1 : 0),
      });
    }
    return counts;
  }

  /** Sends ticks to the policy until the signal is aborted. */
  start(options: { readonly signal: AbortSignal }): void {
    every(tickInterval, () => this.notify({ type: "tick" }), options);
  }

  /** Tells the policy what happened and carries out what it decides. */
  notify(input: PolicyInput): void {
    const now = this.clock.monotonicMilliseconds();
    this.#events.push({ ...input, now } as PolicyEvent);
    if (this.#reducing) return;
    this.#reducing = true;
    try {
      this.#drain();
    } finally {
      this.#reducing = false;
    }
  }

  /**
   * Generates an answer into a sink.
   *
   * @throws {RhubarbstageError} If the policy refuses the request.
   * @throws {CallerGone} If the caller closes its connection.
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
   * Leads a run through the policy to its end.
   *
   * @throws {RhubarbstageError} If the policy refuses the request.
   * @throws {CallerGone} If the caller closes its connection.
   */
  async execute<Result>(
    run: RequestRun<Result>,
    options: DispatchOptions,
  ): Promise<Result> {
    const { work } = run;
    const { signal } = options;
    if (this.#runs.has(work.request)) {
      throw new RhubarbstageError("internal", {
        message: "The request id is already in use",
        outcome: "not_run",
      });
    }
    run.onAttemptStart = options.onAttemptStart;
    const onAbort = () => this.#onCallerGone(run);
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

  #onCallerGone(run: ActiveRequest): void {
    // The policy lets work that may not be cut run to its end.
    if (!isCancellable(run.work) && run.attempts > 0) return;
    this.notify({ type: "caller_gone", request: run.work.request });
    run.abandon();
  }

  #drain(): void {
    let event = this.#events.shift();
    while (event) {
      this.#reduce(event);
      event = this.#events.shift();
    }
  }

  /** A fault of the policy costs one request and not the host. */
  #reduce(event: PolicyEvent): void {
    try {
      const effects = this.#policy.reduce(this.#state, event);
      for (const effect of effects) this.#carryOut(effect);
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

  #carryOut(effect: PolicyEffect): void {
    switch (effect.type) {
      case "dispatch":
        return this.#dispatch(effect);
      case "refuse":
        return this.#refuse(effect);
      case "cancel":
        return this.#runs.get(effect.request)?.cancel(effect.attempt);
      case "set_role":
        return this.#listener.setRole(effect.server, effect.role);
      case "publish_quarantine":
        return this.#listener.publishQuarantine(effect.marks);
      case "publish_demand":
        return this.#listener.publishDemand(
          effect.localDemand,
          effect.localModelDemand,
        );
      case "announce_work":
        return this.#listener.announceWork(effect.work);
      case "announce_work_end":
        return this.#listener.announceWork(effect.end);
      case "note":
        return this.telemetry.recordEvent(effect.event, effect.fields);
    }
  }

  #dispatch(effect: DispatchEffect): void {
    const run = this.#runs.get(effect.request);
    if (run) {
      run.dispatch(effect);
      return;
    }
    // The request ended in the same turn; the policy frees the slot.
    this.notify({ type: "caller_gone", request: effect.request });
  }

  #refuse(effect: Extract<PolicyEffect, { type: "refuse" }>): void {
    const { kind, outcome, retryAfterSeconds } = effect;
    const error = new RhubarbstageError(kind, { outcome, retryAfterSeconds });
    this.#runs.get(effect.request)?.refuse(error);
  }
}
