/**
 * Baseline policy for experiments: round robin, first in first out.
 *
 * @module
 */

import type {
  AttemptId,
  BackendServerId,
  ErrorKind,
  Outcome,
  RequestId,
} from "rhubarbstage";
import { Policy } from "./policy.ts";
import type {
  BackendServer,
  PolicyEffect,
  PolicyEvent,
  Work,
} from "./types.ts";

/** Options of a {@linkcode NaivePolicy}. */
export interface NaiveOptions {
  /** Most requests of this host on one server, within the server's capacity. */
  readonly concurrencyPerServer?: number;
  /** Most waiting requests; further ones are refused as overloaded. */
  readonly queueLimit?: number;
}

interface RunningAttempt {
  readonly work: Work;
  readonly attempt: AttemptId;
  readonly server: BackendServerId;
}

/** State of a {@linkcode NaivePolicy}. */
export interface NaiveState {
  readonly servers: Map<BackendServerId, BackendServer>;
  readonly outstanding: Map<BackendServerId, number>;
  /** Waiting work by pool name, in order of arrival. */
  readonly queues: Map<string, Map<RequestId, Work>>;
  readonly running: Map<RequestId, RunningAttempt>;
  /** Last server used for each pool name. */
  readonly lastServers: Map<string, BackendServerId>;
  queued: number;
  attempts: number;
}

const defaultQueueLimit = 10_000;

/** Name of the pool that serves a request. */
function poolNameOf(work: Work): string {
  return work.model === undefined
    ? `service ${work.service}`
    : `model ${work.model}`;
}

/** Whether a server runs the model or the plain service of a request. */
function serves(server: BackendServer, work: Work): boolean {
  return work.model === undefined
    ? server.services.includes(work.service)
    : server.models.includes(work.model);
}

function refuse(
  request: RequestId,
  kind: ErrorKind,
  outcome: Outcome,
): PolicyEffect {
  return { type: "refuse", request, kind, outcome };
}

/**
 * Round robin over servers that accept new work and serve the model or service,
 * first in first out, with bounded concurrency. Does not retry and ignores
 * priority, limits and load.
 */
export class NaivePolicy extends Policy<NaiveState> {
  #concurrencyPerServer: number;
  #queueLimit: number;

  constructor(options: NaiveOptions = {}) {
    super();
    this.#concurrencyPerServer = options.concurrencyPerServer ?? Infinity;
    this.#queueLimit = options.queueLimit ?? defaultQueueLimit;
  }

  override initial(): NaiveState {
    return {
      servers: new Map(),
      outstanding: new Map(),
      queues: new Map(),
      running: new Map(),
      lastServers: new Map(),
      queued: 0,
      attempts: 0,
    };
  }

  override reduce(
    state: NaiveState,
    event: PolicyEvent,
  ): readonly PolicyEffect[] {
    switch (event.type) {
      case "arrived":
        return this.#arrive(state, event.work, event.now);
      case "caller_gone":
        return this.#abandon(state, event.request);
      case "finished":
        this.#end(state, event.request, event.attempt);
        return this.#dispatchAll(state, event.now);
      case "failed": {
        const ended = this.#end(state, event.request, event.attempt);
        const effects = this.#dispatchAll(state, event.now);
        if (ended) {
          effects.unshift(refuse(event.request, event.kind, event.outcome));
        }
        return effects;
      }
      case "server_seen":
        state.servers.set(event.server.id, event.server);
        return this.#dispatchAll(state, event.now);
      case "server_gone":
        state.servers.delete(event.server);
        return [];
      case "tick":
        return [
          ...this.#expire(state, event.now),
          ...this.#dispatchAll(state, event.now),
        ];
      default:
        return [];
    }
  }

