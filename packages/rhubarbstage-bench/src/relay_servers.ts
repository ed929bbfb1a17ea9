/**
 * Servers that the relay benchmark compares, each in a separate process: the
 * gateway with the fleet policy and a bare pass-through proxy.
 *
 * @module
 */

import process from "node:process";
import { EngineClient } from "@rhubarbstage/engine";
import {
  BackendServers,
  Credentials,
  Dispatcher,
  Gateway,
  GatewayTelemetry,
  OperatorActions,
  PolicyEffectHandler,
  Readiness,
  ServiceCalls,
  SettingsSource,
} from "@rhubarbstage/gateway";
import { FleetPolicy } from "@rhubarbstage/policy";
import fastify from "fastify";
import {
  type AvailabilityZone,
  type BackendServerId,
  type CustomerId,
  every,
  type Incarnation,
  type ModelName,
  type Region,
  type Revision,
  RhubarbstageError,
  type ServiceName,
  type WorkKind,
} from "rhubarbstage";
import { Agent, request } from "undici";

/** Options of a server process. */
export interface RelayServerOptions {
  /** Origin of the engine. */
  readonly engine: string;
  /** Requests that the engine runs at the same time. */
  readonly capacity: number;
}

/** Resource usage that a server process reports. */
export interface RelayUsage {
  /** CPU time since the start, in milliseconds. */
  readonly cpu: number;
  /** Resident memory in bytes. */
  readonly resident: number;
  /** Live JavaScript heap after a collection, in bytes. */
  readonly heap: number;
}

/** Interval of renewals of a backend server, in milliseconds. */
const renewalInterval = 2_000;

const region = "lombardia" as Region;
const engineId = "engine-1" as BackendServerId;
const model = "small" as ModelName;

/** Runs the pass-through proxy. */
export async function servePassThrough(
  options: RelayServerOptions,
): Promise<void> {
  const dispatcher = new Agent({ connections: options.capacity });
  const server = fastify({ bodyLimit: 8 * 1_048_576 });
  server.post("/v1/completions", async (incoming, reply) => {
    const answer = await request(`${options.engine}/v1/completions`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(incoming.body),
      dispatcher,
    });
    reply.code(answer.statusCode);
    reply.header("content-type", answer.headers["content-type"]);
    return reply.send(answer.body);
  });
  reportToParent(await server.listen({ host: "127.0.0.1", port: 0 }));
}

/** Runs the gateway in front of one engine. */
export async function serveGateway(options: RelayServerOptions): Promise<void> {
  const telemetry = new SilentTelemetry();
  const backendServers = new SingleEngine(options.engine);
  const dispatcher = new Dispatcher({
    policy: new FleetPolicy({ region, seed: 1 }),
    engines: new EngineClient({ connections: options.capacity }),
    backendServers,
    effectHandler: new NoEffects(),
    telemetry,
  });
  const gateway = await Gateway.create({
    dispatcher,
    credentials: new SingleKeyCredentials(),
    settings: new FixedSettings(),
    services: new NoServices(),
    backendServers,
    operators: new NoOperators(),
    telemetry,
    readiness: new AlwaysReady(),
  });
  const { signal } = new AbortController();
  const renew = () => dispatcher.notify(engineSeen(options.capacity));
  renew();
  every(renewalInterval, renew, { signal });
  dispatcher.start({ signal });
  reportToParent(await gateway.listen({ address: "127.0.0.1", port: 0 }));
}

/** Sends the origin to the parent, and the usage on each request. */
function reportToParent(url: string): void {
  process.on("message", () => {
    (globalThis as { gc?: () => void }).gc?.();
    const { user, system } = process.cpuUsage();
    const { rss, heapUsed } = process.memoryUsage();
    const cpu = (user + system) / 1_000;
    process.send?.({ cpu, resident: rss, heap: heapUsed });
  });
  process.on("disconnect", () => process.exit(0));
  process.send?.({ url });
}

function engineSeen(capacity: number) {
  return {
    type: "server_seen" as const,
    server: {
      id: engineId,
      incarnation: 1 as Incarnation,
      region,
      availabilityZone: "lombardia-1" as AvailabilityZone,
      models: [model],
      services: [],
      role: "mixed" as const,
      capacity,
      acceptsNewWork: true,
    },
  };
}

class SingleKeyCredentials extends Credentials {
  override customerOf() {
    return "padana" as CustomerId;
  }
  override operatorOf() {
    return undefined;
  }
  override isBackendServer() {
    return false;
  }
}

class FixedSettings extends SettingsSource {
  #settings = {
    revision: 1 as Revision,
    isolated: false,
    whenIsolated: "serve" as const,
    service: "models" as ServiceName,
    kind: "chat" as WorkKind,
    timeout: 120_000,
    work: {
      priority: 0,
      share: 1,
      requestsPerSecond: Infinity,
      tokensPerSecond: Infinity,
      floorRequestsPerSecond: 0,
      firstTokenTarget: 60_000,
      retryRatio: 0.1,
    },
  };
  override models() {
    return [model];
  }
  override forModel() {
    return this.#settings;
  }
  override forService() {
    return undefined;
  }
}

class SingleEngine extends BackendServers {
  #url: string;
  constructor(url: string) {
    super();
    this.#url = url;
  }
  override handleAnnouncement() {
    return { renewAfter: renewalInterval };
  }
  override handleDeparture() {}
  override applyCacheEvents() {}
  override addressOf(id: BackendServerId) {
    return { id, url: this.#url };
  }
}

class NoServices extends ServiceCalls {
  override call(): Promise<never> {
    return Promise.reject(new RhubarbstageError("unknown_service"));
  }
}

function refuse(): never {
  throw new RhubarbstageError("not_found");
}

class NoOperators extends OperatorActions {
  override tree = refuse;
  override effective = refuse;
  override edit = refuse;
  override history = refuse;
  override status = refuse;
  override backends = refuse;
  override drain = refuse;
  override timeline = refuse;
  override bootstrap = refuse;
  override repair = refuse;
  override endOrder = refuse;
}

class NoEffects extends PolicyEffectHandler {
  override shareEngineWork(): void {}
  override setRole() {}
  override publishQuarantine() {}
  override publishPartMarks() {}
  override publishRequestLimits() {}
  override publishDemand() {}
}

class SilentTelemetry extends GatewayTelemetry {
  override recordEvent() {}
  override recordRequestEnd() {}
  override recordTimeToFirstToken() {}
  override recordInterTokenLatency() {}
  override metrics() {
    return Promise.resolve({ contentType: "text/plain", text: "" });
  }
}

class AlwaysReady extends Readiness {
  override notReadyReason() {
    return undefined;
  }
  override acceptsWork() {
    return true;
  }
}
