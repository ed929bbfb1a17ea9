/**
 * Endpoints for completions and models.
 *
 * @module
 */

import { Controller, Get, Inject, Post, Req, Res } from "@nestjs/common";
import type { GenerationEndpoint } from "@rhubarbstage/engine";
import type { FastifyReply, FastifyRequest } from "fastify";
import { RhubarbstageError } from "rhubarbstage";
import {
  type CallerRequest,
  type CallerResult,
  checkBodySize,
  checkIsolation,
  handleCallerRequest,
} from "./caller_request.ts";
import { callerDisconnectSignal } from "./caller_connection.ts";
import { requestIdHeader } from "./constants.ts";
import type { GatewayContext } from "./context.ts";
import { sendJson } from "./replies.ts";
import {
  checkGeneration,
  readJson,
  readKind,
  readWork,
} from "./request_reader.ts";
import { BufferedSink, type GenerationSink, StreamSink } from "./sinks.ts";
import { contextToken } from "./injection_tokens.ts";
import type { Generation } from "./types.ts";

/** Serves the OpenAI-compatible endpoints. */
@Controller("v1")
export class CompletionsController {
  #context: GatewayContext;

  constructor(@Inject(contextToken) context: GatewayContext) {
    this.#context = context;
  }

  @Post("chat/completions")
  async chat(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await handleCallerRequest(
      this.#context,
      { request, reply, route: "chat" },
      (call) => this.#generate(call, "chat"),
    );
  }

  @Post("completions")
  async text(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await handleCallerRequest(
      this.#context,
      { request, reply, route: "text" },
      (call) => this.#generate(call, "text"),
    );
  }

  @Get("models")
  models(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
    const customer = this.#context.access.customerOf(request);
    const models = this.#context.settings.models(customer);
    const data = models.map(modelEntry);
    sendJson(reply, JSON.stringify({ object: "list", data }));
  }

  @Get("models/:model")
  model(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
    const customer = this.#context.access.customerOf(request);
    const { model } = request.params as { model: string };
    const models = this.#context.settings.models(customer);
    const known = models.find((name) => name === model);
    if (known === undefined) throw new RhubarbstageError("unknown_model");
    sendJson(reply, JSON.stringify(modelEntry(known)));
  }

  async #generate(
    call: CallerRequest,
    endpoint: GenerationEndpoint,
  ): Promise<CallerResult> {
    const generation = this.#read(call, endpoint);
    const signal = callerDisconnectSignal(call.reply.raw);
    const sink = this.#openSink(call, generation);
    return await this.#context.dispatcher.generate(generation, sink, {
      signal,
      onAttemptStart: () => call.attempts += 1,
    });
  }

  #read(call: CallerRequest, endpoint: GenerationEndpoint): Generation {
    const { headers, body: bytes } = call.request;
    const body = readJson(headers, bytes);
    const model = checkGeneration(endpoint, body);
    const settings = this.#context.settings.forModel({
      customer: call.customer,
      model,
      kind: readKind(headers),
    });
    if (!settings) throw new RhubarbstageError("unknown_model");
    call.revision = settings.revision;
    call.service = settings.service;
    checkBodySize(settings, bytes);
    checkIsolation(settings);
    const work = readWork({
      request: call.id,
      customer: call.customer,
      endpoint,
      model,
      headers,
      body,
      bytes: bytes as Buffer,
      settings,
      arrivedAt: call.arrivedAt,
    });
    return { work, endpoint, body, created: Math.floor(Date.now() / 1_000) };
  }

  #openSink(call: CallerRequest, generation: Generation): GenerationSink {
    const { body } = generation;
    if (body.stream !== true) {
      return new BufferedSink(generation, (text) => sendJson(call.reply, text));
    }
    const options = body.stream_options as { include_usage?: boolean } | null;
    const sink = new StreamSink(call.reply.raw, {
      headers: { [requestIdHeader]: call.id },
      includeUsage: options?.include_usage === true,
      stallTimeout: this.#context.callerStallTimeout,
    });
    call.failStartedResponse = (error) => sink.fail(error, call.id);
    return sink;
  }
}

function modelEntry(id: string) {
  return { id, object: "model", created: 0, owned_by: "rhubarbstage" };
}
