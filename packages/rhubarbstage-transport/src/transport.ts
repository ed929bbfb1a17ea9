/**
 * Interface for messages and requests between hosts.
 *
 * @module
 */

import type { HostId, Incarnation } from "rhubarbstage";
import type {
  LinkChange,
  MessageHandler,
  MessageOptions,
  MessageType,
  Peer,
  PeerAddress,
  RequestHandler,
  RequestOptions,
  RequestType,
  TransportCounters,
} from "./types.ts";

/** Declares a one-way message; both ends use the same declaration. */
export function messageType<Body>(name: string): MessageType<Body> {
  return { name };
}

/** Declares a request; both ends use the same declaration. */
export function requestType<Body, Answer>(
  name: string,
): RequestType<Body, Answer> {
  return { name };
}

/**
 * Sends and receives messages and requests by name. Messages to one host arrive
 * in the order sent, at most once, and are lost when the link closes.
 */
export abstract class Transport {
  /** Id of the local host. */
  abstract readonly host: HostId;
  /** Incarnation of the local process. */
  abstract readonly incarnation: Incarnation;

  /**
   * Queues a one-way message. False means dropped at once: host unreachable,
   * transport closed or queue full; a queued one may still be lost.
   */
  abstract send<Body>(
    type: MessageType<Body>,
    options: MessageOptions<Body>,
  ): boolean;

  /**
   * Sends a request and waits for its answer. Throws `TransportError`, the
   * `RhubarbstageError` of the remote handler, or the signal's reason.
   */
  abstract request<Body, Answer>(
    type: RequestType<Body, Answer>,
    options: RequestOptions<Body>,
  ): Promise<Answer>;

  /** Registers the only handler of a one-way message. Throws on a second. */
  abstract onMessage<Body>(
    type: MessageType<Body>,
    handler: MessageHandler<Body>,
  ): void;

  /** Registers the only handler of a request. Throws on a second. */
  abstract onRequest<Body, Answer>(
    type: RequestType<Body, Answer>,
    handler: RequestHandler<Body, Answer>,
  ): void;

  /** Sets or replaces the address of a host. */
  abstract setAddress(host: HostId, address: PeerAddress): void;

  /** Removes the address of a host and closes the link to it. */
  abstract removeAddress(host: HostId): void;

  /** Returns the hosts with an open link. */
  abstract peers(): readonly Peer[];

  /** Calls the listener when a link opens or closes, until aborted. */
  abstract onLink(
    listener: (change: LinkChange) => void,
    options?: { signal?: AbortSignal },
  ): void;

  /** Returns the totals since the start. */
  abstract counters(): TransportCounters;

  /** Closes all links; later requests throw. */
  abstract close(): Promise<void>;
}
