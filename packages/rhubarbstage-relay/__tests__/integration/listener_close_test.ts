/**
 * A planned stop under load: requests that have just been accepted or that are
 * half read when the listener closes.
 */

import { once } from "node:events";
import { connect } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import {
  answer,
  request,
  type Script,
  startRelay,
  startServer,
  type TestRelay,
  type TestServer,
} from "../harness.ts";

let server: TestServer | undefined;
/** Servers of a test with more than one. */
let servers: TestServer[] = [];
let relay: TestRelay | undefined;

afterEach(async () => {
  await server?.close();
  await Promise.all(servers.splice(0).map((each) => each.close()));
});

/** Time of the server for one request, in milliseconds. */
const serviceTime = 100;
/** Longest time that a listener may take to close, in milliseconds. */
const maxCloseTime = 600;

async function start(time = serviceTime): Promise<TestRelay> {
  server = await startServer(({ socket }) => {
    setTimeout(() => socket.write(answer("200 OK", [], "done")), time);
  });
  relay = await startRelay({
    servers: [server],
    route: { kind: "at_most_once" },
  });
  return relay;
}

/** Opens a connection and collects what it receives. */
function openCaller(port: number, text: string) {
  const socket = connect(port, "127.0.0.1", () => socket.write(text));
  let seen = "";
  socket.on("data", (chunk) => seen += chunk.toString("latin1"));
  socket.on("error", () => {});
  const closed = new Promise<string>((resolve) =>
    socket.on("close", () => resolve(seen))
  );
  return { socket, closed };
}

