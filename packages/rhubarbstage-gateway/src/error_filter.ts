/**
 * Sends error responses for errors thrown outside `handleCallerRequest`.
 *
 * @module
 */

import {
  type ArgumentsHost,
  Catch,
  type ExceptionFilter,
} from "@nestjs/common";
import type { FastifyReply } from "fastify";
import type { GatewayTelemetry } from "./ports.ts";
import { toCallerError } from "./errors.ts";
import { sendError } from "./replies.ts";

/** Converts any thrown value to an error response with a known kind. */
@Catch()
export class ErrorFilter implements ExceptionFilter {
  #telemetry: GatewayTelemetry;

  constructor(telemetry: GatewayTelemetry) {
    this.#telemetry = telemetry;
  }

  catch(thrown: unknown, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    const error = toCallerError(thrown);
    if (error.kind === "internal") {
      const cause = thrown instanceof Error ? thrown.stack : undefined;
      this.#telemetry.recordEvent("request_failed", {
        request: reply.request.id,
        cause: cause ?? "",
      });
    }
    sendError(reply, error);
  }
}
