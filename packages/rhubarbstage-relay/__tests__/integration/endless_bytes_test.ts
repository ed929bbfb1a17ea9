/**
 * Servers in trouble that send bytes without end, which are no response: in the
 * head, in the framing of a body or after it. The caller must get a true answer
 * soon, and the server's connection must be closed.
 */

import type { Socket } from "node:net";
import {
  exchange,
  request,
  type Script,
  startRelay,
  startServer,
  type TestRelay,
  type TestServer,
} from "../harness.ts";
import type { Route } from "../../src/types.ts";

/** Far below the route's timeout, in milliseconds. */
const soon = 2_500;
const routeTimeout = 8_000;
/** What a server may send before it is cut off; includes kernel buffers. */
const maxSentBytes = 16 * 1_048_576;
/** Bytes at which a server gives up, so that a failing test ends. */
const sentBytesLimit = 256 * 1_048_576;

let server: TestServer | undefined;
let relay: TestRelay | undefined;

afterEach(async () => {
  await relay?.close();
  await server?.close();
});

interface Flood {
  sentBytes: number;
  openSockets: number;
}

/** Sends `start` and then `piece` again and again until it is cut off. */
function floodScript(
  start: string,
  piece: string,
  flood: Flood,
): Script {
  const block = Buffer.from(piece.repeat(Math.ceil(65_536 / piece.length)));
  return ({ socket }) => {
    flood.openSockets += 1;
    socket.on("close", () => flood.openSockets -= 1);
    socket.write(start);
    sendBlocks(socket, block, flood);
  };
}

function sendBlocks(socket: Socket, block: Buffer, flood: Flood): void {
  while (!socket.destroyed && flood.sentBytes < sentBytesLimit) {
    flood.sentBytes += block.length;
    if (!socket.write(block)) {
      socket.once("drain", () => sendBlocks(socket, block, flood));
      return;
    }
  }
}

