/**
 * A relayed request under the policy.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { BackendServerAddress } from "@rhubarbstage/engine";
import {
  type Attempt,
  RequestRun,
  type RunContext,
} from "@rhubarbstage/gateway/dispatch";
import type { Work } from "@rhubarbstage/policy";
import { type BackendServerId, RhubarbstageError } from "rhubarbstage";
import { bufferedResponseBytes } from "./constants.ts";
import type { Dialect } from "./dialect.ts";
import { EventSplitter } from "./event_splitter.ts";
import { ExchangeError, type ExchangeResponse } from "./exchange.ts";
import type { Reply } from "./reply.ts";
import {
  refusesConnections,
  type ServerConnections,
} from "./server_connections.ts";
import type {
  HeaderList,
  PromptExport,
  ReportedLoad,
  ResponseMetadata,
  Route,
} from "./types.ts";

/** A caller's request as it is relayed. */
export interface RelayRequest {
  readonly work: Work;
  readonly route: Route;
  readonly method: string;
  /** Path and query, byte for byte. */
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Id of the caller's attempt, as it sent it. */
  readonly callerRequestId?: string;
  /** Id of the last event that the caller has. */
  readonly lastEventId?: string;
  readonly tokensPerEvent: number;
}

/** What a {@linkcode RelayRun} works with. */
export interface RelayRunOptions {
  readonly request: RelayRequest;
  readonly reply: Reply;
  readonly dialect: Dialect;
  readonly connections: ServerConnections;
  /** Called with the load that a server tells with an answer. */
  readonly onLoad: (server: BackendServerId, load: ReportedLoad) => void;
  /** Called when a server refuses connections. */
  readonly onServerUnreachable: (server: BackendServerId) => void;
  /** Called when another server answers at an address. */
  readonly onWrongServer: (server: BackendServerId) => void;
}

/** How a relayed request ended. */
export interface RelayResult {
  readonly status: number;
  readonly server: BackendServerId;
  readonly events: number;
}

/** A server's failure that is relayed unless a repeat does better. */
interface KeptAnswer {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Buffer;
}

/** Runs one request over one or more attempts. */
export class RelayRun extends RequestRun<RelayResult> {
  readonly #options: RelayRunOptions;
  #owner: Attempt | undefined;
  #lastEventId: string | undefined;
  #events = 0;
  #kept: KeptAnswer | undefined;

  constructor(context: RunContext, options: RelayRunOptions) {
    super(context, options.request.work);
    this.#options = options;
    this.#lastEventId = options.request.lastEventId;
  }

  /** Failure of a server that stands for the request once it is given up. */
  get fallbackResponse(): KeptAnswer | undefined {
    return this.#kept;
  }

  protected override get deliveredTokens(): number {
    return this.#events * this.#options.request.tokensPerEvent;
  }

  protected override countTokens(result: RelayResult) {
    const { request } = this.#options;
    return {
      promptTokens: request.work.promptTokens,
      outputTokens: result.events * request.tokensPerEvent,
    };
  }

  protected override async run(attempt: Attempt): Promise<RelayResult> {
    const promptExport = await this.#prefill(attempt);
    if (promptExport !== undefined) this.#checkStillServing(attempt);
    try {
      const answer = await this.#send(attempt, { promptExport });
      return await this.#take(attempt, answer);
    } catch (thrown) {
      throw await this.#explain(attempt, thrown);
    }
  }

