/**
 * Endpoint for calls to plain services.
 *
 * @module
 */

import { All, Controller, Inject, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { RhubarbstageError, type ServiceName } from "rhubarbstage";
import {
  type CallerRequest,
  type CallerResult,
  checkBodySize,
  checkIsolation,
  handleCallerRequest,
} from "./caller_request.ts";
import { callerDisconnectSignal } from "./caller_connection.ts";
import { replayedHeader, requestIdHeader } from "./constants.ts";
import type { GatewayContext } from "./context.ts";
import type {
  EffectiveServiceSettings,
  SendServiceAttempt,
  ServiceCall,
  ServiceResponse,
} from "./ports.ts";
import { ServiceRouting } from "./ports.ts";
import { fingerprint, readKind, readTimeout } from "./request_reader.ts";
import { contextToken } from "./injection_tokens.ts";

/** Hop-by-hop headers and headers that only the gateway uses. */
const unforwardedHeaders = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Serves `/services/{service}/...`. */
@Controller("services")
export class ServicesController {
  #context: GatewayContext;

  constructor(@Inject(contextToken) context: GatewayContext) {
    this.#context = context;
  }

  @All([":service", ":service/*"])
  async call(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await handleCallerRequest(
      this.#context,
      { request, reply, route: "service" },
      (call) => this.#call(call),
    );
  }

  async #call(call: CallerRequest): Promise<CallerResult> {
    const { service, path } = splitServiceUrl(call.request.url);
    const settings = this.#context.settings.forService({
      customer: call.customer,
      service,
      method: call.request.method,
      path: path.split("?", 1)[0] as string,
      kind: readKind(call.request.headers),
    });
    if (!settings) throw new RhubarbstageError("unknown_service");
    call.revision = settings.revision;
    call.service = settings.service;
    checkBodySize(settings, call.request.body);
    const serviceCall = this.#read(call, { service, path, settings });
    const routing = new DispatcherRouting(this.#context, {
      call: serviceCall,
      settings,
      arrivedAt: call.arrivedAt,
      signal: callerDisconnectSignal(call.reply.raw),
      onAttempt: () => call.attempts += 1,
    });
    const response = await this.#context.services.call(serviceCall, routing);
    sendServiceResponse(call.reply, response);
    return { outputTokens: 0 };
  }

  #read(
    call: CallerRequest,
    route: {
      readonly service: ServiceName;
      readonly path: string;
      readonly settings: EffectiveServiceSettings;
    },
  ): ServiceCall {
    const { headers, method, body } = call.request;
    const { settings } = route;
    const key = headers["idempotency-key"];
    checkServiceCall(settings, key);
    return {
      request: call.id,
      customer: call.customer,
      service: route.service,
      method,
      path: route.path,
      headers: forwardedHeaders(headers),
      body: Buffer.isBuffer(body) ? body : new Uint8Array(),
      repeatable: settings.repeatable,
      idempotencyKey: typeof key === "string" ? key : undefined,
      deadlineAt: call.arrivedAt + readTimeout(headers, settings.timeout),
    };
  }
}

function checkServiceCall(
  settings: EffectiveServiceSettings,
  key: string | string[] | undefined,
): void {
  if (settings.repeatable) {
    checkIsolation(settings);
    return;
  }
  if (typeof key !== "string" || key === "") {
    throw new RhubarbstageError("idempotency_key_missing");
  }
  if (settings.isolated) throw new RhubarbstageError("no_quorum");
}

interface RoutedCall {
  readonly call: ServiceCall;
  readonly settings: EffectiveServiceSettings;
  readonly arrivedAt: number;
  readonly signal: AbortSignal;
  readonly onAttempt: () => void;
}

/** Runs a service call through the dispatcher. */
class DispatcherRouting extends ServiceRouting {
  #context: GatewayContext;
  #routed: RoutedCall;

  constructor(context: GatewayContext, routed: RoutedCall) {
    super();
    this.#context = context;
    this.#routed = routed;
  }

  override run(send: SendServiceAttempt): Promise<ServiceResponse> {
    const { call, settings, arrivedAt, signal, onAttempt } = this.#routed;
    const work = {
      request: call.request,
      customer: call.customer,
      service: settings.service,
      kind: settings.kind,
      promptTokens: 0,
      outputTokenLimit: 0,
      prefixHashes: [],
      fingerprint: fingerprint(call.customer, call.body),
      repeatable: call.repeatable,
      resumable: false,
      arrivedAt,
      deadlineAt: call.deadlineAt,
      settings: settings.work,
    };
    return this.#context.dispatcher.callService(work, send, {
      signal,
      onAttemptStart: onAttempt,
    });
  }
}

function splitServiceUrl(url: string): { service: ServiceName; path: string } {
  const [, service = "", path = ""] = /^\/services\/([^/?]+)(.*)$/.exec(url) ??
    [];
  return {
    service: decodeURIComponent(service) as ServiceName,
    path: path.startsWith("/") ? path : `/${path}`,
  };
}

function forwardedHeaders(
  headers: FastifyRequest["headers"],
): Record<string, string | readonly string[]> {
  const entries = Object.entries(headers).filter(([name, value]) =>
    value !== undefined && !unforwardedHeaders.has(name)
  );
  return Object.fromEntries(entries) as Record<string, string>;
}

function sendServiceResponse(
  reply: FastifyReply,
  response: ServiceResponse,
): void {
  if (reply.raw.destroyed) return;
  for (const [name, value] of Object.entries(response.headers)) {
    if (!unforwardedHeaders.has(name)) reply.header(name, value);
  }
  reply.header(requestIdHeader, reply.request.id);
  if (response.replayed) reply.header(replayedHeader, "true");
  reply.code(response.status).send(Buffer.from(response.body));
}
