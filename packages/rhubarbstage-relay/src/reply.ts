/**
 * The response to a caller.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { MemoryLease } from "rhubarbstage";
import { endToEndHeaders } from "./headers.ts";
import type { HeaderList } from "./types.ts";

/**
 * Bytes that an answer holds while its caller does not read: the buffers of the
 * exchange with the server and of both connections.
 */
const stalledAnswerBytes = 196_608;

/** Writes one response to one caller. */
export class Reply {
  readonly #response: ServerResponse;
  readonly #lease: MemoryLease;

  constructor(response: ServerResponse, lease: MemoryLease) {
    this.#response = response;
    this.#lease = lease;
  }

  /** Counts bytes that are kept until the caller gets them; false if too many. */
  keep(bytes: number): boolean {
    return this.#lease.grow(bytes);
  }

  /** Gives back what {@linkcode Reply.keep} counted. */
  release(bytes: number): void {
    this.#lease.shrink(bytes);
  }

  /** Whether the head of the response was written. */
  get isBegun(): boolean {
    return this.#response.headersSent;
  }

  /** Writes the head of a response with a server's status and headers. */
  begin(status: number, headers: HeaderList): void {
    const forwarded = endToEndHeaders(headers);
    this.#response.writeHead(status, this.#withConnectionClose(forwarded));
    this.#response.flushHeaders();
  }

  /** Writes a chunk and waits for the connection to drain (backpressure). */
  async write(chunk: Buffer, signal: AbortSignal): Promise<void> {
    if (this.#response.write(chunk)) return;
    if (!this.#lease.grow(stalledAnswerBytes)) this.disconnect();
    // The answer of a caller that reads nothing gives way to others.
    this.#lease.allowEviction(() => this.disconnect());
    try {
      await once(this.#response, "drain", { signal });
    } finally {
      this.#lease.denyEviction();
      this.#lease.shrink(stalledAnswerBytes);
    }
  }

  /** Closes the caller's connection, also if it has earlier answers to read. */
  disconnect(): void {
    this.#response.req.socket.destroy();
  }

  /** Completes the response. */
  end(): void {
    this.#response.end();
  }

  /** Sends a server's buffered response. */
  send(status: number, headers: HeaderList, body: Buffer): void {
    const forwarded = endToEndHeaders(headers, { without: contentLength });
    const framed = hasNoBody(status)
      ? forwarded
      : [...forwarded, "content-length", String(body.length)];
    this.#response.writeHead(status, this.#withConnectionClose(framed));
    this.#response.end(body);
  }

  /** Closes the connection, so that the response is seen as incomplete. */
  destroy(): void {
    this.#response.destroy();
  }

  /** Adds `Connection: close` if keep-alive was disabled, as at shutdown. */
  #withConnectionClose(headers: string[]): string[] {
    if (this.#response.shouldKeepAlive) return headers;
    return [...headers, "connection", "close"];
  }
}

const contentLength = new Set(["content-length"]);

function hasNoBody(status: number): boolean {
  return status === 204 || status === 304;
}
