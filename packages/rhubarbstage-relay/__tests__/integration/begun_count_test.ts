/** Requests are counted once, when a server has begun to run them. */

import {
  answer,
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

const refusal = answer("503 Full", ["test-not-run: 1"], "");
const answered = answer("200 OK", [], "done");
const streamHead =
  "HTTP/1.1 200 OK\r\ntest-signature: s\r\nContent-Type: text/event-stream\r\n";
const stream =
  `${streamHead}Content-Length: 22\r\n\r\nid: 1\ndata: a\n\ndata: \n\n`;

/** Returns the changes of the count while one request is served. */
async function countOf(options: {
  readonly script: Script;
  readonly kind: "idempotent" | "at_most_once" | "stream";
}): Promise<(1 | -1)[]> {
  const changes: (1 | -1)[] = [];
  server = await startServer(options.script);
  relay = await startRelay({
    servers: [server],
    route: { kind: options.kind },
    onBegun: (change) => changes.push(change),
  });
  await exchange(relay.port, request({ method: "POST", body: "charge" }));
  return changes;
}

test("a plain request is counted once", async () => {
  const script: Script = ({ socket }) => void socket.write(answered);
  expect(await countOf({ script, kind: "at_most_once" })).toEqual([1]);
});

// Guards against a bill for requests that every server has refused.
test("a plain request that no server has run is not counted", async () => {
  const script: Script = ({ socket }) => void socket.write(refusal);
  const changes = await countOf({ script, kind: "at_most_once" });
  expect(changes.reduce<number>((sum, change) => sum + change, 0)).toBe(0);
});

// Guards against a request that counts once for each retry.
test("a retried request is counted once", async () => {
  const script: Script = ({ socket, count }) =>
    void socket.write(
      count === 1 ? answer("500 Broken", [], "broken") : answered,
    );
  expect(await countOf({ script, kind: "idempotent" })).toEqual([1]);
});

test("a plain request whose connection breaks may have run", async () => {
  const script: Script = ({ socket }) => void socket.destroy();
  expect(await countOf({ script, kind: "at_most_once" })).toEqual([1]);
});

test("a stream is counted with its first event", async () => {
  const script: Script = ({ socket }) => void socket.write(stream);
  expect(await countOf({ script, kind: "stream" })).toEqual([1]);
});

test("a stream without an event is not counted", async () => {
  const script: Script = ({ socket }) => {
    socket.write(`${streamHead}Content-Length: 9\r\n\r\n`);
    socket.destroy();
  };
  expect(await countOf({ script, kind: "stream" })).toEqual([]);
});
