/**
 * Reads bodies of requests into few buffers, and refuses them half-way.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { RhubarbstageError } from "./errors.ts";
import type { MemoryLease } from "./memory_budget.ts";
import { startReading, stopReading } from "./read_control.ts";
import type { ReadScheduler } from "./read_scheduler.ts";

/** Cost of a chunk that is kept as it came, beside its bytes. */
const chunkCostBytes = 256;
/** Chunks from which on their buffers are kept and not copied, in bytes. */
const largeChunkBytes = 32_768;
/** Smallest buffer into which chunks are joined, in bytes. */
const minSegmentBytes = 16_384;
/** Largest one, in bytes: what is allocated in vain stays small. */
const maxSegmentBytes = 524_288;

/** Time after which the rate of a body counts, in milliseconds. */
const rateGracePeriod = 5_000;
/**
 * Least average rate of a body after that, in bytes a second: 0.3% of what 4 MiB
 * within the 30 s for a whole request take.
 */
const minBytesPerSecond = 400;
/** Interval between checks of the rate, in milliseconds. */
const rateCheckInterval = 1_000;

/** Bytes of a refused body that are read and dropped. */
const maxDroppedBytes = 262_144;
/** Time for a client to read its refusal before the connection closes, in ms. */
const refusalTimeout = 1_000;

/** First chunks of a body, which no scheduler counts. */
const uncountedChunks = 64;

const noBytes = Buffer.alloc(0);

/** Options of {@linkcode readRequestBody}. */
export interface RequestBodyOptions {
  /** Largest body, in bytes. */
  readonly limit: number;
  /** Aborted when the client has gone; its reason is thrown. */
  readonly signal?: AbortSignal;
  /** Holds the memory of the body; the caller closes it. */
  readonly lease: MemoryLease;
  /** Time after which the body is of no more use, in milliseconds. */
  readonly timeout?: number;
  /** Defers reads of bodies with many small chunks; none by default. */
  readonly scheduler?: ReadScheduler;
}

/** Whether a request announces a body. */
export function announcesBody({ headers }: IncomingMessage): boolean {
  const length = headers["content-length"];
  return headers["transfer-encoding"] !== undefined ||
    (length !== undefined && Number(length) !== 0);
}

/**
 * Reads a body whole. Small chunks are joined at once, so that a body costs little
 * more than its bytes, and each byte is counted when it arrives.
 *
 * @throws {RhubarbstageError} `body_too_large`, `overloaded` if there is no
 * memory for it, `request_timeout` if it arrives too slowly.
 */
export function readRequestBody(
  incoming: IncomingMessage,
  options: RequestBodyOptions,
): Promise<Buffer> {
  const { limit } = options;
  if (!announcesBody(incoming)) return Promise.resolve(noBytes);
  // What is declared is only compared; memory is counted as bytes arrive.
  if (Number(incoming.headers["content-length"] ?? 0) > limit) {
    return Promise.reject(tooLarge(limit));
  }
  return new BodyReader(incoming, options).read();
}

/** State of one body that is arriving. */
class BodyReader {
  readonly #incoming: IncomingMessage;
  readonly #options: RequestBodyOptions;
  readonly #startedAt = performance.now();
  /** Buffers that are full, or the first chunk as it came. */
  #segments: Buffer[] = [];
  #open: Buffer = noBytes;
  #openBytes = 0;
  #size = 0;
  #chunks = 0;
  #wasDeferred = false;
  #timer: NodeJS.Timeout | undefined;
  #isDone = false;
  #resolve!: (body: Buffer) => void;
  #reject!: (error: unknown) => void;

  constructor(incoming: IncomingMessage, options: RequestBodyOptions) {
    this.#incoming = incoming;
    this.#options = options;
  }

