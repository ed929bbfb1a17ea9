/**
 * Types of messages, requests, peers and links.
 *
 * @module
 */

import type { HostId, Incarnation } from "rhubarbstage";

declare const bodyOf: unique symbol;
declare const answerOf: unique symbol;

/** Name of a one-way message together with the type of its body. */
export interface MessageType<Body> {
  readonly name: string;
  readonly [bodyOf]?: (body: Body) => void;
}

/** Name of a request together with the types of its body and answer. */
export interface RequestType<Body, Answer> {
  readonly name: string;
  readonly [bodyOf]?: (body: Body) => void;
  readonly [answerOf]?: Answer;
}

/** The authenticated host at the other end of a link. */
export interface Peer {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** Address on which the transport of a host listens. */
export interface PeerAddress {
  /** IP address. */
  readonly address: string;
  readonly port: number;
}

/** A one-way message to one host. */
export interface MessageOptions<Body> {
  readonly to: HostId;
  readonly body: Body;
}

/** A request to one host. */
export interface RequestOptions<Body> extends MessageOptions<Body> {
  /** Cancels the request at both ends. */
  readonly signal?: AbortSignal;
  /** Timeout in milliseconds; defaults to 5,000. */
  readonly timeout?: number;
}

/** Sender and cancellation signal of a request. */
export interface RequestContext {
  readonly sender: Peer;
  /** Aborted when the sender cancels the request or the link closes. */
  readonly signal: AbortSignal;
}

/** Handles a one-way message. Errors are counted and otherwise ignored. */
export type MessageHandler<Body> = (body: Body, sender: Peer) => void;

/**
 * Answers a request. The sender receives a thrown `RhubarbstageError` with kind,
 * outcome, message and retry delay, and any other error as `internal`.
 */
export type RequestHandler<Body, Answer> = (
  body: Body,
  context: RequestContext,
) => Answer | Promise<Answer>;

/** Notification that a link opened or closed. */
export interface LinkChange {
  readonly kind: "up" | "down";
  readonly peer: Peer;
  /** Why the link closed; empty when it came up. */
  readonly reason: string;
}

/** Totals since the transport started. Bytes include WebSocket frame headers. */
export interface TransportCounters {
  readonly sentBytes: number;
  readonly sentMessages: number;
  readonly receivedBytes: number;
  readonly receivedMessages: number;
  /**
   * Frames and messages dropped for an unreachable host, closed link or full
   * queue.
   */
  readonly droppedMessages: number;
  /**
   * Connections that failed the handshake or exceeded the unauthenticated
   * limit.
   */
  readonly rejectedConnections: number;
  /** Errors thrown by message handlers. */
  readonly handlerErrors: number;
  /** Time spent handling and encoding messages, in milliseconds. */
  readonly busyTime: number;
  /** Bytes and messages by message or request name, both directions. */
  readonly byName: ReadonlyMap<string, MessageCounters>;
}

/** Totals of one message or request name. */
export interface MessageCounters {
  readonly sentBytes: number;
  readonly sentMessages: number;
  readonly receivedBytes: number;
  readonly receivedMessages: number;
}
