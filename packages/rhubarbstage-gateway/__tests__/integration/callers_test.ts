import { connect } from "node:net";
import { EngineProcess, eventually, Harness } from "../harness.ts";

describe("callers that disconnect or read slowly", () => {
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

  // Guards against engines that keep generating for disconnected callers.
  test("cancels the engine's stream when the caller disconnects", async () => {
    const abort = new AbortController();
    await engine.reconfigure({ decodeTokensPerSecond: 50 });
    const response = await fetch(`${harness.url}/v1/completions`, {
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
    await response.body?.getReader().read();
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

  // Guards against a shutdown that closes the connection of a slow caller.
  test("keeps a request open until a slow caller has read it all", async () => {
    const size = 20_000_000;
    harness.services.send = () =>
      Promise.resolve({
        status: 200,
        headers: {},
        body: Buffer.alloc(size),
        replayed: false,
      });
    const response = await harness.post("/services/ledger/statement", "{}");
    expect(harness.gateway.openRequests).toHaveLength(1);
    const closed = harness.gateway.waitUntilIdle().then(() =>
      harness.gateway.close()
    );
    const { byteLength } = await response.arrayBuffer();
    await closed;
    expect(byteLength).toBe(size);
  });

  // Guards against unbounded buffering for a caller that reads nothing.
  test("propagates backpressure to the engine", async () => {
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
      const current = await position();
      const isStalled = current > 0 && current === last;
      last = current;
      return isStalled;
    });
    expect(last).toBeLessThan(tokens / 2);
    // A caller that never reads is disconnected, which frees its engine slot.
    await eventually(() => harness.telemetry.ended.length === 1);
    socket.destroy();
    expect(harness.telemetry.ended[0]?.result).toBe("caller_gone");
  });
});
