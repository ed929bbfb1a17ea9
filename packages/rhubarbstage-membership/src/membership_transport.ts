/**
 * Transport interface that membership requires.
 *
 * @module
 */

import type { HostId } from "rhubarbstage";

/** Sends messages to other hosts. Abstract, so that tests run without sockets. */
export abstract class MembershipTransport {
  /** Sends a one-way message, which is dropped when the host is unreachable. */
  abstract send(to: HostId, name: string, body: unknown): void;

  /** Sends a request and waits for the answer. Throws when unreachable. */
  abstract request(
    to: HostId,
    name: string,
    body: unknown,
    options: { signal: AbortSignal },
  ): Promise<unknown>;

  /** Registers the handler of a one-way message. */
  abstract onMessage(
    name: string,
    handler: (from: HostId, body: unknown) => void,
  ): void;

  /** Registers the handler of a request; its result is the answer. */
  abstract onRequest(
    name: string,
    handler: (from: HostId, body: unknown) => unknown,
  ): void;
}
