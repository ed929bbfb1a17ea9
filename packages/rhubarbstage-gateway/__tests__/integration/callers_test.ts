import { connect } from "node:net";
import { EngineProcess, eventually, Harness } from "../harness.ts";

describe("callers that leave or fall behind", () => {
  let harness: Harness;
  let engine: EngineProcess;

  beforeEach(async () => {
    engine = await EngineProcess.start({ decodeTokensPerSecond: 200_000 });
    harness = await Harness.start({ callerStallTimeout: 1_000 });
    harness.addServer(engine.id, engine.url);
  });

  afterEach(async () => {
    await harness.close();
    await engine.stop();
  });

  const tokens = 300_000;

  async function position(): Promise<number> {
    const { generations } = await engine.records();
    return generations[0]?.position ?? 0;
  }

  // Guards against engines that work for callers who have gone.
  test("a disconnect cancels the engine's stream", async () => {
    const abort = new AbortController();
    await engine.switch({ decodeTokensPerSecond: 50 });
    const answer = await fetch(`${harness.url}/v1/completions`, {
      method: "POST",
      headers: {
        authorization: "Bearer key-of-padana",
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: "small",
        prompt: "Once",
        max_tokens: tokens,
        stream: true,
      }),
      signal: abort.signal,
    });
    await answer.body?.getReader().read();
    abort.abort();
    await eventually(async () => {
      const { generations } = await engine.records();
      return generations[0]?.end === "cancelled";
    });
    await eventually(() => harness.telemetry.ended.length === 1);
    expect(harness.telemetry.ended[0]?.result).toBe("caller_gone");
    expect(harness.gateway.openRequests).toEqual([]);
    expect(harness.dispatcher.requests).toEqual([]);
  });

  // Guards against a shutdown that cuts off a caller who reads slowly.
  test("stays open until a slow caller has its answer", async () => {
    const size = 20_000_000;
    harness.services.send = () =>
      Promise.resolve({
        status: 200,
        headers: {},
        body: Buffer.alloc(size),
        replayed: false,
      });
    const answer = await harness.post("/services/ledger/statement", "{}");
    expect(harness.gateway.openRequests).toHaveLength(1);
    const closed = harness.gateway.waitUntilIdle().then(() =>
      harness.gateway.close()
    );
    const { byteLength } = await answer.arrayBuffer();
    await closed;
    expect(byteLength).toBe(size);
  });

  // Guards against unbounded buffers for a caller that reads nothing.
  test("back-pressure reaches the engine", async () => {
    const { hostname, port } = new URL(harness.url);
    const body = JSON.stringify({
      model: "small",
      prompt: "Once",
      max_tokens: tokens,
      stream: true,
    });
    const socket = connect(Number(port), hostname);
    socket.on("error", () => {});
    socket.write(
      "POST /v1/completions HTTP/1.1\r\nhost: a\r\n" +
        "authorization: Bearer key-of-padana\r\n" +
        "content-type: application/json\r\n" +
        `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
    let last = -1;
    await eventually(async () => {
      await new Promise((resolve) => setTimeout(resolve, 100));
      const now = await position();
      const stands = now > 0 && now === last;
      last = now;
      return stands;
    });
    expect(last).toBeLessThan(tokens / 2);
    // A caller that never reads does not hold its engine slot for ever.
    await eventually(() => harness.telemetry.ended.length === 1);
    socket.destroy();
    expect(harness.telemetry.ended[0]?.result).toBe("caller_gone");
  });
});
