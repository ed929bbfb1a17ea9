/**
 * The HTTP server of one host.
 *
 * @module
 */

import "reflect-metadata";
import { randomUUID } from "node:crypto";
import type { Socket } from "node:net";
import { type DynamicModule, Module } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import {
  FastifyAdapter,
  type NestFastifyApplication,
} from "@nestjs/platform-fastify";
import type { FastifyInstance, FastifyReply } from "fastify";
import { type RequestId, RhubarbstageError } from "rhubarbstage";
import { AccessControl } from "./access.ts";
import { BackendsController } from "./backends_controller.ts";
import { CompletionsController } from "./completions_controller.ts";
import {
  defaultBodyLimit,
  defaultBufferedBodyLimit,
  defaultCallerStallTimeout,
  defaultHeadersTimeout,
  defaultRequestTimeout,
  lateRequestCheckInterval,
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
import { OpenRequestTracker } from "./requests.ts";
import { ServicesController } from "./services_controller.ts";
import { contextToken } from "./tokens.ts";

/** What a {@linkcode Gateway} works with. */
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
  /** Bodies of all requests in progress. Defaults to 256 MiB. */
  readonly bufferedBodyLimit?: number;
  /** Time for a whole request to arrive. Defaults to 30 s. */
  readonly requestTimeout?: number;
  /** Time for the head of a request to arrive. Defaults to 10 s. */
  readonly headersTimeout?: number;
  /** Time after which a caller that reads nothing is gone. Defaults to 60 s. */
  readonly callerStallTimeout?: number;
  /** Certificate and key in PEM form. */
  readonly tls?: { readonly cert: string; readonly key: string };
}

/** Where a {@linkcode Gateway} listens. */
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

  /** Creates a gateway that does not listen yet. */
  static async create(
    parts: GatewayDependencies,
    options: GatewayOptions = {},
  ): Promise<Gateway> {
    const requests = new OpenRequestTracker();
    const access = new AccessControl(parts, {
      bodyLimit: options.bodyLimit ?? defaultBodyLimit,
      bufferedBodyLimit: options.bufferedBodyLimit ?? defaultBufferedBodyLimit,
    });
    const context: GatewayContext = {
      ...parts,
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
    application.useGlobalFilters(new ErrorFilter(parts.telemetry));
    prepareServer(adapter.getInstance(), access);
    await application.init();
    const protocol = options.tls ? "https:" : "http:";
    return new Gateway(application, { requests, protocol });
  }

  /** Ids of the requests of callers that wait or run. */
  get openRequests(): readonly RequestId[] {
    return this.#requests.open;
  }

  /** Starts to listen; resolves with the origin. */
  async listen(options: ListenOptions): Promise<string> {
    await this.#application.listen(options.port, options.address);
    // Nest does not see that the adapter was given a certificate.
    const url = await this.#application.getUrl();
    return url.replace(/^https?:/, this.#protocol);
  }

  /** Resolves when no request of a caller is open. */
  waitUntilIdle(): Promise<void> {
    return this.#requests.waitUntilIdle();
  }

  /** Stops to listen and closes all connections. */
  close(): Promise<void> {
    return this.#application.close();
  }
}

function createAdapter(options: GatewayOptions): FastifyAdapter {
  const requestTimeout = options.requestTimeout ?? defaultRequestTimeout;
  const headersTimeout = options.headersTimeout ?? defaultHeadersTimeout;
  const timing = {
    requestTimeout,
    headersTimeout: Math.min(headersTimeout, requestTimeout),
    connectionsCheckingInterval: lateRequestCheckInterval,
  };
  return new FastifyAdapter({
    bodyLimit: options.bodyLimit ?? defaultBodyLimit,
    forceCloseConnections: true,
    genReqId: () => randomUUID(),
    requestTimeout,
    clientErrorHandler: answerClientError,
    frameworkErrors: answerFrameworkError,
    return503OnClosing: false,
    ...(options.tls
      ? { https: { ...options.tls, ...timing } }
      : { http: timing }),
  });
}

function prepareServer(server: FastifyInstance, access: AccessControl): void {
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    "*",
    { parseAs: "buffer" },
    (_request, body, done) => done(null, body),
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

/** Answers paths that the router cannot decode. */
function answerFrameworkError(
  error: Error,
  _request: unknown,
  reply: unknown,
): void {
  sendError(reply as FastifyReply, toCallerError(error));
}

/** Errors of Node.js for requests that did not arrive in time. */
const timeoutCodes = new Set(["ERR_HTTP_REQUEST_TIMEOUT"]);

/** Answers requests that are malformed or late before they reach a route. */
function answerClientError(error: Error, socket: Socket): void {
  const { code } = error as NodeJS.ErrnoException;
  if (code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const late = timeoutCodes.has(code ?? "");
  const refusal = new RhubarbstageError(
    late ? "request_timeout" : "invalid_request",
  );
  const request = randomUUID();
  const body = errorBody(refusal, request);
  const headers = Object.entries({
    ...errorHeaders(refusal, request),
    "content-length": String(Buffer.byteLength(body)),
    connection: "close",
  }).map(([name, value]) => `${name}: ${value}\r\n`).join("");
  const status = late ? "408 Request Timeout" : "400 Bad Request";
  socket.end(`HTTP/1.1 ${status}\r\n${headers}\r\n${body}`);
}