function delayMilliseconds(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

test("requests that run or are half read at the stop are answered", async () => {
  const { port, close } = await start();
  const whole = request({ method: "POST", body: "charge" });
  const running = openCaller(port, whole);
  const halfRead = openCaller(port, whole.slice(0, -3));
  const halfHead = openCaller(port, whole.slice(0, 20));
  await delayMilliseconds(serviceTime / 2);
  const closing = close();
  await delayMilliseconds(20);
  halfRead.socket.write(whole.slice(-3));
  halfHead.socket.write(whole.slice(20));
  for (const { closed } of [running, halfRead]) {
    expect(await closed).toMatch(/^HTTP\/1\.1 (200|502|503) /);
  }
  // A request without a whole head may be closed: no server has got it, and the
  // caller may send it again.
  expect(await halfHead.closed).toMatch(/^(HTTP\/1\.1 (200|502|503) |$)/);
  await closing;
});

/** Time for which a busy host reads nothing, in milliseconds. */
const pauseTime = 300;

// Guards against requests that have arrived at a busy host, are still unread when
// it closes its idle connections, and get a reset instead of an answer.
test("requests that have arrived unread at the stop are answered", async () => {
  const { port, close } = await start();
  const whole = request({ method: "POST", body: "charge" });
  const keepAlive = whole.replace("Connection: close\r\n", "");
  const callers = Array.from({ length: 5 }, () => openCaller(port, keepAlive));
  // Each caller's connection is kept after its first answer.
  await delayMilliseconds(serviceTime * 3);
  for (const { socket } of callers) socket.write(whole);
  const resumesAt = performance.now() + pauseTime;
  while (performance.now() < resumesAt);
  await close();
  for (const { closed } of callers) {
    const answers = (await closed).match(/HTTP\/1\.1 (200|502|503) /g) ?? [];
    expect(answers).toHaveLength(2);
  }
});

/** A caller in a thread of its own, which sends while the host is busy. */
const callerThread = `
  const { connect } = require("node:net");
  const { parentPort, workerData } = require("node:worker_threads");
  parentPort.once("message", () => {
    const { port, text } = workerData;
    const socket = connect(port, "127.0.0.1", () => socket.write(text));
    let seen = "";
    socket.on("data", (chunk) => seen += chunk);
    socket.on("error", () => {});
    socket.on("close", () => parentPort.postMessage(seen));
  });
  parentPort.postMessage("ready");
`;

// Guards against connections that a busy host has not accepted when it closes its
// listener, and that get a reset instead of an answer.
test("a request on a connection that waits at the stop is answered", async () => {
  const { port, close } = await start();
  const text = request({ method: "POST", body: "charge" });
  const thread = new Worker(callerThread, {
    eval: true,
    workerData: { port, text },
  });
  await once(thread, "message");
  thread.postMessage("send");
  const resumesAt = performance.now() + pauseTime;
  while (performance.now() < resumesAt);
  const answered = once(thread, "message");
  await close();
  const [seen] = await answered;
  expect(seen).toMatch(/^HTTP\/1\.1 (200|502|503) /);
});

test("a caller that never ends its request does not hold up the stop", async () => {
  const { port, close } = await start();
  const { closed } = openCaller(port, "POST / HTTP/1.1\r\nHost: ");
  await delayMilliseconds(serviceTime / 2);
  const startedAt = performance.now();
  await close();
  expect(performance.now() - startedAt).toBeLessThan(maxCloseTime);
  expect(await closed).toBe("");
});

/** Time of the server that leaves all requests time to arrive, in ms. */
const longServiceTime = 800;
/** Requests that the server of the harness runs at the same time. */
const capacity = 8;

// Guards against requests that are passed on at the end of a planned stop, or run
// past it, and whose connections are then cut without an answer.
describe("A stop whose grace period ends", () => {
  const charge = request({ method: "POST", body: "charge" });

  async function startCallers(count: number): Promise<Promise<string>[]> {
    const { port } = await start(longServiceTime);
    const callers = Array.from(
      { length: count },
      () => openCaller(port, charge).closed,
    );
    await delayMilliseconds(longServiceTime / 2);
    expect(server?.received).toHaveLength(Math.min(count, capacity));
    return callers;
  }

  test("refuses what waits and delivers what runs", async () => {
    const callers = await startCallers(capacity + 1);
    relay?.dispatcher.drain();
    const seen = await Promise.all(callers);
    const refused = seen.filter((text) => /^HTTP\/1\.1 503 /.test(text));
    expect(refused).toHaveLength(1);
    expect(refused[0]).toMatch(/retry-after: /i);
    expect(seen.filter((text) => /done$/.test(text))).toHaveLength(capacity);
    expect(server?.received).toHaveLength(capacity);
    await relay?.close();
  });

  // Guards against streams that are cut in the last part of the grace period,
  // though another server could have continued them in time.
  test("goes on with a begun stream at another server", async () => {
    const event = (number: number) => `id: ${number}\ndata: part\n\n`;
    const script: Script = ({ head, socket }) => {
      const isContinued = /test-resume: 1/.test(head);
      const text = event(isContinued ? 2 : 1);
      socket.write(
        "HTTP/1.1 200 OK\r\ntest-signature: s\r\n" +
          `Transfer-Encoding: chunked\r\n\r\n` +
          `${text.length.toString(16)}\r\n${text}\r\n`,
      );
      if (isContinued) socket.write("0\r\n\r\n");
      else setTimeout(() => socket.destroy(), serviceTime);
    };
    servers = await Promise.all([startServer(script), startServer(script)]);
    relay = await startRelay({
      servers,
      route: { kind: "stream", resumable: true, maxAttempts: 2 },
    });
    const { socket, closed } = openCaller(relay.port, charge);
    await new Promise((resolve) => socket.once("data", resolve));
    relay.dispatcher.drain();
    const seen = await closed;
    await relay.close();
    expect(seen).toContain(event(1));
    expect(seen).toContain(event(2));
    expect(seen).toMatch(/\r\n0\r\n\r\n$/);
  });

  test("answers what runs without claiming that it has not run", async () => {
    const callers = await startCallers(2);
    relay?.dispatcher.endAll();
    for (const seen of await Promise.all(callers)) {
      expect(seen).toMatch(/^HTTP\/1\.1 502 /);
      expect(seen).toMatch(/"outcome":"may_have_run"/);
    }
    await relay?.close();
  });
});

/** Size of one response that is buffered whole, in bytes. */
const responseSize = 250_000;
/** Responses that together exceed the buffers of the operating system. */
const unreadResponses = 40;

// Guards against responses that are cut short at a stop because their last bytes
// have not left the process, as when the caller is slow to read.
test("a slow caller gets the whole of its responses at a stop", async () => {
  server = await startServer(({ socket }) => {
    socket.write(answer("200 OK", [], "x".repeat(responseSize)));
  });
  relay = await startRelay({ servers: [server] });
  const keepAlive = request({}).replace("Connection: close\r\n", "");
  const { socket, closed } = openCaller(
    relay.port,
    keepAlive.repeat(unreadResponses),
  );
  socket.pause();
  while (server.received.length < unreadResponses) await delayMilliseconds(10);
  const stopped = relay.relay.waitUntilIdle().then(() => relay?.close());
  await delayMilliseconds(serviceTime);
  socket.resume();
  const seen = await closed;
  const heads = seen.match(/HTTP\/1\.1 200 OK/g) ?? [];
  expect(heads).toHaveLength(unreadResponses);
  expect(seen.length).toBeGreaterThan(unreadResponses * responseSize);
  await stopped;
});

// Guards against requests that arrive while a stopping host handles another one
// for long, in the same turn of its event loop, and get a reset.
test("requests that arrive while another is handled at the stop are answered", async () => {
  const { port, relay: started, close } = await start();
  const whole = request({ method: "POST", body: "charge" })
    .replace("Connection: close\r\n", "");
  const [first, ...others] = Array.from(
    { length: 4 },
    () => openCaller(port, whole),
  ) as [ReturnType<typeof openCaller>, ...ReturnType<typeof openCaller>[]];
  await delayMilliseconds(serviceTime * 3);
  const handle = started.handle.bind(started);
  let isBusy = false;
  started.handle = async (incoming, response) => {
    if (!isBusy) {
      isBusy = true;
      for (const { socket } of others) socket.write(whole);
      const resumesAt = performance.now() + pauseTime;
      while (performance.now() < resumesAt);
    }
    await handle(incoming, response);
  };
  const closing = close();
  await nextTurn();
  first.socket.write(whole);
  for (const { closed } of [first, ...others]) {
    expect((await closed).match(/HTTP\/1\.1 \d+ /g)).toHaveLength(2);
  }
  await closing;
});
