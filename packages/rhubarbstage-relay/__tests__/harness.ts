/** A relay with the real policy and scripted TCP servers. */

import { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { EngineClient } from "@rhubarbstage/engine";
import {
  Dispatcher,
  GatewayTelemetry,
  PolicyEffectHandler,
  Readiness,
} from "@rhubarbstage/gateway/dispatch";
import {
  type EngineRole,
  FleetPolicy,
  type FleetSettings,
} from "@rhubarbstage/policy";
import type {
  AvailabilityZone,
  BackendServerId,
  Incarnation,
  ModelName,
  Region,
  RequestId,
  ServiceName,
} from "rhubarbstage";
import {
  AnswerOrigins,
  type AttemptMetadata,
  type BegunStream,
  Dialect,
  endToEndHeaders,
  type EngineState,
  type HeaderList,
  headerValue,
  type OrderOutcome,
  Relay,
  RelayListener,
  type RequestMetadata,
  type ResponseMetadata,
  type RoleOrder,
  type Route,
  type ServerCall,
  ServerConnections,
  type StreamOrigin,
  StreamTable,
  unambiguousHeaderValue,
} from "../src/mod.ts";

const region = "here" as Region;

/** Dialect with plain `test-` headers. */
export class TestDialect extends Dialect {
  override parseRequest(headers: HeaderList): RequestMetadata {
    const id = headerValue(headers, "test-id");
    const timeout = headerValue(headers, "test-timeout");
    return {
      promptTokens: Number(headerValue(headers, "test-tokens") ?? 0),
      outputTokenLimit: 0,
      promptParts: [],
      ...(id === undefined ? {} : { id: id as RequestId }),
      ...(timeout === undefined ? {} : { callerTimeout: Number(timeout) }),
    };
  }

  override attemptHeaders(headers: HeaderList, attempt: AttemptMetadata) {
    const sent = endToEndHeaders(headers);
    sent.push("test-server", attempt.server);
    if (attempt.step === "prefill") sent.push("test-step", "prefill");
    if (attempt.promptExport !== undefined) {
      sent.push("test-export", attempt.promptExport.handle);
    }
    if (attempt.resumeAfter !== undefined) {
      sent.push("test-resume", attempt.resumeAfter);
    }
    return sent;
  }

  override parseResponse(
    _status: number,
    headers: HeaderList,
  ): ResponseMetadata {
    const request = unambiguousHeaderValue(headers, "test-id");
    const pause = headerValue(headers, "test-pause");
    const isLeaving = headerValue(headers, "test-leaving") !== undefined;
    const notice = { isLeaving, pause: Number(pause ?? 0) };
    return {
      ...(isLeaving || pause !== undefined ? { notice } : {}),
      isNotRun: headerValue(headers, "test-not-run") !== undefined,
      isWrongServer: false,
      isSigned: headerValue(headers, "test-signature") !== undefined,
      ...(request === undefined ? {} : { request }),
    };
  }

  override parseExportHandle(body: Uint8Array): string {
    return new TextDecoder().decode(body);
  }

  override buildExportRelease() {
    return { method: "DELETE", path: "/" };
  }

  override buildStateRequest() {
    return { method: "GET", path: "/state" };
  }

  override parseState(body: Uint8Array): EngineState {
    return JSON.parse(new TextDecoder().decode(body)) as EngineState;
  }

  override buildRoleOrder(order: RoleOrder): ServerCall {
    return { method: "POST", path: "/role", body: JSON.stringify(order) };
  }

  override parseOrderOutcome(status: number): OrderOutcome {
    if (status === 202) return "accepted";
    return status === 409 ? "refused" : "unclear";
  }
}

class NoopEffectHandler extends PolicyEffectHandler {
  override shareEngineWork(): void {}
  override setRole(): void {}
  override publishQuarantine(): void {}
  override publishPartMarks(): void {}
  override publishRequestLimits(): void {}
  override publishDemand(): void {}
}

/** Remembers streams in this process. */
class LocalAnswerOrigins extends AnswerOrigins {
  readonly #streams = new StreamTable();

  override record(stream: BegunStream): void {
    this.#streams.add(stream, performance.now());
  }

  override find(id: RequestId): Promise<StreamOrigin | undefined> {
    return Promise.resolve(this.#streams.find(id, performance.now()));
  }

  override findVersions() {
    return Promise.resolve(new Set<undefined>());
  }
}

class NoopTelemetry extends GatewayTelemetry {
  override recordEvent(): void {}
  override recordRequestEnd(): void {}
  override recordTimeToFirstToken(): void {}
  override recordInterTokenLatency(): void {}
  override metrics() {
    return Promise.resolve({ contentType: "", text: "" });
  }
}

class AlwaysReady extends Readiness {
  override notReadyReason(): undefined {
    return undefined;
  }
  override acceptsWork(): boolean {
    return true;
  }
}

/** One request as a server received it, and the socket to answer on. */
export interface ReceivedRequest {
  readonly head: string;
  readonly body: string;
  readonly socket: Socket;
  /** Requests that the server has received, this one included. */
  readonly count: number;
}

/** Answers one request by writing raw bytes. */
export type Script = (received: ReceivedRequest) => void;

export interface TestServer {
  readonly url: string;
  readonly received: ReceivedRequest[];
  close(): Promise<void>;
}

/** Starts a server that passes each complete request to a script. */
export async function startServer(script: Script): Promise<TestServer> {
  const received: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    let bytes = Buffer.alloc(0);
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        const end = bytes.indexOf("\r\n\r\n");
        if (end < 0) return;
        const head = bytes.subarray(0, end).toString("latin1");
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        if (bytes.length < end + 4 + length) return;
        const body = bytes.subarray(end + 4, end + 4 + length).toString();
        bytes = bytes.subarray(end + 4 + length);
        const receivedRequest = {
          head,
          body,
          socket,
          count: received.length + 1,
        };
        received.push(receivedRequest);
        script(receivedRequest);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    received,
    close: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => resolve());
      }),
  };
}

