/**
 * Runs a gateway in this process with test doubles for the other parts of a
 * host, and fake engines in separate processes.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import {
  type Announcement,
  type BackendServerAddress,
  EngineClient,
  type EngineClientOptions,
} from "@rhubarbstage/engine";
import { NaivePolicy, type Policy } from "@rhubarbstage/policy";
import type {
  FakeEngineOptions,
  FakeEngineRecords,
} from "@rhubarbstage/test-support";
import type {
  BackendServerId,
  CustomerId,
  ModelName,
  Revision,
  ServiceName,
  WorkKind,
} from "rhubarbstage";
import {
  BackendServers,
  Credentials,
  Dispatcher,
  type EffectiveServiceSettings,
  type EventFields,
  Gateway,
  type GatewayOptions,
  GatewayTelemetry,
  OperatorActions,
  PolicyEffectHandler,
  Readiness,
  type RequestRecord,
  type SendServiceAttempt,
  type ServiceCall,
  ServiceCalls,
  type ServiceQuery,
  type ServiceResponse,
  type ServiceRouting,
  SettingsSource,
} from "@rhubarbstage/gateway";

export const apiKey = "key-of-padana";
export const operatorToken = "token-of-operator";
export const backendToken = "token-of-backends";

class FixedCredentials extends Credentials {
  override customerOf(key: string) {
    return key === apiKey ? "padana" as CustomerId : undefined;
  }
  override operatorOf(token: string) {
    return token === operatorToken ? "ada" : undefined;
  }
  override isBackendServer(token: string) {
    return token === backendToken;
  }
}

export class FixedSettings extends SettingsSource {
  settings: EffectiveServiceSettings = {
    revision: 7 as Revision,
    isolated: false,
    whenIsolated: "serve",
    service: "models" as ServiceName,
    kind: "chat" as WorkKind,
    timeout: 20_000,
    repeatable: true,
    work: {
      priority: 0,
      share: 1,
      requestsPerSecond: Infinity,
      tokensPerSecond: Infinity,
      floorRequestsPerSecond: 0,
      firstTokenTarget: 1_000,
      retryRatio: 1,
    },
  };
  override models() {
    return ["small" as ModelName];
  }
  override forModel({ model }: { model: ModelName }) {
    return model === "small" ? this.settings : undefined;
  }
  override forService({ service, path }: ServiceQuery) {
    if (service !== "ledger") return undefined;
    const repeatable = !path.startsWith("/top-up");
    return { ...this.settings, service, repeatable };
  }
}

/** Records calls and returns a fixed response by default. */
class RecordingServices extends ServiceCalls {
  readonly calls: ServiceCall[] = [];
  send: SendServiceAttempt = ({ server }) =>
    Promise.resolve({
      status: 201,
      headers: { "x-server": server.id },
      body: Buffer.from("done"),
      replayed: false,
    });
  override call(
    call: ServiceCall,
    routing: ServiceRouting,
  ): Promise<ServiceResponse> {
    this.calls.push(call);
    return routing.run((attempt) => this.send(attempt));
  }
}

class KnownServers extends BackendServers {
  readonly announcements: Announcement[] = [];
  readonly changes: unknown[] = [];
  readonly addresses = new Map<BackendServerId, BackendServerAddress>();
  override handleAnnouncement(announcement: Announcement) {
    this.announcements.push(announcement);
    return { renewAfter: 2_000 };
  }
  override handleDeparture(departure: unknown) {
    this.changes.push(departure);
  }
  override applyCacheEvents(events: unknown) {
    this.changes.push(events);
  }
  override addressOf(server: BackendServerId) {
    return this.addresses.get(server);
  }
}

/** Returns its arguments, so that tests can check what was passed. */
function echo(...values: unknown[]): never {
  return Object.assign({}, ...values) as never;
}

class EchoOperators extends OperatorActions {
  override tree = () => Promise.resolve(echo({ revision: 7 }));
  override effective = (path: unknown) => echo(path);
  override edit = (edit: unknown, operator: string) =>
    Promise.resolve(echo(edit, { operator }));
  override history = (limit: number) => Promise.resolve(echo({ limit }));
  override status = () => echo({});
  override backends = () => Promise.resolve(echo({ backends: [] }));
  override drain = (request: unknown, operator: string) =>
    Promise.resolve(echo(request, { operator }));
  override timeline = (filter: unknown, scope: string) =>
    Promise.resolve(echo(filter, { scope }));
  override bootstrap = (request: unknown) => Promise.resolve(echo(request));
  override repair = (request: unknown) => Promise.resolve(echo(request));
  override endOrder = (request: unknown) => Promise.resolve(echo(request));
}

