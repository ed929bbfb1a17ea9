/** Callers' connections that reach the idle limit. */

import { connect } from "node:net";
import { delay } from "rhubarbstage";
import {
  answer,
  request,
  startRelay,
  startServer,
  type TestRelay,
  type TestServer,
} from "../harness.ts";

/** Idle limit of callers, in milliseconds. */
const idleTimeout = 200;
/**
 * Time at which the host closes an idle connection, in milliseconds: the host and
 * its HTTP server add a second each.
 */
const closeTime = idleTimeout + 2_000;
/** Time before that at which a caller sends its next request, in ms. */
const reuseMargin = 200;
/** Time for which the host reads nothing from then on, in milliseconds. */
const pauseTime = 600;

let server: TestServer;
let relay: TestRelay;

beforeEach(async () => {
  server = await startServer(({ socket }) => {
    socket.write(answer("200 OK", [], "done"));
  });
  relay = await startRelay({
    servers: [server],
    route: { kind: "at_most_once" },
  });
  relay.listener.configure({
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeout: 3_000,
    idleTimeout,
  });
});

afterEach(async () => {
  await relay.close();
  await server.close();
});

const charge = request({ method: "POST", body: "charge" });
const keptCharge = charge.replace("Connection: close\r\n", "");

/** Opens a connection, sends one request on it and keeps it. */
function openCaller() {
  const socket = connect(relay.port, "127.0.0.1", () => {
    socket.write(keptCharge);
  });
  let seen = "";
  socket.on("data", (chunk) => seen += chunk.toString("latin1"));
  socket.on("error", () => {});
  const closed = new Promise<string>((resolve) =>
    socket.on("close", () => resolve(seen))
  );
  return { socket, closed };
}

// Guards against requests on kept connections that get a reset instead of an
// answer, because the idle limit passed while a busy host had not read them.
test("a request that waits unread at the idle limit is answered", async () => {
  const { socket, closed } = openCaller();
  await delay(closeTime - reuseMargin);
  // The timers of the event loop come next, before its reads.
  await new Promise(setImmediate);
  socket.write(charge);
  const resumesAt = performance.now() + pauseTime;
  while (performance.now() < resumesAt);
  const answers = (await closed).match(/HTTP\/1\.1 200 OK/g) ?? [];
  expect(answers).toHaveLength(2);
  expect(server.received).toHaveLength(2);
});

test("an idle connection is closed at the limit", async () => {
  const { closed } = openCaller();
  const startedAt = performance.now();
  expect(await closed).toMatch(/done$/);
  const elapsed = performance.now() - startedAt;
  expect(elapsed).toBeGreaterThan(closeTime - reuseMargin);
  expect(elapsed).toBeLessThan(closeTime + pauseTime);
});
