/**
 * Takes callers' requests and leads them through the policy.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  CallerDisconnectedError,
  type Dispatcher,
  type GatewayTelemetry,
  OpenRequestTracker,
  type Readiness,
} from "@rhubarbstage/gateway/dispatch";
import type { Work, WorkSettings } from "@rhubarbstage/policy";
import {
  type BackendServerId,
  type Clock,
  type CustomerId,
  errorKinds,
  type ModelName,
  type RequestId,
  RhubarbstageError,
  SystemClock,
  toRhubarbstageError,
  type WorkKind,
} from "rhubarbstage";
import { deadlineMargin, defaultRetryAfter } from "./constants.ts";
import type { Dialect } from "./dialect.ts";
import { Reply } from "./reply.ts";
import { type RelayRequest, RelayRun } from "./relay_run.ts";
import { pickTarget, RouteIndex } from "./route_index.ts";
import type { ServerConnections } from "./server_connections.ts";
import type {
  RelayService,
  ReportedLoad,
  RequestMetadata,
  Route,
  RouteTable,
} from "./types.ts";

/** What a {@linkcode Relay} works with. */
export interface RelayOptions {
  readonly dispatcher: Dispatcher;
  readonly dialect: Dialect;
  readonly connections: ServerConnections;
  readonly telemetry: GatewayTelemetry;
  readonly readiness: Readiness;
  /** Retries for each first try. */
  readonly retryRatio: number;
  readonly onLoad: (server: BackendServerId, load: ReportedLoad) => void;
  readonly onServerUnreachable: (server: BackendServerId) => void;
  readonly onWrongServer: (server: BackendServerId) => void;
  readonly clock?: Clock;
}

/** A request whose route is known. */
interface RoutedRequest {
  readonly incoming: IncomingMessage;
  readonly route: Route;
  readonly service: RelayService;
  readonly traits: RequestMetadata;
  readonly body: Buffer;
  readonly arrivedAt: number;
}

/** Relays requests by the table of routes in force. */
export class Relay {
  readonly #options: RelayOptions;
  readonly #clock: Clock;
  readonly #requests = new OpenRequestTracker();
  /** Tells the ids of this process from those of an earlier one. */
  readonly #start = Date.now().toString(36);
  #index: RouteIndex | undefined;
  #count = 0;

  constructor(options: RelayOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
  }

  /** The table in force, if there is one. */
  get routeTable(): RouteTable | undefined {
    return this.#index?.table;
  }

  /** Puts a table in force; an older one than that in force changes nothing. */
  setRouteTable(table: RouteTable): void {
    if (table.version <= (this.routeTable?.version ?? -Infinity)) return;
    this.#index = new RouteIndex(table);
  }

  /** Ids of the requests that wait or run. */
  get openRequests(): readonly RequestId[] {
    return this.#requests.open;
  }

  /** Resolves when no request is open. */
  waitUntilIdle(): Promise<void> {
    return this.#requests.waitUntilIdle();
  }

