import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import {
  type BackendServerAddress,
  EngineClient,
  type GenerationRequest,
} from "@rhubarbstage/engine";
import { FakeEngine, type FakeEngineOptions } from "@rhubarbstage/test-support";
import type { AttemptId, BackendServerId, RequestId } from "rhubarbstage";

const id = "engine-1" as BackendServerId;

function generation(fields: Partial<GenerationRequest> = {}) {
  return {
    endpoint: "text",
    request: "request-1" as RequestId,
    attempt: "attempt-1" as AttemptId,
    body: { model: "small", prompt: "Once", max_tokens: 20 },
    priority: 0,
    resumeFrom: 0,
    created: 1,
    prefixes: [],
    ...fields,
  } as GenerationRequest;
}

describe("engine client", () => {
  let client: EngineClient;
  let engine: FakeEngine | undefined;
  let server: Server | undefined;

  beforeEach(() => {
    client = new EngineClient({ idleTimeout: 300, connectTimeout: 500 });
  });

  afterEach(async () => {
    await client.close();
    await engine?.close();
    await new Promise<void>((resolve) =>
      server ? server.close(() => resolve()) : resolve()
    );
    engine = undefined;
    server = undefined;
  });

  async function startEngine(options: Partial<FakeEngineOptions> = {}) {
    engine = new FakeEngine({ decodeTokensPerSecond: 1_000, ...options });
    return { id, url: await engine.listen() };
  }

  /** Server whose connections are answered by the test. */
  async function startServer(
    onData: (socket: Socket, data: string) => void,
  ): Promise<BackendServerAddress> {
    server = createServer((socket) => {
      socket.on("data", (data) => onData(socket, data.toString()));
      socket.on("error", () => {});
    });
    await new Promise<void>((resolve) =>
      server?.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    return { id, url: `http://127.0.0.1:${port}` };
  }

  async function run(address: BackendServerAddress, request = generation()) {
    const types: string[] = [];
    for await (const event of client.generate(address, request)) {
      types.push(event.type);
    }
    return types;
  }

  // Guards against retries of work that an engine may have started.
  test("reports that nothing was written to a closed port", async () => {
    const address = await startServer(() => {});
    await new Promise((resolve) => server?.close(resolve));
    server = undefined;
    await expect(run(address)).rejects.toMatchObject({
      kind: "backend_unreachable",
      outcome: "not_run",
      written: false,
      connectionLost: false,
    });
  });

  // Guards against automatic resends and "not run" once sent.
  test("sends once and reports a lost connection", async () => {
    let requests = 0;
    const address = await startServer((socket, data) => {
      if (data.startsWith("POST")) requests += 1;
      socket.destroy();
    });
    await expect(run(address)).rejects.toMatchObject({
      kind: "backend_failed",
      outcome: "may_have_run",
      written: true,
      connectionLost: true,
    });
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(requests).toBe(1);
  });

  // Guards against counting a silent engine as crashed.
  test("distinguishes an idle timeout from a lost connection", async () => {
    const address = await startServer(() => {});
    await expect(run(address)).rejects.toMatchObject({
      kind: "backend_failed",
      outcome: "may_have_run",
      connectionLost: false,
    });
  });

  // Guards against a resumed stream that starts again from the first token.
  test("refuses a stream that does not confirm its resume position", async () => {
    const address = await startServer((socket) =>
      socket.end(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n" +
          "id: 1\ndata: {}\n\n",
      )
    );
    await expect(run(address, generation({ resumeFrom: 4 }))).rejects
      .toMatchObject({ kind: "resume_failed" });
  });

  // Guards against refusals that lose their kind or outcome.
  test("passes on the kind and outcome of a refusal", async () => {
    const address = await startEngine();
    const body = { model: "big", prompt: "Once" };
    await expect(run(address, generation({ body }))).rejects.toMatchObject({
      kind: "unknown_model",
      outcome: "not_run",
    });
  });

  // Guards against generation that continues after its caller has left.
  test.each(["abort", "return", "cancel"])("cancels by %s", async (way) => {
    const address = await startEngine({ decodeTokensPerSecond: 50 });
    const abort = new AbortController();
    const request = generation({
      body: { model: "small", prompt: "Once", max_tokens: 1_000 },
    });
    const events = client.generate(address, request, { signal: abort.signal });
    await events.next();
    if (way === "return") await events.return();
    if (way === "abort") {
      abort.abort(new Error("No longer wanted"));
      await expect(events.next()).rejects.toThrow("No longer wanted");
    }
    if (way === "cancel") {
      await client.cancel(address, request);
      await expect(async () => {
        while (!(await events.next()).done);
      }).rejects.toMatchObject({ kind: "stream_interrupted" });
    }
    const end = Date.now() + 2_000;
    while (engine?.records.generations[0]?.end === "running") {
      if (Date.now() > end) break;
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(engine?.records.generations[0]?.end).toBe("cancelled");
  });

  // Guards against a status that loses or alters fields.
  test("reads the status", async () => {
    const address = await startEngine({ checksFencing: false });
    expect(await client.status(address)).toMatchObject({
      id: "engine-1",
      incarnation: engine?.incarnation,
      fencing: "ignored",
      state: "serving",
      load: { runningRequests: 0 },
    });
  });
});
