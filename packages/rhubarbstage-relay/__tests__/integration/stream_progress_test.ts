/**
 * Streams whose events come slowly, and streams that only seem to go on: a
 * comment, a byte or half an event now and then is no progress.
 */

import {
  exchange,
  request,
  type Script,
  startRelay,
  startServer,
  type TestRelay,
  type TestServer,
} from "../harness.ts";

let server: TestServer | undefined;
let relay: TestRelay | undefined;

afterEach(async () => {
  await relay?.close();
  await server?.close();
});

const gapTarget = 50;
const routeTimeout = 1_500;
/** Time allowed for the end of a stream after its timeout, in milliseconds. */
const endSlack = 500;
/** Interval of the bytes that are no progress, in milliseconds. */
const drip = 50;

const head = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n" +
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

async function start(script: Script): Promise<number> {
  server = await startServer(script);
  relay = await startRelay({
    servers: [server],
    route: { kind: "stream", timeout: routeTimeout, gapTarget },
  });
  return relay.port;
}

test("a slow but sound stream is not cut", async () => {
  const events = 4;
  const port = await start(({ socket }) => {
    socket.write(head);
    for (let index = 0; index < events; index += 1) {
      setTimeout(
        () => socket.write(chunk(`id:${index}\ndata:${index}\n\n`)),
        index * gapTarget * 6,
      );
    }
    setTimeout(() => socket.write("0\r\n\r\n"), events * gapTarget * 6);
  });
  const seen = await exchange(port, request({}));
  expect(seen.match(/data:/g)).toHaveLength(events);
  expect(seen).toMatch(/0\r\n\r\n$/);
});

test.each([
  ["a comment", ": x\n"],
  ["a byte of an event", "d"],
  ["half an event", "data:x\n"],
])("a stalled stream that sends %s now and then ends", async (_name, piece) => {
  let openSockets = 0;
  const port = await start(({ socket }) => {
    openSockets += 1;
    socket.write(head + chunk("id:1\ndata:a\n\n"));
    const timer = setInterval(() => socket.write(chunk(piece)), drip);
    socket.on("close", () => {
      clearInterval(timer);
      openSockets -= 1;
    });
  });
  const startedAt = performance.now();
  const seen = await exchange(port, request({}));
  expect(performance.now() - startedAt).toBeLessThan(routeTimeout + endSlack);
  // The stream must not look complete.
  expect(seen).not.toMatch(/0\r\n\r\n$/);
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(openSockets).toBe(0);
});
