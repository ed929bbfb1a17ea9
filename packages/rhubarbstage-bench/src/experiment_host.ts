/**
 * Minimal host for experiments: drives a policy over HTTP, without
 * authentication, durable state or graceful shutdown.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request as httpRequest } from "undici";
import {
  type Announcement,
  EngineClient,
  EngineError,
  type GenerationRequest,
  type OrderResponse,
  parseAnnouncement,
} from "@rhubarbstage/engine";
import {
  type BackendServer,
  type CustomerDemand,
  type EngineRole,
  FleetPolicy,
  type ModelDemand,
  NaivePolicy,
  type Policy,
  type PolicyEffect,
  type PolicyEvent,
  type QuarantineMark,
  type Work,
} from "@rhubarbstage/policy";
import type {
  AttemptId,
  BackendServerId,
  CustomerId,
  ErrorKind,
  FencingNumber,
  ModelName,
  OrderId,
  Region,
  RequestId,
  ServiceName,
  WorkKind,
} from "rhubarbstage";
import { errorKinds, RhubarbstageError } from "rhubarbstage";
import type {
  CallerRequest,
  CallerRequestEnd,
  HostMetrics,
  HostOptions,
  PeerMessage,
} from "./protocol.ts";

type Dispatch = Extract<PolicyEffect, { type: "dispatch" }>;
type Refusal = Extract<PolicyEffect, { type: "refuse" }>;

interface Call {
  readonly callerRequest: CallerRequest;
  readonly response: ServerResponse;
  readonly arrivedAt: number;
  dispatchedAt: number | undefined;
  attempts: number;
  /** Number of tokens delivered to the caller. */
  delivered: number;
  readonly running: Map<AttemptId, AbortController>;
}

const model = "small" as ModelName;
const tickInterval = 20;
/** Interval of reporting the summed demand to the policy, in milliseconds. */
const demandReportInterval = 500;
const charactersPerToken = 4;
/** Time without announcements after which a server counts as crashed, in ms. */
const serverTimeout = 8_000;

/** Host process of an experiment. */
export class ExperimentHost {
  #options: HostOptions;
  #policy: Policy;
  #state: unknown;
  #client = new EngineClient({ connections: 512 });
  #agent = new Agent({ connections: 4 });
  #calls = new Map<RequestId, Call>();
  #announcements = new Map<BackendServerId, Announcement>();
  #announcedAt = new Map<BackendServerId, number>();
  #drained = new Set<string>();
  #demands = new Map<number, Extract<PeerMessage, { type: "demand" }>>();
  #dispatches: Record<string, number[]> = {};
  #eventCounts: Record<string, number> = {};
  #roleChanges: HostMetrics["roleChanges"][number][] = [];
  #firstDispatch: number | undefined;
  #policyTime = 0;
  #policyEvents = 0;
  #orders = 0;

  constructor(options: HostOptions) {
    this.#options = options;
    const region = options.region as Region;
    const { seed, settings, position, hosts } = options;
    this.#policy = options.policy === "naive"
      ? new NaivePolicy()
      : new FleetPolicy({
        region,
        seed,
        settings,
        position,
        hosts: hosts.length,
      });
    this.#state = this.#policy.initial();
  }

  listen(): void {
    const server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    server.listen(this.#options.port, "127.0.0.1");
    setInterval(() => this.#tick(), tickInterval);
    setInterval(() => this.#reportDemand(), demandReportInterval);
    const { holdsRoleAuthority: held } = this.#options;
    this.#handleEvent({ type: "role_authority_changed", now: clock(), held });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === "/metrics") {
      response.end(JSON.stringify(this.#metrics()));
      return;
    }
    const body = JSON.parse(await readBody(request));
    if (request.url === "/run") return this.#run(body, response);
    if (request.url === "/peer") this.#handlePeerMessage(body);
    if (request.url === "/backends/announce") {
      this.#handleAnnouncement(body);
      this.#broadcast({ type: "announcement", body });
    }
    response.end("{}");
  }

  #run(callerRequest: CallerRequest, response: ServerResponse): void {
    const now = clock();
    const request = callerRequest.id as RequestId;
    const call: Call = {
      callerRequest,
      response,
      arrivedAt: now,
      dispatchedAt: undefined,
      attempts: 0,
      delivered: 0,
      running: new Map(),
    };
    this.#calls.set(request, call);
    response.on("close", () => {
      if (!this.#calls.has(request)) return;
      this.#handleEvent({ type: "caller_gone", now: clock(), request });
      this.#calls.delete(request);
    });
    this.#handleEvent({
      type: "arrived",
      now,
      work: createWork(callerRequest, now),
    });
  }

  #handleEvent(event: PolicyEvent): void {
    const startedAt = clock();
    const effects = this.#policy.reduce(this.#state, event);
    this.#policyTime += clock() - startedAt;
    this.#policyEvents += 1;
    for (const effect of effects) this.#executeEffect(effect);
  }

  #executeEffect(effect: PolicyEffect): void {
    switch (effect.type) {
      case "dispatch":
        this.#countDispatch(effect.server);
        void this.#attempt(effect);
        return;
      case "refuse":
        return this.#refuse(effect);
      case "cancel":
        this.#count(`cancel_${effect.reason}`);
        this.#calls.get(effect.request)?.running.get(effect.attempt)?.abort();
        this.#calls.get(effect.request)?.running.delete(effect.attempt);
        return;
      case "set_role":
        void this.#changeRole(effect.server, effect.role);
        return;
      case "publish_demand":
        return this.#publishDemand(effect);
      case "publish_quarantine":
        this.#broadcast({ type: "quarantine", marks: effect.marks });
        return;
      case "note":
        this.#count(effect.event);
    }
  }

