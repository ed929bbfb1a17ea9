/**
 * Model engine for tests: continuous batching, prefix cache, orders, KV cache
 * transfers and announcements in the wire format of real engines.
 *
 * @module
 */

import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import { request } from "undici";
import { FakeBatch, type FakeSequence } from "./fake_engine_batch.ts";
import { FakePrefixCache } from "./fake_engine_cache.ts";
import {
  type FakeGeneration,
  FakeStream,
  type FakeStreamOwner,
} from "./fake_engine_stream.ts";
import { fakeChatPrompt, fakeTokenCount } from "./fake_engine_text.ts";
import {
  fakeEngineDefaults,
  type FakeEngineOptions,
  type FakeEngineRecords,
  type FakeEngineRole,
  type FakeEngineSwitches,
  type FakeGenerationRecord,
  type FakeOrderRecord,
} from "./fake_engine_types.ts";

const cacheBlockTokens = 1_000;
const defaultOutputTokens = 16;
const bodyLimit = 64 * 1_048_576;
/** Retention of load samples: the longest report delay that tests use. */
const loadHistoryTime = 60_000;

type Json = Record<string, unknown>;

interface KvCache {
  readonly prompt: string;
  readonly tokens: number;
  readonly prefixes: readonly string[];
}

interface LoadSample {
  readonly at: number;
  readonly load: Json;
}

/** Called when a prompt crashes the engine. */
export type FakeCrashHandler = () => void;

type EngineState = "serving" | "changing" | "draining" | "leaving";

/** HTTP server of a fake engine in this process. */
export class FakeEngine implements FakeStreamOwner {
  readonly options: FakeEngineOptions;
  readonly incarnation = Date.now();
  #server: FastifyInstance;
  #batch: FakeBatch;
  #cache: FakePrefixCache;
  #streams = new Set<FakeStream>();
  #orders: FakeOrderRecord[] = [];
  #generations: FakeGenerationRecord[] = [];
  #kvCaches = new Map<string, KvCache>();
  #models: string[];
  #adapters: string[] = [];
  #role: FakeEngineRole;
  #state: EngineState = "serving";
  #highestFencing = 0;
  /** Answers to accepted orders, by fencing number and order ID. */
  #orderAnswers = new Map<string, Promise<Json>>();
  #sequence = 0;
  #cacheSequence = 0;
  #cacheBatches = 0;
  #originIndex = 0;
  #loadSamples: LoadSample[] = [];
  #timers: NodeJS.Timeout[] = [];
  #steppedAt = 0;
  #onCrash: FakeCrashHandler;
  #url = "";

  constructor(
    options: Partial<FakeEngineOptions> = {},
    onCrash: FakeCrashHandler = () => void this.close(),
  ) {
    this.options = { ...fakeEngineDefaults, ...options };
    this.#onCrash = onCrash;
    this.#batch = new FakeBatch(this.options.slots);
    this.#cache = new FakePrefixCache(this.options.cacheBlocks);
    this.#models = [...this.options.models];
    this.#role = this.options.role;
    this.#server = fastify({ bodyLimit, forceCloseConnections: true });
    this.#addRoutes();
  }

  get switches(): FakeEngineSwitches {
    return this.options;
  }

  get url(): string {
    return this.#url;
  }

  get records(): FakeEngineRecords {
    return {
      incarnation: this.incarnation,
      orders: this.#orders,
      generations: this.#generations,
    };
  }

