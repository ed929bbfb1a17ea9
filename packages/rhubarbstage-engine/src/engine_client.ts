/**
 * Client of the engines' HTTP interface.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { Agent, type Dispatcher } from "undici";
import type { AttemptId, RequestId } from "rhubarbstage";
import {
  cacheTransferTimeout,
  defaultConnections,
  defaultConnectTimeout,
  defaultIdleTimeout,
  responseSizeLimit,
  resumedFromHeader,
} from "./constants.ts";
import { connectionError, EngineError, refusalError } from "./errors.ts";
import { EventStreamReader } from "./event_stream.ts";
import { Exchange, type ResponseHead } from "./exchange.ts";
import { parseStatus, parseTransferredCache } from "./schema.ts";
import type {
  BackendServerAddress,
  EngineStatus,
  GenerationEvent,
  GenerationRequest,
  JsonObject,
  TransferredCache,
} from "./types.ts";

/** Options of an {@linkcode EngineClient}. */
export interface EngineClientOptions {
  /** Bearer token for the engines. */
  readonly token?: string;
  /** Maximum connections to one engine. Defaults to 256. */
  readonly connections?: number;
  /** Connect timeout in milliseconds. Defaults to 2,000. */
  readonly connectTimeout?: number;
  /**
   * Timeout for the head and between body parts, in milliseconds. Defaults to
   * 10,000.
   */
  readonly idleTimeout?: number;
  /** Certificate authorities for engines that use TLS, in PEM form. */
  readonly certificateAuthorities?: string;
}

/** Options of one call. */
export interface CallOptions {
  readonly signal?: AbortSignal;
}

/** Options of {@linkcode EngineClient.importCache}. */
export interface ImportOptions extends CallOptions {
  /** Engine that exported the cache. */
  readonly source: BackendServerAddress;
  readonly cache: TransferredCache;
}

interface Call extends CallOptions {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: JsonObject;
  /**
   * Timeout for the head of the answer, in milliseconds; defaults to the idle
   * timeout.
   */
  readonly timeout?: number;
}

/** Calls engines. Never resends a request automatically. */
export class EngineClient {
  #agent: Agent;
  #headers: Record<string, string>;
  #idleTimeout: number;

  constructor(options: EngineClientOptions = {}) {
    this.#agent = new Agent({
      connections: options.connections ?? defaultConnections,
      pipelining: 1,
      connect: {
        timeout: options.connectTimeout ?? defaultConnectTimeout,
        ca: options.certificateAuthorities,
      },
    });
    this.#idleTimeout = options.idleTimeout ?? defaultIdleTimeout;
    this.#headers = { "content-type": "application/json" };
    if (options.token) this.#headers.authorization = `Bearer ${options.token}`;
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#agent.destroy();
  }

  /**
   * Runs one attempt and yields its events; the last is `finished`. Returning
   * from the iteration or aborting the signal cancels the attempt on the
   * engine.
   *
   * @throws {EngineError} If the engine cannot be reached, refuses, or ends its
   * stream without the terminator.
   */
  async *generate(
    address: BackendServerAddress,
    request: GenerationRequest,
    options: CallOptions = {},
  ): AsyncGenerator<GenerationEvent, void, void> {
    const exchange = this.#dispatch(address, {
      method: "POST",
      path: generationPaths[request.endpoint],
      body: encodeGeneration(request),
    });
    const removeAbortListener = abortWith(exchange, options.signal);
    let answered = false;
    try {
      const head = await exchange.head;
      await checkHead(exchange, head, request);
      answered = true;
      const reader = new EventStreamReader(request.resumeFrom);
      for await (const bytes of exchange.read()) {
        for (const event of reader.feed(bytes)) yield event;
        if (reader.finished) return;
      }
      throw new EngineError("stream_interrupted", { written: true });
    } catch (thrown) {
      if (options.signal?.aborted) throw options.signal.reason;
      if (thrown instanceof EngineError) throw thrown;
      throw connectionError(thrown, { written: exchange.written, answered });
    } finally {
      removeAbortListener();
      exchange.abort(new Error("The attempt has ended"));
    }
  }

  /** Asks an engine to cancel an attempt whose connection may hang. */
  async cancel(
    address: BackendServerAddress,
    attempt: { readonly request: RequestId; readonly attempt: AttemptId },
    options: CallOptions = {},
  ): Promise<void> {
    await this.#call(address, {
      method: "POST",
      path: "/v1/cancel",
      body: { request_id: attempt.request, attempt_id: attempt.attempt },
      ...options,
    });
  }

  /** Reads the status of an engine. */
  async status(
    address: BackendServerAddress,
    options: CallOptions = {},
  ): Promise<EngineStatus> {
    const answer = await this.#call(address, {
      method: "GET",
      path: "/v1/status",
      ...options,
    });
    return parseStatus(answer);
  }

  /** Asks an engine to prefill a prompt and export its KV cache. */
  async exportCache(
    address: BackendServerAddress,
    request: GenerationRequest,
    options: CallOptions = {},
  ): Promise<TransferredCache> {
    const answer = await this.#call(address, {
      method: "POST",
      path: "/v1/kv/export",
      timeout: cacheTransferTimeout,
      body: encodeGeneration(request),
      ...options,
    });
    return parseTransferredCache(answer);
  }

  /**
   * Asks an engine to fetch an exported KV cache; resolves with the imported
   * cache.
   */
  async importCache(
    address: BackendServerAddress,
    options: ImportOptions,
  ): Promise<TransferredCache> {
    const answer = await this.#call(address, {
      method: "POST",
      path: "/v1/kv/import",
      timeout: cacheTransferTimeout,
      body: { handle: options.cache.handle, source: options.source.url },
      signal: options.signal,
    });
    return parseTransferredCache(answer);
  }

  #dispatch(address: BackendServerAddress, call: Call): Exchange {
    const exchange = new Exchange();
    const options: Dispatcher.DispatchOptions = {
      origin: address.url,
      path: call.path,
      method: call.method,
      headers: this.#headers,
      body: call.body === undefined ? null : JSON.stringify(call.body),
      headersTimeout: call.timeout ?? this.#idleTimeout,
      bodyTimeout: this.#idleTimeout,
    };
    this.#agent.dispatch(options, exchange);
    return exchange;
  }

  async #call(address: BackendServerAddress, call: Call): Promise<unknown> {
    const exchange = this.#dispatch(address, call);
    return await readJsonResponse(exchange, call);
  }
}

