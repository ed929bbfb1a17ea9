/**
 * A planned stop under load: requests that have just been accepted or that are
 * half read when the listener closes.
 */

import { connect } from "node:net";
import {
  answer,
  request,
  startRelay,
  startServer,
  type TestRelay,
  type TestServer,
} from "../harness.ts";

let server: TestServer | undefined;
let relay: TestRelay | undefined;

afterEach(async () => {
  await server?.close();
});

/** Time of the server for one request, in milliseconds. */
const serviceTime = 100;
/** Longest time that a listener may take to close, in milliseconds. */
const maxCloseTime = 600;

async function start(): Promise<TestRelay> {
  server = await startServer(({ socket }) => {
    setTimeout(() => socket.write(answer("200 OK", [], "done")), serviceTime);
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

test("a caller that never ends its request does not hold up the stop", async () => {
  const { port, close } = await start();
  const { closed } = openCaller(port, "POST / HTTP/1.1\r\nHost: ");
  await delayMilliseconds(serviceTime / 2);
  const startedAt = performance.now();
  await close();
  expect(performance.now() - startedAt).toBeLessThan(maxCloseTime);
  expect(await closed).toBe("");
});
