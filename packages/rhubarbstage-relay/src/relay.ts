/**
 * Accepts callers' requests and dispatches them under the policy.
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
  waitForResponseClose,
} from "@rhubarbstage/gateway/dispatch";
import type { BackendServerAddress } from "@rhubarbstage/engine";
import type { Work, WorkSettings } from "@rhubarbstage/policy";
import {
  type BackendServerId,
  type Clock,
  type CustomerId,
  errorKinds,
  MemoryBudget,
  type MemoryLease,
  type ModelName,
  readRequestBody,
  ReadScheduler,
  refuseRequest,
  type RequestId,
  RhubarbstageError,
  type SoftwareVersion,
  SystemClock,
  toRhubarbstageError,
  type WorkKind,
} from "rhubarbstage";
import type { AnswerOrigins, StreamOrigin } from "./answer_origins.ts";
import {
  callerStallTimeout,
  deadlineMargin,
  defaultRetryAfter,
  maxStreamLifetime,
} from "./constants.ts";
import type { Dialect } from "./dialect.ts";
import { Reply } from "./reply.ts";
import { type RelayRequest, RelayRun } from "./relay_run.ts";
import { pickTarget, RouteIndex } from "./route_index.ts";
import {
  refusesConnections,
  type ServerConnections,
} from "./server_connections.ts";
import type {
  CallerIdentity,
  RelayService,
  ReportedLoad,
  RequestMetadata,
  Route,
  RouteTable,
} from "./types.ts";

/** Options of {@linkcode Relay}. */
export interface RelayOptions {
  readonly dispatcher: Dispatcher;
  readonly dialect: Dialect;
  readonly connections: ServerConnections;
  readonly telemetry: GatewayTelemetry;
  readonly readiness: Readiness;
  /** Retry budget: retries allowed for each first attempt. */
  readonly retryRatio: number;
  readonly onLoad: (server: BackendServerId, load: ReportedLoad) => void;
  readonly onServerUnreachable: (server: BackendServerId) => void;
  readonly onWrongServer: (server: BackendServerId) => void;
  /**
   * Whether the process of a server has ended, after a lost connection; by
   * default, if its address refuses connections.
   */
  readonly confirmServerEnded?: (
    server: BackendServerAddress,
  ) => Promise<boolean>;
  readonly origins: AnswerOrigins;
  /**
   * Called with 1 when a server has begun to run a request, once for all its
   * attempts, and with -1 when no server turns out to have run it.
   */
  readonly onBegun?: (work: Work, change: 1 | -1) => void;
  /** Called when a request has been read and is about to be placed. */
  readonly onRequestBegun?: (work: Work) => void;
  /** Called when it ended, with its error unless it was served. */
  readonly onRequestEnded?: (work: Work, error?: RhubarbstageError) => void;
  /** Memory for bodies and answers; unlimited by default. */
  readonly budget?: MemoryBudget;
  /** Shares the event loop among bodies that arrive; one of its own by default. */
  readonly scheduler?: ReadScheduler;
  readonly clock?: Clock;
}

/** A request with its selected route and service. */
interface RoutedRequest {
  readonly incoming: IncomingMessage;
  readonly route: Route;
  readonly service: RelayService;
  readonly metadata: RequestMetadata;
  readonly body: Buffer;
  readonly arrivedAt: number;
  /** Absent if the route table has no customers. */
  readonly caller: CallerIdentity | undefined;
  /** Present if the request takes up a stream of the same service. */
  readonly origin?: StreamOrigin;
}

/** Relays requests by the current route table. */
export class Relay {
  readonly #options: RelayOptions;
  readonly #clock: Clock;
  readonly #budget: MemoryBudget;
  readonly #scheduler: ReadScheduler;
  readonly #requests = new OpenRequestTracker();
  /** Distinguishes request ids of this process from those of an earlier one. */
  readonly #idPrefix = Date.now().toString(36);
  #index: RouteIndex | undefined;
  #requestCount = 0;

  constructor(options: RelayOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
    this.#budget = options.budget ?? new MemoryBudget();
    this.#scheduler = options.scheduler ?? new ReadScheduler();
  }

  /** The current route table, if one was set. */
  get routeTable(): RouteTable | undefined {
    return this.#index?.table;
  }

  /** Replaces the route table; ignores a version that is not newer. */
  setRouteTable(table: RouteTable): void {
    if (table.version <= (this.routeTable?.version ?? -Infinity)) return;
    this.#index = new RouteIndex(table);
  }

  /** Ids of the requests whose response has not been written in full. */
  get openRequests(): readonly RequestId[] {
    return this.#requests.open;
  }