class RecordingTelemetry extends GatewayTelemetry {
  readonly events: [string, EventFields][] = [];
  readonly ended: RequestRecord[] = [];
  override recordEvent(event: string, fields: EventFields) {
    this.events.push([event, fields]);
  }
  override recordRequestEnd(record: RequestRecord) {
    this.ended.push(record);
  }
  override recordTimeToFirstToken() {}
  override recordInterTokenLatency() {}
  override metrics() {
    return Promise.resolve({ contentType: "text/plain", text: "up 1\n" });
  }
}

class SwitchableReadiness extends Readiness {
  reason: string | undefined;
  accepts = true;
  override notReadyReason() {
    return this.reason;
  }
  override acceptsWork() {
    return this.accepts;
  }
}

class NoopEffectHandler extends PolicyEffectHandler {
  override shareEngineWork(): void {}
  override setRole() {}
  override publishQuarantine() {}
  override publishPartMarks() {}
  override publishRequestLimits() {}
  override publishDemand() {}
}

export interface HarnessOptions extends GatewayOptions {
  readonly policy?: Policy;
  readonly engineClient?: EngineClientOptions;
  readonly engines?: EngineClient;
}

/** A gateway and its test doubles. */
export class Harness {
  readonly settings = new FixedSettings();
  readonly services = new RecordingServices();
  readonly servers = new KnownServers();
  readonly telemetry = new RecordingTelemetry();
  readonly readiness = new SwitchableReadiness();
  readonly engineClient: EngineClient;
  readonly dispatcher: Dispatcher;
  gateway!: Gateway;
  url = "";
  #abort = new AbortController();

  constructor(options: HarnessOptions) {
    this.engineClient = options.engines ??
      new EngineClient(options.engineClient);
    this.dispatcher = new Dispatcher({
      policy: options.policy ?? new NaivePolicy(),
      engines: this.engineClient,
      backendServers: this.servers,
      effectHandler: new NoopEffectHandler(),
      telemetry: this.telemetry,
    });
  }

  static async start(options: HarnessOptions = {}): Promise<Harness> {
    const harness = new Harness(options);
    harness.gateway = await Gateway.create({
      dispatcher: harness.dispatcher,
      credentials: new FixedCredentials(),
      settings: harness.settings,
      services: harness.services,
      backendServers: harness.servers,
      operators: new EchoOperators(),
      telemetry: harness.telemetry,
      readiness: harness.readiness,
    }, options);
    harness.url = await harness.gateway.listen({
      address: "127.0.0.1",
      port: 0,
    });
    harness.dispatcher.start({ signal: harness.#abort.signal });
    return harness;
  }

  /** Registers a backend server and announces it to the policy. */
  addServer(id: string, url: string): void {
    const server = id as BackendServerId;
    this.servers.addresses.set(server, { id: server, url });
    this.dispatcher.notify({
      type: "server_seen",
      server: {
        id: server,
        incarnation: 1 as never,
        region: "lombardia" as never,
        availabilityZone: "lombardia-1" as never,
        models: ["small" as ModelName],
        services: ["ledger" as ServiceName],
        role: "mixed",
        capacity: 16,
        acceptsNewWork: true,
      },
    });
  }

  post(path: string, body: unknown, headers: Record<string, string> = {}) {
    return fetch(`${this.url}${path}`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${apiKey}`,
        "content-type": "application/json",
        ...headers,
      },
      body: typeof body === "string" ? body : JSON.stringify(body),
    });
  }

  async close(): Promise<void> {
    this.#abort.abort();
    await this.gateway.close();
    await this.engineClient.close();
  }
}

/** A fake engine in a separate process. */
export class EngineProcess {
  readonly id: string;
  readonly url: string;
  readonly exited: Promise<void>;
  #child: ChildProcess;

  constructor(id: string, url: string, child: ChildProcess) {
    this.id = id;
    this.url = url;
    this.#child = child;
    this.exited = new Promise((resolve) => child.once("exit", () => resolve()));
  }

  static async start(
    options: Partial<FakeEngineOptions> = {},
  ): Promise<EngineProcess> {
    const program = join(process.cwd(), "dist/fake_engine.cjs");
    const child = spawn(process.execPath, [program, JSON.stringify(options)], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    const lines = createInterface({ input: child.stdout });
    const line = await new Promise<string>((resolve, reject) => {
      lines.once("line", resolve);
      child.once("exit", () => reject(new Error("The fake engine exited")));
    });
    const { url } = JSON.parse(line);
    return new EngineProcess(options.id ?? "engine-1", url, child);
  }

  async records(): Promise<FakeEngineRecords> {
    const response = await fetch(`${this.url}/test/records`);
    return await response.json() as FakeEngineRecords;
  }

  async reconfigure(options: Partial<FakeEngineOptions>): Promise<void> {
    await fetch(`${this.url}/test/switch`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(options),
    });
  }

  async stop(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.exited;
  }
}

/** Waits until a condition is true; throws after 5 s. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = Date.now() + 5_000;
  while (!await condition()) {
    if (Date.now() > end) throw new Error("Condition not met within 5 s");
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
