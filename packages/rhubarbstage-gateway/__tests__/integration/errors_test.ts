import { connect } from "node:net";
import {
  EngineProcess,
  eventually,
  Harness,
  operatorToken,
} from "../harness.ts";

const body = { model: "small", prompt: "Once", max_tokens: 2 };

const head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\n" +
  "authorization: Bearer key-of-padana\r\n" +
  "content-type: application/json\r\ncontent-length: 100\r\n\r\n";

describe("refusals", () => {
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
    const answer = await harness.post("/v1/completions", body);
    // Guards against a process that stops serving after a bad request.
    expect(answer.status).toBe(200);
  });

  async function expectRefusal(
    answer: Response,
    expected: { status: number; type: string },
  ) {
    const { error } = await answer.json() as { error: { type: string } };
    expect({ status: answer.status, type: error.type }).toEqual(expected);
    expect(answer.headers.get("rhubarbstage-outcome")).toBe("not_run");
    expect(error).toMatchObject({
      outcome: "not_run",
      message: expect.any(String),
      request_id: expect.any(String),
    });
  }

  const cases: [string, string, unknown, Record<string, string>, number][] = [
    ["unauthenticated", "completions", body, { authorization: "" }, 401],
    ["unauthenticated", "chat/completions", body, {
      authorization: "Bearer unknown",
    }, 401],
    ["invalid_request", "completions", '{"model":', {}, 400],
    ["invalid_request", "completions", "[]", {}, 400],
    ["invalid_request", "completions", { ...body, n: 2 }, {}, 400],
    ["invalid_request", "completions", { ...body, max_tokens: -1 }, {}, 400],
    ["invalid_request", "chat/completions", { model: "small" }, {}, 400],
    ["invalid_request", "completions", body, {
      "rhubarbstage-timeout-ms": "soon",
    }, 400],
    ["unsupported_media_type", "completions", body, {
      "content-type": "text/plain",
    }, 415],
    ["body_too_large", "completions", "x".repeat(10_001), {}, 413],
    ["unknown_model", "completions", { ...body, model: "big" }, {}, 404],
    ["not_found", "embeddings", body, {}, 404],
    ["invalid_request", "%zz", body, {}, 400],
  ];

  // Guards against errors outside the closed list and untrue outcomes.
  test.each(cases)("%s for %s", async (type, path, sent, headers, status) => {
    const answer = await harness.post(`/v1/${path}`, sent, headers);
    await expectRefusal(answer, { status, type });
  });

  // Guards against bodies without a declared length that grow past the limit.
  test("body_too_large for a chunked body", async () => {
    const answer = await fetch(`${harness.url}/v1/completions`, {
      method: "POST",
      headers: {
        authorization: "Bearer key-of-padana",
        "content-type": "application/json",
      },
      body: new Blob(["x".repeat(10_001)]).stream(),
      duplex: "half",
    } as RequestInit);
    await expectRefusal(answer, { status: 413, type: "body_too_large" });
  });

  // Guards against new work after the start of a shutdown.
  test("shutting_down when the host accepts no work", async () => {
    harness.readiness.accepts = false;
    const answer = await harness.post("/v1/completions", body);
    await expectRefusal(answer, { status: 503, type: "shutting_down" });
    expect(answer.headers.get("retry-after")).toBe("1");
  });

  // Guards against an isolated host that serves what the tree forbids.
  test("isolated where the tree says so", async () => {
    const { settings } = harness.settings;
    harness.settings.settings = {
      ...settings,
      isolated: true,
      whenIsolated: "refuse",
    };
    const answer = await harness.post("/v1/completions", body);
    harness.settings.settings = settings;
    await expectRefusal(answer, { status: 503, type: "isolated" });
  });

  // Guards against a body limit of the tree that has no effect.
  test("body_too_large where the tree says so", async () => {
    const { settings } = harness.settings;
    harness.settings.settings = { ...settings, bodyLimit: 10 };
    const paths = ["/v1/completions", "/services/ledger/usage"];
    const answers = await Promise.all(
      paths.map((path) => harness.post(path, body)),
    );
    harness.settings.settings = settings;
    for (const answer of answers) {
      await expectRefusal(answer, { status: 413, type: "body_too_large" });
    }
  });

  // Guards against operator rights for callers.
  test("unauthenticated for operators and backend servers", async () => {
    for (const path of ["/operator/tree/edits", "/backends/announce"]) {
      const answer = await harness.post(path, {});
      await expectRefusal(answer, { status: 401, type: "unauthenticated" });
    }
    // The router decodes paths, so an encoded one must not pass unchecked.
    for (
      const path of ["operator/status", "%6fperator/status", "%6Fperator/tree"]
    ) {
      const answer = await fetch(`${harness.url}/${path}`);
      await expectRefusal(answer, { status: 401, type: "unauthenticated" });
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
      let answer = "";
      socket.setEncoding("utf8");
      socket.on("data", (part) => answer += part);
      socket.on("close", () => resolve(answer));
      socket.on("error", reject);
      socket.write(text);
    });
  }

  // Guards against connections that hold memory without ever completing.
  test.each([
    ["head", head.slice(0, 60)],
    ["body", `${head}{"model":`],
  ])("request_timeout for a half-sent %s", async (_part, text) => {
    const answer = await sendRaw(text);
    expect(answer).toMatch(/^HTTP\/1\.1 408 /);
    expect(answer).toContain("rhubarbstage-outcome: not_run");
    expect(answer).toContain('"type":"request_timeout"');
  });

  // Guards against a crash on bytes that are not HTTP.
  test("invalid_request for bytes that are not HTTP", async () => {
    const answer = await sendRaw("hello\r\n\r\n");
    expect(answer).toMatch(/^HTTP\/1\.1 400 /);
    expect(answer).toContain('"type":"invalid_request"');
  });
});

describe("memory of bodies", () => {
  // Guards against many large bodies that exhaust the memory together. The
  // bodies are held open, so no request timeout may end them.
  test("refuses a body beyond the memory set aside", async () => {
    const harness = await Harness.start({
      bodyLimit: 10_000,
      bufferedBodyLimit: 25_000,
    });
    const { hostname, port } = new URL(harness.url);
    const held = [0, 1].map(() => {
      const socket = connect(Number(port), hostname);
      socket.on("error", () => {});
      socket.write(head.replace("100", "10000"));
      return socket;
    });
    const large = { ...body, prompt: "x".repeat(6_000) };
    const small = { ...body, prompt: "x" };
    const typeOf = async (sent: unknown) => {
      const answer = await harness.post("/v1/completions", sent);
      const { error } = await answer.json() as { error: { type: string } };
      return error.type;
    };
    await eventually(async () => await typeOf(large) === "overloaded");
    expect(await typeOf(small)).toBe("no_backend_server");
    for (const socket of held) socket.destroy();
    await eventually(async () => await typeOf(large) === "no_backend_server");
    await harness.close();
  });
});