  /** Answers one request. Never rejects. */
  async handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.#clock.monotonicMilliseconds();
    const request = this.#nextId();
    this.#requests.add(request);
    const gone = new AbortController();
    response.once("close", () => {
      if (!response.writableFinished) gone.abort(new CallerDisconnectedError());
    });
    if (this.#options.readiness.notReadyReason() === "shutting_down") {
      // The caller's next request goes to another host.
      response.shouldKeepAlive = false;
    }
    // Errors of the connection end in "close".
    response.on("error", () => {});
    try {
      await this.#serve(
        { incoming, response, request, arrivedAt },
        gone.signal,
      );
    } catch (thrown) {
      this.#answerError(response, { request, thrown });
    } finally {
      this.#requests.remove(request);
    }
  }

  async #serve(
    call: {
      incoming: IncomingMessage;
      response: ServerResponse;
      request: RequestId;
      arrivedAt: number;
    },
    signal: AbortSignal,
  ): Promise<void> {
    const { incoming, response, request, arrivedAt } = call;
    const { dialect, dispatcher, connections } = this.#options;
    if (!this.#options.readiness.acceptsWork()) {
      throw new RhubarbstageError("shutting_down");
    }
    const traits = dialect.readRequest(incoming.rawHeaders);
    const { route, service } = this.#route(incoming, { request, traits });
    const limit = this.#index?.table.limits.maxBodyBytes ?? Infinity;
    const body = await readBody(incoming, { limit, signal });
    const relayed = this.#toRelayRequest(request, {
      incoming,
      route,
      service,
      traits,
      body,
      arrivedAt,
    });
    const reply = new Reply(response);
    const run = new RelayRun(dispatcher, {
      request: relayed,
      reply,
      dialect,
      connections,
      onLoad: this.#options.onLoad,
      onServerUnreachable: this.#options.onServerUnreachable,
      onWrongServer: this.#options.onWrongServer,
    });
    try {
      const { status, server, events } = await dispatcher.execute(run, {
        signal,
      });
      this.#noteEnd(relayed, run, { result: "ok", status, server, events });
    } catch (thrown) {
      this.#settleFailure(relayed, run, { thrown, reply, response });
    }
  }

  #route(
    incoming: IncomingMessage,
    call: { readonly request: RequestId; readonly traits: RequestMetadata },
  ): { route: Route; service: RelayService } {
    const { request, traits } = call;
    const index = this.#index;
    if (index === undefined) {
      throw new RhubarbstageError("isolated", {
        message: "This host has no routes yet",
      });
    }
    const path = pathOf(incoming.url ?? "/");
    const route = index.find(incoming.headers.host ?? "", path);
    if (route === undefined) throw new RhubarbstageError("not_found");
    const name = pickTarget(route, Math.random());
    const service = index.service(name);
    if (service === undefined) {
      throw new RhubarbstageError("unknown_service");
    }
    this.#options.telemetry.recordEvent("request_routed", {
      request,
      caller_request: traits.id ?? "",
      route: route.name,
      service: name,
      version: index.table.version,
    });
    return { route, service };
  }

  #toRelayRequest(request: RequestId, routed: RoutedRequest): RelayRequest {
    const { incoming, route, service, traits, body } = routed;
    return {
      work: this.#toWork(request, routed),
      route,
      method: incoming.method ?? "GET",
      path: incoming.url ?? "/",
      headers: incoming.rawHeaders,
      body,
      tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
      ...(traits.id === undefined ? {} : { callerRequestId: traits.id }),
      ...(traits.lastEventId === undefined
        ? {}
        : { lastEventId: traits.lastEventId }),
    };
  }

  #toWork(request: RequestId, routed: RoutedRequest): Work {
    const { incoming, route, service, traits, body, arrivedAt } = routed;
    const patience = (traits.callerTimeout ?? Infinity) - deadlineMargin;
    return {
      request,
      // Callers of a platform's relay are not told apart; each service has its
      // own estimates and budgets.
      customer: service.name as string as CustomerId,
      service: service.name,
      kind: route.name as WorkKind,
      ...(service.engine === undefined
        ? {}
        : { model: service.name as string as ModelName }),
      promptTokens: traits.promptTokens,
      outputTokenLimit: traits.outputTokenLimit,
      ...(traits.expectedOutputTokens === undefined
        ? {}
        : { expectedOutputTokens: traits.expectedOutputTokens }),
      prefixHashes: [],
      promptParts: traits.promptParts,
      fingerprint: fingerprintOf(incoming, body),
      repeatable: route.kind === "idempotent" ||
        (route.kind === "stream" && route.resumable),
      resumable: route.kind === "stream" && route.resumable,
      cancellable: true,
      maxAttempts: route.maxAttempts,
      arrivedAt,
      deadlineAt: arrivedAt + Math.min(patience, route.timeout),
      ...(route.firstEventTimeout === undefined
        ? {}
        : { firstTokenTimeout: route.firstEventTimeout }),
      rank: route.rank,
      settings: this.#workSettings(route),
    };
  }

  #workSettings(route: Route): WorkSettings {
    return {
      priority: 0,
      share: 1,
      requestsPerSecond: Infinity,
      tokensPerSecond: Infinity,
      floorRequestsPerSecond: 0,
      firstTokenTarget: route.latencyTarget,
      retryRatio: this.#options.retryRatio,
    };
  }

  /** Ends a request whose last attempt has failed or that was refused. */
  #settleFailure(
    relayed: RelayRequest,
    run: RelayRun,
    failure: { thrown: unknown; reply: Reply; response: ServerResponse },
  ): void {
    const { thrown, reply, response } = failure;
    const { request } = relayed.work;
    if (thrown instanceof CallerDisconnectedError) {
      this.#noteEnd(relayed, run, { result: "caller_gone" });
      response.destroy();
      return;
    }
    const error = toRhubarbstageError(thrown);
    const kept = run.fallbackResponse;
    const result = error.kind;
    if (kept !== undefined && !reply.isBegun) {
      reply.send(kept.status, kept.headers, kept.body);
      this.#noteEnd(relayed, run, { result, status: kept.status });
      return;
    }
    this.#noteEnd(relayed, run, {
      result,
      outcome: error.outcome,
      cause: error.cause instanceof Error ? error.cause.message : "",
    });
    this.#answerError(response, { request, thrown: error });
  }

  #noteEnd(
    relayed: RelayRequest,
    run: RelayRun,
    fields: Record<string, string | number | undefined>,
  ): void {
    const { work } = relayed;
    const now = this.#clock.monotonicMilliseconds();
    const known = Object.entries(fields)
      .filter((entry): entry is [string, string | number] =>
        entry[1] !== undefined
      );
    this.#options.telemetry.recordEvent("request_ended", {
      request: work.request,
      caller_request: relayed.callerRequestId ?? "",
      route: relayed.route.name,
      attempts: run.attempts,
      milliseconds: Math.round(now - work.arrivedAt),
      ...Object.fromEntries(known),
    });
  }

  #answerError(
    response: ServerResponse,
    failure: { request: RequestId; thrown: unknown },
  ): void {
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    const error = toRhubarbstageError(failure.thrown);
    const status = statusForError(error);
    const body = JSON.stringify({
      error: {
        type: error.kind,
        message: error.message,
        outcome: error.outcome,
        request_id: failure.request,
      },
    });
    const headers: Record<string, string | number> = {
      "content-type": "application/json; charset=utf-8",
      "content-length": Buffer.byteLength(body),
    };
    if (errorKinds[error.kind].retryable && error.outcome === "not_run") {
      headers["retry-after"] = String(
        error.retryAfterSeconds ?? defaultRetryAfter,
      );
    }
    response.writeHead(status, headers).end(body);
  }

  #nextId(): RequestId {
    this.#count += 1;
    return `relay-${this.#start}-${this.#count}` as RequestId;
  }
}

