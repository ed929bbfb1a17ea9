import OpenAI from "openai";
import { fakeChatPrompt, fakeText } from "@rhubarbstage/test-support";
import { apiKey, EngineProcess, Harness } from "../harness.ts";

const messages = [{ role: "user" as const, content: "What does water cost?" }];
const prompt = fakeChatPrompt(messages);

describe("completions with the openai client", () => {
  let harness: Harness;
  let engine: EngineProcess;
  let client: OpenAI;

  beforeAll(async () => {
    engine = await EngineProcess.start({ decodeTokensPerSecond: 500 });
    harness = await Harness.start();
    harness.addServer(engine.id, engine.url);
    client = new OpenAI({
      apiKey,
      baseURL: `${harness.url}/v1`,
      maxRetries: 0,
    });
  });

  afterAll(async () => {
    await harness.close();
    await engine.stop();
  });

  // Guards against lost, duplicated or reordered tokens in a stream.
  test("streams each token of a chat once", async () => {
    const stream = await client.chat.completions.create({
      model: "small",
      messages,
      max_tokens: 40,
      stream: true,
      stream_options: { include_usage: true },
    });
    let text = "";
    let usage;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? "";
      usage = chunk.usage ?? usage;
    }
    expect(text).toBe(fakeText(prompt, 40));
    expect(usage?.completion_tokens).toBe(40);
  });

  // Guards against a complete response that differs from the streamed one.
  test("returns complete chat and text responses", async () => {
    const chat = await client.chat.completions.create({
      model: "small",
      messages,
      max_tokens: 12,
    });
    const text = await client.completions.create({
      model: "small",
      prompt: "Once",
      max_tokens: 7,
    });
    expect(chat.choices[0]?.message.content).toBe(fakeText(prompt, 12));
    expect(chat.choices[0]?.finish_reason).toBe("length");
    expect(chat.usage?.completion_tokens).toBe(12);
    expect(text.choices[0]?.text).toBe(fakeText("Once", 7));
  });

  // Guards against errors that clients cannot distinguish.
  test("maps error responses to the client's error types", async () => {
    const unauthenticatedClient = new OpenAI({
      apiKey: "unknown",
      baseURL: `${harness.url}/v1`,
      maxRetries: 0,
    });
    const request = { model: "big", messages };
    await expect(unauthenticatedClient.chat.completions.create(request)).rejects
      .toBeInstanceOf(OpenAI.AuthenticationError);
    await expect(client.chat.completions.create(request)).rejects
      .toMatchObject({ status: 404, type: "unknown_model" });
  });

  // Guards against a model list that clients cannot read.
  test("lists and retrieves models", async () => {
    const models = await client.models.list();
    expect(models.data.map(({ id }) => id)).toEqual(["small"]);
    expect((await client.models.retrieve("small")).id).toBe("small");
  });
});
