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

/** Returns the effects set by the test and records the events. */
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

/** Yields the events emitted by the test and ignores cancellation. */
class ScriptedEngines extends EngineClient {
  readonly requests = new Map<string, GenerationRequest>();
  #queues = new Map<string, (GenerationEvent | Error)[]>();
  #wakeUps = new Map<string, () => void>();

  emit(attempt: string, ...events: (GenerationEvent | Error)[]): Promise<void> {
    this.#queue(attempt).push(...events);
    this.#wakeUps.get(attempt)?.();
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
      else await new Promise<void>((wake) => this.#wakeUps.set(attempt, wake));
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

  function applyEffects(...effects: PolicyEffect[]): void {
    policy.effects = effects;
    harness.dispatcher.notify({ type: "tick" });
  }

  // Guards against tokens of a cancelled attempt in the caller's response.
  test("drops late events of a cancelled attempt", async () => {
    const result = generate(dispatch("a"));
    await engines.emit("a", part(0, "role "), tokens(0, "x"));
    applyEffects(
      { type: "cancel", request, attempt: "a" as AttemptId, reason: "moved" },
      dispatch("b", "two"),
    );
    await engines.emit("a", tokens(1, "LATE"), finished(2));
    await engines.emit("b", tokens(1, "y"), finished(2));
    await result;
    expect(sink.text).toBe("role xy");
    expect(engines.requests.get("b")?.resumeFrom).toBe(1);
    const ended = policy.events.filter(({ type }) => type === "finished");
    expect(ended).toMatchObject([{ attempt: "b", outputTokens: 2 }]);
  });

  // Guards against tokens of two concurrent attempts in one response.
  test("keeps the faster of two concurrent attempts", async () => {
    const result = generate(dispatch("a"), dispatch("b", "two"));
    await engines.emit("a", part(0, "role "));
    await engines.emit("b", part(0, "role "), tokens(0, "x"));
    await engines.emit("a", tokens(0, "x", "y"), finished(2));
    await engines.emit("b", tokens(1, "y"), finished(2));
    await result;
    expect(sink.text).toBe("role xy");
  });

  // Guards against an engine that resumes at the wrong token.
  test("fails an attempt whose tokens leave a gap", async () => {
    void generate(dispatch("a"));
    await engines.emit("a", tokens(1, "y"));
    expect(policy.events.at(-1)).toMatchObject({
      type: "failed",
      kind: "resume_failed",
      deliveredTokens: 0,
    });
    expect(sink.text).toBe("");
  });

  // Guards against wrong input to the policy's retries and quarantine.
  test("reports to the policy how an attempt failed", async () => {
    const result = generate(dispatch("a"));
    await engines.emit(
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
    applyEffects({
      type: "refuse",
      request,
      kind: "stream_interrupted",
      outcome: "may_have_run",
    });
    await expect(result).rejects.toMatchObject({ kind: "stream_interrupted" });
  });

  // Guards against a wrong `not_run` after an attempt that was started.
  test.each([
    ["cancelled", "may_have_run"],
    ["refused by the engine", "not_run"],
  ])("reports the outcome after an attempt was %s", async (ending, outcome) => {
    const result = generate(dispatch("a"));
    const refusal: PolicyEffect = {
      type: "refuse",
      request,
      kind: "overloaded",
      outcome: "not_run",
    };
    if (ending !== "cancelled") {
      await engines.emit("a", new EngineError("overloaded", { written: true }));
    }
    applyEffects(refusal);
    await expect(result).rejects.toMatchObject({ kind: "overloaded", outcome });
  });

  // Guards against policy exceptions that stop the host or hang requests.
  test("fails one request when the policy throws", async () => {
    jest.spyOn(policy, "reduce").mockImplementationOnce(() => {
      throw new Error("Fault");
    });
    await expect(generate()).rejects.toMatchObject({ kind: "internal" });
    expect(harness.telemetry.events[0]?.[0]).toBe("policy_failed");
    const result = generate(dispatch("a"));
    await engines.emit("a", tokens(0, "x"), finished(1));
    expect(await result).toMatchObject({ outputTokens: 2 });
  });

  // Guards against an unknown server that leaves its request pending.
  test("reports a server without an address as not run", () => {
    void generate(dispatch("a", "unknown"));
    expect(policy.events.at(-1)).toMatchObject({
      type: "failed",
      kind: "backend_unreachable",
      outcome: "not_run",
    });
  });

  // Guards against cancelling non-repeatable calls when the caller disconnects.
  test("completes non-repeatable calls without their caller", async () => {
    policy.effects = [dispatch("a")];
    let response!: (value: never) => void;
    const result = harness.dispatcher.callService(
      { ...generation.work, repeatable: false },
      ({ signal }) =>
        new Promise((resolve, reject) => {
          response = resolve;
          signal.addEventListener("abort", () => reject(signal.reason));
        }),
      { signal: abort.signal },
    );
    abort.abort();
    response("done" as never);
    expect(await result).toBe("done");
    expect(policy.events.map(({ type }) => type)).not.toContain("caller_gone");
  });

  // Guards against policy state that is kept after a caller disconnects.
  test("reports disconnected callers to the policy", async () => {
    const result = generate(dispatch("a"));
    abort.abort();
    await expect(result).rejects.toThrow("caller closed");
    expect(policy.events.at(-1)).toMatchObject({
      type: "caller_gone",
      request,
    });
  });
});
