/**
 * The answer to a caller.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { endToEndHeaders } from "./headers.ts";
import type { HeaderList } from "./types.ts";

/** Writes one answer to one caller. */
export class Reply {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Whether a byte of the answer may have left. */
  get isBegun(): boolean {
    return this.#response.headersSent;
  }

  /** Begins an answer with a server's status and headers. */
  begin(status: number, headers: HeaderList): void {
    const kept = endToEndHeaders(headers);
    this.#response.writeHead(status, this.#withConnection(kept));
    this.#response.flushHeaders();
  }

  /** Writes a part; waits while the caller does not read. */
  async write(chunk: Buffer, signal: AbortSignal): Promise<void> {
    if (this.#response.write(chunk)) return;
    await once(this.#response, "drain", { signal });
  }

  /** Ends a begun answer as complete. */
  end(): void {
    this.#response.end();
  }

  /** Sends a whole answer of a server. */
  send(status: number, headers: HeaderList, body: Buffer): void {
    const kept = endToEndHeaders(headers, { without: lengthHeader });
    const framed = hasNoBody(status)
      ? kept
      : [...kept, "content-length", String(body.length)];
    this.#response.writeHead(status, this.#withConnection(framed));
    this.#response.end(body);
  }

  /** Breaks a begun answer off, so that it cannot look complete. */
  destroy(): void {
    this.#response.destroy();
  }

  /** Keeps `Connection: close` that was set before, for example at shutdown. */
  #withConnection(headers: string[]): string[] {
    if (this.#response.shouldKeepAlive) return headers;
    return [...headers, "connection", "close"];
  }
}

const lengthHeader = new Set(["content-length"]);

function hasNoBody(status: number): boolean {
  return status === 204 || status === 304;
}
