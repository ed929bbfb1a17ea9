/**
 * Endpoints for backend servers.
 *
 * @module
 */

import { Controller, HttpCode, Inject, Post, Req } from "@nestjs/common";
import {
  parseAnnouncement,
  parseCacheEvents,
  parseDeparture,
} from "@rhubarbstage/engine";
import type { FastifyRequest } from "fastify";
import type { GatewayContext } from "./context.ts";
import { readJson } from "./request_reader.ts";
import { contextToken } from "./injection_tokens.ts";

/** Receives announcements, departures and cache events. */
@Controller("backends")
export class BackendsController {
  #context: GatewayContext;

  constructor(@Inject(contextToken) context: GatewayContext) {
    this.#context = context;
  }

  @Post("announce")
  @HttpCode(200)
  announce(@Req() request: FastifyRequest) {
    const announcement = parseAnnouncement(readBody(request));
    const response = this.#context.backendServers.handleAnnouncement(
      announcement,
    );
    return {
      renew_after_ms: response.renewAfter,
      ...(response.renewAt === undefined ? {} : { renew_at: response.renewAt }),
    };
  }

  @Post("leave")
  @HttpCode(200)
  leave(@Req() request: FastifyRequest) {
    this.#context.backendServers.handleDeparture(
      parseDeparture(readBody(request)),
    );
    return {};
  }

  @Post("cache_events")
  @HttpCode(200)
  applyCacheEvents(@Req() request: FastifyRequest) {
    const events = parseCacheEvents(readBody(request));
    this.#context.backendServers.applyCacheEvents(events);
    return {};
  }
}

function readBody(request: FastifyRequest) {
  return readJson(request.headers, request.body);
}