  read(): Promise<Buffer> {
    const incoming = this.#incoming;
    const { signal, lease } = this.#options;
    const body = new Promise<Buffer>((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    if (signal?.aborted) {
      this.#reject(signal.reason);
      return body;
    }
    lease.allowEviction(() => this.#fail(memoryShortage()));
    this.#timer = setInterval(() => this.#checkRate(), rateCheckInterval);
    incoming.on("data", this.#onData);
    incoming.on("end", this.#onEnd);
    incoming.on("error", this.#onError);
    incoming.on("close", this.#onClose);
    signal?.addEventListener("abort", this.#onAbort, { once: true });
    return body;
  }

  readonly #onData = (chunk: Buffer): void => {
    const { limit, lease, scheduler } = this.#options;
    this.#chunks += 1;
    if (this.#chunks > uncountedChunks) {
      const isDeferred = scheduler?.countChunk(this.#incoming) === true;
      this.#wasDeferred ||= isDeferred;
    }
    this.#size += chunk.length;
    if (this.#size > limit) return this.#fail(tooLarge(limit));
    const isFirst = this.#size === chunk.length;
    if (!isFirst && chunk.length < largeChunkBytes) return this.#append(chunk);
    // A chunk may be a small part of the buffer that it keeps in memory.
    if (!lease.grow(chunk.buffer.byteLength + chunkCostBytes)) {
      return this.#fail(memoryShortage());
    }
    this.#closeSegment();
    this.#segments.push(chunk);
  };

  #closeSegment(): void {
    if (this.#openBytes === 0) return;
    this.#segments.push(this.#open.subarray(0, this.#openBytes));
    this.#open = this.#open.subarray(this.#openBytes);
    this.#openBytes = 0;
  }

  #append(chunk: Buffer): void {
    const copied = chunk.copy(this.#open, this.#openBytes);
    this.#openBytes += copied;
    if (copied === chunk.length) return;
    const rest = chunk.subarray(copied);
    const size = Math.max(
      rest.length,
      Math.min(maxSegmentBytes, Math.max(minSegmentBytes, this.#size)),
    );
    if (!this.#options.lease.grow(size)) return this.#fail(memoryShortage());
    this.#closeSegment();
    this.#open = Buffer.allocUnsafeSlow(size);
    this.#openBytes = rest.copy(this.#open);
  }

  readonly #onEnd = (): void => {
    const { lease } = this.#options;
    startReading(this.#incoming);
    this.#closeSegment();
    const segments = this.#segments;
    if (segments.length <= 1) {
      this.#finish();
      return this.#resolve(segments[0] ?? noBytes);
    }
    const held = lease.heldBytes;
    if (!lease.grow(this.#size)) return this.#fail(memoryShortage());
    const body = Buffer.concat(segments, this.#size);
    this.#finish();
    lease.shrink(held);
    this.#resolve(body);
  };

  readonly #onClose = (): void =>
    this.#fail(new Error("The connection closed before the body was complete"));
  readonly #onError = (error: Error): void => this.#fail(error);
  readonly #onAbort = (): void => this.#fail(this.#options.signal?.reason);

  #checkRate(): void {
    const age = performance.now() - this.#startedAt;
    const { timeout = Infinity } = this.#options;
    const least = minBytesPerSecond * age / 1_000;
    if (age > timeout) {
      this.#fail(new RhubarbstageError("deadline_exceeded"));
    } else if (
      age > rateGracePeriod && this.#size < least && !this.#wasDeferred
    ) {
      this.#fail(
        new RhubarbstageError("request_timeout", {
          message: `${this.#size} bytes of the body arrived in ` +
            `${Math.round(age)} ms, less than ${minBytesPerSecond} a second`,
        }),
      );
    }
  }

  #fail(error: unknown): void {
    if (this.#isDone) return;
    this.#finish();
    stopReading(this.#incoming);
    const { signal } = this.#options;
    this.#reject(signal?.aborted ? signal.reason : error);
  }

  #finish(): void {
    this.#isDone = true;
    clearInterval(this.#timer);
    this.#options.lease.denyEviction();
    this.#segments = [];
    this.#open = noBytes;
    const incoming = this.#incoming;
    this.#options.scheduler?.remove(incoming);
    incoming.off("data", this.#onData);
    incoming.off("end", this.#onEnd);
    incoming.off("close", this.#onClose);
    this.#options.signal?.removeEventListener("abort", this.#onAbort);
  }
}

/** The refusal of a request, complete. */
export interface Refusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | number>>;
  readonly body: string;
  /** While it is busy, the rest of the body is not read; none by default. */
  readonly scheduler?: ReadScheduler;
}

/**
 * Answers a request whose body may not have arrived. A bounded part of the rest is
 * read and dropped: closing at once would reset the connection, and the client
 * would lose the answer. Beyond the bound the connection is closed.
 */
export function refuseRequest(
  incoming: IncomingMessage,
  response: ServerResponse,
  { status, headers, body, scheduler }: Refusal,
): void {
  if (incoming.complete || !announcesBody(incoming)) {
    startReading(incoming);
    response.writeHead(status, headers).end(body);
    return;
  }
  response.writeHead(status, headers);
  response.write(body);
  dropRequestBody(incoming, {
    ...(scheduler === undefined ? {} : { scheduler }),
    onDone: () => {
      if (!response.writableEnded) response.end();
    },
  });
}

/**
 * Reads and drops a bounded part of the rest of a body, as long as no other reads
 * wait, and calls `onDone`. Closes the connection, after its answer was written,
 * unless the body has ended.
 */
export function dropRequestBody(
  incoming: IncomingMessage,
  options: {
    readonly scheduler?: ReadScheduler;
    readonly onDone?: () => void;
  } = {},
): void {
  const { scheduler, onDone } = options;
  let dropped = 0;
  const finish = () => {
    clearTimeout(timer);
    incoming.off("data", onData);
    incoming.off("end", finish);
    incoming.off("close", finish);
    onDone?.();
    if (incoming.complete) startReading(incoming);
    else incoming.socket.destroySoon();
  };
  const onData = (chunk: Buffer) => {
    dropped += chunk.length + chunkCostBytes;
    scheduler?.countDroppedChunk();
    if (dropped > maxDroppedBytes || scheduler?.isBusy) stopReading(incoming);
  };
  const timer = setTimeout(finish, refusalTimeout);
  incoming.on("error", () => {});
  incoming.on("data", onData);
  incoming.once("end", finish);
  incoming.once("close", finish);
  if (scheduler?.isBusy) stopReading(incoming);
  else startReading(incoming);
}

function tooLarge(limit: number): RhubarbstageError {
  return new RhubarbstageError("body_too_large", {
    message: `The body has more than ${limit} bytes`,
  });
}

function memoryShortage(): RhubarbstageError {
  return new RhubarbstageError("overloaded", {
    message: "This host has no memory left for the body",
    retryAfterSeconds: 1,
  });
}
