/**
 * Authentication of a new connection, from either end.
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

/** What both ends need to authenticate each other. */
export interface HandshakeOptions {
  readonly token: string;
  readonly self: Peer;
  readonly signal: AbortSignal;
}

/** The other end of a connection after both ends have proven themselves. */
export interface HandshakeResult {
  readonly peer: Peer;
  /** Frames for the link that arrived together with the last proof. */
  readonly bufferedFrames: readonly Buffer[];
}

/**
 * Authenticates the own host to the one it dialled. Throws when the other end
 * is another host or does not know the token.
 */
export async function dialHandshake(
  socket: WebSocket,
  options: HandshakeOptions & { to: HostId },
): Promise<HandshakeResult> {
  const { token, self, signal, to } = options;
  const frames = receiveFrames(socket, signal);
  const dialler = createHello(self);
  sendJson(socket, dialler);
  const listener = parseHello(await frames.next());
  if (listener?.host !== to) throw new Error("Another host answers");
  const ends = { dialler, listener };
  sendJson(socket, { proof: createProof(token, { role: "dialler", ends }) });
  const proof = parseProof(await frames.next());
  checkProof(proof, createProof(token, { role: "listener", ends }));
  const early = frames.stop();
  const { host, incarnation } = listener;
  return { peer: { host, incarnation }, bufferedFrames: early };
}

/** Authenticates a host that dialled. Throws when it does not know the token. */
export async function listenHandshake(
  socket: WebSocket,
  options: HandshakeOptions,
): Promise<HandshakeResult> {
  const { token, self, signal } = options;
  const frames = receiveFrames(socket, signal);
  const dialler = parseHello(await frames.next());
  if (dialler === undefined) throw new Error("The hello is malformed");
  const listener = createHello(self);
  sendJson(socket, listener);
  const ends = { dialler, listener };
  const proof = parseProof(await frames.next());
  checkProof(proof, createProof(token, { role: "dialler", ends }));
  const early = frames.stop();
  sendJson(socket, { proof: createProof(token, { role: "listener", ends }) });
  const { host, incarnation } = dialler;
  return { peer: { host, incarnation }, bufferedFrames: early };
}

function checkProof(actual: string | undefined, expected: string): void {
  if (actual === undefined || !isSameProof(actual, expected)) {
    throw new Error("The proof does not match");
  }
}

function sendJson(socket: WebSocket, value: unknown): void {
  socket.send(JSON.stringify(value), { binary: true });
}

interface Frames {
  next(): Promise<Buffer>;
  /** Ends reading; the socket stays paused. Returns what is left. */
  stop(): readonly Buffer[];
}

/** Frames of a socket one by one, until it closes or the signal is aborted. */
function receiveFrames(socket: WebSocket, signal: AbortSignal): Frames {
  const arrived: Buffer[] = [];
  let wake = () => {};
  const onMessage = (data: Buffer) => {
    arrived.push(data);
    // The next frame may follow in the same read and belongs to the link.
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
        const frame = arrived.shift();
        if (frame !== undefined) return frame;
        if (socket.readyState > socket.OPEN) throw new Error("Closed");
        socket.resume();
        await new Promise<void>((resolve) => wake = resolve);
      }
    },
    stop() {
      socket.off("message", onMessage);
      socket.off("close", onEnd);
      signal.removeEventListener("abort", onEnd);
      return arrived;
    },
  };
}