const engine = {
  slots: 8,
  cacheTokens: 400_000,
  tokensPerEvent: 1,
  exportLifetime: 5_000,
};

export interface TestRelay {
  readonly port: number;
  readonly relay: Relay;
  readonly dispatcher: Dispatcher;
  readonly listener: RelayListener;
  close(): Promise<void>;
}

/** Starts a relay with one service on the given servers. */
export async function startRelay(options: {
  readonly servers: readonly TestServer[];
  readonly route?: Partial<Route>;
  readonly settings?: Partial<FleetSettings>;
  /** Roles of the servers, if they are engines. */
  readonly roles?: readonly EngineRole[];
  readonly maxBodyBytes?: number;
  /** Whether a server still accepts work after the prefill. */
  readonly acceptsNewWork?: (server: BackendServerId) => boolean;
  /** Whether a server has ended; by default, if it refuses connections. */
  readonly confirmServerEnded?: () => Promise<boolean>;
  /** Called when a server has begun to run a request, or has not after all. */
  readonly onBegun?: (change: 1 | -1) => void;
  /** Called when a request begins (1) and when it ends (-1). */
  readonly onRunning?: (change: 1 | -1, error?: string) => void;
}): Promise<TestRelay> {
  const { roles } = options;
  const service = "store" as ServiceName;
  const addresses = options.servers.map(({ url }, index) => ({
    id: `server-${index}` as BackendServerId,
    url,
    incarnation: 1 as Incarnation,
  }));
  const stopped = new AbortController();
  const backendServers = {
    addressOf: (id: BackendServerId) =>
      addresses.find((address) => address.id === id),
    acceptsNewWork: options.acceptsNewWork ?? (() => true),
  };
  const dispatcher = new Dispatcher({
    policy: new FleetPolicy({ region, settings: options.settings ?? {} }),
    engines: new EngineClient({}),
    backendServers,
    effectHandler: new NoopEffectHandler(),
    telemetry: new NoopTelemetry(),
  });
  const connections = new ServerConnections({
    dialect: new TestDialect(),
    maxConnections: () => 10,
    hosts: () => 1,
  });
  const relay = new Relay({
    dispatcher,
    dialect: new TestDialect(),
    connections,
    telemetry: new NoopTelemetry(),
    readiness: new AlwaysReady(),
    retryRatio: 1,
    onLoad: () => {},
    onServerUnreachable: () => {},
    onWrongServer: () => {},
    ...(options.confirmServerEnded === undefined
      ? {}
      : { confirmServerEnded: options.confirmServerEnded }),
    origins: new LocalAnswerOrigins(),
    onBegun: (_work, change) => options.onBegun?.(change),
    onRequestBegun: () => options.onRunning?.(1),
    onRequestEnded: (_work, error) => options.onRunning?.(-1, error?.kind),
  });
  relay.setRouteTable({
    version: 1,
    routes: [{
      name: "route",
      hostName: "shop.example",
      pathPrefix: "/",
      kind: "idempotent",
      timeout: 5_000,
      latencyTarget: 500,
      rank: 0,
      targets: [{ service, weight: 1 }],
      maxAttempts: 2,
      resumable: false,
      ...options.route,
    }],
    services: [{
      name: service,
      healthPath: "/health",
      maxConnections: 10,
      ...(roles === undefined ? {} : { engine }),
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: options.maxBodyBytes ?? 1_000_000,
      headerTimeout: 3_000,
      idleTimeout: 15_000,
    },
  });
  for (const [index, { id }] of addresses.entries()) {
    dispatcher.notify({
      type: "server_seen",
      server: {
        id,
        incarnation: 1 as Incarnation,
        region,
        availabilityZone: "here-a" as AvailabilityZone,
        models: roles === undefined ? [] : [service as string as ModelName],
        services: roles === undefined ? [service] : [],
        role: roles?.[index] ?? "mixed",
        capacity: 8,
        acceptsNewWork: true,
      },
    });
  }
  dispatcher.start({ signal: stopped.signal });
  const listener = new RelayListener(relay);
  const origin = await listener.listen({ address: "127.0.0.1", port: 0 });
  return {
    port: Number(new URL(origin).port),
    relay,
    dispatcher,
    listener,
    close: async () => {
      stopped.abort();
      await listener.close();
      await connections.close();
    },
  };
}

/** Sends raw text and returns all received bytes once the connection closes. */
export function exchange(
  port: number,
  text: string,
  options: { readonly until?: (seen: string) => boolean } = {},
): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => socket.write(text));
    let seen = "";
    socket.on("data", (chunk) => {
      seen += chunk.toString("latin1");
      if (options.until?.(seen) === true) socket.destroy();
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve(seen));
  });
}

/** Builds a request with `Connection: close`. */
export function request(options: {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: readonly string[];
  readonly body?: string;
}): string {
  const { method = "GET", path = "/", headers = [], body } = options;
  const lines = [
    `${method} ${path} HTTP/1.1`,
    "Host: shop.example",
    "Connection: close",
    ...headers,
    ...(body === undefined ? [] : [`Content-Length: ${body.length}`]),
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body ?? ""}`;
}

/** Builds a complete response with a signature. */
export function answer(
  status: string,
  headers: readonly string[],
  body: string,
): string {
  return [
    `HTTP/1.1 ${status}`,
    "test-signature: s",
    ...headers,
    `Content-Length: ${body.length}`,
    "",
    body,
  ].join("\r\n");
}
