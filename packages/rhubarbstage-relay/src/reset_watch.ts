/**
 * Telling a connection that ended from one that was reset.
 *
 * @module
 */

import { buildConnector } from "undici";

/**
 * The HTTP client takes a reset for the end of an answer without length. Its
 * sockets are watched here, so that such an answer does not pass for complete.
 */
export class ResetWatch {
  readonly connector: buildConnector.connector;
  #isResetting = false;

  /** @param options Options of the client's own connector. */
  constructor(options: buildConnector.BuildOptions) {
    const connect = buildConnector(options);
    this.connector = (target, callback) => {
      connect(target, (...result) => {
        const [error, socket] = result;
        // First listener, so that the mark is set before the client reacts.
        if (error === null) socket.prependListener("error", () => this.#mark());
        callback(...result);
      });
    };
  }

  /** Whether a socket is being reset in the current turn. */
  get isResetting(): boolean {
    return this.#isResetting;
  }

  #mark(): void {
    this.#isResetting = true;
    queueMicrotask(() => this.#isResetting = false);
  }
}
