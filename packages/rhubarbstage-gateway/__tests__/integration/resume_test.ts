import OpenAI from "openai";
import { type FakeEngineOptions, fakeText } from "@rhubarbstage/test-support";
import type { BackendServerId } from "rhubarbstage";
import { apiKey, EngineProcess, eventually, Harness } from "../harness.ts";
import { RetryingPolicy } from "../retrying_policy.ts";

const speed = { decodeTokensPerSecond: 2_000 };
const tokens = 60;

describe("interrupted streams", () => {
  let first: EngineProcess;
  let second: EngineProcess;
  let harness: Harness;
  let client: OpenAI;

  beforeEach(async () => {
    [first, second] = await Promise.all([
      EngineProcess.start({ id: "first", ...speed }),
      EngineProcess.start({ id: "second", ...speed }),
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
    ["falls silent", { stallAtToken: 17 }],
    ["breaks before its first token", { crashOnPrompt: "Once" }],
  ];

  // Guards against tokens sent twice or missing after a change of engine.
  test.each(faults)("resumes a stream that %s", async (_name, fault) => {
    await first.switch(fault);
    expect(await streamText()).toBe(fakeText("Once", tokens));
    const { generations } = await second.records();
    expect(generations[0]?.resumeFrom).toBe(fault.crashOnPrompt ? 0 : 17);
  });

  // Guards against whole answers with a gap or a doubled part.
  test("resumes a whole answer", async () => {
    await first.switch({ breakAtToken: 17 });
    const answer = await client.completions.create({
      model: "small",
      prompt: "Once",
      max_tokens: tokens,
    });
    expect(answer.choices[0]?.text).toBe(fakeText("Once", tokens));
  });

  // Guards against a partial answer that looks complete.
  test("ends with an error event when no engine can resume", async () => {
    await first.switch({ endAtToken: 17 });
    await second.switch({ endAtToken: 30 });
    const answer = await harness.post("/v1/completions", {
      model: "small",
      prompt: "Once",
      max_tokens: tokens,
      stream: true,
    });
    const text = await answer.text();
    expect(text).not.toContain("[DONE]");
    const last = text.trim().split("\n\n").at(-1) as string;
    const { error } = JSON.parse(last.slice("data: ".length));
    expect(error).toMatchObject({
      type: "stream_interrupted",
      outcome: "may_have_run",
    });
  });

  // Guards against a status of success for an answer without a token.
  test("refuses with a status before the first token", async () => {
    await Promise.all(
      [first, second].map((engine) =>
        engine.switch({ crashOnPrompt: "poison" })
      ),
    );
    const answer = await harness.post("/v1/chat/completions", {
      model: "small",
      messages: [{ role: "user", content: "poison" }],
      stream: true,
    });
    expect(answer.status).toBe(502);
    expect(answer.headers.get("rhubarbstage-outcome")).toBe("may_have_run");
  });

  // Guards against a lost answer when an engine dies in the middle.
  test("survives an engine that is killed", async () => {
    await first.switch({ slowdown: 20 });
    const text = streamText();
    await eventually(async () => {
      const { generations } = await first.records();
      return (generations[0]?.position ?? 0) > 2;
    });
    await first.stop();
    expect(await text).toBe(fakeText("Once", tokens));
  });
});

describe("split prefill and decode", () => {
  // Guards against a prompt that is computed twice.
  test("moves the KV cache to the engine that decodes", async () => {
    const prefill = await EngineProcess.start({ id: "prefill", ...speed });
    const decode = await EngineProcess.start({ id: "decode", ...speed });
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
    const answer = await harness.post("/v1/completions", {
      model: "small",
      prompt,
      max_tokens: 5,
    });
    const { choices } = await answer.json() as OpenAI.Completion;
    const { generations } = await decode.records();
    await harness.close();
    await Promise.all([prefill.stop(), decode.stop()]);
    expect(choices[0]?.text).toBe(fakeText(prompt, 5));
    expect(generations[0]?.cachedTokens).toBe(1_000);
  });
});
