/**
 * Sends one HTTP request on one new connection and tracks written bytes.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import { createHash } from "node:crypto";
import { checkAnswerStatus } from "rhubarbstage";
import { Client } from "undici";
import { connectTimeout, outcomeHeader } from "./constants.ts";
import { endToEndHeaders } from "./headers.ts";
import type { ServiceRequest } from "./types.ts";

/** Result of sending one request. */
export type SendResult =
  | {
    readonly type: "answered";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Whether the service reports that it did not run the request. */
    readonly notRun: boolean;
  }
  /**
   * A complete response arrived whose body exceeds the limit; counted as run,
   * whatever the service reports.
   */
  | {
    readonly type: "too_large";
    readonly status: number;
    readonly digest: string;
  }
  /** No byte was written, or the service reports that it did not run. */
  | { readonly type: "not_run"; readonly message: string }
  /** Bytes were written, but no complete response was received. */
  | { readonly type: "unknown"; readonly message: string };

/** Options of {@linkcode sendOnce}. */
export interface SendOptions {
  /** Longest wait for the response in milliseconds, from the first byte. */
  readonly responseTimeout: number;
  /** Largest response body in bytes. */
  readonly maxResponseBytes: number;
  /** Called once connected; `false` closes the connection without sending. */
  readonly mayWrite: () => boolean;
}

/** Returns the origin of an address given as a URL or as host and port. */
export function originOf(address: string): string {
  return address.includes("://")
    ? new URL(address).origin
    : `http://${address}`;
}

/** Splits a base address such as `http://10.0.0.7:9000` into host and port. */
export function parseAddress(
  address: string,
): { readonly host: string; readonly port: number } {
  const url = new URL(address);
  return {
    host: url.hostname.replace(/^\[|\]$/g, ""),
    port: Number(url.port || 80),
  };
}

/** Sends a request at most once. Never throws. */
export async function sendOnce(
  address: string,
  request: ServiceRequest,
  options: SendOptions,
): Promise<SendResult> {
  let socket: Socket;
  try {
    socket = await openSocket(address);
  } catch (error) {
    return { type: "not_run", message: messageOf(error) };
  }
  if (!options.mayWrite()) {
    socket.destroy();
    return {
      type: "not_run",
      message: "Sending was refused once the connection was open",
    };
  }
  const isCutShort = watchForReset(socket);
  const client = singleConnectionClient(address, socket);
  try {
    return await exchange(client, request, { ...options, isCutShort });
  } catch (error) {
    const message = messageOf(error);
    // `bytesWritten` includes bytes that are still buffered in Node.js.
    const written = socket.bytesWritten > 0;
    return { type: written ? "unknown" : "not_run", message };
  } finally {
    socket.destroy();
    await client.destroy().catch(() => {});
  }
}

/**
 * Returns whether a connection was reset, or ended before its request was sent. The
 * HTTP client takes either for the end of a response without length.
 */
function watchForReset(socket: Socket): () => boolean {
  let isCutShort = false;
  socket.prependListener("error", () => isCutShort = true);
  socket.prependListener("end", () => {
    if (socket.writableLength > 0) isCutShort = true;
  });
  return () => isCutShort;
}

function openSocket(address: string): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect({
      ...parseAddress(originOf(address)),
      noDelay: true,
    });
    const timer = setTimeout(
      () =>
        socket.destroy(
          new Error(
            `Connecting to ${address} took longer than ${connectTimeout} ms`,
          ),
        ),
      connectTimeout,
    );
    socket.once("error", (error) => {
      clearTimeout(timer);
      reject(error);
    });
    socket.once("connect", () => {
      clearTimeout(timer);
      clearTimeout(timer);
      socket.removeAllListeners("error");
      socket.on("error", () => {});
      resolve(socket);
    });
  });
}

/** Creates a client that uses the given connection and never opens another. */
function singleConnectionClient(address: string, socket: Socket): Client {
  let isUsed = false;
  return new Client(originOf(address), {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    // `undici` sends nothing if the callback is called synchronously.
    connect: (_options, callback) =>
      queueMicrotask(() => {
        if (isUsed || socket.destroyed) {
          callback(
            new Error(
              "The connection was lost and a second one is not allowed",
            ),
            null,
          );
          return;
        }
        isUsed = true;
        callback(null, socket);
      }),
  });
}

async function exchange(
  client: Client,
  request: ServiceRequest,
  options: SendOptions & { readonly isCutShort: () => boolean },
): Promise<SendResult> {
  const signal = AbortSignal.timeout(options.responseTimeout);
  const response = await client.request({
    method: request.method,
    path: request.path,
    headers: endToEndHeaders(request.headers),
    body: request.body,
    reset: true,
    signal,
    onInfo: ({ statusCode }) => checkAnswerStatus(statusCode),
  });
  const status = response.statusCode;
  checkAnswerStatus(status);
  const isCloseDelimited = response.headers["content-length"] === undefined &&
    response.headers["transfer-encoding"] === undefined;
  const headers = endToEndHeaders(response.headers);
  const notRun = headers[outcomeHeader] === "not_run";
  try {
    const read = await readBody(response.body, options.maxResponseBytes);
    if (isCloseDelimited && options.isCutShort()) {
      throw new Error("The connection was lost before the response was whole");
    }
    if (read.body === undefined) {
      return { type: "too_large", status, digest: read.digest };
    }
    return { type: "answered", status, headers, body: read.body, notRun };
  } catch (error) {
    if (!notRun) throw error;
    return { type: "not_run", message: messageOf(error) };
  }
}

/** Reads and hashes a whole body; discards a body that exceeds the limit. */
async function readBody(
  body: AsyncIterable<Uint8Array>,
  limit: number,
): Promise<{ readonly body?: Uint8Array; readonly digest: string }> {
  const hash = createHash("sha256");
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    hash.update(chunk);
    length += chunk.byteLength;
    if (length <= limit) chunks.push(chunk);
    else chunks.length = 0;
  }
  const digest = hash.digest("hex");
  if (length > limit) return { digest };
  return { body: Buffer.concat(chunks), digest };
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
