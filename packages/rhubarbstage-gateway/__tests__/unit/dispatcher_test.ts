import {
  EngineClient,
  EngineError,
  type GenerationEvent,
  type GenerationRequest,
  tokenChunks,
} from "@rhubarbstage/engine";
import {
  Policy,
  type PolicyEffect,
  type PolicyEvent,
} from "@rhubarbstage/policy";
import type { AttemptId, BackendServerId, RequestId } from "rhubarbstage";
import { type Generation, GenerationSink } from "@rhubarbstage/gateway";
import { FixedSettings, Harness } from "../harness.ts";

const request = "request-1" as RequestId;

/** Carries out what the test tells it and records the events. */
class ScriptedPolicy extends Policy<null> {
  readonly events: PolicyEvent[] = [];
  effects: PolicyEffect[] = [];
  override initial() {
    return null;
  }
  override reduce(_state: null, event: PolicyEvent): readonly PolicyEffect[] {
    if (event.type !== "tick") this.events.push(event);
    return this.effects.splice(0);
  }
}

/** Yields what the test gives to each attempt and ignores cancellation. */
class ScriptedEngines extends EngineClient {
  readonly requests = new Map<string, GenerationRequest>();
  #queues = new Map<string, (GenerationEvent | Error)[]>();
  #wake = new Map<string, () => void>();

  give(attempt: string, ...events: (GenerationEvent | Error)[]): Promise<void> {
    this.#queue(attempt).push(...events);
    this.#wake.get(attempt)?.();
    return new Promise((resolve) => setTimeout(resolve, 5));
  }

  override async *generate(
    _address: unknown,
    generation: GenerationRequest,
  ): AsyncGenerator<GenerationEvent, void, void> {
    const { attempt } = generation;
    this.requests.set(attempt, generation);
    while (true) {
      const event = this.#queue(attempt).shift();
      if (event instanceof Error) throw event;
      if (event) yield event;
      else await new Promise<void>((wake) => this.#wake.set(attempt, wake));
    }
  }

  #queue(attempt: string) {
    const queue = this.#queues.get(attempt) ?? [];
    this.#queues.set(attempt, queue);
    return queue;
  }
}

class TextSink extends GenerationSink {
  text = "";
  finished = false;
  override accept(event: GenerationEvent): undefined {
    if (event.type === "tokens") {
      this.text += tokenChunks(event.bytes).join("");
    }
    if (event.type === "part") this.text += event.data;
  }
  override finish() {
    this.finished = true;
  }
}

function tokens(from: number, ...data: string[]): GenerationEvent {
  const events = data.map((data, index) =>
    `id: ${from + index + 1}\ndata: ${data}\n\n`
  );
  const bytes = Buffer.from(events.join(""));
  return { type: "tokens", from, to: from + data.length, bytes };
}

function part(position: number, data: string): GenerationEvent {
  return { type: "part", position, data };
}

function finished(position: number): GenerationEvent {
  return { type: "finished", position, promptTokens: 1, outputTokens: 2 };
}

function dispatch(attempt: string, server = "one"): PolicyEffect {
  return {
    type: "dispatch",
    request,
    attempt: attempt as AttemptId,
    server: server as BackendServerId,
    priority: 0,
    resumeFrom: 0,
  };
}

const generation = {
  endpoint: "text",
  body: { model: "small" },
  created: 1,
  work: {
    request,
    repeatable: true,
    prefixHashes: [],
    arrivedAt: 0,
    settings: new FixedSettings().settings.work,
  },
} as unknown as Generation;

