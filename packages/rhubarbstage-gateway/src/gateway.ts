/**
 * The HTTP server of one host.
 *
 * @module
 */

import "reflect-metadata";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { type DynamicModule, Module } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import {
  FastifyAdapter,
  type NestFastifyApplication,
} from "@nestjs/platform-fastify";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import {
  delay,
  dropRequestBody,
  MemoryBudget,
  readArrivedBytes,
  readRequestBody,
  ReadScheduler,
  type RequestId,
  RhubarbstageError,
} from "rhubarbstage";
import { AccessControl } from "./access.ts";
import { BackendsController } from "./backends_controller.ts";
import { CompletionsController } from "./completions_controller.ts";
import {
  defaultBodyLimit,
  defaultBufferedBodyLimit,
  defaultCallerStallTimeout,
  defaultHeadersTimeout,
  defaultRequestTimeout,
  lastRequestTimeout,
  lateRequestCheckInterval,
  openCallCheckInterval,
  openCallTimeout,
} from "./constants.ts";
import type { GatewayContext } from "./context.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { ErrorFilter } from "./error_filter.ts";
import { errorBody, errorHeaders, toCallerError } from "./errors.ts";
import { HealthController } from "./health_controller.ts";
import { OperatorController } from "./operator_controller.ts";
import type {
  BackendServers,
  Credentials,
  GatewayTelemetry,
  OperatorActions,
  Readiness,
  ServiceCalls,
  SettingsSource,
} from "./ports.ts";
import { sendError } from "./replies.ts";
import { OpenCallTracker } from "./open_call_tracker.ts";
import { OpenRequestTracker } from "./open_request_tracker.ts";
import { ServicesController } from "./services_controller.ts";
import { contextToken } from "./injection_tokens.ts";

/** Dependencies of a {@linkcode Gateway}. */
export interface GatewayDependencies {
  readonly dispatcher: Dispatcher;
  readonly credentials: Credentials;
  readonly settings: SettingsSource;
  readonly services: ServiceCalls;
  readonly backendServers: BackendServers;
  readonly operators: OperatorActions;
  readonly telemetry: GatewayTelemetry;
  readonly readiness: Readiness;
}

/** Limits of a {@linkcode Gateway}; sizes in bytes, times in milliseconds. */
export interface GatewayOptions {
  /** Largest body of a request. Defaults to 8 MiB. */
  readonly bodyLimit?: number;
  /** Total size of the bodies in progress. Defaults to 256 MiB. */
  readonly bufferedBodyLimit?: number;
  /** Timeout for receiving a whole request. Defaults to 30 s. */
  readonly requestTimeout?: number;
  /** Timeout for receiving the headers of a request. Defaults to 10 s. */
  readonly headersTimeout?: number;
  /** Time until a caller that reads nothing is cut off. Defaults to 60 s. */
  readonly callerStallTimeout?: number;
  /** Certificate and key in PEM form. */
  readonly tls?: { readonly cert: string; readonly key: string };
}

/** Address and port that a {@linkcode Gateway} listens on. */
export interface ListenOptions {
  readonly address: string;
  /** 0 selects a free port. */
  readonly port: number;
}

@Module({})
class GatewayModule {
  static with(context: GatewayContext): DynamicModule {
    return {
      module: GatewayModule,
      controllers: [
        CompletionsController,
        ServicesController,
        BackendsController,
        OperatorController,
        HealthController,
      ],
      providers: [{ provide: contextToken, useValue: context }],
    };
  }
}

/** Serves callers, backend servers and operators over HTTP. */
export class Gateway {
  #application: NestFastifyApplication;
  #requests: OpenRequestTracker;
  #protocol: string;

  private constructor(
    application: NestFastifyApplication,
    options: {
      readonly requests: OpenRequestTracker;
      readonly protocol: string;
    },
  ) {
    this.#application = application;
    this.#requests = options.requests;
    this.#protocol = options.protocol;
  }

  /** Creates a gateway that is not listening yet. */
  static async create(
    dependencies: GatewayDependencies,
    options: GatewayOptions = {},
  ): Promise<Gateway> {
    const requests = new OpenRequestTracker();
    const access = new AccessControl(dependencies, {
      bodyLimit: options.bodyLimit ?? defaultBodyLimit,
      bufferedBodyLimit: options.bufferedBodyLimit ?? defaultBufferedBodyLimit,
    });
    const context: GatewayContext = {
      ...dependencies,
      access,
      requests,
      callerStallTimeout: options.callerStallTimeout ??
        defaultCallerStallTimeout,
    };
    const adapter = createAdapter(options);
    const application = await NestFactory.create<NestFastifyApplication>(
      GatewayModule.with(context),
      adapter,
      { logger: false, bodyParser: false, abortOnError: false },
    );
    application.useGlobalFilters(new ErrorFilter(dependencies.telemetry));
    const server: FastifyInstance = adapter.getInstance();
    addOpenCallWait(server);
    configureServer(server, {
      access,
      bodyLimit: options.bodyLimit ?? defaultBodyLimit,
    });
    await application.init();
    const protocol = options.tls ? "https:" : "http:";
    return new Gateway(application, { requests, protocol });
  }

