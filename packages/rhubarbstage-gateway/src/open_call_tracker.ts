/**
 * Tracks calls of any sender that have been read and are not yet answered.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { delay } from "rhubarbstage";
import { openCallCheckInterval } from "./constants.ts";

/** Tracks calls by connection, so that a stop can answer them. */
export class OpenCallTracker {
  readonly #calls = new Map<Socket, Set<ServerResponse>>();

  /** Tracks a call until its response is written or its sender has gone. */
  add(response: ServerResponse): void {
    const { socket } = response.req;
    if (socket.destroyed) return;
    const calls = this.#callsOf(socket);
    calls.add(response);
    response.once("close", () => calls.delete(response));
  }

  /** Whether a call that was read as a whole is open. */
  hasWholeCall(): boolean {
    for (const calls of this.#calls.values()) {
      for (const { req } of calls) {
        if ((req as IncomingMessage).complete) return true;
      }
    }
    return false;
  }

  /** Waits for calls that were read as a whole, until a monotonic time. */
  async waitUntilAnswered(endsAt: number): Promise<void> {
    while (this.hasWholeCall() && performance.now() < endsAt) {
      await delay(openCallCheckInterval);
    }
  }

  #callsOf(socket: Socket): Set<ServerResponse> {
    const known = this.#calls.get(socket);
    if (known) return known;
    const calls = new Set<ServerResponse>();
    this.#calls.set(socket, calls);
    // A response that waits behind an earlier one is not closed with the socket.
    socket.once("close", () => this.#calls.delete(socket));
    return calls;
  }
}
