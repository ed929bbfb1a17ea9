/**
 * Distinguishes connections that were closed from those that were reset.
 *
 * @module
 */

import type { Socket } from "node:net";
import { buildConnector } from "undici";

/**
 * Written to an ended connection to detect a reset. HTTP servers ignore empty
 * lines before a request (RFC 9112, 2.2).
 */
const emptyLine = "\r\n";

/**
 * Detects resets that Node.js reports as an orderly end because they arrive
 * together with data. The HTTP client accepts any end of the connection as the
 * end of a response without length, so a truncated one would look complete.
 */
export class ResetDetector {
  readonly connector: buildConnector.connector;
  /** Responses in progress that end with their connection. */
  closeDelimitedResponses = 0;
  #wasReset = false;

  /** @param options Options of the client's own connector. */
  constructor(options: buildConnector.BuildOptions) {
    const connect = buildConnector(options);
    this.connector = (target, callback) => {
      connect(target, (...result) => {
        const [error, socket] = result;
        if (error === null) this.#watchSocket(socket);
        callback(...result);
      });
    };
  }

  /**
   * Whether a reset was detected by a listener that ran just before; cleared in
   * the next microtask.
   */
  get isResetDetected(): boolean {
    return this.#wasReset;
  }

  /** Adds listeners that mark a reset before those of the client run. */
  #watchSocket(socket: Socket): void {
    socket.prependListener("error", ({ code }: NodeJS.ErrnoException) => {
      if (code === "ECONNRESET") this.#markReset();
    });
    socket.prependListener("end", () => {
      if (this.closeDelimitedResponses === 0) return;
      // Bytes that wait to be sent hide a reset, and a server that has not read
      // its whole request cannot be known to have sent its whole response.
      if (socket.writableLength > 0) this.#markReset();
      if (!socket.writable) return;
      // Succeeds after an orderly end, fails at once after a reset.
      socket.write(emptyLine);
      if (socket.errored !== null) this.#markReset();
    });
  }

  #markReset(): void {
    this.#wasReset = true;
    queueMicrotask(() => this.#wasReset = false);
  }
}
