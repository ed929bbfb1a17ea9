/**
 * Streams of an engine that breaks off, whose next engine answers with something
 * else than their continuation.
 */

import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { fakeText } from "@rhubarbstage/test-support";
import { EngineProcess, Harness } from "../harness.ts";
import { RetryingPolicy } from "../retrying_policy.ts";

const tokens = 60;
/** Tokens that the first engine sends. */
const deliveredTokens = 17;
const resumed = { "rhubarbstage-resumed-from": String(deliveredTokens) };
const streamType = { "content-type": "text/event-stream" };

interface NextAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** An event as an engine sends it. */
function tokenEvent(position: number): string {
  const data = JSON.stringify({
    object: "text_completion",
    choices: [{ index: 0, text: "error text", finish_reason: null }],
  });
  return `id: ${position}\ndata: ${data}\n\n`;
}

const errorText = '{\n"error": {"message": "error text"}\n}\n\n';
const terminator = "data: [DONE]\n\n";

const foreignAnswers: [name: string, answer: NextAnswer][] = [
  ["400", { status: 400, headers: {}, body: errorText }],
  ["409", { status: 409, headers: resumed, body: errorText }],
  ["429", { status: 429, headers: streamType, body: tokenEvent(18) }],
  ["500", { status: 500, headers: {}, body: errorText }],
  ["503 that is a stream", {
    status: 503,
    headers: { ...streamType, ...resumed },
    body: tokenEvent(18) + terminator,
  }],
  ["200 with JSON", {
    status: 200,
    headers: { "content-type": "application/json", ...resumed },
    body: errorText,
  }],
  ["200 with a page", {
    status: 200,
    headers: { "content-type": "text/html", ...resumed },
    body: "<p>error text</p>\n\n",
  }],
  ["200 without a type", {
    status: 200,
    headers: resumed,
    body: tokenEvent(18) + terminator,
  }],
  ["200 with nothing", {
    status: 200,
    headers: { ...streamType, ...resumed },
    body: "",
  }],
  ["200 with text as a stream", {
    status: 200,
    headers: { ...streamType, ...resumed },
    body: errorText,
  }],
  ["200 with a stream from the start", {
    status: 200,
    headers: streamType,
    body: tokenEvent(1) + terminator,
  }],
  ["200 with a stream from another token", {
    status: 200,
    headers: { ...streamType, "rhubarbstage-resumed-from": "18" },
    body: tokenEvent(19) + terminator,
  }],
  ["200 with an earlier event", {
    status: 200,
    headers: { ...streamType, ...resumed },
    body: tokenEvent(3) + terminator,
  }],
  ["202", {
    status: 202,
    headers: { ...streamType, ...resumed },
    body: tokenEvent(18) + terminator,
  }],
  ["204", { status: 204, headers: { ...streamType, ...resumed }, body: "" }],
  ["206", {
    status: 206,
    headers: { ...streamType, ...resumed },
    body: tokenEvent(18) + terminator,
  }],
];

const framings = ["by length", "in chunks", "by closing"] as const;

const variants = foreignAnswers.flatMap(([name, next]) =>
  framings.map((framing) => [name, framing, next] as const)
);

let first: EngineProcess;
let second: Server;
let harness: Harness;
/** Answer of the second engine. */
let nextAnswer: NextAnswer;
let framingOfNext: typeof framings[number];
let secondCalls = 0;

beforeAll(async () => {
  first = await EngineProcess.start({
    id: "first",
    decodeTokensPerSecond: 2_000,
  });
  await first.reconfigure({ breakAtToken: deliveredTokens });
  second = createServer((request, response) => {
    request.resume();
    request.on("end", () => {
      secondCalls += 1;
      const { status, headers, body } = nextAnswer;
      if (framingOfNext === "by closing") {
        response.shouldKeepAlive = false;
        response.useChunkedEncodingByDefault = false;
      }
      if (framingOfNext === "by length" && status !== 204) {
        response.setHeader("content-length", body.length);
      }
      response.writeHead(status, headers);
      if (framingOfNext === "in chunks") response.flushHeaders();
      response.end(body);
    });
  });
  await new Promise<void>((resolve) => second.listen(0, "127.0.0.1", resolve));
});

afterAll(async () => {
  await first.stop();
  second.closeAllConnections();
  second.close();
});

beforeEach(async () => {
  harness = await Harness.start({
    policy: new RetryingPolicy(),
    engineClient: { idleTimeout: 300 },
  });
  harness.addServer("first", first.url);
  const { port } = second.address() as AddressInfo;
  harness.addServer("second", `http://127.0.0.1:${port}`);
  secondCalls = 0;
});

afterEach(async () => {
  await harness.close();
});

// Guards against bytes of another answer in the middle of a stream, or a stream
// that they end as complete.
test.each(variants)(
  "%s, ended %s, does not continue a stream",
  async (_name, framing, next) => {
    nextAnswer = next;
    framingOfNext = framing;
    const response = await harness.post("/v1/completions", {
      model: "small",
      prompt: "Once",
      max_tokens: tokens,
      stream: true,
    });
    const events = (await response.text()).trim().split("\n\n")
      .map((event) => event.replace(/^(id: \d+\n)?data: /, ""));
    const error = JSON.parse(events.pop() as string).error;
    expect(error.outcome).toMatch(/^(may_have_run|ran)$/);
    const text = events.map((event) => JSON.parse(event).choices[0].text);
    expect(text.join("")).toBe(fakeText("Once", deliveredTokens));
    expect(secondCalls).toBe(1);
  },
);
