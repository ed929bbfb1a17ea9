/**
 * Shares the event loop among connections whose bodies arrive in small chunks.
 *
 * Node.js reads up to 65,536 bytes of a connection at once and calls back for each
 * chunk in them, 10,000 times if the chunks have one byte. A few such connections
 * that are read in the same turn would hold the event loop for seconds.
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
/** New connections that are read in one turn while some are held back. */
const connectionsPerTurn = 16;

/** Options of a {@linkcode ReadScheduler}. */
export interface ReadSchedulerOptions {
  /** Chunks handled in one turn before reads are deferred; 1,024 by default. */
  readonly chunksPerTurn?: number;
  readonly clock?: Clock;
}

/**
 * Defers reads once the bodies of a turn of the event loop had many chunks. In each
 * later turn one body is read, or some of the new connections that were held back,
 * the latest first: its caller is the likeliest to be waiting still.
 */
export class ReadScheduler {
  readonly #chunksPerTurn: number;
  readonly #clock: Clock;
  /** Requests whose bodies are not read, in the order of their turns. */
  readonly #bodies = new Set<IncomingMessage>();
  /** Connections without a request so far, oldest first. */
  readonly #newConnections = new Set<Socket>();
  /** Those of them that are not read. */
  readonly #heldBack = new Set<Socket>();
  #isTurnOpen = false;
  #isReadScheduled = false;
  #turnStartedAt = 0;
  #chunks = 0;
  #areConnectionsNext = true;
  #deferrals = 0;

  constructor(options: ReadSchedulerOptions = {}) {
    this.#chunksPerTurn = options.chunksPerTurn ?? defaultChunksPerTurn;
    this.#clock = options.clock ?? new SystemClock();
  }

  /** Bodies and new connections that wait for being read. */
  get waiting(): number {
    return this.#bodies.size + this.#heldBack.size;
  }

  /** Times that a read was deferred. */
  get deferrals(): number {
    return this.#deferrals;
  }

  /** Tracks a new connection until its first request. */
  trackConnection(socket: Socket): void {
    this.#newConnections.add(socket);
    socket.once("close", () => this.#untrackConnection(socket));
    if (this.#isBusy) this.#holdBack(socket);
  }

  /** Ends the tracking of a connection that has sent a request. */
  recordRequest({ socket }: IncomingMessage): void {
    this.#untrackConnection(socket);
  }

  /**
   * Counts a chunk of a body, and defers its next read if the turn had many;
   * returns whether it did.
   */
  countChunk(incoming: IncomingMessage): boolean {
    this.#openTurn();
    this.#chunks += 1;
    if (this.#chunks <= this.#chunksPerTurn) return false;
    if (this.#chunks === this.#chunksPerTurn + 1) {
      for (const socket of this.#newConnections) this.#holdBack(socket);
    }
    this.#defer(incoming);
    return true;
  }

  /** Reads a body on, at once or when its turn has come. */
  resume(incoming: IncomingMessage): void {
    if (!this.#isBusy) return startReading(incoming);
    stopReading(incoming);
    this.#defer(incoming);
  }

  /** Ends the deferral of a body without reading its connection. */
  remove(incoming: IncomingMessage): void {
    this.#bodies.delete(incoming);
  }

  get #isBusy(): boolean {
    return this.waiting > 0 || this.#chunks > this.#chunksPerTurn;
  }

  #defer(incoming: IncomingMessage): void {
    if (this.#bodies.has(incoming)) return;
    this.#openTurn();
    this.#bodies.add(incoming);
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
    this.#newConnections.delete(socket);
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
    const hasOverrun = this.#chunks > this.#chunksPerTurn;
    const elapsed = this.#clock.monotonicMilliseconds() - this.#turnStartedAt;
    this.#isTurnOpen = false;
    this.#chunks = 0;
    if (this.waiting === 0 || this.#isReadScheduled) return;
    const pause = hasOverrun && this.waiting > 1
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
    const readsConnections = this.#heldBack.size > 0 &&
      (this.#areConnectionsNext || this.#bodies.size === 0);
    this.#areConnectionsNext = !readsConnections;
    if (readsConnections) return this.#readConnections();
    for (const incoming of this.#bodies) {
      this.#bodies.delete(incoming);
      if (incoming.destroyed) continue;
      return startReading(incoming);
    }
  }

  #readConnections(): void {
    const latest = [...this.#heldBack].reverse().slice(0, connectionsPerTurn);
    for (const socket of latest) {
      this.#heldBack.delete(socket);
      socket.resume();
    }
  }
}