async function waitForClose(flood: Flood): Promise<void> {
  const deadline = performance.now() + soon;
  while (flood.openSockets > 0 && performance.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

const head = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n";
const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const eventsHead = `${head}Content-Type: text/event-stream\r\n` +
  "Transfer-Encoding: chunked\r\n\r\n";

const shapes: {
  name: string;
  start: string;
  piece: string;
  kind?: Route["kind"];
}[] = [
  { name: "a status line", start: "HTTP/1.1 200 ", piece: "x" },
  { name: "a header line", start: `${head}x: `, piece: "x" },
  { name: "header lines", start: head, piece: "x-more: 1\r\n" },
  {
    name: "interim responses",
    start: "",
    piece: "HTTP/1.1 102 Processing\r\n\r\n",
  },
  { name: "a chunk size", start: chunkedHead, piece: "0" },
  { name: "a chunk extension", start: `${chunkedHead}5;x=`, piece: "x" },
  {
    name: "trailers",
    start: `${chunkedHead}5\r\nhello\r\n0\r\n`,
    piece: "x-more: 1\r\n",
  },
  {
    name: "an event line",
    start: `${eventsHead}ffffffff\r\ndata: `,
    piece: "x",
    kind: "stream",
  },
  {
    name: "a chunk size within a stream",
    start: `${eventsHead}d\r\nid:1\ndata:a\n\n\r\n`,
    piece: "0",
    kind: "stream",
  },
];

test.each(shapes)("cuts off $name without end", async (shape) => {
  const { start, piece, kind = "at_most_once" } = shape;
  const flood: Flood = { sentBytes: 0, openSockets: 0 };
  server = await startServer(floodScript(start, piece, flood));
  relay = await startRelay({
    servers: [server],
    route: { kind, timeout: routeTimeout },
  });
  const startedAt = performance.now();
  const seen = await exchange(
    relay.port,
    request({ method: "POST", body: "charge", headers: ["Connection: close"] }),
  );
  expect(performance.now() - startedAt).toBeLessThan(soon);
  if (kind === "at_most_once") {
    // The charge may have run, so a status that denies it would be false.
    expect(seen).toMatch(/^HTTP\/1\.1 502 /);
  } else expect(seen).not.toMatch(/0\r\n\r\n$/);
  await waitForClose(flood);
  expect(flood.openSockets).toBe(0);
  expect(flood.sentBytes).toBeLessThan(maxSentBytes);
}, 20_000);

test("bytes without end after a whole response reach nobody", async () => {
  const flood: Flood = { sentBytes: 0, openSockets: 0 };
  const start = `${head}Content-Length: 2\r\n\r\nok`;
  server = await startServer(floodScript(start, "surplus", flood));
  relay = await startRelay({
    servers: [server],
    route: { kind: "at_most_once", timeout: routeTimeout },
  });
  const text = request({ method: "POST", body: "charge" });
  const seen = await exchange(relay.port, text, {
    until: (bytes) => bytes.endsWith("ok"),
  });
  expect(seen).toMatch(/^HTTP\/1\.1 200 /);
  await waitForClose(flood);
  expect(flood.openSockets).toBe(0);
  expect(flood.sentBytes).toBeLessThan(maxSentBytes);
});

// Guards against answers that are read whole, such as refusals and prefill answers,
// and fill the memory of the host with a body that never ends.
describe("A body without end that is not relayed", () => {
  const chunk = "10000\r\n" + "x".repeat(65_536) + "\r\n";
  const flood: Flood = { sentBytes: 0, openSockets: 0 };
  let flooding: TestServer;

  beforeEach(() => Object.assign(flood, { sentBytes: 0, openSockets: 0 }));

  async function expectCutOff(): Promise<void> {
    await waitForClose(flood);
    expect(flood.openSockets).toBe(0);
    expect(flood.sentBytes).toBeLessThan(maxSentBytes);
  }

  test("of a refusal is cut off, and the refusal counts", async () => {
    const start = "HTTP/1.1 503 Full\r\ntest-not-run: 1\r\n" +
      "Transfer-Encoding: chunked\r\n\r\n";
    server = await startServer(floodScript(start, chunk, flood));
    relay = await startRelay({
      servers: [server],
      route: { kind: "at_most_once", timeout: routeTimeout },
    });
    const text = request({ method: "POST", body: "charge" });
    expect(await exchange(relay.port, text)).toMatch(/^HTTP\/1\.1 503 /);
    await expectCutOff();
  }, 20_000);

  test("of a prefill answer is cut off, and the stream goes on", async () => {
    flooding = await startServer(floodScript(chunkedHead, chunk, flood));
    server = await startServer(({ socket }) =>
      socket.write(`${eventsHead}d\r\nid:1\ndata:a\n\n\r\n0\r\n\r\n`)
    );
    relay = await startRelay({
      servers: [flooding, server],
      route: { kind: "stream", timeout: routeTimeout },
      settings: { shareEngineState: true },
      roles: ["prefill", "decode"],
    });
    const text = request({ headers: ["test-tokens: 9000"] });
    const seen = await exchange(relay.port, text);
    await flooding.close();
    expect(seen).toMatch(/data:a/);
    expect(flooding.received).toHaveLength(1);
    await expectCutOff();
  }, 20_000);

  test("of a refusal that is sent slowly holds up no caller", async () => {
    server = await startServer(({ socket }) => {
      socket.write(
        "HTTP/1.1 503 Full\r\ntest-not-run: 1\r\nContent-Length: 9\r\n\r\n1",
      );
    });
    relay = await startRelay({
      servers: [server],
      route: { kind: "at_most_once", timeout: routeTimeout },
    });
    const startedAt = performance.now();
    const text = request({ method: "POST", body: "charge" });
    expect(await exchange(relay.port, text)).toMatch(/^HTTP\/1\.1 503 /);
    expect(performance.now() - startedAt).toBeLessThan(soon);
  }, 20_000);
});