const generationPaths = {
  chat: "/v1/chat/completions",
  text: "/v1/completions",
} as const;

function encodeGeneration(request: GenerationRequest): JsonObject {
  return {
    seed: sharedSeed(request.request),
    ...request.body,
    stream: true,
    stream_options: { include_usage: true },
    request_id: request.request,
    attempt_id: request.attempt,
    priority: request.priority,
    resume_from: request.resumeFrom,
    created: request.created,
    prefixes: request.prefixes,
    kv_handle: request.cacheHandle,
  };
}

/**
 * Seed that all attempts of a request share unless its body has one, so that
 * another engine continues the same text.
 */
function sharedSeed(request: RequestId): number {
  return createHash("sha256").update(request).digest().readUInt32BE();
}

/** Reads a JSON answer and converts refusals and connection errors. */
export async function readJsonResponse(
  exchange: Exchange,
  options: CallOptions,
): Promise<unknown> {
  const removeAbortListener = abortWith(exchange, options.signal);
  let answered = false;
  try {
    const head = await exchange.head;
    answered = true;
    const body = await readText(exchange);
    if (head.status !== 200) {
      throw refusalError({ ...head, body });
    }
    return body === "" ? {} : JSON.parse(body);
  } catch (thrown) {
    if (options.signal?.aborted) throw options.signal.reason;
    if (thrown instanceof EngineError) throw thrown;
    if (thrown instanceof SyntaxError) {
      throw new EngineError("backend_failed", { written: true, cause: thrown });
    }
    throw connectionError(thrown, { written: exchange.written, answered });
  } finally {
    removeAbortListener();
    exchange.abort(new Error("The call has ended"));
  }
}

async function readText(exchange: Exchange): Promise<string> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of exchange.read()) {
    size += part.length;
    if (size > responseSizeLimit) {
      throw new EngineError("backend_failed", {
        message: `The engine's answer exceeds ${responseSizeLimit} bytes`,
        written: true,
      });
    }
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
}

async function checkHead(
  exchange: Exchange,
  head: ResponseHead,
  request: GenerationRequest,
): Promise<void> {
  if (head.status !== 200) {
    throw refusalError({ ...head, body: await readText(exchange) });
  }
  const contentType = String(head.headers["content-type"] ?? "");
  if (!contentType.startsWith("text/event-stream")) {
    throw new EngineError("backend_failed", {
      message: "The engine's answer is not an event stream",
      written: true,
    });
  }
  const resumedFrom = Number(head.headers[resumedFromHeader] ?? 0);
  if (resumedFrom !== request.resumeFrom) {
    throw new EngineError("resume_failed", { written: true });
  }
}

function abortWith(exchange: Exchange, signal?: AbortSignal): () => void {
  if (!signal) return () => {};
  const onAbort = () => exchange.abort(new Error("The call was cancelled"));
  if (signal.aborted) onAbort();
  signal.addEventListener("abort", onAbort, { once: true });
  return () => signal.removeEventListener("abort", onAbort);
}