describe("dispatcher", () => {
  let policy: ScriptedPolicy;
  let engines: ScriptedEngines;
  let harness: Harness;
  let sink: TextSink;
  let abort: AbortController;

  beforeEach(() => {
    policy = new ScriptedPolicy();
    engines = new ScriptedEngines();
    harness = new Harness({ policy, engines });
    sink = new TextSink();
    abort = new AbortController();
    for (const server of ["one", "two"]) harness.addServer(server, "http://a");
  });

  afterEach(() => engines.close());

  function generate(...effects: PolicyEffect[]) {
    policy.effects = effects;
    return harness.dispatcher.generate(generation, sink, {
      signal: abort.signal,
    });
  }

  function act(...effects: PolicyEffect[]): void {
    policy.effects = effects;
    harness.dispatcher.notify({ type: "tick" });
  }

  // Guards against tokens of a cancelled attempt in the caller's answer.
  test("drops late events of a cancelled attempt", async () => {
    const result = generate(dispatch("a"));
    await engines.give("a", part(0, "role "), tokens(0, "x"));
    act(
      { type: "cancel", request, attempt: "a" as AttemptId, reason: "moved" },
      dispatch("b", "two"),
    );
    await engines.give("a", tokens(1, "LATE"), finished(2));
    await engines.give("b", tokens(1, "y"), finished(2));
    await result;
    expect(sink.text).toBe("role xy");
    expect(engines.requests.get("b")?.resumeFrom).toBe(1);
    const ended = policy.events.filter(({ type }) => type === "finished");
    expect(ended).toMatchObject([{ attempt: "b", outputTokens: 2 }]);
  });

  // Guards against two attempts side by side that both reach the caller.
  test("keeps the faster of two attempts", async () => {
    const result = generate(dispatch("a"), dispatch("b", "two"));
    await engines.give("a", part(0, "role "));
    await engines.give("b", part(0, "role "), tokens(0, "x"));
    await engines.give("a", tokens(0, "x", "y"), finished(2));
    await engines.give("b", tokens(1, "y"), finished(2));
    await result;
    expect(sink.text).toBe("role xy");
  });

  // Guards against an engine that continues at the wrong token.
  test("refuses tokens that leave a gap", async () => {
    void generate(dispatch("a"));
    await engines.give("a", tokens(1, "y"));
    expect(policy.events.at(-1)).toMatchObject({
      type: "failed",
      kind: "resume_failed",
      deliveredTokens: 0,
    });
    expect(sink.text).toBe("");
  });

  // Guards against wrong evidence for retries and quarantine.
  test("tells the policy how an attempt failed", async () => {
    const result = generate(dispatch("a"));
    await engines.give(
      "a",
      tokens(0, "x"),
      new EngineError("stream_interrupted", {
        written: true,
        connectionLost: true,
      }),
    );
    expect(policy.events.at(-1)).toMatchObject({
      type: "failed",
      attempt: "a",
      outcome: "may_have_run",
      deliveredTokens: 1,
      connectionLost: true,
    });
    expect(harness.telemetry.events).toMatchObject([
      ["attempt_started", { request, attempt: "a", server: "one" }],
      ["attempt_failed", { request, attempt: "a", server: "one" }],
    ]);
    act({
      type: "refuse",
      request,
      kind: "stream_interrupted",
      outcome: "may_have_run",
    });
    await expect(result).rejects.toMatchObject({ kind: "stream_interrupted" });
  });

  // Guards against an untrue "not run" after an attempt that was started.
  test.each([
    ["cancelled", "may_have_run"],
    ["refused by the engine", "not_run"],
  ])("tells the outcome after an attempt was %s", async (how, outcome) => {
    const result = generate(dispatch("a"));
    const refusal: PolicyEffect = {
      type: "refuse",
      request,
      kind: "overloaded",
      outcome: "not_run",
    };
    if (how !== "cancelled") {
      await engines.give("a", new EngineError("overloaded", { written: true }));
    }
    act(refusal);
    await expect(result).rejects.toMatchObject({ kind: "overloaded", outcome });
  });

  // Guards against a fault of the policy that stops the host or leaves a
  // request hanging.
  test("survives a fault of the policy", async () => {
    jest.spyOn(policy, "reduce").mockImplementationOnce(() => {
      throw new Error("Fault");
    });
    await expect(generate()).rejects.toMatchObject({ kind: "internal" });
    expect(harness.telemetry.events[0]?.[0]).toBe("policy_failed");
    const result = generate(dispatch("a"));
    await engines.give("a", tokens(0, "x"), finished(1));
    expect(await result).toMatchObject({ outputTokens: 2 });
  });

  // Guards against an unknown server that leaves its request hanging.
  test("reports a server without an address as not run", () => {
    void generate(dispatch("a", "unknown"));
    expect(policy.events.at(-1)).toMatchObject({
      type: "failed",
      kind: "backend_unreachable",
      outcome: "not_run",
    });
  });

  // Guards against top-ups that are cut off because their caller left.
  test("lets unsafe calls run when the caller leaves", async () => {
    policy.effects = [dispatch("a")];
    let answer!: (value: never) => void;
    const result = harness.dispatcher.callService(
      { ...generation.work, repeatable: false },
      ({ signal }) =>
        new Promise((resolve, reject) => {
          answer = resolve;
          signal.addEventListener("abort", () => reject(signal.reason));
        }),
      { signal: abort.signal },
    );
    abort.abort();
    answer("done" as never);
    expect(await result).toBe("done");
    expect(policy.events.map(({ type }) => type)).not.toContain("caller_gone");
  });

  // Guards against work that stays with the policy after its caller left.
  test("tells the policy of callers that leave", async () => {
    const result = generate(dispatch("a"));
    abort.abort();
    await expect(result).rejects.toThrow("caller closed");
    expect(policy.events.at(-1)).toMatchObject({
      type: "caller_gone",
      request,
    });
  });
});