  /** Starts the server and the announcements; resolves with the origin. */
  async listen(): Promise<string> {
    const { address, port } = this.options;
    this.#url = await this.#server.listen({ host: address, port });
    this.#steppedAt = performance.now();
    this.#addInterval(this.options.step, () => this.#step());
    this.#addInterval(this.options.heartbeatInterval, () => this.#heartbeat());
    if (this.options.announceOrigins.length > 0) {
      this.#addInterval(this.options.announceInterval, () => this.#announce());
      this.#addInterval(
        this.options.cacheEventDelay,
        () => this.#sendCacheEvents(),
      );
      this.#announce();
    }
    return this.#url;
  }

  /** Closes all connections at once, like a killed process. */
  async close(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    this.#timers = [];
    for (const stream of this.#streams) stream.stop("interrupted");
    await this.#server.close();
  }

  prepare(stream: FakeStream): number {
    const { prefixes, promptTokens, cacheHandle, record } = stream.generation;
    const kvCache = cacheHandle === undefined
      ? undefined
      : this.#kvCaches.get(cacheHandle);
    const matched = this.#cache.match(prefixes) * cacheBlockTokens;
    record.cachedTokens = kvCache ? kvCache.tokens : matched;
    return Math.max(0, promptTokens - record.cachedTokens);
  }

  prefilled(stream: FakeStream): void {
    const { prompt, prefixes } = stream.generation;
    const { crashOnPrompt } = this.options;
    if (crashOnPrompt !== "" && prompt.includes(crashOnPrompt)) {
      this.#onCrash();
      return;
    }
    this.#cache.store(prefixes);
  }

  ended(stream: FakeStream): void {
    this.#streams.delete(stream);
    this.#batch.remove(stream);
  }

  #addRoutes(): void {
    const server = this.#server;
    server.post(
      "/v1/chat/completions",
      (request, reply) => this.#generate(request, reply, true),
    );
    server.post(
      "/v1/completions",
      (request, reply) => this.#generate(request, reply, false),
    );
    server.post("/v1/cancel", (request) => this.#cancel(request.body as Json));
    server.get("/v1/status", () => this.#status());
    server.post("/v1/orders", (request) => this.#order(request));
    server.post("/v1/kv/export", (request) => this.#export(request));
    server.post("/v1/kv/import", (request) => this.#import(request));
    server.get("/v1/kv/:handle", (request, reply) => {
      const { handle } = request.params as { handle: string };
      return this.#kvCaches.get(handle) ?? reply.code(404).send({});
    });
    server.get("/test/records", () => this.records);
    server.post("/test/switch", (request) => {
      Object.assign(this.options, request.body);
      return {};
    });
    server.post("/test/leave", () => this.#leave());
  }

  #generate(request: FastifyRequest, reply: FastifyReply, chat: boolean): void {
    const generation = this.#readGeneration(request.body as Json, chat);
    const refusal = this.#findRefusal(generation);
    if (refusal) {
      generation.record.end = "refused";
      reply.code(refusal.status).header("rhubarbstage-outcome", "not_run")
        .send({ error: { type: refusal.type, message: refusal.message } });
      return;
    }
    reply.hijack();
    const stream = new FakeStream(this, { generation, response: reply.raw });
    this.#streams.add(stream);
    reply.raw.on("close", () => {
      stream.stop("cancelled");
      this.ended(stream);
    });
    stream.open();
    this.#batch.add(stream);
  }

  #readGeneration(body: Json, chat: boolean): FakeGeneration {
    const prompt = chat
      ? fakeChatPrompt(body.messages as [])
      : String(body.prompt ?? "");
    const limit = Number(
      body.max_completion_tokens ?? body.max_tokens ?? defaultOutputTokens,
    );
    const resumeFrom = Number(body.resume_from ?? 0);
    const record: FakeGenerationRecord = {
      request: String(body.request_id ?? ""),
      attempt: String(body.attempt_id ?? ""),
      prompt,
      priority: Number(body.priority ?? 0),
      resumeFrom,
      arrivedAt: Date.now(),
      position: resumeFrom,
      cachedTokens: 0,
      end: "running",
    };
    this.#generations.push(record);
    return {
      chat,
      model: String(body.model),
      prompt,
      promptTokens: fakeTokenCount(prompt),
      limit,
      created: Number(body.created ?? Math.floor(Date.now() / 1_000)),
      prefixes: (body.prefixes ?? []) as string[],
      cacheHandle: body.kv_handle as string | undefined,
      record,
    };
  }

  #findRefusal(generation: FakeGeneration) {
    if (!this.#models.includes(generation.model)) {
      return {
        status: 404,
        type: "unknown_model",
        message: `Model "${generation.model}" is not loaded`,
      };
    }
    if (this.#state !== "serving") {
      const message = `The engine is ${this.#state}`;
      return { status: 503, type: "no_backend_server", message };
    }
    if (this.#batch.waiting >= this.options.queueLimit) {
      return {
        status: 503,
        type: "overloaded",
        message: `The queue is full: limit ${this.options.queueLimit}`,
      };
    }
    if (generation.record.resumeFrom > generation.limit) {
      return {
        status: 409,
        type: "resume_failed",
        message: `Position ${generation.record.resumeFrom} is past ` +
          `the limit ${generation.limit}`,
      };
    }
    return undefined;
  }

  #cancel(body: Json): Json {
    for (const stream of this.#streams) {
      const { record } = stream.generation;
      if (record.request !== body.request_id) continue;
      if (record.attempt !== body.attempt_id) continue;
      stream.stop("cancelled");
      this.ended(stream);
    }
    return {};
  }

  #status(): Json {
    return {
      id: this.options.id,
      incarnation: this.incarnation,
      models: this.#models,
      adapters: this.#adapters,
      role: this.#role,
      capacity: this.options.slots,
      state: this.#state,
      fencing: this.options.checksFencing ? "checked" : "ignored",
      last_order: this.#lastOrder(),
      load: this.#load(),
    };
  }

  #load(): Json {
    return {
      running_requests: this.#batch.running,
      queued_requests: this.#batch.waiting,
      cache_tokens_used: this.#cache.size * cacheBlockTokens,
      cache_tokens_total: this.options.cacheBlocks * cacheBlockTokens,
    };
  }

  #lastOrder(): Json | undefined {
    const last = this.#orders.findLast(({ result }) =>
      result === "done" || result === "running"
    );
    if (!last) return undefined;
    const { order, fencing, result } = last;
    return { order_id: order, fencing_number: fencing, state: result };
  }

  #order(request: FastifyRequest): Promise<Json> | Json {
    const body = request.body as Json;
    const refused = this.#findOrderRefusal(request, body);
    const record: FakeOrderRecord = {
      order: String(body.order_id),
      kind: String(body.kind),
      argument: String(body.argument ?? ""),
      fencing: Number(body.fencing_number ?? 0),
      receivedAt: Date.now(),
      overlapping: this.#state === "changing",
      result: "running",
      interruptedStreams: 0,
    };
    this.#orders.push(record);
    if (refused !== undefined) return this.#refuseOrder(record, refused);
    this.#highestFencing = Math.max(this.#highestFencing, record.fencing);
    const answer = this.#executeOrder(record).then(() => {
      record.result = "done";
      return { result: "done", status: this.#status() };
    });
    this.#orderAnswers.set(orderKey(record), answer);
    return answer;
  }

  /** Refuses an order, or repeats the first answer to an accepted one. */
  #refuseOrder(record: FakeOrderRecord, reason: string): Promise<Json> | Json {
    const earlier = this.#orderAnswers.get(orderKey(record));
    if (reason === "stale_fencing" && earlier) {
      record.result = "repeated";
      return earlier;
    }
    record.result = reason === "stale_fencing" ? reason : "refused";
    return {
      result: "refused",
      reason,
      message: `Order ${record.order} was not executed: ${reason}`,
    };
  }

  #findOrderRefusal(request: FastifyRequest, body: Json): string | undefined {
    const { orderToken, checksFencing } = this.options;
    const given = request.headers.authorization;
    if (orderToken !== "" && given !== `Bearer ${orderToken}`) {
      return "unauthenticated";
    }
    if (!checksFencing) return undefined;
    if (Number(body.fencing_number) <= this.#highestFencing) {
      return "stale_fencing";
    }
    if (body.incarnation !== this.incarnation) return "wrong_incarnation";
    return this.#state === "changing" ? "busy" : undefined;
  }

  async #executeOrder(record: FakeOrderRecord): Promise<void> {
    const { kind, argument } = record;
    if (kind === "drain") this.#setState("draining");
    if (kind === "undrain") this.#setState("serving");
    if (kind === "set_role") {
      await this.#interruptService(record, this.options.roleChangeTime);
      this.#role = argument as FakeEngineRole;
    }
    if (kind === "load_model" || kind === "load_version") {
      await this.#interruptService(record, this.options.loadTime);
      this.#models = [...new Set([...this.#models, argument])];
    }
    if (kind === "load_adapter") this.#adapters.push(argument);
  }

  /** Takes the engine out of service for a time and interrupts its streams. */
  async #interruptService(
    record: FakeOrderRecord,
    time: number,
  ): Promise<void> {
    const before = this.#state === "changing" ? "serving" : this.#state;
    this.#setState("changing");
    for (const stream of this.#streams) {
      record.interruptedStreams += 1;
      stream.stop("interrupted");
    }
    this.#cache.clear();
    await sleep(time);
    this.#setState(before);
  }

  /** Changes the state and announces it to the entry hosts at once. */
  #setState(state: EngineState): void {
    this.#state = state;
    this.#announce();
  }

  async #export(request: FastifyRequest): Promise<Json> {
    const body = request.body as Json;
    const generation = this.#readGeneration(body, Array.isArray(body.messages));
    await this.#runPrefill(generation);
    const { prompt, promptTokens: tokens, prefixes, record } = generation;
    record.end = "finished";
    const handle = `${this.options.id}-${record.attempt}`;
    this.#kvCaches.set(handle, { prompt, tokens, prefixes });
    return { handle, tokens, bytes: tokens * this.options.bytesPerToken };
  }

  #runPrefill(generation: FakeGeneration): Promise<void> {
    const { crashOnPrompt } = this.options;
    return new Promise((resolve) => {
      const matched = this.#cache.match(generation.prefixes);
      const sequence: FakeSequence = {
        priority: generation.record.priority,
        prefillTokens: generation.promptTokens - matched * cacheBlockTokens,
        position: 0,
        limit: 0,
        blocked: () => false,
        onStart: () => generation.record.startedAt = Date.now(),
        onPrefilled: () => {
          if (crashOnPrompt && generation.prompt.includes(crashOnPrompt)) {
            this.#onCrash();
          }
          this.#cache.store(generation.prefixes);
        },
        onTokens: () => {},
        onFinish: resolve,
      };
      this.#batch.add(sequence);
    });
  }

  async #import(httpRequest: FastifyRequest): Promise<Json> {
    const { handle, source } = httpRequest.body as Record<string, string>;
    const answer = await request(`${source}/v1/kv/${handle}`);
    if (answer.statusCode !== 200) {
      await answer.body.dump();
      throw new Error(
        `${source} has no KV cache "${handle}": ` +
          `status ${answer.statusCode}`,
      );
    }
    const kvCache = await answer.body.json() as KvCache;
    const bytes = kvCache.tokens * this.options.bytesPerToken;
    await sleep(bytes / this.options.transferBytesPerSecond * 1_000);
    this.#kvCaches.set(handle as string, kvCache);
    this.#cache.store(kvCache.prefixes);
    return { handle, tokens: kvCache.tokens, bytes };
  }

  async #leave(): Promise<Json> {
    this.#state = "leaving";
    await this.#post("/backends/leave", {
      id: this.options.id,
      incarnation: this.incarnation,
    });
    return {};
  }

  #step(): void {
    const now = performance.now();
    const elapsed = (now - this.#steppedAt) / this.options.slowdown;
    this.#steppedAt = now;
    const factor = this.options.roleSpeed[this.#role];
    const { prefillTokensPerSecond, decodeTokensPerSecond } = this.options;
    this.#batch.step(elapsed, {
      prefillTokensPerSecond: prefillTokensPerSecond * factor.prefill,
      decodeTokensPerSecond: decodeTokensPerSecond * factor.decode,
      batchSlowdown: this.options.batchSlowdown,
    });
  }

  #heartbeat(): void {
    const oldest = Date.now() - this.options.heartbeatInterval;
    for (const stream of this.#streams) {
      if (stream.lastWriteAt <= oldest) stream.heartbeat();
    }
  }

  #announce(): void {
    const now = Date.now();
    this.#loadSamples.push({ at: now, load: this.#load() });
    this.#loadSamples = this.#loadSamples.filter(({ at }) =>
      at > now - loadHistoryTime
    );
    const { reportDelay } = this.options;
    const sample = this.#loadSamples.findLast(({ at }) =>
      at <= now - reportDelay
    );
    this.#sequence += 1;
    void this.#post("/backends/announce", {
      ...this.#status(),
      sequence: this.#sequence,
      url: this.#url,
      region: this.options.region,
      availability_zone: this.options.availabilityZone,
      leaving: this.#state === "leaving",
      load: sample?.load,
    });
  }

  #sendCacheEvents(): void {
    const changes = this.#cache.takeChanges();
    const count = changes.stored.length + changes.evicted.length;
    if (count === 0) return;
    const sequence = this.#cacheSequence;
    this.#cacheSequence += count;
    this.#cacheBatches += 1;
    const { dropCacheEvents } = this.options;
    if (dropCacheEvents > 0 && this.#cacheBatches % dropCacheEvents === 0) {
      return;
    }
    void this.#post("/backends/cache_events", {
      id: this.options.id,
      incarnation: this.incarnation,
      sequence,
      ...changes,
    });
  }

  /** Posts to the current entry host; a failure selects the next one. */
  async #post(path: string, body: Json): Promise<void> {
    const { announceOrigins, announceToken, announcing } = this.options;
    if (announceOrigins.length === 0 || !announcing) return;
    const origin = announceOrigins[this.#originIndex % announceOrigins.length];
    try {
      const answer = await request(`${origin}${path}`, {
        method: "POST",
        headers: {
          "content-type": "application/json",
          authorization: `Bearer ${announceToken}`,
        },
        body: JSON.stringify(body),
        headersTimeout: this.options.announceInterval,
      });
      await answer.body.dump();
      if (answer.statusCode >= 500) this.#originIndex += 1;
    } catch {
      this.#originIndex += 1;
    }
  }

  #addInterval(milliseconds: number, run: () => void): void {
    this.#timers.push(setInterval(run, milliseconds));
  }
}

function orderKey({ order, fencing }: FakeOrderRecord): string {
  return `${fencing} ${order}`;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
