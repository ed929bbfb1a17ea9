import OpenAI from "openai";
import { type FakeEngineOptions, fakeText } from "@rhubarbstage/test-support";
import type { BackendServerId } from "rhubarbstage";
import { apiKey, EngineProcess, eventually, Harness } from "../harness.ts";
import { RetryingPolicy } from "../retrying_policy.ts";

const engineSpeed = { decodeTokensPerSecond: 2_000 };
const tokens = 60;

describe("interrupted streams", () => {
  let first: EngineProcess;
  let second: EngineProcess;
  let harness: Harness;
  let client: OpenAI;

  beforeEach(async () => {
    [first, second] = await Promise.all([
      EngineProcess.start({ id: "first", ...engineSpeed }),
      EngineProcess.start({ id: "second", ...engineSpeed }),
    ]);
    harness = await Harness.start({
      policy: new RetryingPolicy(),
      engineClient: { idleTimeout: 300 },
    });
    harness.addServer("first", first.url);
    harness.addServer("second", second.url);
    client = new OpenAI({
      apiKey,
      baseURL: `${harness.url}/v1`,
      maxRetries: 0,
    });
  });

  afterEach(async () => {
    await harness.close();
    await Promise.all([first.stop(), second.stop()]);
  });

  async function streamText(): Promise<string> {
    const stream = await client.completions.create({
      model: "small",
      prompt: "Once",
      max_tokens: tokens,
      stream: true,
    });
    let text = "";
    for await (const chunk of stream) text += chunk.choices[0]?.text ?? "";
    return text;
  }

  const faults: [string, Partial<FakeEngineOptions>][] = [
    ["breaks", { breakAtToken: 17 }],
    ["ends without its terminator", { endAtToken: 17 }],
    ["stalls", { stallAtToken: 17 }],
    ["breaks before its first token", { crashOnPrompt: "Once" }],
  ];

  // Guards against duplicated or missing tokens after a change of engine.
  test.each(faults)("resumes a stream that %s", async (_name, fault) => {
    await first.reconfigure(fault);
    expect(await streamText()).toBe(fakeText("Once", tokens));
    const { generations } = await second.records();
    expect(generations[0]?.resumeFrom).toBe(fault.crashOnPrompt ? 0 : 17);
  });

  // Guards against a stand-in that finishes a stream which it has broken.
  test("resumes a stream of an engine that needs one step for all tokens", async () => {
    await first.reconfigure({
      breakAtToken: 17,
      decodeTokensPerSecond: 2_000_000,
    });
    expect(await streamText()).toBe(fakeText("Once", tokens));
  });

  // Guards against complete responses with missing or duplicated tokens.
  test("resumes a response that is not streamed", async () => {
    await first.reconfigure({ breakAtToken: 17 });
    const response = await client.completions.create({
      model: "small",
      prompt: "Once",
      max_tokens: tokens,
    });
    expect(response.choices[0]?.text).toBe(fakeText("Once", tokens));
  });

  // Guards against a partial response that looks complete.
  test("ends with an error event when no engine can resume", async () => {
    await first.reconfigure({ endAtToken: 17 });
    await second.reconfigure({ endAtToken: 30 });
    const response = await harness.post("/v1/completions", {
      model: "small",
      prompt: "Once",
      max_tokens: tokens,
      stream: true,
    });
    const text = await response.text();
    expect(text).not.toContain("[DONE]");
    const last = text.trim().split("\n\n").at(-1) as string;
    const { error } = JSON.parse(last.slice("data: ".length));
    expect(error).toMatchObject({
      type: "stream_interrupted",
      outcome: "may_have_run",
    });
  });

  // Guards against a success status for a response without a token.
  test("returns an error status before the first token", async () => {
    await Promise.all(
      [first, second].map((engine) =>
        engine.reconfigure({ crashOnPrompt: "poison" })
      ),
    );
    const response = await harness.post("/v1/chat/completions", {
      model: "small",
      messages: [{ role: "user", content: "poison" }],
      stream: true,
    });
    expect(response.status).toBe(502);
    expect(response.headers.get("rhubarbstage-outcome")).toBe("may_have_run");
  });

  // Guards against a lost response when an engine is killed mid-stream.
  test("resumes the stream of a killed engine", async () => {
    await first.reconfigure({ slowdown: 20 });
    const text = streamText();
    await eventually(async () => {
      const { generations } = await first.records();
      return (generations[0]?.position ?? 0) > 2;
    });
    await first.stop();
    expect(await text).toBe(fakeText("Once", tokens));
  });
});

describe("disaggregated prefill and decode", () => {
  // Guards against computing a prompt twice.
  test("transfers the KV cache to the decode engine", async () => {
    const prefill = await EngineProcess.start({
      id: "prefill",
      ...engineSpeed,
    });
    const decode = await EngineProcess.start({ id: "decode", ...engineSpeed });
    const harness = await Harness.start({
      policy: new RetryingPolicy({
        prefillServer: "prefill" as BackendServerId,
      }),
    });
    harness.addServer("decode", decode.url);
    harness.servers.addresses.set("prefill" as BackendServerId, {
      id: "prefill" as BackendServerId,
      url: prefill.url,
    });
    const prompt = "Once ".repeat(800);
    const response = await harness.post("/v1/completions", {
      model: "small",
      prompt,
      max_tokens: 5,
    });
    const { choices } = await response.json() as OpenAI.Completion;
    const { generations } = await decode.records();
    await harness.close();
    await Promise.all([prefill.stop(), decode.stop()]);
    expect(choices[0]?.text).toBe(fakeText(prompt, 5));
    expect(generations[0]?.cachedTokens).toBe(1_000);
  });
});
