/**
 * Replies that were begun with the response of one server, which then broke off.
 * The bytes of another response may follow only if they continue it; otherwise
 * the caller must see that the reply is incomplete.
 */

import type { Socket } from "node:net";
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

const streamType = "Content-Type: text/event-stream";
const chunkedHead =
  `HTTP/1.1 200 OK\r\ntest-signature: s\r\n${streamType}\r\n` +
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

/** Ways in which a server marks the end of a body. */
const framings = ["by length", "in chunks", "by closing"] as const;

interface NextAnswer {
  readonly status: string;
  readonly headers: readonly string[];
  readonly body: string;
}

/** Writes a response whose end is marked in one of the ways. */
function writeFramed(
  socket: Socket,
  { status, headers, body }: NextAnswer,
  framing: typeof framings[number],
): void {
  const start = [`HTTP/1.1 ${status}`, ...headers];
  if (framing === "by length") start.push(`Content-Length: ${body.length}`);
  if (framing === "in chunks") start.push("Transfer-Encoding: chunked");
  const content = framing === "in chunks" && body !== ""
    ? `${chunk(body)}0\r\n\r\n`
    : framing === "in chunks"
    ? "0\r\n\r\n"
    : body;
  socket.write(`${start.join("\r\n")}\r\n\r\n${content}`);
  if (framing === "by closing") socket.end();
}

const signature = "test-signature: s";
const jsonType = "Content-Type: application/json";
const htmlType = "Content-Type: text/html";
/** Text that an event stream would end an event after. */
const errorText = '{\n "error": "error text"\n}\n\n';
const errorEvents = "id: 3\ndata: error text\n\n";

const foreignAnswers: [name: string, answer: NextAnswer][] = [
  ["400", { status: "400 Bad", headers: [signature], body: errorText }],
  ["404", { status: "404 No", headers: [jsonType], body: errorText }],
  ["429", { status: "429 Many", headers: [signature], body: errorEvents }],
  ["500", { status: "500 Broken", headers: [signature], body: errorText }],
  ["502", { status: "502 Broken", headers: [streamType], body: errorEvents }],
  ["503", { status: "503 Busy", headers: [], body: errorText }],
  ["504", { status: "504 Late", headers: [], body: "" }],
  ["a refusal", {
    status: "503 Full",
    headers: ["test-not-run: 1"],
    body: errorText,
  }],
  ["a redirect", {
    status: "307 There",
    headers: [signature, "Location: /"],
    body: errorText,
  }],
  ["200 with JSON", {
    status: "200 OK",
    headers: [signature, jsonType],
    body: errorText,
  }],
  ["200 with a page", {
    status: "200 OK",
    headers: [signature, htmlType],
    body: "<p>error text</p>\n\n",
  }],
  ["200 without a type", {
    status: "200 OK",
    headers: [signature],
    body: errorText,
  }],
  ["200 with a part of an event", {
    status: "200 OK",
    headers: [signature, streamType],
    body: "error text",
  }],
  ["200 with nothing of no type", {
    status: "200 OK",
    headers: [signature],
    body: "",
  }],
  ["200 without a signature", {
    status: "200 OK",
    headers: [streamType],
    body: errorEvents,
  }],
  ["202", {
    status: "202 Accepted",
    headers: [signature, streamType],
    body: errorEvents,
  }],
  ["204", {
    status: "204 No Content",
    headers: [signature, streamType],
    body: "",
  }],
  ["206", {
    status: "206 Partial",
    headers: [signature, streamType],
    body: errorEvents,
  }],
];

const variants = foreignAnswers.flatMap(([name, next]) =>
  framings.map((framing) => [name, framing, next] as const)
);

/** Whether a caller takes the bytes of a reply for a complete one. */
function isComplete(seen: string): boolean {
  const end = seen.indexOf("\r\n\r\n");
  const length = /content-length: (\d+)/i.exec(seen.slice(0, end))?.[1];
  return length === undefined
    ? seen.endsWith("0\r\n\r\n")
    : seen.length - end - 4 >= Number(length);
}

// Guards against bytes of another answer in the middle of a stream, or a stream
// that they end as complete, whatever the answer is and how its end is marked.
test.each(variants)(
  "%s, ended %s, is not joined to a begun stream",
  async (_name, framing, next) => {
    const script: Script = (received) => {
      if (/test-resume: 2/.test(received.head)) {
        writeFramed(received.socket, next, framing);
      } else breakOffAfter("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")(received);
    };
    servers = await Promise.all([startServer(script), startServer(script)]);
    relay = await startRelay({
      servers,
      route: { kind: "stream", resumable: true, maxAttempts: 2 },
    });
    const text = request({ method: "POST", body: "x" });
    const seen = await exchange(relay.port, text);
    expect(seen).toMatch(/^HTTP\/1\.1 200 /);
    expect(seen).toMatch(/data: b/);
    expect(seen).not.toMatch(/error text|HTTP\/1\.1 [^2]/);
    expect(isComplete(seen)).toBe(false);
    expect(servers.flatMap(({ received }) => received)).toHaveLength(2);
  },
);

// Guards against checks that keep a stream from going on as it should.
test.each(framings)(
  "a stream ended %s continues a begun stream",
  async (framing) => {
    const script: Script = (received) => {
      if (/test-resume: 2/.test(received.head)) {
        writeFramed(received.socket, {
          status: "200 OK",
          headers: [signature, `${streamType}; charset=utf-8`],
          body: "id: 3\ndata: c\n\n",
        }, framing);
      } else breakOffAfter("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")(received);
    };
    servers = await Promise.all([startServer(script), startServer(script)]);
    relay = await startRelay({
      servers,
      route: { kind: "stream", resumable: true, maxAttempts: 2 },
    });
    const text = request({ method: "POST", body: "x" });
    const seen = await exchange(relay.port, text);
    expect(seen.match(/data: \w/g)).toEqual(["data: a", "data: b", "data: c"]);
    expect(isComplete(seen)).toBe(true);
  },
);

// Guards against the same where the begun stream states its length.
test.each(foreignAnswers)(
  "%s is not joined to a begun stream of a stated length",
  async (_name, next) => {
    const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const script: Script = ({ socket, head }) => {
      if (/test-resume: 2/.test(head)) {
        writeFramed(socket, next, "by length");
        return;
      }
      const length = events.length + next.body.length + 1;
      socket.write(
        `HTTP/1.1 200 OK\r\n${signature}\r\n${streamType}\r\n` +
          `Content-Length: ${length}\r\n\r\n${events}`,
      );
      setTimeout(() => socket.destroy(), crashDelay);
    };
    servers = await Promise.all([startServer(script), startServer(script)]);
    relay = await startRelay({
      servers,
      route: { kind: "stream", resumable: true, maxAttempts: 2 },
    });
    const text = request({ method: "POST", body: "x" });
    const seen = await exchange(relay.port, text);
    expect(seen).toMatch(/data: b/);
    expect(seen).not.toMatch(/error text/);
    expect(isComplete(seen)).toBe(false);
  },
);
