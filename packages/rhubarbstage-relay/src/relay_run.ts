/**
 * Attempts of one relayed request.
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
import { startDeadlineOf, type Work } from "@rhubarbstage/policy";
import {
  type BackendServerId,
  RhubarbstageError,
  type SoftwareVersion,
} from "rhubarbstage";
import { bufferedResponseBytes, refusalBodyTimeout } from "./constants.ts";
import type { Dialect } from "./dialect.ts";
import { EventSplitter } from "./event_splitter.ts";
import { ExchangeError, type ExchangeResponse, readWhole } from "./exchange.ts";
import { isCloseDelimited, mediaTypeOf } from "./headers.ts";
import type { Reply } from "./reply.ts";
import type { ServerConnections } from "./server_connections.ts";
import type {
  CallerIdentity,
  HeaderList,
  PromptExport,
  ReportedLoad,
  ResponseMetadata,
  Route,
} from "./types.ts";

/** A caller's request to be relayed. */
export interface RelayRequest {
  readonly work: Work;
  readonly route: Route;
  readonly method: string;
  /** Path and query, byte for byte. */
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Id that the caller sent for its attempt. */
  readonly callerRequestId?: string;
  /** Id of the last event that the caller received. */
  readonly lastEventId?: string;
  readonly tokensPerEvent: number;
  /** Absent if the route table has no customers. */
  readonly caller?: CallerIdentity;
}

/** Options of {@linkcode RelayRun}. */
export interface RelayRunOptions {
  readonly request: RelayRequest;
  readonly reply: Reply;
  readonly dialect: Dialect;
  readonly connections: ServerConnections;
  /** Called with the load that a server reports with a response. */
  readonly onLoad: (server: BackendServerId, load: ReportedLoad) => void;
  /** Called when a request cannot be sent or connections are refused. */
  readonly onServerUnreachable: (server: BackendServerId) => void;
  /** Whether the process of a server has ended, after a lost connection. */
  readonly confirmServerEnded: (
    server: BackendServerAddress,
  ) => Promise<boolean>;
  /** Called when a server reports that it is not the intended one. */
  readonly onWrongServer: (server: BackendServerId) => void;
  /**
   * Called before the first event of a stream is relayed, with the software
   * version of its server.
   */
  readonly onStreamBegun: (
    softwareVersion: SoftwareVersion | undefined,
  ) => void;
  /**
   * Called with 1 when a server has begun to run the request, once for all
   * attempts, and with -1 when no server turns out to have run it.
   */
  readonly onBegun?: (change: 1 | -1) => void;
}

/** Result of a relayed request. */
export interface RelayResult {
  readonly status: number;
  readonly server: BackendServerId;
  readonly events: number;
}

/** A server's response to one attempt. */
interface AttemptResponse extends ExchangeResponse {
  readonly attempt: Attempt;
  /** Id of the event after which the server was asked to continue. */
  readonly resumedAfter?: string;
}

/** A server's error response, relayed if no retry succeeds. */
interface FallbackResponse {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Buffer;
}

/** Runs one request over one or more attempts. */
export class RelayRun extends RequestRun<RelayResult> {
  readonly #options: RelayRunOptions;
  #replyOwner: Attempt | undefined;
  /** Response whose head was written to the caller. */
  #begunResponse: AttemptResponse | undefined;
  #lastEventId: string | undefined;
  #eventCount = 0;
  #fallbackResponse: FallbackResponse | undefined;
  #begunAt: number | undefined;
  /** Attempts of a plain request that may have run. */
  readonly #sentAttempts = new Set<Attempt>();

  constructor(context: RunContext, options: RelayRunOptions) {
    super(context, options.request.work);
    this.#options = options;
    this.#lastEventId = options.request.lastEventId;
  }

  /** Monotonic time at which the reply was begun, in milliseconds. */
  get begunAt(): number | undefined {
    return this.#begunAt;
  }

  /** Error response to relay once the request has failed. */
  get fallbackResponse(): FallbackResponse | undefined {
    return this.#fallbackResponse;
  }

