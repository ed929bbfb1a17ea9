import {
  FakeEngine,
  type FakeEngineOptions,
  fakeText,
} from "@rhubarbstage/test-support";
import { FakeBatch, type FakeSequence } from "../../src/fake_engine_batch.ts";

describe("fake batch", () => {
  function sequence(limit: number): FakeSequence {
    return {
      priority: 0,
      prefillTokens: 100,
      position: 0,
      limit,
      blocked: () => false,
      onStart: () => {},
      onPrefilled: () => {},
      onTokens: () => {},
      onFinish: () => {},
    };
  }

  // Guards against an engine whose speed ignores its batch size. Five sequences
  // share the prefill rate and double the time per step.
  test("slows down as its batch grows", () => {
    const speed = {
      prefillTokensPerSecond: 1_000,
      decodeTokensPerSecond: 100,
      batchSlowdown: 0.25,
    };
    const positions = [1, 5].map((size) => {
      const batch = new FakeBatch(8);
      const sequences = Array.from({ length: size }, () => sequence(1_000));
      for (const added of sequences) batch.add(added);
      for (let step = 0; step < 200; step++) batch.step(10, speed);
      return sequences[0]?.position;
    });
    // 1.9 s of decoding at 100 tokens/s, and 1 s at 50, after the first token.
    expect(positions[0]).toBeGreaterThan(185);
    expect(positions[0]).toBeLessThan(195);
    expect(positions[1]).toBeGreaterThan(47);
    expect(positions[1]).toBeLessThan(55);
  });

  // Guards against a queue that ignores priorities.
  test("starts waiting sequences by priority, then by arrival", () => {
    const batch = new FakeBatch(1);
    const started: string[] = [];
    for (const name of ["0 a", "1 b", "5 c", "1 d"]) {
      const priority = Number(name[0]);
      const onStart = () => started.push(name);
      batch.add({ ...sequence(1), priority, onStart });
    }
    const speed = {
      prefillTokensPerSecond: 1e6,
      decodeTokensPerSecond: 1e6,
      batchSlowdown: 0,
    };
    while (batch.running > 0) batch.step(10, speed);
    expect(started).toEqual(["0 a", "5 c", "1 b", "1 d"]);
  });

  // Guards against more running sequences than slots.
  test("runs no more sequences than it has slots", () => {
    const batch = new FakeBatch(2);
    for (let count = 0; count < 5; count++) batch.add(sequence(1));
    expect([batch.running, batch.waiting]).toEqual([2, 3]);
  });
});

describe("fake engine", () => {
  let engine: FakeEngine;
  let url: string;

  async function start(options: Partial<FakeEngineOptions> = {}) {
    engine = new FakeEngine({ decodeTokensPerSecond: 400, ...options });
    url = await engine.listen();
  }

  afterEach(() => engine.close());

  async function post(path: string, body: Record<string, unknown>) {
    return await fetch(`${url}${path}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    });
  }

  function generate(fields: Record<string, unknown> = {}) {
    return post("/v1/completions", {
      model: "small",
      prompt: "Once",
      max_tokens: 20,
      ...fields,
    });
  }

  // Guards against a slowdown without effect on decoding. 20 tokens at 400
  // tokens/s take 47 ms or more, and five times as long when slowed down.
  test("slows down by the configured factor", async () => {
    await start();
    await post("/test/switch", { slowdown: 5 });
    const begin = performance.now();
    await (await generate()).text();
    expect(performance.now() - begin).toBeGreaterThan(200);
  });

  // Guards against a prefix cache that grows without bound.
  test("evicts prompt prefixes above the cache limit", async () => {
    await start({ cacheBlocks: 2 });
    const prompt = "x".repeat(8_000);
    const run = async (...prefixes: string[]) =>
      await (await generate({ prompt, prefixes, max_tokens: 1 })).text();
    await run("a", "b");
    await run("a", "b");
    await run("c", "d");
    await run("a", "b");
    const cached = engine.records.generations.map((run) => run.cachedTokens);
    expect(cached).toEqual([0, 2_000, 0, 0]);
  });

  // Guards against role changes that cost no time, and against interrupted
  // streams that the order record does not count.
  test("refuses requests while it changes its role", async () => {
    await start({ roleChangeTime: 150, checksFencing: false });
    const running = generate({ max_tokens: 10_000 });
    await running;
    const order = post("/v1/orders", {
      order_id: "o1",
      kind: "set_role",
      argument: "decode",
      fencing_number: 1,
    });
    while (engine.records.orders.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    const refused = await generate();
    expect(refused.status).toBe(503);
    expect(refused.headers.get("rhubarbstage-outcome")).toBe("not_run");
    await order;
    expect((await generate()).status).toBe(200);
    expect(engine.records.orders).toMatchObject([
      { result: "done", interruptedStreams: 1 },
    ]);
  });

  // Guards against an engine that survives the prompt it must crash on.
  test("crashes on a prompt that contains the configured text", async () => {
    const crash = jest.fn();
    engine = new FakeEngine({ crashOnPrompt: "poison" }, crash);
    url = await engine.listen();
    await (await generate()).text();
    expect(crash).not.toHaveBeenCalled();
    await (await generate({ prompt: "a poison pill" })).text();
    expect(crash).toHaveBeenCalledTimes(1);
  });

  // Guards against answers that are not a function of prompt and position.
  test("resumes an answer with the same text", async () => {
    await start();
    const answer = await (await generate({ resume_from: 15 })).text();
    const texts = answer.split("\n").filter((line) =>
      line.startsWith("data: {")
    )
      .map((line) => JSON.parse(line.slice(6)).choices[0]?.text ?? "");
    expect(fakeText("Once", 15) + texts.join("")).toBe(fakeText("Once", 20));
  });
});
