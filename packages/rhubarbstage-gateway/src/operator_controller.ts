/**
 * Endpoints for operators.
 *
 * @module
 */

import { Controller, Get, HttpCode, Inject, Post, Req } from "@nestjs/common";
import type { FastifyRequest } from "fastify";
import {
  type CustomerId,
  type Region,
  RhubarbstageError,
  type ServiceName,
  type WorkKind,
} from "rhubarbstage";
import {
  operatorPaths,
  type SettingsPath,
  type TimelineScope,
} from "@rhubarbstage/settings";
import type { TimelineFilter } from "@rhubarbstage/telemetry";
import type { GatewayContext } from "./context.ts";
import {
  bootstrapRequest,
  drainRequest,
  editRequest,
  orderEndRequest,
  readOperatorBody,
  repairRequest,
} from "./operator_requests.ts";
import { contextToken } from "./injection_tokens.ts";

const defaultRecordLimit = 100;
const maxRecordLimit = 10_000;

type Query = Readonly<Record<string, string | undefined>>;

/** Serves the paths of the operator interface. */
@Controller()
export class OperatorController {
  #context: GatewayContext;

  constructor(@Inject(contextToken) context: GatewayContext) {
    this.#context = context;
  }

  @Get(operatorPaths.tree)
  tree() {
    return this.#context.operators.tree();
  }

  @Get(operatorPaths.effective)
  effective(@Req() request: FastifyRequest) {
    return this.#context.operators.effective(readSettingsPath(request));
  }

  @Post(operatorPaths.edits)
  @HttpCode(200)
  edit(@Req() request: FastifyRequest) {
    const body = readOperatorBody(request, editRequest);
    return this.#context.operators.edit(body, this.#operatorOf(request));
  }

  @Get(operatorPaths.history)
  history(@Req() request: FastifyRequest) {
    const { limit } = request.query as Query;
    return this.#context.operators.history(readLimit(limit));
  }

  @Get(operatorPaths.status)
  status() {
    return this.#context.operators.status();
  }

  @Get(operatorPaths.backends)
  backends() {
    return this.#context.operators.backends();
  }

  @Post(operatorPaths.drains)
  @HttpCode(200)
  drain(@Req() request: FastifyRequest) {
    const body = readOperatorBody(request, drainRequest);
    return this.#context.operators.drain(body, this.#operatorOf(request));
  }

  @Get(operatorPaths.timeline)
  timeline(@Req() request: FastifyRequest) {
    const { scope } = request.query as Query;
    return this.#context.operators.timeline(
      readFilter(request),
      readScope(scope),
    );
  }

  @Post(operatorPaths.bootstrap)
  @HttpCode(200)
  bootstrap(@Req() request: FastifyRequest) {
    const body = readOperatorBody(request, bootstrapRequest);
    return this.#context.operators.bootstrap(body, this.#operatorOf(request));
  }

  @Post(operatorPaths.repairs)
  @HttpCode(200)
  repair(@Req() request: FastifyRequest) {
    return this.#context.operators.repair(
      readOperatorBody(request, repairRequest),
    );
  }

  @Post(operatorPaths.orderEnds)
  @HttpCode(200)
  endOrder(@Req() request: FastifyRequest) {
    return this.#context.operators.endOrder(
      readOperatorBody(request, orderEndRequest),
    );
  }

  #operatorOf(request: FastifyRequest): string {
    return this.#context.access.operatorOf(request);
  }
}

function readSettingsPath(request: FastifyRequest): SettingsPath {
  const { region, service, customer, kind } = request.query as Query;
  return {
    region: (region ?? "*") as Region,
    service: (service ?? "*") as ServiceName,
    customer: (customer ?? "*") as CustomerId,
    kind: (kind ?? "*") as WorkKind,
  };
}

function readFilter(request: FastifyRequest): TimelineFilter {
  const query = request.query as Query;
  return {
    ...(query.request === undefined ? {} : { request: query.request }),
    ...(query.server === undefined ? {} : { server: query.server }),
    ...readNumbers(query, ["revision", "from", "to"]),
    limit: readLimit(query.limit),
  } as TimelineFilter;
}

function readScope(scope: string | undefined): TimelineScope {
  if (scope === undefined || scope === "all" || scope === "host") {
    return scope ?? "all";
  }
  throw invalidRequest('The parameter "scope" must be "host" or "all"');
}

function readLimit(value: string | undefined): number {
  const limit = readNumber("limit", value) ?? defaultRecordLimit;
  return Math.min(limit, maxRecordLimit);
}

function readNumbers(
  query: Query,
  names: readonly string[],
): Record<string, number> {
  const numbers: Record<string, number> = {};
  for (const name of names) {
    const number = readNumber(name, query[name]);
    if (number !== undefined) numbers[name] = number;
  }
  return numbers;
}

function readNumber(
  name: string,
  value: string | undefined,
): number | undefined {
  if (value === undefined) return undefined;
  const number = Number(value);
  if (Number.isSafeInteger(number) && number >= 0) return number;
  throw invalidRequest(
    `The parameter "${name}" must be a non-negative integer`,
  );
}

function invalidRequest(message: string): RhubarbstageError {
  return new RhubarbstageError("invalid_request", { message });
}
