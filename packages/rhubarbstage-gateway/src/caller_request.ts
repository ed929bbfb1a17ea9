/**
 * Handles the life cycle of a caller's request: errors, records and limits.
 *
 * @module
 */

import type { FastifyReply, FastifyRequest } from "fastify";
import {
  type CustomerId,
  type RequestId,
  type Revision,
  RhubarbstageError,
  type ServiceName,
} from "rhubarbstage";
import type { GatewayContext } from "./context.ts";
import { waitForResponseClose } from "./caller_connection.ts";
import { CallerDisconnectedError, toCallerError } from "./errors.ts";
import { sendError } from "./replies.ts";
import type { EffectiveSettings, RequestRecord } from "./ports.ts";

/** Result of a successful request. */
export interface CallerResult {
  readonly outputTokens: number;
}

/** One request of a caller. */
export interface CallerRequest {
  readonly id: RequestId;
  readonly customer: CustomerId;
  readonly request: FastifyRequest;
  readonly reply: FastifyReply;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Revision of the settings; 0 until they are read. */
  revision: Revision;
  /** Service of the request; absent until the settings are read. */
  service?: ServiceName;
  /** Number of attempts on backend servers so far. */
  attempts: number;
  /** Sends an error after the response has started. */
  failStartedResponse?: (error: RhubarbstageError) => void;
}

/** Options of {@linkcode handleCallerRequest}. */
export interface CallerRequestOptions {
  readonly request: FastifyRequest;
  readonly reply: FastifyReply;
  readonly route: RequestRecord["route"];
}

/** Runs the handler of a caller's request, sends errors and records the end. */
export async function handleCallerRequest(
  context: GatewayContext,
  options: CallerRequestOptions,
  handle: (call: CallerRequest) => Promise<CallerResult>,
): Promise<void> {
  const { request, reply, route } = options;
  const call: CallerRequest = {
    id: request.id as RequestId,
    customer: context.access.customerOf(request),
    request,
    reply,
    arrivedAt: context.dispatcher.clock.monotonicMilliseconds(),
    revision: 0 as Revision,
    attempts: 0,
  };
  const { requests, telemetry } = context;
  let result: RequestRecord["result"] = "ok";
  let outputTokens = 0;
  requests.add(call.id);
  try {
    // The host may have begun to refuse work while the body arrived.
    if (!context.readiness.acceptsWork()) {
      throw new RhubarbstageError("shutting_down");
    }
    ({ outputTokens } = await handle(call));
  } catch (thrown) {
    result = reportFailure(context, call, thrown);
  } finally {
    await waitForResponseClose(reply.raw, context.callerStallTimeout);
    requests.remove(call.id);
    telemetry.recordRequestEnd({
      request: call.id,
      route,
      customer: call.customer,
      revision: call.revision,
      service: call.service,
      result,
      duration: context.dispatcher.clock.monotonicMilliseconds() -
        call.arrivedAt,
      outputTokens,
      attempts: call.attempts,
    });
  }
}

function reportFailure(
  context: GatewayContext,
  call: CallerRequest,
  thrown: unknown,
): RequestRecord["result"] {
  if (thrown instanceof CallerDisconnectedError) return "caller_gone";
  const error = toCallerError(thrown);
  if (error.kind === "internal") {
    context.telemetry.recordEvent("request_failed", {
      request: call.id,
      cause: describeCause(error),
    });
  }
  if (call.reply.raw.headersSent) call.failStartedResponse?.(error);
  else sendError(call.reply, error);
  return error.kind;
}

function describeCause(error: RhubarbstageError): string {
  return error.cause instanceof Error
    ? error.cause.stack ?? error.cause.message
    : error.message;
}

/** Throws `body_too_large` if a body exceeds the limit of the settings tree. */
export function checkBodySize(
  settings: EffectiveSettings,
  body: unknown,
): void {
  const { bodyLimit = Infinity } = settings;
  if (body instanceof Uint8Array && body.length > bodyLimit) {
    throw new RhubarbstageError("body_too_large");
  }
}

/** Throws `isolated` on an isolated host if the settings tree requires it. */
export function checkIsolation(settings: EffectiveSettings): void {
  if (settings.isolated && settings.whenIsolated === "refuse") {
    throw new RhubarbstageError("isolated");
  }
}
