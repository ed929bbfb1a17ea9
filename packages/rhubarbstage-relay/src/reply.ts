/**
 * The response to a caller.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { endToEndHeaders } from "./headers.ts";
import type { HeaderList } from "./types.ts";

/** Writes one response to one caller. */
export class Reply {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
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
    await once(this.#response, "drain", { signal });
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
