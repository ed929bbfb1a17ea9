/**
 * Endpoints for operators.
 *
 * @module
 */

import { Controller, Delete, Get, Inject, Post, Req } from "@nestjs/common";
import { HttpCode, Put } from "@nestjs/common";
import type { FastifyRequest } from "fastify";
import { type BackendServerId, RhubarbstageError } from "rhubarbstage";
import type { GatewayContext } from "./context.ts";
import type { DrainAction, RecordFilter, TreeEdit } from "./ports.ts";
import { readJson } from "./request_reader.ts";
import { contextToken } from "./tokens.ts";

const defaultRecordLimit = 100;
const largestRecordLimit = 10_000;

/** Serves `/operator/...`. */
@Controller("operator")
export class OperatorController {
  #context: GatewayContext;

  constructor(@Inject(contextToken) context: GatewayContext) {
    this.#context = context;
  }

  @Get("tree")
  tree() {
    return this.#context.operators.tree();
  }

  @Post("edits")
  @HttpCode(200)
  edit(@Req() request: FastifyRequest) {
    const operator = this.#context.access.operatorOf(request);
    return this.#context.operators.edit(readEdit(request), operator);
  }

  @Get("history")
  history(@Req() request: FastifyRequest) {
    return this.#context.operators.history(readFilter(request));
  }

  @Get("status")
  status() {
    return this.#context.operators.status();
  }

  @Get("backends")
  backends() {
    return this.#context.operators.backends();
  }

  @Get("drains")
  drains() {
    return this.#context.operators.drains();
  }

  @Put("drains/:server")
  drain(@Req() request: FastifyRequest) {
    return this.#context.operators.drain(this.#readDrain(request));
  }

  @Delete("drains/:server")
  undrain(@Req() request: FastifyRequest) {
    return this.#context.operators.undrain(this.#readDrain(request));
  }

  @Get("timeline")
  timeline(@Req() request: FastifyRequest) {
    return this.#context.operators.timeline(readFilter(request));
  }

  #readDrain(request: FastifyRequest): DrainAction {
    const { server } = request.params as { server: string };
    return {
      server: server as BackendServerId,
      operator: this.#context.access.operatorOf(request),
    };
  }
}

function readEdit(request: FastifyRequest): TreeEdit {
  const body = readJson(request.headers, request.body);
  const { editId, expectedRevision, operations } = body;
  if (typeof editId !== "string" || editId === "") {
    throw invalid('The field "editId" must be a string');
  }
  if (!Number.isSafeInteger(expectedRevision)) {
    throw invalid('The field "expectedRevision" must be a whole number');
  }
  if (!Array.isArray(operations)) {
    throw invalid('The field "operations" must be a list');
  }
  return { editId, expectedRevision: expectedRevision as number, operations };
}

function readFilter(request: FastifyRequest): RecordFilter {
  const query = request.query as Record<string, string | undefined>;
  const limit = readNumber("limit", query.limit) ?? defaultRecordLimit;
  return {
    request: query.request,
    backendServer: query.backend_server,
    revision: readNumber("revision", query.revision),
    limit: Math.min(limit, largestRecordLimit),
  };
}

function readNumber(
  name: string,
  value: string | undefined,
): number | undefined {
  if (value === undefined) return undefined;
  const number = Number(value);
  if (Number.isSafeInteger(number) && number >= 0) return number;
  throw invalid(`The parameter "${name}" must be a whole number`);
}

function invalid(message: string): RhubarbstageError {
  return new RhubarbstageError("invalid_request", { message });
}
