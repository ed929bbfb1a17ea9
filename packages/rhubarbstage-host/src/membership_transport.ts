/**
 * Transport of membership messages between hosts.
 *
 * @module
 */

import type { HostId } from "rhubarbstage";
import { MembershipTransport } from "@rhubarbstage/membership";
import {
  messageType,
  requestType,
  type Transport,
} from "@rhubarbstage/transport";

/** Sends membership messages and requests over a `Transport`. */
export class PeerMembershipTransport extends MembershipTransport {
  #transport: Transport;

  constructor(transport: Transport) {
    super();
    this.#transport = transport;
  }

  override send(to: HostId, name: string, body: unknown): void {
    this.#transport.send(messageType<unknown>(name), { to, body });
  }

  override request(
    to: HostId,
    name: string,
    body: unknown,
    options: { signal: AbortSignal },
  ): Promise<unknown> {
    const type = requestType<unknown, unknown>(name);
    return this.#transport.request(type, { to, body, ...options });
  }

  override onMessage(
    name: string,
    handler: (from: HostId, body: unknown) => void,
  ): void {
    this.#transport.onMessage(
      messageType<unknown>(name),
      (body, sender) => handler(sender.host, body),
    );
  }

  override onRequest(
    name: string,
    handler: (from: HostId, body: unknown) => unknown,
  ): void {
    this.#transport.onRequest(
      requestType<unknown, unknown>(name),
      (body, { sender }) => handler(sender.host, body),
    );
  }
}