  #refuse(refusal: Refusal): void {
    const call = this.#calls.get(refusal.request);
    if (call === undefined) return;
    this.#calls.delete(refusal.request);
    const { kind, outcome } = refusal;
    const end: CallerRequestEnd = {
      end: "failed",
      kind,
      outcome,
      attempts: call.attempts,
      outputTokens: call.delivered,
      queueWait: (call.dispatchedAt ?? clock()) - call.arrivedAt,
    };
    if (!call.response.headersSent) {
      call.response.statusCode = errorKinds[kind].status;
    }
    call.response.end(JSON.stringify(end));
  }

  /** Runs one attempt and reports its result to the policy. */
  async #attempt(dispatch: Dispatch): Promise<void> {
    const { request, attempt } = dispatch;
    const call = this.#calls.get(request);
    if (call === undefined) return;
    const controller = new AbortController();
    call.running.set(attempt, controller);
    call.attempts += 1;
    call.dispatchedAt ??= clock();
    try {
      await this.#simulateRoundTrip(dispatch.server);
      if (call.callerRequest.stream.service !== undefined) {
        await this.#callService(call, dispatch, controller.signal);
      } else await this.#generate(call, dispatch, controller.signal);
    } catch (error) {
      if (!call.running.has(attempt)) return;
      this.#reportFailure(call, dispatch, error);
    }
    call.running.delete(attempt);
  }

  /** Delays by the round trip to a server in another region. */
  async #simulateRoundTrip(server: BackendServerId): Promise<void> {
    const region = this.#announcements.get(server)?.region;
    const { regionRoundTrip } = this.#options;
    if (region !== this.#options.region) await sleep(regionRoundTrip);
  }

  async #callService(
    call: Call,
    dispatch: Dispatch,
    signal: AbortSignal,
  ): Promise<void> {
    const { request, attempt } = dispatch;
    const { url } = this.#addressOf(dispatch.server);
    const answer = await httpRequest(`${url}/status/${call.callerRequest.id}`, {
      dispatcher: this.#agent,
      signal,
    });
    await answer.body.dump();
    if (!call.running.has(attempt)) return;
    const usage = { promptTokens: 0, outputTokens: 0 };
    this.#handleEvent({
      type: "finished",
      now: clock(),
      request,
      attempt,
      ...usage,
    });
    this.#finish(call, request);
  }

  async #generate(
    call: Call,
    dispatch: Dispatch,
    signal: AbortSignal,
  ): Promise<void> {
    const { request, attempt } = dispatch;
    const generation = await this.#prepareGeneration(call, dispatch, signal);
    const address = this.#addressOf(dispatch.server);
    const events = this.#client.generate(address, generation, { signal });
    let first = true;
    for await (const event of events) {
      if (!call.running.has(attempt)) return;
      const now = clock();
      if (event.type === "tokens") {
        if (first) {
          first = false;
          this.#handleEvent({ type: "first_token", now, request, attempt });
        }
        const count = event.to - event.from;
        this.#handleEvent({ type: "tokens", now, request, attempt, count });
        if (call.delivered === 0) call.response.write("first\n");
        call.delivered = event.to;
      }
      if (event.type !== "finished") continue;
      const { promptTokens, outputTokens } = event;
      const usage = { promptTokens, outputTokens };
      this.#handleEvent({ type: "finished", now, request, attempt, ...usage });
      this.#finish(call, request);
    }
  }

  /** Builds the request; runs a separate prefill if the policy chose one. */
  async #prepareGeneration(
    call: Call,
    dispatch: Dispatch,
    signal: AbortSignal,
  ): Promise<GenerationRequest> {
    const { promptTokens, outputTokens, id } = call.callerRequest;
    const length = promptTokens * charactersPerToken;
    const generation: GenerationRequest = {
      endpoint: "text",
      request: dispatch.request,
      attempt: dispatch.attempt,
      body: {
        model,
        prompt: `${id} `.padEnd(length, "x"),
        max_tokens: outputTokens,
      },
      priority: dispatch.priority,
      resumeFrom: call.delivered,
      created: 0,
      prefixes: [],
    };
    if (dispatch.prefillServer === undefined) return generation;
    const source = this.#addressOf(dispatch.prefillServer);
    const cache = await this.#client.exportCache(source, generation, {
      signal,
    });
    const target = this.#addressOf(dispatch.server);
    const imported = await this.#client.importCache(target, {
      source,
      cache,
      signal,
    });
    return { ...generation, cacheHandle: imported.handle };
  }

  #finish(call: Call, request: RequestId): void {
    this.#calls.delete(request);
    const end: CallerRequestEnd = {
      end: "finished",
      attempts: call.attempts,
      outputTokens: call.delivered,
      queueWait: (call.dispatchedAt ?? clock()) - call.arrivedAt,
    };
    call.response.end(JSON.stringify(end));
  }

  #reportFailure(call: Call, dispatch: Dispatch, error: unknown): void {
    const isTyped = error instanceof RhubarbstageError;
    const kind: ErrorKind = isTyped ? error.kind : "backend_failed";
    this.#count(`failed_${kind}`);
    this.#handleEvent({
      type: "failed",
      now: clock(),
      request: dispatch.request,
      attempt: dispatch.attempt,
      kind,
      outcome: isTyped ? error.outcome : "may_have_run",
      deliveredTokens: call.delivered,
      connectionLost: error instanceof EngineError && error.connectionLost,
    });
  }

  #addressOf(server: BackendServerId) {
    const { id, url } = this.#announcements.get(server) as Announcement;
    return { id, url };
  }

  #handlePeerMessage(message: PeerMessage): void {
    const now = clock();
    switch (message.type) {
      case "announcement":
        return this.#handleAnnouncement(message.body);
      case "demand":
        this.#demands.set(message.position, message);
        return;
      case "quarantine": {
        const marks = message.marks as readonly QuarantineMark[];
        return this.#handleEvent({ type: "quarantine_reported", now, marks });
      }
      case "drain":
        if (message.drained) this.#drained.add(message.server);
        else this.#drained.delete(message.server);
        this.#reportServer(message.server as BackendServerId);
    }
  }

  #handleAnnouncement(body: unknown): void {
    const announcement = parseAnnouncement(body);
    const last = this.#announcements.get(announcement.id);
    if (last !== undefined && last.sequence > announcement.sequence) return;
    this.#announcements.set(announcement.id, announcement);
    this.#announcedAt.set(announcement.id, clock());
    this.#reportServer(announcement.id);
  }

  #reportServer(id: BackendServerId): void {
    const announcement = this.#announcements.get(id);
    if (announcement === undefined) return;
    const server: BackendServer = {
      id,
      incarnation: announcement.incarnation,
      region: announcement.region,
      availabilityZone: announcement.availabilityZone,
      models: announcement.models,
      services: announcement.services,
      role: announcement.role,
      capacity: announcement.capacity,
      acceptsNewWork: !announcement.leaving && !this.#drained.has(id),
      ...(announcement.load === undefined ? {} : { load: announcement.load }),
    };
    this.#handleEvent({ type: "server_seen", now: clock(), server });
  }

  #tick(): void {
    const now = clock();
    this.#handleEvent({ type: "tick", now });
    for (const [server, at] of this.#announcedAt) {
      if (now - at < serverTimeout) continue;
      this.#announcedAt.delete(server);
      this.#handleEvent({ type: "server_gone", now, server, crashed: true });
    }
  }

  #publishDemand(
    effect: Extract<PolicyEffect, { type: "publish_demand" }>,
  ): void {
    const { position } = this.#options;
    const message = {
      type: "demand",
      position,
      customers: [...effect.localDemand].map(([id, demand]) =>
        [id, demand.requestsPerSecond, demand.tokensPerSecond] as const
      ),
      models: [...effect.localModelDemand].map(([id, demand]) =>
        [
          id,
          demand.promptTokensPerSecond,
          demand.outputTokensPerSecond,
        ] as const
      ),
    } as const;
    this.#demands.set(position, message);
    this.#broadcast(message);
  }

  #reportDemand(): void {
    if (this.#options.policy === "naive") return;
    const total = new Map<CustomerId, CustomerDemand>();
    const models = new Map<ModelName, ModelDemand>();
    const regions = new Set([...this.#announcements.values()]
      .map((announcement) => announcement.region));
    for (const message of this.#demands.values()) {
      for (const [id, requests, tokens] of message.customers) {
        const sum = total.get(id as CustomerId);
        total.set(id as CustomerId, {
          requestsPerSecond: (sum?.requestsPerSecond ?? 0) + requests,
          tokensPerSecond: (sum?.tokensPerSecond ?? 0) + tokens,
        });
      }
      for (const [id, prompt, output] of message.models) {
        const sum = models.get(id as ModelName);
        models.set(id as ModelName, {
          promptTokensPerSecond: (sum?.promptTokensPerSecond ?? 0) + prompt,
          outputTokensPerSecond: (sum?.outputTokensPerSecond ?? 0) + output,
        });
      }
    }
    const { position, hosts, region, regionRoundTrip } = this.#options;
    const now = clock();
    this.#handleEvent({
      type: "demand_reported",
      now,
      total,
      models,
      hosts: hosts.length,
      position,
    });
    for (const other of regions) {
      const roundTrip = other === region ? 0 : regionRoundTrip;
      this.#handleEvent({
        type: "path_measured",
        now,
        region: other,
        roundTrip,
      });
    }
  }

  #broadcast(message: PeerMessage): void {
    const body = JSON.stringify(message);
    for (const [position, origin] of this.#options.hosts.entries()) {
      if (position === this.#options.position) continue;
      httpRequest(`${origin}/peer`, {
        method: "POST",
        body,
        dispatcher: this.#agent,
      }).then((answer) => answer.body.dump()).catch(() => {});
    }
  }

  /** Drains an engine on all hosts, orders its new role and undrains it. */
  async #changeRole(server: BackendServerId, role: EngineRole): Promise<void> {
    this.#roleChanges.push({ server, role, at: Date.now() });
    const setDrained = (drained: boolean) => {
      const message = { type: "drain", server, drained } as const;
      this.#handlePeerMessage(message);
      this.#broadcast(message);
    };
    setDrained(true);
    const address = this.#addressOf(server);
    for (;;) {
      await sleep(50);
      const { load } = await this.#client.status(address);
      if (load.runningRequests + load.queuedRequests === 0) break;
    }
    const status = await this.#client.status(address);
    this.#orders += 1;
    const answer = await httpRequest(`${address.url}/v1/orders`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        order_id: `role-${this.#orders}` as OrderId,
        kind: "set_role",
        argument: role,
        fencing_number: this.#orders as FencingNumber,
        incarnation: status.incarnation,
      }),
    });
    const result = await answer.body.json() as {
      result: OrderResponse["type"];
    };
    this.#count(`order_${result.result}`);
    // Lets the engine's announcement of its return to service arrive. The new
    // role may arrive only with the next regular announcement.
    await sleep(100);
    setDrained(false);
  }

  #countDispatch(server: BackendServerId): void {
    this.#firstDispatch ??= clock();
    const second = Math.floor((clock() - this.#firstDispatch) / 1_000);
    const counts = this.#dispatches[server] ??= [];
    while (counts.length <= second) counts.push(0);
    counts[second] = (counts[second] ?? 0) + 1;
  }

  #count(name: string): void {
    this.#eventCounts[name] = (this.#eventCounts[name] ?? 0) + 1;
  }

  #metrics(): HostMetrics {
    return {
      servers: this.#announcements.size,
      dispatches: this.#dispatches,
      notes: this.#eventCounts,
      roleChanges: this.#roleChanges,
      policyTime: this.#policyTime,
      policyEvents: this.#policyEvents,
    };
  }
}

function clock(): number {
  return performance.now();
}

async function readBody(request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts).toString("utf8") || "{}";
}

function createWork(callerRequest: CallerRequest, now: number): Work {
  const { stream } = callerRequest;
  return {
    request: callerRequest.id as RequestId,
    customer: stream.customer as CustomerId,
    service: (stream.service ?? "chat") as ServiceName,
    kind: stream.kind as WorkKind,
    ...(stream.service === undefined ? { model } : {}),
    promptTokens: callerRequest.promptTokens,
    outputTokenLimit: stream.outputTokenLimit,
    prefixHashes: [],
    fingerprint: callerRequest.id,
    repeatable: true,
    resumable: true,
    arrivedAt: now,
    deadlineAt: now + stream.deadline,
    settings: {
      priority: stream.priority,
      share: stream.share,
      requestsPerSecond: Infinity,
      tokensPerSecond: Infinity,
      floorRequestsPerSecond: stream.floorRequestsPerSecond,
      firstTokenTarget: stream.firstTokenTarget,
      retryRatio: 0.1,
    },
  };
}