/**
 * Status of a refusal. A status that promises `not run` is only given when that
 * is true, and a request that is not run is never answered as a failure.
 */
export function statusForError(error: RhubarbstageError): number {
  const { status, outcome, kind } = error;
  if (outcome === "not_run") {
    const isCallers = status < 500 && kind !== "request_quarantined";
    return isCallers ? status : 503;
  }
  if (kind === "deadline_exceeded") return 504;
  return status === 500 ? 500 : 502;
}

function pathOf(url: string): string {
  const query = url.indexOf("?");
  return query < 0 ? url : url.slice(0, query);
}

/** Equal for the same request sent again, whoever relays it. */
function fingerprintOf(incoming: IncomingMessage, body: Buffer): string {
  return createHash("sha1")
    .update(`${incoming.method} ${incoming.headers.host} ${incoming.url}\n`)
    .update(body)
    .digest("base64");
}

async function readBody(
  incoming: IncomingMessage,
  options: { readonly limit: number; readonly signal: AbortSignal },
): Promise<Buffer> {
  const { limit, signal } = options;
  const declared = Number(incoming.headers["content-length"] ?? 0);
  if (declared > limit) throw new RhubarbstageError("body_too_large");
  const pieces: Buffer[] = [];
  let size = 0;
  try {
    for await (const piece of incoming) {
      pieces.push(piece as Buffer);
      size += (piece as Buffer).length;
      if (size > limit) throw new RhubarbstageError("body_too_large");
    }
  } catch (thrown) {
    if (signal.aborted) throw signal.reason;
    throw thrown;
  }
  return pieces.length === 1 ? pieces[0] as Buffer : Buffer.concat(pieces);
}
