/** Answers of servers that are none: impossible statuses, parts without an end. */

import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import {
  exchange,
  request,
  startRelay,
  startServer,
  TestDialect,
  type TestRelay,
  type TestServer,
} from "../harness.ts";
import type { BackendServerId } from "rhubarbstage";
import { ServerConnections } from "../../src/mod.ts";
import type { Route } from "../../src/types.ts";

/** Far above any time that a test needs, in milliseconds. */
const routeTimeout = 15_000;
/** Time within which an answer that is none must fail, in milliseconds. */
const soon = 5_000;

let server: TestServer | undefined;
let relay: TestRelay | undefined;
let raw: Server | undefined;

afterEach(async () => {
  await relay?.close();
  await server?.close();
  raw?.close();
  raw = undefined;
});

const statuses = ["000", "099", "600", "999", "20", "2", "2000", "-20", "abc"];
const kinds: readonly Route["kind"][] = [
  "at_most_once",
  "idempotent",
  "stream",
];
const cases = kinds.flatMap((kind) =>
  statuses.map((status) => ({ kind, status }))
);

// Guards against a status that is none and reaches a caller, and against waiting
// for the deadline, also with the first such answer of a process.
test.each(cases)("$kind: status $status is no answer", async (shape) => {
  const { kind, status } = shape;
  server = await startServer(({ socket }) => {
    socket.write(
      `HTTP/1.1 ${status} Odd\r\ntest-signature: s\r\n` +
        "Content-Type: text/event-stream\r\nContent-Length: 17\r\n\r\n" +
        "id: 1\ndata: odd\n\n",
    );
  });
  relay = await startRelay({
    servers: [server],
    route: { kind, timeout: routeTimeout, maxAttempts: 1 },
  });
  const startedAt = performance.now();
  const text = request({ method: "POST", body: "charge" });
  const seen = await exchange(relay.port, text);
  expect(seen).toMatch(/^HTTP\/1\.1 502 /);
  expect(seen).not.toContain("odd");
  expect(performance.now() - startedAt).toBeLessThan(soon);
  expect(server.received).toHaveLength(1);
});

// Guards against an interim answer that is taken for the last one.
test("an interim answer without a last one is no answer", async () => {
  server = await startServer(({ socket }) => {
    socket.end("HTTP/1.1 103 Early Hints\r\ntest-signature: s\r\n\r\n");
  });
  relay = await startRelay({
    servers: [server],
    route: { kind: "at_most_once", timeout: routeTimeout },
  });
  const text = request({ method: "POST", body: "charge" });
  expect(await exchange(relay.port, text)).toMatch(/^HTTP\/1\.1 502 /);
});

/** More than the buffers of both sockets take. */
const uploadBytes = 20_000_000;
const part = "part of an answer";

/** Answers as soon as a request begins to arrive, and reads no more of it. */
async function startHasty(answer: (socket: Socket) => void) {
  let connections = 0;
  raw = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      connections += 1;
      socket.pause();
      answer(socket);
    });
  });
  const listening = raw;
  await new Promise<void>((resolve) =>
    listening.listen(0, "127.0.0.1", resolve)
  );
  const { port } = raw.address() as AddressInfo;
  const hasty: TestServer = {
    url: `http://127.0.0.1:${port}`,
    received: [],
    close: () => Promise.resolve(),
  };
  return { hasty, count: () => connections };
}

const headsWithoutLength = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n" +
  "Content-Type: text/plain\r\n\r\n";
const ends = ["reset", "closed", "ended"] as const;

// Guards against a truncated answer that counts as whole because the upload, which
// would show the reset, is still waiting in this process.
test.each(
  kinds.flatMap((kind) => ends.map((end) => ({ kind, end }))),
)(
  "$kind: a part that is $end during the upload is no answer",
  async (shape) => {
    const { kind, end } = shape;
    const { hasty, count } = await startHasty((socket) => {
      socket.write(headsWithoutLength + part, () => {
        if (end === "reset") socket.resetAndDestroy();
        else if (end === "closed") socket.destroy();
        else socket.end();
      });
    });
    relay = await startRelay({
      servers: [hasty],
      maxBodyBytes: uploadBytes,
      route: { kind, timeout: routeTimeout, maxAttempts: 1 },
    });
    const text = request({ method: "POST", body: "x".repeat(uploadBytes) });
    const seen = await exchange(relay.port, text);
    expect(seen).not.toMatch(/^HTTP\/1\.1 200 /);
    expect(seen).not.toContain(part);
    expect(count()).toBeLessThanOrEqual(1);
  },
);

// Guards against early errors that are lost together with the upload.
test("a true early error during the upload is delivered", async () => {
  const { hasty } = await startHasty((socket) => {
    socket.write(
      "HTTP/1.1 413 Too Large\r\nConnection: close\r\n" +
        "Content-Length: 5\r\n\r\nlarge",
    );
  });
  relay = await startRelay({
    servers: [hasty],
    maxBodyBytes: uploadBytes,
    route: { kind: "at_most_once", timeout: routeTimeout },
  });
  const text = request({ method: "POST", body: "x".repeat(uploadBytes) });
  const seen = await exchange(relay.port, text);
  expect(seen).toMatch(/^HTTP\/1\.1 413 /);
  expect(seen).toMatch(/large$/);
});

// Guards against a status that only a failed assertion of the HTTP client rejects.
// Node.js builds the message of the first one by parsing the whole program, which
// holds up a process for seconds.
test.each(["000", "099", "101", "600"])(
  "status %s fails with an error that names it",
  async (status) => {
    server = await startServer(({ socket }) =>
      socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`)
    );
    const connections = new ServerConnections({
      dialect: new TestDialect(),
      maxConnections: () => 10,
      hosts: () => 1,
    });
    const sent = connections.sendDirect(
      { id: "server" as BackendServerId, url: server.url },
      { method: "GET", path: "/", headers: [], body: undefined },
      { signal: AbortSignal.timeout(soon) },
    );
    await expect(sent).rejects.toThrow(`status ${Number(status)}`);
    await connections.close();
  },
);
