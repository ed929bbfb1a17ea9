/**
 * Authentication handshake of a new connection, for both ends.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { HostId } from "rhubarbstage";
import type { WebSocket } from "ws";
import {
  createHello,
  createProof,
  isSameProof,
  parseHello,
  parseProof,
} from "./authentication.ts";
import type { Peer } from "./types.ts";

/** Handshake options of either end. */
export interface HandshakeOptions {
  readonly token: string;
  readonly self: Peer;
  readonly signal: AbortSignal;
}

/** Authenticated peer of a completed handshake. */
export interface HandshakeResult {
  readonly peer: Peer;
  /** Link frames that arrived together with the last proof. */
  readonly bufferedFrames: readonly Buffer[];
}

/**
 * Runs the handshake on the dialling end. Throws when the other end is another
 * host or does not know the token.
 */
export async function dialHandshake(
  socket: WebSocket,
  options: HandshakeOptions & { to: HostId },
): Promise<HandshakeResult> {
  const { token, self, signal, to } = options;
  const reader = createFrameReader(socket, signal);
  const dialler = createHello(self);
  sendJson(socket, dialler);
  const listener = parseHello(await reader.next());
  if (listener?.host !== to) {
    throw new Error(
      `Expected a hello from host "${to}", received ${
        listener?.host ?? "a malformed one"
      }`,
    );
  }
  const ends = { dialler, listener };
  sendJson(socket, { proof: createProof(token, { role: "dialler", ends }) });
  const proof = parseProof(await reader.next());
  checkProof(proof, createProof(token, { role: "listener", ends }));
  const remainingFrames = reader.stop();
  const { host, incarnation } = listener;
  return { peer: { host, incarnation }, bufferedFrames: remainingFrames };
}

/** Runs the handshake on the listening end. Throws when the proof is wrong. */
export async function listenHandshake(
  socket: WebSocket,
  options: HandshakeOptions,
): Promise<HandshakeResult> {
  const { token, self, signal } = options;
  const reader = createFrameReader(socket, signal);
  const dialler = parseHello(await reader.next());
  if (dialler === undefined) {
    throw new Error("Received a malformed hello from the dialling host");
  }
  const listener = createHello(self);
  sendJson(socket, listener);
  const ends = { dialler, listener };
  const proof = parseProof(await reader.next());
  checkProof(proof, createProof(token, { role: "dialler", ends }));
  const remainingFrames = reader.stop();
  sendJson(socket, { proof: createProof(token, { role: "listener", ends }) });
  const { host, incarnation } = dialler;
  return { peer: { host, incarnation }, bufferedFrames: remainingFrames };
}

function checkProof(actual: string | undefined, expected: string): void {
  if (actual === undefined || !isSameProof(actual, expected)) {
    throw new Error(
      "Authentication proof is malformed or does not match the token",
    );
  }
}

function sendJson(socket: WebSocket, value: unknown): void {
  socket.send(JSON.stringify(value), { binary: true });
}

interface FrameReader {
  next(): Promise<Buffer>;
  /** Stops reading and returns unread frames; the socket stays paused. */
  stop(): readonly Buffer[];
}

/** Reads single frames until the socket closes or the signal is aborted. */
function createFrameReader(
  socket: WebSocket,
  signal: AbortSignal,
): FrameReader {
  const receivedFrames: Buffer[] = [];
  let wake = () => {};
  const onMessage = (data: Buffer) => {
    receivedFrames.push(data);
    // The next frame may arrive in the same read and belong to the link.
    socket.pause();
    wake();
  };
  const onEnd = () => wake();
  socket.on("message", onMessage);
  socket.on("close", onEnd);
  signal.addEventListener("abort", onEnd, { once: true });
  return {
    async next() {
      while (true) {
        signal.throwIfAborted();
        const frame = receivedFrames.shift();
        if (frame !== undefined) return frame;
        if (socket.readyState > socket.OPEN) {
          throw new Error("Connection closed during the handshake");
        }
        socket.resume();
        await new Promise<void>((resolve) => wake = resolve);
      }
    },
    stop() {
      socket.off("message", onMessage);
      socket.off("close", onEnd);
      signal.removeEventListener("abort", onEnd);
      return receivedFrames;
    },
  };
}
