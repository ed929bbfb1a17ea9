/**
 * Telling a connection that ended from one that was reset.
 *
 * @module
 */

import type { Socket } from "node:net";
import { buildConnector } from "undici";

/**
 * Written to a connection that has ended to learn whether it was reset. HTTP
 * servers ignore empty lines before a request (RFC 9112, 2.2).
 */
const emptyLine = "\r\n";

/**
 * A reset that arrives together with data is reported as an orderly end by
 * Node.js, and the HTTP client takes any end for that of an answer without
 * length. This watch finds out which it was, so that half an answer does not
 * pass for a whole one.
 */
export class ResetDetector {
  readonly connector: buildConnector.connector;
  /** Answers in progress whose end is that of their connection. */
  closeDelimitedResponses = 0;
  #isResetting = false;

  /** @param options Options of the client's own connector. */
  constructor(options: buildConnector.BuildOptions) {
    const connect = buildConnector(options);
    this.connector = (target, callback) => {
      connect(target, (...result) => {
        const [error, socket] = result;
        if (error === null) this.#follow(socket);
        callback(...result);
      });
    };
  }

  /** Whether a socket is found to be reset in the current turn. */
  get isResetting(): boolean {
    return this.#isResetting;
  }

  /** Listens before the client does, so that the mark is set when it reacts. */
  #follow(socket: Socket): void {
    socket.prependListener("error", ({ code }: NodeJS.ErrnoException) => {
      if (code === "ECONNRESET") this.#mark();
    });
    socket.prependListener("end", () => {
      if (this.closeDelimitedResponses === 0 || !socket.writable) return;
      // Succeeds after an orderly end, fails at once after a reset.
      socket.write(emptyLine);
      if (socket.errored !== null) this.#mark();
    });
  }

  #mark(): void {
    this.#isResetting = true;
    queueMicrotask(() => this.#isResetting = false);
  }
}