  /** A server may have begun to leave while the prompt was computed. */
  #checkStillServing({ address: { id } }: Attempt): void {
    if (this.context.backendServers.takesNewWork(id)) return;
    // Nothing was sent to it, so that another server may take its place.
    throw connectionLoss(
      new RhubarbstageError("backend_unreachable", {
        outcome: "not_run",
        cause: "The server leaves",
      }),
    );
  }

  /** Has the prompt computed elsewhere; without success, the server does it. */
  async #prefill(attempt: Attempt): Promise<PromptExport | undefined> {
    const { prefillServer } = attempt.effect;
    if (prefillServer === undefined) return undefined;
    const server = this.context.backendServers.addressOf(prefillServer);
    if (server === undefined) return undefined;
    const startedAt = this.context.clock.monotonicMilliseconds();
    try {
      const answer = await this.#send(attempt, { prefillAt: server });
      const body = await readWhole(answer.body);
      const handle = answer.status === 200
        ? this.#options.dialect.parseExportHandle(body)
        : undefined;
      if (handle !== undefined) {
        const now = this.context.clock.monotonicMilliseconds();
        this.#note("prompt_exported", {
          attempt: attempt.id,
          server: server.id,
          milliseconds: Math.round(now - startedAt),
        });
        this.context.notify({
          type: "prompt_computed",
          request: this.work.request,
          attempt: attempt.id,
        });
        return { address: new URL(server.url).host, handle };
      }
      this.#note("prefill_refused", {
        server: server.id,
        status: answer.status,
      });
    } catch (thrown) {
      attempt.controller.signal.throwIfAborted();
      this.#note("prefill_failed", {
        server: server.id,
        cause: String(thrown),
      });
    }
    return undefined;
  }

  #send(
    attempt: Attempt,
    options: {
      readonly promptExport?: PromptExport;
      readonly prefillAt?: BackendServerAddress;
    },
  ): Promise<ExchangeResponse> {
    const { request, dialect, connections } = this.#options;
    const { promptExport, prefillAt } = options;
    const server = prefillAt ?? attempt.address;
    const { work, method, path, body } = request;
    const now = this.context.clock.monotonicMilliseconds();
    const headers = dialect.attemptHeaders(request.headers, {
      server: server.id,
      timeLeft: Math.max(1, work.deadlineAt - now),
      step: prefillAt === undefined ? "run" : "prefill",
      ...(work.model === undefined || attempt.effect.rank === undefined
        ? {}
        : { rank: attempt.effect.rank }),
      ...(promptExport === undefined ? {} : { promptExport }),
      ...(this.#lastEventId === undefined || prefillAt !== undefined
        ? {}
        : { resumeAfter: this.#lastEventId }),
    });
    const { signal } = attempt.controller;
    return connections.send(server, { method, path, headers, body }, {
      signal,
    });
  }

  async #take(
    attempt: Attempt,
    answer: ExchangeResponse,
  ): Promise<RelayResult> {
    const { request, dialect, onLoad, onWrongServer } = this.#options;
    const { id } = attempt.address;
    const traits = dialect.readAnswer(answer.status, answer.headers);
    if (traits.load !== undefined) onLoad(id, traits.load);
    if (traits.isWrongServer) onWrongServer(id);
    if (traits.isNotRun) {
      await readWhole(answer.body).catch(() => undefined);
      throw new RhubarbstageError(
        traits.isWrongServer ? "backend_unreachable" : "overloaded",
        { outcome: "not_run", cause: `status ${answer.status}` },
      );
    }
    this.#checkBelongs(traits, answer.status);
    const isStream = request.route.kind === "stream" && answer.status < 300;
    return isStream
      ? await this.#relayStream(attempt, answer)
      : await this.#relayWhole(attempt, answer);
  }

  /** An answer that is not the server's to this request is never relayed. */
  #checkBelongs(traits: ResponseMetadata, status: number): void {
    const { callerRequestId: callerId } = this.#options.request;
    const isForeign = traits.request !== undefined &&
      callerId !== undefined && traits.request !== callerId;
    const isForged = status < 300 && !traits.isSigned;
    if (!isForeign && !isForged) return;
    throw new RhubarbstageError("backend_failed", {
      message: isForeign
        ? "The server answered another request"
        : "The answer bears no signature",
    });
  }

  async #relayWhole(
    attempt: Attempt,
    answer: ExchangeResponse,
  ): Promise<RelayResult> {
    const { reply } = this.#options;
    const { status, headers } = answer;
    const pieces: Buffer[] = [];
    let size = 0;
    for await (const piece of answer.body) {
      pieces.push(piece);
      size += piece.length;
      if (size <= bufferedResponseBytes) continue;
      if (!reply.isBegun) this.#begin(attempt, answer);
      for (const waiting of pieces.splice(0)) {
        await reply.write(waiting, attempt.controller.signal);
      }
    }
    if (reply.isBegun) {
      for (const rest of pieces) {
        await reply.write(rest, attempt.controller.signal);
      }
      reply.end();
      return this.#result(attempt, status);
    }
    const body = Buffer.concat(pieces);
    if (status >= 500 && this.work.repeatable) {
      this.#kept = { status, headers, body };
      throw new RhubarbstageError("backend_failed", {
        outcome: "ran",
        cause: `status ${status}`,
      });
    }
    if (!this.#own(attempt)) return this.#result(attempt, status);
    reply.send(status, headers, body);
    return this.#result(attempt, status);
  }

  async #relayStream(
    attempt: Attempt,
    answer: ExchangeResponse,
  ): Promise<RelayResult> {
    const { reply, request } = this.#options;
    const splitter = new EventSplitter();
    for await (const piece of answer.body) {
      const block = splitter.push(piece);
      if (block === undefined) continue;
      if (!this.#own(attempt)) return this.#result(attempt, answer.status);
      this.#begin(attempt, answer);
      this.#lastEventId = block.lastId ?? this.#lastEventId;
      this.#reportEvents(attempt, block.count);
      await reply.write(block.bytes, attempt.controller.signal);
    }
    if (!this.#own(attempt)) return this.#result(attempt, answer.status);
    this.#begin(attempt, answer);
    if (splitter.rest.length > 0) {
      if (request.route.resumable) {
        throw new RhubarbstageError("stream_interrupted");
      }
      await reply.write(splitter.rest, attempt.controller.signal);
    }
    reply.end();
    return this.#result(attempt, answer.status);
  }

  #begin(attempt: Attempt, answer: ExchangeResponse): void {
    const { reply, request } = this.#options;
    if (reply.isBegun) return;
    reply.begin(answer.status, answer.headers);
    this.#note("first_event", {
      attempt: attempt.id,
      server: attempt.address.id,
      milliseconds: Math.round(
        this.context.clock.monotonicMilliseconds() - request.work.arrivedAt,
      ),
    });
    this.context.telemetry.recordTimeToFirstToken(
      this.work.service,
      this.context.clock.monotonicMilliseconds() - request.work.arrivedAt,
    );
    this.context.notify({
      type: "first_token",
      request: this.work.request,
      attempt: attempt.id,
    });
  }

  /** Whether this attempt answers; the first one to have an answer does. */
  #own(attempt: Attempt): boolean {
    if (!this.isActive(attempt)) return false;
    if (this.#owner === undefined || !this.isActive(this.#owner)) {
      this.#owner = attempt;
    }
    return this.#owner === attempt;
  }

  #reportEvents(attempt: Attempt, count: number): void {
    this.#events += count;
    this.context.notify({
      type: "tokens",
      request: this.work.request,
      attempt: attempt.id,
      count: count * this.#options.request.tokensPerEvent,
    });
  }

  #result(attempt: Attempt, status: number): RelayResult {
    return { status, server: attempt.address.id, events: this.#events };
  }

  /** Turns what went wrong with an attempt into an error with its outcome. */
  async #explain(attempt: Attempt, thrown: unknown): Promise<Error> {
    if (!(thrown instanceof ExchangeError)) return thrown as Error;
    const { signal } = attempt.controller;
    const { onServerUnreachable: onLost } = this.#options;
    const { id } = attempt.address;
    if (!thrown.isSent) {
      if (!signal.aborted) onLost(id);
      return connectionLoss(
        new RhubarbstageError("backend_unreachable", {
          outcome: "not_run",
          cause: thrown,
        }),
      );
    }
    const kind = this.#options.reply.isBegun
      ? "stream_interrupted"
      : "backend_failed";
    const error = new RhubarbstageError(kind, { cause: thrown });
    if (signal.aborted) return error;
    const isGone = await refusesConnections(attempt.address.url);
    if (!isGone) return error;
    onLost(id);
    return connectionLoss(error);
  }

  #note(event: string, fields: Record<string, string | number>): void {
    const { request } = this.work;
    this.context.telemetry.recordEvent(event, { request, ...fields });
  }
}

/** Marks an error as the loss of the server, for the policy. */
function connectionLoss(error: RhubarbstageError): RhubarbstageError {
  return Object.assign(error, { connectionLost: true });
}

async function readWhole(
  body: AsyncGenerator<Buffer, void, void>,
): Promise<Buffer> {
  const pieces: Buffer[] = [];
  for await (const piece of body) pieces.push(piece);
  return Buffer.concat(pieces);
}
