/**
 * Replies that were begun with the response of one server, which then broke off.
 * The bytes of another response may follow only if they continue it; otherwise
 * the caller must see that the reply is incomplete.
 */

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

let servers: TestServer[] = [];
let relay: TestRelay | undefined;

afterEach(async () => {
  await relay?.close();
  await Promise.all(servers.map((server) => server.close()));
});

const chunkedHead = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";
/** Time after the last written byte at which a server crashes, in ms. */
const crashDelay = 20;

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function breakOffAfter(text: string): Script {
  return ({ socket }) => {
    socket.write(chunkedHead + chunk(text));
    setTimeout(() => socket.destroy(), crashDelay);
  };
}

// Guards against a stream that ends as complete with the text of the error of
// the server that was asked to continue it (review/4).
test.each([
  ["a server error", answer("500 Broken", [], "error text")],
  ["a caller error", answer("400 Bad", [], "error text")],
  ["a redirect", answer("302 Found", ["Location: /"], "error text")],
])("%s does not end a resumed stream as complete", async (_name, response) => {
  const script: Script = (received) => {
    if (/test-resume: 2/.test(received.head)) received.socket.write(response);
    else breakOffAfter("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")(received);
  };
  servers = await Promise.all([startServer(script), startServer(script)]);
  relay = await startRelay({
    servers,
    route: { kind: "stream", resumable: true, maxAttempts: 2 },
  });
  const seen = await exchange(
    relay.port,
    request({ method: "POST", body: "x" }),
  );
  expect(seen).toMatch(/data: b/);
  expect(seen).not.toMatch(/error text/);
  expect(seen).not.toMatch(/\r\n0\r\n\r\n$/);
  expect(servers.flatMap(({ received }) => received)).toHaveLength(2);
});

// Guards against a stream without event ids that starts again from its first
// event at another server (review/4, related path).
test("a stream without event ids is not joined with a second run", async () => {
  const script = breakOffAfter("data: a\n\n");
  servers = await Promise.all([startServer(script), startServer(script)]);
  relay = await startRelay({
    servers,
    route: { kind: "stream", resumable: true, maxAttempts: 2 },
  });
  const seen = await exchange(
    relay.port,
    request({ method: "POST", body: "x" }),
  );
  expect(seen.match(/data: a/g)).toHaveLength(1);
  expect(seen).not.toMatch(/\r\n0\r\n\r\n$/);
});

// Guards against a long plain answer that is joined from the bodies of two
// servers (review/4, related path).
test("a long answer is not completed from another server's body", async () => {
  const size = 400_000;
  const receivedCount = () =>
    servers.reduce((sum, { received }) => sum + received.length, 0);
  const script: Script = ({ socket }) => {
    const isFirst = receivedCount() === 1;
    const text = answer("200 OK", [], (isFirst ? "a" : "b").repeat(size));
    if (!isFirst) return void socket.write(text);
    socket.write(text.slice(0, -50_000));
    setTimeout(() => socket.destroy(), crashDelay);
  };
  servers = await Promise.all([startServer(script), startServer(script)]);
  relay = await startRelay({ servers, route: { maxAttempts: 2 } });
  const seen = await exchange(relay.port, request({}));
  expect(seen).toMatch(/^HTTP\/1\.1 200 /);
  expect(seen).not.toMatch(/b{100}/);
  const body = seen.slice(seen.indexOf("\r\n\r\n") + 4);
  expect(body.length).toBeLessThan(size);
  // The answer cannot be completed, so no second run is started.
  expect(receivedCount()).toBe(1);
});
