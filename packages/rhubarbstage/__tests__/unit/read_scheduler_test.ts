/** Turns of bodies with many chunks and of new connections. */

import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ManualClock, ReadScheduler } from "../../src/mod.ts";

const chunksPerTurn = 10;

/** Records in which order its instances are read. */
class FakeSocket extends EventEmitter {
  readonly #name: string;
  readonly #reads: string[];
  isStopped = false;

  constructor(name: string, reads: string[]) {
    super();
    this.#name = name;
    this.#reads = reads;
  }

  isPaused(): boolean {
    return this.isStopped;
  }

  pause(): void {
    this.isStopped = true;
  }

  resume(): void {
    this.isStopped = false;
    this.#reads.push(this.#name);
  }
}

function makeBody(name: string, reads: string[]) {
  const socket = new FakeSocket(name, reads);
  const incoming = {
    socket,
    destroyed: false,
    _read: () => socket.resume(),
  } as unknown as IncomingMessage;
  return { socket, incoming };
}

function sendChunks(
  scheduler: ReadScheduler,
  incoming: IncomingMessage,
  count: number,
): boolean {
  let isDeferred = false;
  for (let sent = 0; sent < count; sent += 1) {
    isDeferred = scheduler.countChunk(incoming);
  }
  return isDeferred;
}

function makeScheduler(): ReadScheduler {
  return new ReadScheduler({ chunksPerTurn, clock: new ManualClock() });
}

test("a body with few chunks a turn is never deferred", async () => {
  const scheduler = makeScheduler();
  const { incoming, socket } = makeBody("a", []);
  for (let turn = 0; turn < 5; turn += 1) {
    expect(sendChunks(scheduler, incoming, chunksPerTurn)).toBe(false);
    await nextTurn();
  }
  expect(socket.isStopped).toBe(false);
  expect(scheduler.deferrals).toBe(0);
});

// Guards against a turn in which each of many connections is read.
test("bodies with many chunks are read one a turn, in order", async () => {
  const scheduler = makeScheduler();
  const reads: string[] = [];
  const bodies = ["a", "b", "c"].map((name) => makeBody(name, reads));
  for (const { incoming } of bodies) sendChunks(scheduler, incoming, 11);
  expect(bodies.map(({ socket }) => socket.isStopped))
    .toEqual([true, true, true]);
  const sums: number[] = [];
  for (let turn = 0; turn < 3; turn += 1) {
    await nextTurn();
    sums.push(reads.length);
  }
  expect(sums).toEqual([1, 2, 3]);
  expect(reads).toEqual(["a", "b", "c"]);
  expect(scheduler.waiting).toBe(0);
});

// Guards against a caller that waits until a crowd's connections have been read.
test("new connections are held back, and the latest read first", async () => {
  const scheduler = makeScheduler();
  const reads: string[] = [];
  const early = new FakeSocket("early", reads);
  scheduler.trackConnection(early as unknown as Socket);
  const { incoming } = makeBody("body", reads);
  sendChunks(scheduler, incoming, 11);
  const late = new FakeSocket("late", reads);
  scheduler.trackConnection(late as unknown as Socket);
  await new Promise((resolve) => process.nextTick(resolve));
  expect([early.isStopped, late.isStopped]).toEqual([true, true]);
  for (let turn = 0; turn < 3; turn += 1) await nextTurn();
  expect(reads).toEqual(["late", "body", "early"]);
});

test("a connection that has sent a request is no longer held back", () => {
  const scheduler = makeScheduler();
  const known = makeBody("known", []);
  scheduler.trackConnection(known.socket as unknown as Socket);
  scheduler.recordRequest(known.incoming);
  sendChunks(scheduler, makeBody("other", []).incoming, 11);
  expect(known.socket.isStopped).toBe(false);
});

test("a body that has ended is not read again", async () => {
  const scheduler = makeScheduler();
  const reads: string[] = [];
  const { incoming } = makeBody("a", reads);
  sendChunks(scheduler, incoming, 11);
  scheduler.remove(incoming);
  await nextTurn();
  expect(reads).toEqual([]);
  expect(scheduler.waiting).toBe(0);
});
