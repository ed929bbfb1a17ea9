/**
 * One authenticated connection to a peer.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { HybridLogicalClock } from "rhubarbstage";
import { WebSocket } from "ws";
import { decode, encode } from "./codec.ts";
import {
  maxClockLead,
  maxMissedHeartbeats,
  maxRetirement,
  retiredIdleTime,
} from "./constants.ts";
import { TransportError } from "./errors.ts";
import type { Frame } from "./frames.ts";
import { frameKinds, readTimestamp, timestampFrame } from "./frames.ts";
import type { HandlerTable } from "./handler_table.ts";
import { fromRemoteError, toRemoteError } from "./handler_table.ts";
import type { TrafficCounters } from "./traffic.ts";
import { frameBytes } from "./traffic.ts";
import type { Peer } from "./types.ts";

/** Options of a {@linkcode Link}. */
export interface LinkOptions {
  readonly peer: Peer;
  /** Whether the local host opened the connection. */
  readonly isDialled: boolean;
  readonly handlers: HandlerTable;
  readonly traffic: TrafficCounters;
  readonly clock: HybridLogicalClock | undefined;
  readonly queueBytes: number;
  readonly heartbeatInterval: number;
  readonly idleTimeout: number;
  /** Frames that arrived before the link was created. */
  readonly bufferedFrames: readonly Buffer[];
  readonly onClose: (link: Link, reason: string) => void;
}

interface PendingRequest {
  readonly resolve: (answer: unknown) => void;
  readonly reject: (error: unknown) => void;
}

/** Sends and receives the frames of one connection. */
export class Link {
  readonly peer: Peer;
  readonly isDialled: boolean;
  /** Monotonic start time in milliseconds. */
  readonly startedAt = performance.now();
  readonly #socket: WebSocket;
  readonly #options: LinkOptions;
  readonly #pending = new Map<number, PendingRequest>();
  readonly #activeHandlers = new Map<number, AbortController>();
  readonly #timer: ReturnType<typeof setInterval>;
  #lastId = 0;
  #missedHeartbeats = 0;
  #lastActivityAt = performance.now();
  #isOpen = true;
  #isRetired = false;
  #closeReason = "closed by peer";

  constructor(socket: WebSocket, options: LinkOptions) {
    this.#socket = socket;
    this.#options = options;
    this.peer = options.peer;
    this.isDialled = options.isDialled;
    const { traffic } = options;
    socket.on("message", (data) => {
      traffic.measureBusyTime(() => this.#receive(data as Buffer));
    });
    socket.on("ping", () => this.#recordPeerActivity());
    socket.on("pong", () => this.#recordPeerActivity());
    socket.on("error", (error) => this.#closeReason = error.message);
    socket.on("close", () => this.#finish());
    this.#timer = setInterval(
      () => this.#checkHeartbeat(),
      options.heartbeatInterval,
    );
  }

  /** Starts receiving frames; call once the link is registered. */
  start(): void {
    for (const data of this.#options.bufferedFrames) this.#receive(data);
    this.#socket.resume();
  }

  /** Queues a one-way message; false when the queue is full or the link closed. */
  send(name: string, body: unknown): boolean {
    return this.#write([frameKinds.message, name, body]);
  }

  /** Sends a request and returns its answer; rejects when aborted or closed. */
  request(
    name: string,
    options: { body: unknown; signal: AbortSignal },
  ): Promise<unknown> {
    const { body, signal } = options;
    this.#lastId += 1;
    const id = this.#lastId;
    const peer = this.peer.host;
    return new Promise((resolve, reject) => {
      const cleanUp = () => {
        this.#pending.delete(id);
        signal.removeEventListener("abort", onAbort);
      };
      const onAbort = () => {
        cleanUp();
        this.#write([frameKinds.cancel, name, null, id]);
        reject(signal.reason);
      };
      if (!this.#write([frameKinds.request, name, body, id])) {
        const failure = this.#isOpen ? "queue_full" : "link_closed";
        reject(new TransportError(failure, { peer, maybeDelivered: false }));
        return;
      }
      signal.addEventListener("abort", onAbort, { once: true });
      this.#pending.set(id, {
        resolve: (answer) => {
          cleanUp();
          resolve(answer);
        },
        reject: (error) => {
          cleanUp();
          reject(error);
        },
      });
    });
  }

  /**
   * Ends the link once no request is under way at either end; the caller sends
   * nothing more on it. One-way messages that still arrive are dropped, as they
   * would overtake those on the link that replaces this one.
   */
  retire(): void {
    this.#isRetired = true;
    const retiredAt = performance.now();
    const timer = setInterval(() => {
      const now = performance.now();
      const isBusy = this.#hasRequests ||
        now - this.#lastActivityAt < retiredIdleTime;
      if (isBusy && now - retiredAt < maxRetirement) return;
      this.close("replaced");
    }, retiredIdleTime / 2);
    this.#socket.once("close", () => clearInterval(timer));
  }

  /** Closes the connection immediately, without waiting for the peer. */
  close(reason: string): void {
    this.#closeReason = reason;
    this.#socket.terminate();
    this.#finish();
  }

  #recordPeerActivity(): void {
    this.#missedHeartbeats = 0;
  }

  #checkHeartbeat(): void {
    this.#missedHeartbeats += 1;
    if (this.#missedHeartbeats > maxMissedHeartbeats) {
      this.close("no heartbeat");
      return;
    }
    if (this.#isIdle()) {
      this.close("idle");
      return;
    }
    // Any frame from the peer counts as a heartbeat; a ping solicits one.
    if (this.#missedHeartbeats > 1) {
      this.#options.traffic.countSent(
        "heartbeat",
        frameBytes(0, this.isDialled),
      );
      this.#socket.ping();
    }
  }