  /** Ids of callers' requests that are waiting or running. */
  get openRequests(): readonly RequestId[] {
    return this.#requests.open;
  }

  /** Starts listening and resolves with the origin. */
  async listen(options: ListenOptions): Promise<string> {
    await this.#application.listen(options.port, options.address);
    // Nest does not detect that the adapter uses TLS.
    const url = await this.#application.getUrl();
    return url.replace(/^https?:/, this.#protocol);
  }

  /** Resolves when no caller's request is open. */
  waitUntilIdle(): Promise<void> {
    return this.#requests.waitUntilIdle();
  }

  /**
   * Stops listening and closes all connections. Calls that have been read are
   * answered first, within `openCallTimeout`, and so are those that have begun to
   * arrive and end within `lastRequestTimeout`.
   */
  close(): Promise<void> {
    return this.#application.close();
  }
}

function createAdapter(options: GatewayOptions): FastifyAdapter {
  const requestTimeout = options.requestTimeout ?? defaultRequestTimeout;
  const headersTimeout = options.headersTimeout ?? defaultHeadersTimeout;
  const timeouts = {
    requestTimeout,
    headersTimeout: Math.min(headersTimeout, requestTimeout),
    connectionsCheckingInterval: lateRequestCheckInterval,
  };
  return new FastifyAdapter({
    bodyLimit: options.bodyLimit ?? defaultBodyLimit,
    forceCloseConnections: true,
    genReqId: () => randomUUID(),
    requestTimeout,
    clientErrorHandler: handleClientError,
    frameworkErrors: handleFrameworkError,
    return503OnClosing: false,
    ...(options.tls
      ? { https: { ...options.tls, ...timeouts } }
      : { http: timeouts }),
  });
}

function configureServer(
  server: FastifyInstance,
  options: { readonly access: AccessControl; readonly bodyLimit: number },
): void {
  const { access, bodyLimit } = options;
  // The access control reserves memory for the body before it is read, so the
  // budget has no limit of its own.
  const budget = new MemoryBudget();
  const scheduler = new ReadScheduler();
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    "*",
    async (_request: FastifyRequest, payload: IncomingMessage) => {
      const lease = budget.open();
      try {
        return await readRequestBody(payload, {
          limit: bodyLimit,
          lease,
          scheduler,
        });
      } catch (thrown) {
        dropRequestBody(payload, { scheduler });
        throw thrown;
      } finally {
        lease.close();
      }
    },
  );
  server.addHook("onRequest", (request, reply, done) => {
    try {
      access.admit(request);
      reply.raw.once("close", () => access.release(request));
      done();
    } catch (thrown) {
      // The body of a refused request is not read.
      reply.header("connection", "close");
      sendError(reply, thrown as RhubarbstageError);
    }
  });
}

/** Answers open calls, also of operators, before a stop closes connections. */
function addOpenCallWait(server: FastifyInstance): void {
  const calls = new OpenCallTracker();
  server.addHook("onRequest", (_request, reply, done) => {
    calls.add(reply.raw);
    done();
  });
  server.addHook("preClose", async () => {
    const endsAt = performance.now() + openCallTimeout;
    // A connection with an unread request counts as idle.
    await readArrivedBytes();
    while (calls.hasWholeCall() && performance.now() < endsAt) {
      await calls.waitUntilAnswered(endsAt);
      await readArrivedBytes();
    }
    await waitForLastRequests(server.server as Server);
    await readArrivedBytes();
    await calls.waitUntilAnswered(endsAt);
  });
}

/**
 * Closes idle connections and waits until the others have ended too, which
 * fastify brings about with each answer in a stop, for `lastRequestTimeout`.
 */
async function waitForLastRequests(server: Server): Promise<void> {
  const endsAt = performance.now() + lastRequestTimeout;
  server.closeIdleConnections();
  while (await countConnections(server) > 0 && performance.now() < endsAt) {
    await delay(openCallCheckInterval);
  }
}

function countConnections(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.getConnections((_error, count) => resolve(count));
  });
}

/** Sends an error response for paths that the router cannot decode. */
function handleFrameworkError(
  error: Error,
  _request: unknown,
  reply: unknown,
): void {
  sendError(reply as FastifyReply, toCallerError(error));
}

/** Node.js error codes for requests that were not received in time. */
const timeoutCodes = new Set(["ERR_HTTP_REQUEST_TIMEOUT"]);

/** Sends an error response for malformed or timed-out requests. */
function handleClientError(error: Error, socket: Socket): void {
  const { code } = error as NodeJS.ErrnoException;
  if (code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const isTimeout = timeoutCodes.has(code ?? "");
  const rejection = new RhubarbstageError(
    isTimeout ? "request_timeout" : "invalid_request",
  );
  const request = randomUUID();
  const body = errorBody(rejection, request);
  const headers = Object.entries({
    ...errorHeaders(rejection, request),
    "content-length": String(Buffer.byteLength(body)),
    connection: "close",
  }).map(([name, value]) => `${name}: ${value}\r\n`).join("");
  const status = isTimeout ? "408 Request Timeout" : "400 Bad Request";
  socket.end(`HTTP/1.1 ${status}\r\n${headers}\r\n${body}`);
}
