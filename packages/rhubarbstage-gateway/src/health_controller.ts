/**
 * Endpoints for health, readiness and metrics.
 *
 * @module
 */

import { Controller, Get, Inject, Res } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import type { GatewayContext } from "./context.ts";
import { contextToken } from "./injection_tokens.ts";

/** Serves `/healthz`, `/readyz` and `/metrics`. */
@Controller()
export class HealthController {
  #context: GatewayContext;

  constructor(@Inject(contextToken) context: GatewayContext) {
    this.#context = context;
  }

  @Get("healthz")
  health() {
    return { status: "ok" };
  }

  @Get("readyz")
  ready(@Res() reply: FastifyReply): void {
    const reason = this.#context.readiness.notReadyReason();
    if (reason === undefined) reply.send({ status: "ready" });
    else reply.code(503).send({ status: "not_ready", reason });
  }

  @Get("metrics")
  async metrics(@Res() reply: FastifyReply): Promise<void> {
    const { contentType, text } = await this.#context.telemetry.metrics();
    reply.header("content-type", contentType).send(text);
  }
}