  #isIdle(): boolean {
    const idleTime = performance.now() - this.#lastActivityAt;
    return !this.#hasRequests && idleTime > this.#options.idleTimeout;
  }

  /** Whether requests of either end are not answered yet. */
  get #hasRequests(): boolean {
    return this.#pending.size + this.#activeHandlers.size > 0;
  }

  #write(frame: Frame): boolean {
    return this.#options.traffic.measureBusyTime(() =>
      this.#encodeAndSend(frame)
    );
  }

  #encodeAndSend(frame: Frame): boolean {
    const { traffic, queueBytes, clock } = this.#options;
    const stamped = clock === undefined
      ? frame
      : timestampFrame(frame, clock.next());
    const bytes = encode(stamped);
    const queued = this.#socket.bufferedAmount + bytes.length;
    if (!this.#isOpen || queued > queueBytes) {
      traffic.dropped += 1;
      return false;
    }
    this.#lastActivityAt = performance.now();
    traffic.countSent(frame[1], frameBytes(bytes.length, this.isDialled));
    this.#socket.send(bytes);
    return true;
  }

  #receive(data: Buffer): void {
    if (!this.#isOpen) return;
    this.#recordPeerActivity();
    this.#lastActivityAt = performance.now();
    let frame: Frame;
    try {
      frame = decode(data) as Frame;
    } catch {
      this.close("malformed frame");
      return;
    }
    const bytes = frameBytes(data.length, !this.isDialled);
    this.#options.traffic.countReceived(frame[1], bytes);
    this.#observeTimestamp(frame);
    this.#dispatch(frame);
  }

  #observeTimestamp(frame: Frame): void {
    const { clock } = this.#options;
    const time = readTimestamp(frame);
    if (clock === undefined || time === undefined) return;
    if (time.wall - Date.now() < maxClockLead) clock.observe(time);
  }

  #dispatch(frame: Frame): void {
    switch (frame[0]) {
      case frameKinds.message: {
        if (this.#isRetired) {
          this.#options.traffic.dropped += 1;
          return;
        }
        const [, name, body] = frame;
        const sender = this.peer;
        return this.#options.handlers.deliver({ name, body, sender });
      }
      case frameKinds.request:
        return void this.#answer(frame);
      case frameKinds.answer:
        return this.#pending.get(frame[3])?.resolve(frame[2]);
      case frameKinds.error:
        return this.#pending.get(frame[3])?.reject(
          fromRemoteError(frame[2]),
        );
      case frameKinds.cancel:
        return this.#activeHandlers.get(frame[3])?.abort();
    }
  }

  async #answer(frame: Extract<Frame, [1, ...unknown[]]>): Promise<void> {
    const [, name, body, id] = frame;
    const controller = new AbortController();
    this.#activeHandlers.set(id, controller);
    try {
      const { signal } = controller;
      const context = { sender: this.peer, signal };
      const { handlers } = this.#options;
      const answer = await handlers.answer({ name, body }, context);
      this.#write([frameKinds.answer, name, answer, id]);
    } catch (thrown) {
      this.#write([frameKinds.error, name, toRemoteError(thrown), id]);
    } finally {
      this.#activeHandlers.delete(id);
    }
  }

  #finish(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    clearInterval(this.#timer);
    const peer = this.peer.host;
    const error = new TransportError("link_closed", {
      peer,
      maybeDelivered: true,
    });
    for (const request of [...this.#pending.values()]) request.reject(error);
    for (const controller of this.#activeHandlers.values()) controller.abort();
    this.#options.onClose(this, this.#closeReason);
  }
}
