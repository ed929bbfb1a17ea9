import { connect } from "node:net";
import {
  EngineProcess,
  eventually,
  Harness,
  operatorToken,
} from "../harness.ts";

const body = { model: "small", prompt: "Once", max_tokens: 2 };

const requestHead = "POST /v1/completions HTTP/1.1\r\nhost: a\r\n" +
  "authorization: Bearer key-of-padana\r\n" +
  "content-type: application/json\r\ncontent-length: 100\r\n\r\n";

describe("error responses", () => {
  let harness: Harness;
  let engine: EngineProcess;

  beforeAll(async () => {
    engine = await EngineProcess.start({ decodeTokensPerSecond: 2_000 });
    harness = await Harness.start({
      bodyLimit: 10_000,
      requestTimeout: 400,
    });
    harness.addServer(engine.id, engine.url);
  });

  afterAll(async () => {
    await harness.close();
    await engine.stop();
  });

  afterEach(async () => {
    harness.readiness.accepts = true;
    const response = await harness.post("/v1/completions", body);
    // Guards against a process that stops serving after an invalid request.
    expect(response.status).toBe(200);
  });

  async function expectRefusal(
    response: Response,
    expected: { status: number; type: string },
  ) {
    const { error } = await response.json() as { error: { type: string } };
    expect({ status: response.status, type: error.type }).toEqual(expected);
    expect(response.headers.get("rhubarbstage-outcome")).toBe("not_run");
    expect(error).toMatchObject({
      outcome: "not_run",
      message: expect.any(String),
      request_id: expect.any(String),
    });
  }

  const cases: [
    string,
    string,
    string,
    unknown,
    Record<string, string>,
    number,
  ][] = [
    ["no API key", "unauthenticated", "completions", body, {
      authorization: "",
    }, 401],
    ["an unknown API key", "unauthenticated", "chat/completions", body, {
      authorization: "Bearer unknown",
    }, 401],
    ["truncated JSON", "invalid_request", "completions", '{"model":', {}, 400],
    ["a JSON array", "invalid_request", "completions", "[]", {}, 400],
    ["n above 1", "invalid_request", "completions", { ...body, n: 2 }, {}, 400],
    [
      "a negative max_tokens",
      "invalid_request",
      "completions",
      { ...body, max_tokens: -1 },
      {},
      400,
    ],
    [
      "a chat without messages",
      "invalid_request",
      "chat/completions",
      { model: "small" },
      {},
      400,
    ],
    ["a timeout that is no number", "invalid_request", "completions", body, {
      "rhubarbstage-timeout-ms": "soon",
    }, 400],
    ["a text/plain body", "unsupported_media_type", "completions", body, {
      "content-type": "text/plain",
    }, 415],
    [
      "a body above the limit",
      "body_too_large",
      "completions",
      "x".repeat(10_001),
      {},
      413,
    ],
    [
      "an unknown model",
      "unknown_model",
      "completions",
      { ...body, model: "big" },
      {},
      404,
    ],
    ["an unknown path", "not_found", "embeddings", body, {}, 404],
    ["a path with an invalid escape", "invalid_request", "%zz", body, {}, 400],
  ];

  // Guards against unknown error types and wrong outcomes.
  test.each(cases)(
    "%s is refused as %s",
    async (_input, type, path, sent, headers, status) => {
      const response = await harness.post(`/v1/${path}`, sent, headers);
      await expectRefusal(response, { status, type });
    },
  );

  // Guards against bodies without a declared length that exceed the limit.
  test("body_too_large for a chunked body", async () => {
    const response = await fetch(`${harness.url}/v1/completions`, {
      method: "POST",
      headers: {
        authorization: "Bearer key-of-padana",
        "content-type": "application/json",
      },
      body: new Blob(["x".repeat(10_001)]).stream(),
      duplex: "half",
    } as RequestInit);
    await expectRefusal(response, { status: 413, type: "body_too_large" });
  });

  // Guards against accepting work after the start of a shutdown.
  test("shutting_down when the host accepts no work", async () => {
    harness.readiness.accepts = false;
    const response = await harness.post("/v1/completions", body);
    await expectRefusal(response, { status: 503, type: "shutting_down" });
    expect(response.headers.get("retry-after")).toBe("1");
  });

  // Guards against an isolated host that serves requests against its settings.
  test("isolated when the settings refuse work on isolated hosts", async () => {
    const { settings } = harness.settings;
    harness.settings.settings = {
      ...settings,
      isolated: true,
      whenIsolated: "refuse",
    };
    const response = await harness.post("/v1/completions", body);
    harness.settings.settings = settings;
    await expectRefusal(response, { status: 503, type: "isolated" });
  });

  // Guards against a body limit in the settings tree that has no effect.
  test("body_too_large above the limit of the settings tree", async () => {
    const { settings } = harness.settings;
    harness.settings.settings = { ...settings, bodyLimit: 10 };
    const paths = ["/v1/completions", "/services/ledger/usage"];
    const responses = await Promise.all(
      paths.map((path) => harness.post(path, body)),
    );
    harness.settings.settings = settings;
    for (const response of responses) {
      await expectRefusal(response, { status: 413, type: "body_too_large" });
    }
  });

  // Guards against access to operator and backend routes for callers.
  test("unauthenticated for operator and backend routes", async () => {
    for (const path of ["/operator/tree/edits", "/backends/announce"]) {
      const response = await harness.post(path, {});
      await expectRefusal(response, { status: 401, type: "unauthenticated" });
    }
    // The router decodes paths, so an encoded path must be checked too.
    for (
      const path of ["operator/status", "%6fperator/status", "%6Fperator/tree"]
    ) {
      const response = await fetch(`${harness.url}/${path}`);
      await expectRefusal(response, { status: 401, type: "unauthenticated" });
    }
    const encoded = await harness.post("/b%61ckends/leave", {});
    await expectRefusal(encoded, { status: 401, type: "unauthenticated" });
    const status = await fetch(`${harness.url}/operator/status`, {
      headers: { authorization: `Bearer ${operatorToken}` },
    });
    expect(status.status).toBe(200);
  });

  function sendRaw(text: string): Promise<string> {
    const { hostname, port } = new URL(harness.url);
    return new Promise((resolve, reject) => {
      const socket = connect(Number(port), hostname);
      let response = "";
      socket.setEncoding("utf8");
      socket.on("data", (part) => response += part);
      socket.on("close", () => resolve(response));
      socket.on("error", reject);
      socket.write(text);
    });
  }

  // Guards against incomplete requests that occupy memory indefinitely.
  test.each([
    ["head", requestHead.slice(0, 60)],
    ["body", `${requestHead}{"model":`],
  ])("request_timeout for a half-sent %s", async (_part, text) => {
    const response = await sendRaw(text);
    expect(response).toMatch(/^HTTP\/1\.1 408 /);
    expect(response).toContain("rhubarbstage-outcome: not_run");
    expect(response).toContain('"type":"request_timeout"');
  });

  // Guards against a crash on bytes that are not HTTP.
  test("invalid_request for bytes that are not HTTP", async () => {
    const response = await sendRaw("hello\r\n\r\n");
    expect(response).toMatch(/^HTTP\/1\.1 400 /);
    expect(response).toContain('"type":"invalid_request"');
  });
});

describe("memory limit of bodies", () => {
  // Guards against large bodies that together exhaust the memory. Unfinished
  // bodies reserve the memory, so no request timeout may end them.
  test("refuses a body that would exceed the total limit", async () => {
    const harness = await Harness.start({
      bodyLimit: 10_000,
      bufferedBodyLimit: 25_000,
    });
    const { hostname, port } = new URL(harness.url);
    const openSockets = [0, 1].map(() => {
      const socket = connect(Number(port), hostname);
      socket.on("error", () => {});
      socket.write(requestHead.replace("100", "10000"));
      return socket;
    });
    const large = { ...body, prompt: "x".repeat(6_000) };
    const small = { ...body, prompt: "x" };
    const errorTypeOf = async (sent: unknown) => {
      const response = await harness.post("/v1/completions", sent);
      const { error } = await response.json() as { error: { type: string } };
      return error.type;
    };
    await eventually(async () => await errorTypeOf(large) === "overloaded");
    expect(await errorTypeOf(small)).toBe("no_backend_server");
    for (const socket of openSockets) socket.destroy();
    await eventually(async () =>
      await errorTypeOf(large) === "no_backend_server"
    );
    await harness.close();
  });
});
