/**
 * Shares the event loop among connections that send many chunks or requests.
 *
 * Node.js reads up to 65,536 bytes of a connection at once and calls back for each
 * chunk and each request in them, 10,000 times if the chunks have one byte. A few
 * such connections that are read in the same turn would hold the event loop for
 * seconds.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";
import { type Clock, SystemClock } from "./clock.ts";
import { startReading, stopReading } from "./read_control.ts";

/** Chunks that are handled in one turn before further reads are deferred. */
const defaultChunksPerTurn = 1_024;
/** Share of the time that deferred reads take while several of them wait. */
const deferredReadShare = 0.5;
/** Longest pause between two deferred reads, in milliseconds. */
const maxReadPause = 250;
/** What a pipelined request counts beside its headers, in chunks. */
const pipelinedRequestCost = 64;

/** Options of a {@linkcode ReadScheduler}. */
export interface ReadSchedulerOptions {
  /** Chunks handled in one turn before reads are deferred; 1,024 by default. */
  readonly chunksPerTurn?: number;
  readonly clock?: Clock;
}

/**
 * Defers reads once a turn of the event loop had many chunks, as which pipelined
 * requests count too. In each later turn one body is read, or one of the
 * connections that were held back: by turns the latest, whose caller is the
 * likeliest to be waiting still, and the oldest, so that clients who come back at
 * once starve none.
 */
export class ReadScheduler {
  readonly #chunksPerTurn: number;
  readonly #clock: Clock;
  /** What waits for its turn, in order: bodies, and pipelined requests. */
  readonly #turns = new Map<IncomingMessage | Socket, () => void>();
  /** Connections that are new or have pipelined requests, oldest first. */
  readonly #deferrable = new Set<Socket>();
  /** Those of them that are not read. */
  readonly #heldBack = new Set<Socket>();
  #isTurnOpen = false;
  #isReadScheduled = false;
  #turnStartedAt = 0;
  #chunks = 0;
  #isConnectionNext = true;
  #isLatestNext = true;
  #deferrals = 0;

  constructor(options: ReadSchedulerOptions = {}) {
    this.#chunksPerTurn = options.chunksPerTurn ?? defaultChunksPerTurn;
    this.#clock = options.clock ?? new SystemClock();
  }

  /** Bodies and connections that wait for their turn. */
  get waiting(): number {
    return this.#turns.size + this.#heldBack.size;
  }

  /** Whether this turn has had more chunks than it may. */
  get isOverrun(): boolean {
    return this.#chunks > this.#chunksPerTurn;
  }

  /** Times that a read was deferred. */
  get deferrals(): number {
    return this.#deferrals;
  }

  /** Tracks a new connection until its first request. */
  trackConnection(socket: Socket): void {
    this.#deferrable.add(socket);
    socket.once("close", () => this.#untrackConnection(socket));
    if (this.isBusy) this.#holdBack(socket);
  }

  /** Ends the tracking of a connection that has sent a request. */
  recordRequest({ socket }: IncomingMessage): void {
    this.#untrackConnection(socket);
  }

  /** Counts a request that arrived together with an earlier one. */
  countPipelined({ socket, rawHeaders }: IncomingMessage): void {
    this.#deferrable.add(socket);
    this.#count(pipelinedRequestCost + rawHeaders.length / 2);
  }

  /** Records that all requests of a connection are answered. */
  endPipelining(socket: Socket): void {
    this.#untrackConnection(socket);
  }

  /** Calls `serve` for the pipelined requests of a connection in its turn. */
  deferRequests(socket: Socket, serve: () => void): void {
    this.#openTurn();
    this.#turns.set(socket, serve);
  }

  /**
   * Counts a chunk of a body, and defers its next read if the turn had many;
   * returns whether it did.
   */
  countChunk(incoming: IncomingMessage): boolean {
    if (!this.#count(1)) return false;
    this.#defer(incoming);
    return true;
  }

  /** Counts a chunk of a body that is dropped, and defers nothing. */
  countDroppedChunk(): void {
    this.#count(1);
  }

  /** Ends the deferral of a body without reading its connection. */
  remove(incoming: IncomingMessage): void {
    this.#turns.delete(incoming);
  }

  /** Whether reads wait, or this turn has had too many chunks. */
  get isBusy(): boolean {
    return this.waiting > 0 || this.#isReadScheduled || this.isOverrun;
  }

  /** Counts chunks of this turn; returns whether there were too many. */
  #count(chunks: number): boolean {
    this.#openTurn();
    const wasOverrun = this.isOverrun;
    this.#chunks += chunks;
    if (this.isOverrun && !wasOverrun) {
      for (const socket of this.#deferrable) this.#holdBack(socket);
    }
    return this.isOverrun;
  }

  #defer(incoming: IncomingMessage): void {
    if (this.#turns.has(incoming)) return;
    this.#openTurn();
    this.#turns.set(incoming, () => startReading(incoming));
    this.#deferrals += 1;
    stopReading(incoming);
  }

  #holdBack(socket: Socket): void {
    if (this.#heldBack.has(socket)) return;
    this.#openTurn();
    this.#heldBack.add(socket);
    // A new connection has yet to handle its first `resume`.
    process.nextTick(() => {
      if (this.#heldBack.has(socket)) socket.pause();
    });
  }

  #untrackConnection(socket: Socket): void {
    this.#deferrable.delete(socket);
    this.#turns.delete(socket);
    if (this.#heldBack.delete(socket)) socket.resume();
  }

  #openTurn(): void {
    if (this.#isTurnOpen) return;
    this.#isTurnOpen = true;
    this.#turnStartedAt = this.#clock.monotonicMilliseconds();
    // Runs once the reads of this turn have been handled.
    setImmediate(() => this.#closeTurn());
  }

  #closeTurn(): void {
    const hasOverrun = this.isOverrun;
    const elapsed = this.#clock.monotonicMilliseconds() - this.#turnStartedAt;
    this.#isTurnOpen = false;
    this.#chunks = 0;
    for (const socket of this.#heldBack) {
      // The end of each request resumes its connection.
      if (!socket.isPaused()) socket.pause();
    }
    if (this.#isReadScheduled) return;
    // A single body is read on at once.
    const pause = hasOverrun && this.waiting !== 1
      ? Math.min(maxReadPause, elapsed * (1 / deferredReadShare - 1))
      : 0;
    if (pause < 1) return this.#readNext();
    this.#isReadScheduled = true;
    setTimeout(() => this.#readNext(), pause);
  }

  #readNext(): void {
    this.#isReadScheduled = false;
    if (this.waiting === 0) return;
    this.#openTurn();
    const readsConnection = this.#heldBack.size > 0 &&
      (this.#isConnectionNext || this.#turns.size === 0);
    this.#isConnectionNext = !readsConnection;
    if (readsConnection) return this.#readConnection();
    for (const [waiting, takeTurn] of this.#turns) {
      this.#turns.delete(waiting);
      if (!waiting.destroyed) return takeTurn();
    }
  }

  #readConnection(): void {
    const sockets = [...this.#heldBack];
    const socket = this.#isLatestNext ? sockets.at(-1) : sockets[0];
    this.#isLatestNext = !this.#isLatestNext;
    if (socket === undefined) return;
    this.#heldBack.delete(socket);
    socket.resume();
  }
}
