/**
 * What membership needs of the links between hosts.
 *
 * @module
 */

import type { HostId } from "rhubarbstage";

/** Messages to other hosts. Abstract, so that tests run without sockets. */
export abstract class MembershipTransport {
  /** Sends without an answer; drops the message when the host is unreachable. */
  abstract send(to: HostId, name: string, body: unknown): void;

  /** Sends and waits for the answer. Throws when the host is unreachable. */
  abstract request(
    to: HostId,
    name: string,
    body: unknown,
    options: { signal: AbortSignal },
  ): Promise<unknown>;

  /** Registers the handler of messages without an answer. */
  abstract onMessage(
    name: string,
    handler: (from: HostId, body: unknown) => void,
  ): void;

  /** Registers the handler of requests; its result is the answer. */
  abstract onRequest(
    name: string,
    handler: (from: HostId, body: unknown) => unknown,
  ): void;
}
