/**
 * Plain service for tests that records each execution of a request.
 *
 * @module
 */

import { fastify, type FastifyInstance } from "fastify";
import type { FastifyReply, FastifyRequest } from "fastify";
import { delay } from "rhubarbstage";
import { request } from "undici";
import {
  type FakeExecution,
  fakeServiceDefaults,
  type FakeServiceOptions,
  type FakeServiceRecords,
  type FakeServiceSwitches,
} from "./fake_service_types.ts";

type Countdown = "closeBefore" | "closeAfter" | "breakAnswer" | "refuse";

const bodyLimit = 16 * 1_024 * 1_024;

/**
 * Executes any request; answers with the execution count and its idempotency
 * key.
 */
export class FakeService {
  readonly options: FakeServiceOptions;
  /** Start of the service in milliseconds since the Unix epoch. */
  readonly incarnation = Date.now();
  #server: FastifyInstance;
  #executions: FakeExecution[] = [];
  #arrived = 0;
  #connections = 0;
  #running = 0;
  #sequence = 0;
  #originIndex = 0;
  #leaving = false;
  #timer: NodeJS.Timeout | undefined;
  #url = "";

  constructor(options: Partial<FakeServiceOptions> = {}) {
    this.options = { ...fakeServiceDefaults, ...options };
    this.#server = fastify({ bodyLimit, forceCloseConnections: true });
    this.#server.server.on("connection", () => this.#connections += 1);
    this.#addRoutes();
  }

  get switches(): FakeServiceSwitches {
    return this.options;
  }

  get url(): string {
    return this.#url;
  }

  get records(): FakeServiceRecords {
    const counts: Record<string, number> = {};
    for (const { key } of this.#executions) {
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return {
      incarnation: this.incarnation,
      arrived: this.#arrived,
      connections: this.#connections,
      executions: this.#executions,
      counts,
    };
  }

  /** Starts the server and the announcements; resolves with the origin. */
  async listen(): Promise<string> {
    const { address, port, announceInterval } = this.options;
    this.#url = await this.#server.listen({ host: address, port });
    this.#announce();
    this.#timer = setInterval(() => this.#announce(), announceInterval);
    return this.#url;
  }

  /** Closes all connections at once, like a killed process. */
  async close(): Promise<void> {
    clearInterval(this.#timer);
    await this.#server.close();
  }

  #addRoutes(): void {
    const server = this.#server;
    server.removeAllContentTypeParsers();
    server.addContentTypeParser(
      "*",
      { parseAs: "string" },
      (_request, body, done) => done(null, body),
    );
    server.get("/v1/status", () => this.#status());
    server.get("/test/records", () => this.records);
    server.post("/test/switch", (request) => {
      Object.assign(this.options, JSON.parse(request.body as string));
      return {};
    });
    server.post("/test/leave", () => {
      this.#leaving = true;
      this.#announce();
      const { id } = this.options;
      void this.#post("/backends/leave", { id, incarnation: this.incarnation });
      return {};
    });
    server.all("/*", (request, reply) => this.#serve(request, reply));
  }

  async #serve(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    this.#arrived += 1;
    this.#running += 1;
    try {
      await this.#run(request, reply);
    } finally {
      this.#running -= 1;
    }
  }

  async #run(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    const { delayBefore, delayAfter, status, padding } = this.options;
    if (this.#consumeFault("closeBefore")) return closeConnection(reply);
    if (delayBefore > 0) await delay(delayBefore);
    if (this.#consumeFault("refuse")) {
      reply.code(503).header("rhubarbstage-outcome", "not_run");
      return await reply.send({ error: "refused" });
    }
    const execution = createExecution(request);
    this.#executions.push(execution);
    if (this.#consumeFault("closeAfter")) return closeConnection(reply);
    if (delayAfter > 0) await delay(delayAfter);
    const body = JSON.stringify({
      execution: this.#executions.length,
      key: execution.key,
      padding: "x".repeat(padding),
    });
    if (this.#consumeFault("breakAnswer")) return truncateAnswer(reply, body);
    if (this.options.closeKeptAlive) {
      reply.raw.once("finish", () => request.raw.socket.destroySoon());
    }
    reply.code(status).header("content-type", "application/json");
    await reply.send(body);
  }

  /** Returns whether a fault applies now and decrements its counter. */
  #consumeFault(name: Countdown): boolean {
    if (this.options[name] === 0) return false;
    this.options[name] -= 1;
    return true;
  }

  #status(): Readonly<Record<string, unknown>> {
    const { id, services, capacity } = this.options;
    return {
      id,
      incarnation: this.incarnation,
      models: [],
      adapters: [],
      services,
      role: "mixed",
      capacity,
      state: this.#leaving ? "leaving" : "serving",
      fencing: "ignored",
      load: {
        running_requests: this.#running,
        queued_requests: 0,
        cache_tokens_used: 0,
        cache_tokens_total: 0,
      },
    };
  }

  #announce(): void {
    const { announcedUrl, region, availabilityZone } = this.options;
    this.#sequence += 1;
    void this.#post("/backends/announce", {
      ...this.#status(),
      sequence: this.#sequence,
      url: announcedUrl || this.#url,
      region,
      availability_zone: availabilityZone,
      leaving: this.#leaving,
    });
  }

  /** Posts to the current entry host; a failure selects the next one. */
  async #post(path: string, body: unknown): Promise<void> {
    const { announceOrigins, announceToken, announceInterval, announcing } =
      this.options;
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
        headersTimeout: announceInterval,
      });
      await answer.body.dump();
      if (answer.statusCode >= 500) this.#originIndex += 1;
    } catch {
      this.#originIndex += 1;
    }
  }
}

function createExecution(request: FastifyRequest): FakeExecution {
  const { headers, method, url } = request;
  return {
    key: String(headers["idempotency-key"] ?? ""),
    sendId: String(headers["x-send-id"] ?? ""),
    method,
    path: url,
    body: typeof request.body === "string" ? request.body : "",
    at: Date.now(),
  };
}

function closeConnection(reply: FastifyReply): void {
  reply.hijack();
  reply.raw.destroy();
}

/** Closes the connection one byte short of `content-length`. */
function truncateAnswer(reply: FastifyReply, body: string): void {
  reply.hijack();
  reply.raw.writeHead(200, { "content-length": body.length + 1 });
  reply.raw.write(body, () => reply.raw.destroy());
}