  /** Resolves when no request is open. */
  waitUntilIdle(): Promise<void> {
    return this.#requests.waitUntilIdle();
  }

  /** Serves one request. Never rejects. */
  async handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.#clock.monotonicMilliseconds();
    const request = this.#nextRequestId();
    this.#requests.add(request);
    const gone = new AbortController();
    response.once("close", () => {
      if (!response.writableFinished) gone.abort(new CallerDisconnectedError());
    });
    const reason = this.#options.readiness.notReadyReason();
    if (reason === "shutting_down" || reason === "cut_off") {
      // Makes the caller send its next request to another host.
      response.shouldKeepAlive = false;
    }
    // Connection errors are handled through "close".
    response.on("error", () => {});
    const lease = this.#budget.open();
    try {
      await this.#serveRequest(
        { incoming, response, request, arrivedAt, lease },
        gone.signal,
      );
    } catch (thrown) {
      this.#answerError(incoming, response, { request, thrown });
    } finally {
      if (!response.writableFinished && lease.heldBytes > 0) {
        lease.allowEviction(() => incoming.socket.destroy());
      }
      await waitForResponseClose(response, callerStallTimeout);
      lease.close();
      this.#requests.remove(request);
    }
  }

  async #serveRequest(
    call: {
      incoming: IncomingMessage;
      response: ServerResponse;
      request: RequestId;
      arrivedAt: number;
      lease: MemoryLease;
    },
    signal: AbortSignal,
  ): Promise<void> {
    const { incoming, response, request, arrivedAt, lease } = call;
    const { dialect, dispatcher, connections } = this.#options;
    if (!this.#options.readiness.acceptsWork()) {
      throw new RhubarbstageError("shutting_down");
    }
    const metadata = dialect.parseRequest(incoming.rawHeaders);
    const index = this.#requireIndex();
    const route = findRoute(index, incoming);
    const caller = index.customerKeys?.identify(route, metadata.credential);
    const limit = index.table.limits.maxBodyBytes;
    const { callerTimeout = Infinity } = metadata;
    const timeout = Math.min(callerTimeout, route.timeout);
    const findingOrigin = this.#findOrigin(route, { request, metadata });
    // Awaited after the body, whose failure comes first.
    findingOrigin.catch(() => {});
    const body = await readRequestBody(incoming, {
      limit,
      signal,
      lease,
      timeout,
      scheduler: this.#scheduler,
    });
    const origin = await findingOrigin;
    const service = this.#selectService(index, {
      request,
      route,
      metadata,
      origin,
    });
    const relayRequest = this.#toRelayRequest(request, {
      incoming,
      route,
      service,
      metadata,
      body,
      arrivedAt,
      caller,
      ...(origin?.service === service.name ? { origin } : {}),
    });
    const reply = new Reply(response, lease);
    const run = new RelayRun(dispatcher, {
      request: relayRequest,
      reply,
      dialect,
      connections,
      onLoad: this.#options.onLoad,
      onServerUnreachable: this.#options.onServerUnreachable,
      onWrongServer: this.#options.onWrongServer,
      confirmServerEnded: this.#options.confirmServerEnded ??
        (({ url }) => refusesConnections(url)),
      onStreamBegun: (softwareVersion) =>
        this.#recordStream(relayRequest, { metadata, softwareVersion }),
      onBegun: (change) => this.#options.onBegun?.(relayRequest.work, change),
    });
    const { work } = relayRequest;
    this.#options.onRequestBegun?.(work);
    try {
      const { status, server, events } = await dispatcher.execute(run, {
        signal,
      });
      this.#options.onRequestEnded?.(work);
      this.#recordEnd(relayRequest, run, {
        result: "ok",
        status,
        server,
        events,
      });
    } catch (thrown) {
      const error = thrown instanceof CallerDisconnectedError
        ? undefined
        : toRhubarbstageError(thrown);
      this.#options.onRequestEnded?.(work, error);
      this.#handleFailure(relayRequest, run, {
        thrown,
        reply,
        incoming,
        response,
      });
    }
  }

  #requireIndex(): RouteIndex {
    if (this.#index !== undefined) return this.#index;
    throw new RhubarbstageError("isolated", {
      message: "This host has not received a route table yet",
    });
  }

  /**
   * Returns where the stream began that a request takes up; undefined if it takes
   * up none. Throws if that is not known: what two software versions write does
   * not fit together, and servers do not check what they continue.
   */
  async #findOrigin(
    route: Route,
    call: { readonly request: RequestId; readonly metadata: RequestMetadata },
  ): Promise<StreamOrigin | undefined> {
    const { request, metadata } = call;
    const { id = "", lastEventId, resumedRequest } = metadata;
    if (route.kind !== "stream" || lastEventId === undefined) return undefined;
    const origin = resumedRequest === undefined
      ? await this.#findOnlyOrigin(route)
      : await this.#options.origins.find(resumedRequest);
    if (origin !== undefined) return origin;
    this.#options.telemetry.recordEvent("stream_origin_unknown", {
      request,
      caller_request: id,
      route: route.name,
      resumes: resumedRequest ?? "",
    });
    throw new RhubarbstageError("no_backend_server", {
      message: "The software version that began the stream is not known",
    });
  }

  /** Returns the only origin that a stream of a route can have, if any. */
  async #findOnlyOrigin({ targets }: Route): Promise<StreamOrigin | undefined> {
    const [target] = targets;
    if (target === undefined || targets.length > 1) return undefined;
    const { service } = target;
    const versions = await this.#options.origins.findVersions(service);
    if (versions === undefined || versions.size > 1) return undefined;
    const [softwareVersion] = versions;
    return softwareVersion === undefined
      ? { service }
      : { service, softwareVersion };
  }

  /** Selects a service by weight, or the one that began the stream. */
  #selectService(
    index: RouteIndex,
    call: {
      readonly request: RequestId;
      readonly route: Route;
      readonly metadata: RequestMetadata;
      readonly origin: StreamOrigin | undefined;
    },
  ): RelayService {
    const { request, route, metadata, origin } = call;
    const isOffered = origin !== undefined &&
      route.targets.some(({ service, weight }) =>
        service === origin.service && weight > 0
      );
    const name = isOffered ? origin.service : pickTarget(route, Math.random());
    const service = index.service(name);
    if (service === undefined) {
      throw new RhubarbstageError("unknown_service");
    }
    this.#options.telemetry.recordEvent("request_routed", {
      request,
      caller_request: metadata.id ?? "",
      route: route.name,
      service: name,
      version: index.table.version,
      ...(metadata.lastEventId === undefined ? {} : {
        resumes: metadata.resumedRequest ?? "",
        last_event: metadata.lastEventId,
        begun_by: origin?.softwareVersion ?? "",
      }),
    });
    return service;
  }

  /** Records where a stream began; a stream taken up keeps its origin. */
  #recordStream(
    { work, callerRequestId }: RelayRequest,
    stream: {
      readonly metadata: RequestMetadata;
      readonly softwareVersion: SoftwareVersion | undefined;
    },
  ): void {
    if (!work.resumable || callerRequestId === undefined) return;
    const { service, deadlineAt, arrivedAt } = work;
    const { softwareVersion, metadata } = stream;
    const { callerTimeout = deadlineAt - arrivedAt } = metadata;
    this.#options.origins.record({
      request: callerRequestId as RequestId,
      origin: softwareVersion === undefined
        ? { service }
        : { service, softwareVersion },
      lifetime: Math.min(callerTimeout, maxStreamLifetime),
    });
  }

  #toRelayRequest(request: RequestId, routed: RoutedRequest): RelayRequest {
    const { incoming, route, service, metadata, body, caller } = routed;
    return {
      work: this.#toWork(request, routed),
      route,
      method: incoming.method ?? "GET",
      path: incoming.url ?? "/",
      headers: incoming.rawHeaders,
      body,
      tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
      ...(caller === undefined ? {} : { caller }),
      ...(metadata.id === undefined ? {} : { callerRequestId: metadata.id }),
      ...(metadata.lastEventId === undefined
        ? {}
        : { lastEventId: metadata.lastEventId }),
    };
  }

  #toWork(request: RequestId, routed: RoutedRequest): Work {
    const { incoming, route, service, metadata, body, arrivedAt, origin } =
      routed;
    const customer = routed.caller?.customer;
    const budgetScope = service.name as string as CustomerId;
    const callerTimeout = (metadata.callerTimeout ?? Infinity) - deadlineMargin;
    return {
      request,
      // Callers who are not identified share the service's name.
      customer: customer?.name ?? budgetScope,
      ...(routed.caller === undefined ? {} : { budgetScope }),
      service: service.name,
      kind: route.name as WorkKind,
      ...(service.engine === undefined
        ? {}
        : { model: service.name as string as ModelName }),
      promptTokens: metadata.promptTokens,
      outputTokenLimit: metadata.outputTokenLimit,
      ...(metadata.expectedOutputTokens === undefined
        ? {}
        : { expectedOutputTokens: metadata.expectedOutputTokens }),
      prefixHashes: [],
      promptParts: metadata.promptParts,
      fingerprint: fingerprintOf(incoming, body),
      repeatable: route.kind === "idempotent" ||
        (route.kind === "stream" && route.resumable),
      resumable: route.kind === "stream" && route.resumable,
      cancellable: true,
      ...(origin === undefined ? {} : { answerOrigin: origin }),
      maxAttempts: route.maxAttempts,
      arrivedAt,
      deadlineAt: arrivedAt + Math.min(callerTimeout, route.timeout),
      ...(route.firstEventTimeout === undefined
        ? {}
        : { firstTokenTimeout: route.firstEventTimeout }),
      rank: customer?.rank ?? route.rank,
      ...(route.gapTarget === undefined
        ? {}
        : { tokenGapTarget: route.gapTarget }),
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

  /** Responds to a request that was refused or whose last attempt failed. */
  #handleFailure(
    relayRequest: RelayRequest,
    run: RelayRun,
    failure: {
      thrown: unknown;
      reply: Reply;
      incoming: IncomingMessage;
      response: ServerResponse;
    },
  ): void {
    const { thrown, reply, incoming, response } = failure;
    const { request } = relayRequest.work;
    if (thrown instanceof CallerDisconnectedError) {
      this.#recordEnd(relayRequest, run, { result: "caller_gone" });
      response.destroy();
      return;
    }
    const error = toRhubarbstageError(thrown);
    const fallback = run.fallbackResponse;
    const result = error.kind;
    if (fallback !== undefined && !reply.isBegun) {
      reply.send(fallback.status, fallback.headers, fallback.body);
      this.#recordEnd(relayRequest, run, { result, status: fallback.status });
      return;
    }
    this.#recordEnd(relayRequest, run, {
      result,
      outcome: error.outcome,
      cause: error.cause instanceof Error ? error.cause.message : "",
    });
    this.#answerError(incoming, response, { request, thrown: error });
  }

  #recordEnd(
    relayRequest: RelayRequest,
    run: RelayRun,
    fields: Record<string, string | number | undefined>,
  ): void {
    const { work, caller, route } = relayRequest;
    const now = this.#clock.monotonicMilliseconds();
    if (caller?.customer !== undefined) {
      const { begunAt } = run;
      this.#options.telemetry.recordCustomerRequest({
        customer: caller.customer.name,
        isRefused: fields["outcome"] === "not_run",
        isLate: begunAt !== undefined &&
          begunAt - work.arrivedAt > route.latencyTarget,
      });
    }
    const definedFields = Object.entries(fields)
      .filter((entry): entry is [string, string | number] =>
        entry[1] !== undefined
      );
    this.#options.telemetry.recordEvent("request_ended", {
      request: work.request,
      caller_request: relayRequest.callerRequestId ?? "",
      route: relayRequest.route.name,
      attempts: run.attempts,
      milliseconds: Math.round(now - work.arrivedAt),
      ...Object.fromEntries(definedFields),
    });
  }

  #answerError(
    incoming: IncomingMessage,
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
    if (status === 401) headers["www-authenticate"] = "Bearer";
    refuseRequest(incoming, response, {
      status,
      headers,
      body,
      scheduler: this.#scheduler,
    });
  }

  #nextRequestId(): RequestId {
    this.#requestCount += 1;
    return `relay-${this.#idPrefix}-${this.#requestCount}` as RequestId;
  }
}

/**
 * Returns the HTTP status of an error. Statuses that imply `not_run` are used
 * only for that outcome, and 503 is the only 5xx status used for it.
 */
export function statusForError(error: RhubarbstageError): number {
  const { status, outcome, kind } = error;
  if (outcome === "not_run") {
    const isCallerError = status < 500 && kind !== "request_quarantined";
    return isCallerError ? status : 503;
  }
  if (kind === "deadline_exceeded") return 504;
  return status === 500 ? 500 : 502;
}

function findRoute(index: RouteIndex, incoming: IncomingMessage): Route {
  const path = pathOf(incoming.url ?? "/");
  const route = index.find(incoming.headers.host ?? "", path);
  if (route === undefined) throw new RhubarbstageError("not_found");
  return route;
}

function pathOf(url: string): string {
  const query = url.indexOf("?");
  return query < 0 ? url : url.slice(0, query);
}

/** Hashes a request; a resend has the same fingerprint on every host. */
function fingerprintOf(incoming: IncomingMessage, body: Buffer): string {
  return createHash("sha1")
    .update(`${incoming.method} ${incoming.headers.host} ${incoming.url}\n`)
    .update(body)
    .digest("base64");
}