  protected override get deliveredTokens(): number {
    const { request, reply } = this.#options;
    // A plain response counts as one token once its head was written, so that it
    // is not retried: no other response can continue it.
    return this.#eventCount > 0
      ? this.#eventCount * request.tokensPerEvent
      : Number(reply.isBegun);
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
    this.#checkStillAwaited();
    const resumedAfter = this.#lastEventId;
    this.#countSent(attempt);
    try {
      const response = await this.#send(attempt, {
        promptExport,
        resumedAfter,
      });
      try {
        return await this.#handleResponse({
          ...response,
          attempt,
          resumedAfter,
        });
      } finally {
        response.discard();
      }
    } catch (thrown) {
      const error = await this.#toAttemptError(attempt, thrown);
      this.#countFailed(attempt, error);
      throw error;
    }
  }

  /** Counts a plain request when the first of its attempts is sent. */
  #countSent(attempt: Attempt): void {
    const { request, onBegun } = this.#options;
    if (request.route.kind === "stream") return;
    if (this.#sentAttempts.size === 0) onBegun?.(1);
    this.#sentAttempts.add(attempt);
  }

  /** Takes the count back once every attempt is known not to have run. */
  #countFailed(attempt: Attempt, error: Error): void {
    const isNotRun = error instanceof RhubarbstageError &&
      error.outcome === "not_run";
    if (!isNotRun || !this.#sentAttempts.delete(attempt)) return;
    if (this.#sentAttempts.size === 0) this.#options.onBegun?.(-1);
  }

  /** Throws if the server stopped accepting work during the prefill. */
  #checkStillServing({ address: { id } }: Attempt): void {
    if (this.context.backendServers.acceptsNewWork(id)) return;
    // Nothing was sent to it, so another server may run the request.
    throw markConnectionLost(
      new RhubarbstageError("backend_unreachable", {
        outcome: "not_run",
        cause: "The server stopped accepting new work during the prefill",
      }),
    );
  }

  /**
   * Throws if the caller no longer waits for the answer to begin. On a busy host,
   * the close of its connection may be read after the answer to the prefill.
   */
  #checkStillAwaited(): void {
    if (this.deliveredTokens > 0) return;
    const now = this.context.clock.monotonicMilliseconds();
    if (now < startDeadlineOf(this.work)) return;
    throw new RhubarbstageError("deadline_exceeded", { outcome: "not_run" });
  }

  /** Prefills on another server; on failure, the attempt's server does it. */
  async #prefill(attempt: Attempt): Promise<PromptExport | undefined> {
    const { prefillServer } = attempt.effect;
    if (prefillServer === undefined) return undefined;
    const server = this.context.backendServers.addressOf(prefillServer);
    if (server === undefined) return undefined;
    const startedAt = this.context.clock.monotonicMilliseconds();
    try {
      const response = await this.#send(attempt, { prefillAt: server });
      this.#reportServerState(server, response.metadata);
      const body = await readWhole(response);
      const handle = response.status === 200
        ? this.#options.dialect.parseExportHandle(body)
        : undefined;
      if (handle !== undefined) {
        const now = this.context.clock.monotonicMilliseconds();
        this.#recordEvent("prompt_exported", {
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
      this.#recordEvent("prefill_refused", {
        server: server.id,
        status: response.status,
      });
    } catch (thrown) {
      attempt.controller.signal.throwIfAborted();
      this.#recordEvent("prefill_failed", {
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
      readonly resumedAfter?: string;
    },
  ): Promise<ExchangeResponse> {
    const { request, dialect, connections } = this.#options;
    const { promptExport, prefillAt, resumedAfter } = options;
    const server = prefillAt ?? attempt.address;
    const { work, method, path, body, callerRequestId } = request;
    const now = this.context.clock.monotonicMilliseconds();
    const headers = dialect.attemptHeaders(request.headers, {
      server: server.id,
      timeLeft: Math.max(1, work.deadlineAt - now),
      step: prefillAt === undefined ? "run" : "prefill",
      ...(work.model === undefined || attempt.effect.rank === undefined
        ? {}
        : { rank: attempt.effect.rank }),
      ...(promptExport === undefined ? {} : { promptExport }),
      ...(resumedAfter === undefined ? {} : { resumeAfter: resumedAfter }),
      ...(request.caller === undefined
        ? {}
        : { caller: callerMetadata(request.caller) }),
    });
    const { signal } = attempt.controller;
    return connections.send(server, {
      ...(callerRequestId === undefined ? {} : { id: callerRequestId }),
      method,
      path,
      headers,
      body,
      isRepeatable: prefillAt !== undefined || work.repeatable,
    }, { signal });
  }

  async #handleResponse(response: AttemptResponse): Promise<RelayResult> {
    const { onLoad, onWrongServer } = this.#options;
    const { attempt, metadata } = response;
    const { id } = attempt.address;
    if (metadata.load !== undefined) onLoad(id, metadata.load);
    this.#reportServerState(attempt.address, metadata);
    if (metadata.isWrongServer) onWrongServer(id);
    if (metadata.isNotRun) {
      await this.#readRefusal(response);
      throw new RhubarbstageError(
        metadata.isWrongServer ? "backend_unreachable" : "overloaded",
        { outcome: "not_run", cause: `status ${response.status}` },
      );
    }
    if (response.status < 300 && !metadata.isSigned) {
      throw new RhubarbstageError("backend_failed", {
        message: "The server's response is not signed",
      });
    }
    return this.#isStream(response)
      ? await this.#relayStream(response)
      : await this.#relayResponse(response);
  }

  #isStream({ status }: ExchangeResponse): boolean {
    return this.#options.request.route.kind === "stream" && status < 300;
  }

  /** Reads the body of a refusal, so that its connection can be kept. */
  async #readRefusal(response: ExchangeResponse): Promise<void> {
    const timer = setTimeout(() => response.discard(), refusalBodyTimeout);
    await readWhole(response).catch(() => undefined);
    clearTimeout(timer);
  }

  /** Reports what a server says of itself: its limit, or that it names none. */
  #reportServerState(
    { id: server, incarnation }: BackendServerAddress,
    { requestLimit: limit, notice }: ResponseMetadata,
  ): void {
    if (notice !== undefined && incarnation !== undefined) {
      const type = "server_notice_observed";
      this.context.notify({ type, server, incarnation, notice });
    }
    this.context.notify({
      type: "request_limit_observed",
      server,
      ...(limit === undefined ? {} : { limit }),
    });
  }

  async #relayResponse(response: AttemptResponse): Promise<RelayResult> {
    const { attempt, status, headers } = response;
    const { reply } = this.#options;
    const chunks: Buffer[] = [];
    let size = 0;
    let kept = 0;
    for await (const chunk of response.body) {
      chunks.push(chunk);
      size += chunk.length;
      // Without memory for the whole, the caller gets it as it comes.
      if (size <= bufferedResponseBytes && reply.keep(chunk.length)) {
        kept += chunk.length;
        continue;
      }
      for (const buffered of chunks.splice(0)) {
        await this.#deliver(response, buffered);
      }
      reply.release(kept);
      kept = 0;
    }
    if (this.#replyOwner === attempt) {
      for (const buffered of chunks) await this.#deliver(response, buffered);
      this.#complete(response);
      return this.#result(attempt, status);
    }
    const body = Buffer.concat(chunks);
    if (status >= 500 && this.work.repeatable) {
      this.#fallbackResponse = { status, headers, body };
      throw new RhubarbstageError("backend_failed", {
        outcome: "ran",
        cause: `status ${status}`,
      });
    }
    this.#acquireReply(response);
    this.#options.reply.send(status, headers, body);
    return this.#result(attempt, status);
  }

  async #relayStream(response: AttemptResponse): Promise<RelayResult> {
    const { attempt } = response;
    const splitter = new EventSplitter();
    // Without a length, a stream that breaks off may end in order; only events
    // show that its server has written it.
    let mayBeTruncated = isCloseDelimited(response.headers);
    for await (const chunk of response.body) {
      const block = splitter.push(chunk);
      if (block === undefined) continue;
      mayBeTruncated = false;
      await this.#deliver(response, block.bytes, () => {
        this.#lastEventId = block.lastId ?? this.#lastEventId;
        this.#reportEvents(attempt, block.count);
      });
    }
    if (mayBeTruncated || splitter.partialEvent.length > 0) {
      const place = mayBeTruncated ? "before its first" : "inside an";
      throw new ExchangeError(`The stream ended ${place} event`, {
        maybeDelivered: true,
      });
    }
    this.#complete(response);
    return this.#result(attempt, response.status);
  }

  /**
   * Writes bytes of a response to the caller. `onAcquired` is called before the
   * first of them is written.
   */
  async #deliver(
    response: AttemptResponse,
    bytes: Buffer,
    onAcquired: () => void = () => {},
  ): Promise<void> {
    this.#begin(response);
    onAcquired();
    await this.#options.reply.write(bytes, response.attempt.controller.signal);
  }

  /** Ends the reply after the last byte of a complete response. */
  #complete(response: AttemptResponse): void {
    this.#begin(response);
    this.#options.reply.end();
  }

  #begin(response: AttemptResponse): void {
    const { reply, request, onStreamBegun, onBegun } = this.#options;
    const { attempt } = response;
    this.#acquireReply(response);
    if (reply.isBegun) return;
    if (this.#isStream(response)) {
      onStreamBegun(attempt.effect.softwareVersion);
      // A stream that is taken up was counted when it began.
      if (request.lastEventId === undefined) onBegun?.(1);
    }
    this.#begunResponse = response;
    reply.begin(response.status, response.headers);
    this.#begunAt = this.context.clock.monotonicMilliseconds();
    this.#recordEvent("first_event", {
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

  /**
   * Acquires the reply for a response; all bytes of the reply pass through here.
   * The owner keeps it while its attempt is active. A reply that was begun goes
   * on only with a stream of the same status and media type that continues after
   * the last event delivered; the bytes of any other response would be joined to
   * those of the owner.
   *
   * @throws {RhubarbstageError} If the response may not be written.
   */
  #acquireReply(response: AttemptResponse): void {
    const { attempt, status, headers, resumedAfter } = response;
    if (this.#replyOwner === attempt && this.isActive(attempt)) return;
    const isTaken = this.#replyOwner !== undefined &&
      this.isActive(this.#replyOwner);
    if (isTaken || !this.isActive(attempt)) {
      throw new RhubarbstageError("backend_failed", {
        outcome: "ran",
        cause: `Another attempt than ${attempt.id} is relayed`,
      });
    }
    const mayContinue = this.#isStream(response) &&
      status === this.#begunResponse?.status &&
      mediaTypeOf(headers) === mediaTypeOf(this.#begunResponse.headers) &&
      resumedAfter !== undefined && resumedAfter === this.#lastEventId;
    if (this.#options.reply.isBegun && !mayContinue) {
      throw new RhubarbstageError("stream_interrupted", {
        outcome: "ran",
        cause: `A response with status ${status} and media type ` +
          `"${mediaTypeOf(headers)}" does not continue the reply after ` +
          `event ${this.#lastEventId ?? "none"}`,
      });
    }
    this.#replyOwner = attempt;
  }

  #reportEvents(attempt: Attempt, count: number): void {
    this.#eventCount += count;
    this.context.notify({
      type: "tokens",
      request: this.work.request,
      attempt: attempt.id,
      count: count * this.#options.request.tokensPerEvent,
    });
  }

  #result(attempt: Attempt, status: number): RelayResult {
    return { status, server: attempt.address.id, events: this.#eventCount };
  }

  /** Converts an `ExchangeError` to one with an outcome; keeps other errors. */
  async #toAttemptError(attempt: Attempt, thrown: unknown): Promise<Error> {
    if (!(thrown instanceof ExchangeError)) return thrown as Error;
    const { signal } = attempt.controller;
    const { onServerUnreachable, confirmServerEnded } = this.#options;
    const { id } = attempt.address;
    if (!thrown.maybeDelivered) {
      if (!signal.aborted) onServerUnreachable(id);
      return markConnectionLost(
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
    if (!await confirmServerEnded(attempt.address)) return error;
    onServerUnreachable(id);
    return markConnectionLost(error);
  }

  #recordEvent(event: string, fields: Record<string, string | number>): void {
    const { request } = this.work;
    this.context.telemetry.recordEvent(event, { request, ...fields });
  }
}

function callerMetadata({ customer }: CallerIdentity) {
  return customer === undefined ? {} : { customer: customer.name };
}

/** Marks an error so that the policy treats the server as lost. */
function markConnectionLost(error: RhubarbstageError): RhubarbstageError {
  return Object.assign(error, { connectionLost: true });
}