  #arrive(state: NaiveState, work: Work, now: number): PolicyEffect[] {
    if (state.running.has(work.request)) return [];
    if (now >= work.deadlineAt) {
      return [refuse(work.request, "deadline_exceeded", "not_run")];
    }
    if (state.queued >= this.#queueLimit) {
      return [refuse(work.request, "overloaded", "not_run")];
    }
    if (![...state.servers.values()].some((server) => serves(server, work))) {
      return [refuse(work.request, "no_backend_server", "not_run")];
    }
    const poolName = poolNameOf(work);
    const queue = state.queues.get(poolName) ?? new Map<RequestId, Work>();
    if (queue.has(work.request)) return [];
    queue.set(work.request, work);
    state.queues.set(poolName, queue);
    state.queued += 1;
    return this.#dispatchQueue(state, poolName, now);
  }

  #abandon(state: NaiveState, request: RequestId): PolicyEffect[] {
    for (const queue of state.queues.values()) {
      if (queue.delete(request)) state.queued -= 1;
    }
    const running = state.running.get(request);
    // Work that is not repeatable runs to its end, so that the claim on its
    // idempotency key settles.
    if (running === undefined || !running.work.repeatable) return [];
    this.#end(state, request, running.attempt);
    return [{
      type: "cancel",
      request,
      attempt: running.attempt,
      reason: "caller_gone",
    }];
  }

  #end(state: NaiveState, request: RequestId, attempt: AttemptId): boolean {
    const running = state.running.get(request);
    if (running === undefined || running.attempt !== attempt) return false;
    state.running.delete(request);
    const remaining = (state.outstanding.get(running.server) ?? 1) - 1;
    if (remaining > 0) state.outstanding.set(running.server, remaining);
    else state.outstanding.delete(running.server);
    return true;
  }

  #expire(state: NaiveState, now: number): PolicyEffect[] {
    const effects: PolicyEffect[] = [];
    for (const queue of state.queues.values()) {
      for (const work of queue.values()) {
        if (now < work.deadlineAt) continue;
        queue.delete(work.request);
        state.queued -= 1;
        effects.push(refuse(work.request, "deadline_exceeded", "not_run"));
      }
    }
    for (const { work, attempt } of [...state.running.values()]) {
      if (now < work.deadlineAt || !work.repeatable) continue;
      this.#end(state, work.request, attempt);
      effects.push(
        { type: "cancel", request: work.request, attempt, reason: "deadline" },
        refuse(work.request, "deadline_exceeded", "may_have_run"),
      );
    }
    return effects;
  }

  #dispatchAll(state: NaiveState, now: number): PolicyEffect[] {
    return [...state.queues.keys()]
      .flatMap((poolName) => this.#dispatchQueue(state, poolName, now));
  }

  #dispatchQueue(
    state: NaiveState,
    poolName: string,
    now: number,
  ): PolicyEffect[] {
    const effects: PolicyEffect[] = [];
    const queue = state.queues.get(poolName);
    if (queue === undefined) return effects;
    for (const work of queue.values()) {
      if (now >= work.deadlineAt) continue; // The next tick refuses it.
      const server = this.#nextServer(state, poolName, work);
      if (server === undefined) break;
      queue.delete(work.request);
      state.queued -= 1;
      effects.push(this.#dispatch(state, work, server));
    }
    return effects;
  }

  #nextServer(
    state: NaiveState,
    poolName: string,
    work: Work,
  ): BackendServerId | undefined {
    const servers = [...state.servers.values()]
      .filter((server) => serves(server, work));
    const last = servers.findIndex((server) =>
      server.id === state.lastServers.get(poolName)
    );
    for (let step = 1; step <= servers.length; step += 1) {
      const server = servers[(last + step) % servers.length] as BackendServer;
      if (!this.#hasRoom(state, server)) continue;
      state.lastServers.set(poolName, server.id);
      return server.id;
    }
    return undefined;
  }

  #hasRoom(state: NaiveState, server: BackendServer): boolean {
    const limit = Math.min(server.capacity, this.#concurrencyPerServer);
    const outstanding = state.outstanding.get(server.id) ?? 0;
    return server.acceptsNewWork && outstanding < limit;
  }

  #dispatch(
    state: NaiveState,
    work: Work,
    server: BackendServerId,
  ): PolicyEffect {
    state.attempts += 1;
    const attempt = `${work.request}-${state.attempts}` as AttemptId;
    state.running.set(work.request, { work, attempt, server });
    state.outstanding.set(server, (state.outstanding.get(server) ?? 0) + 1);
    return {
      type: "dispatch",
      request: work.request,
      attempt,
      server,
      priority: 0,
      resumeFrom: 0,
    };
  }
}
