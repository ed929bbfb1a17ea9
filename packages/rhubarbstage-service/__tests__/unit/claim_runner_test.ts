import {
  type BackendServerId,
  type CustomerId,
  type HostId,
  type Incarnation,
  RhubarbstageError,
  type ServiceName,
} from "rhubarbstage";
import { InMemoryGroup } from "@rhubarbstage/replica";
import {
  ClaimJournal,
  claimKeyOf,
  type JournalCommand,
  journalGroupNumberOf,
  journalQueries,
  type JournalResult,
  JournalStateMachine,
} from "@rhubarbstage/control";
import {
  FakeService,
  type FakeServiceOptions,
  FaultProxy,
} from "@rhubarbstage/test-support";
import {
  type ClaimedCall,
  ClaimRunner,
  type ClaimRunnerOptions,
} from "../../src/mod.ts";

const customer = "padana" as CustomerId;
const service = "top-ups" as ServiceName;
const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(cleanUps.splice(0).map((close) => close()));
});

async function setUp(options: Partial<FakeServiceOptions> = {}) {
  const fake = new FakeService(options);
  const address = await fake.listen();
  cleanUps.push(() => fake.close());
  const groups = Array.from(
    { length: 2 },
    () =>
      new InMemoryGroup({
        stateMachine: new JournalStateMachine(),
        queries: journalQueries,
      }),
  );
  const target = { backendServer: "service-1" as BackendServerId, address };
  const runnerOf = (
    host: string,
    runnerOptions: Partial<ClaimRunnerOptions> = {},
    incarnation = 1,
  ) => {
    const claimer = {
      host: host as HostId,
      incarnation: incarnation as Incarnation,
    };
    const journal = new ClaimJournal({ groups, claimer });
    const runner = new ClaimRunner({ journal, claimer, ...runnerOptions });
    cleanUps.push(() => runner.waitUntilIdle());
    return runner;
  };
  const call = (
    key: string | undefined,
    callOptions: Partial<ClaimedCall> & { body?: string; wait?: number } = {},
  ): ClaimedCall => ({
    customer,
    service,
    idempotencyKey: key,
    request: {
      method: "POST",
      path: "/top-ups",
      headers: { "idempotency-key": key ?? "", "content-type": "text/plain" },
      body: new TextEncoder().encode(callOptions.body ?? "5 tokens"),
    },
    deadlineAt: performance.now() + (callOptions.wait ?? 2_000),
    acquireTarget: () => Promise.resolve(target),
    ...callOptions,
  });
  const stateOf = (key: string) => {
    const subject = { customer, service, idempotencyKey: key };
    const claimKey = claimKeyOf(subject);
    const group = groups[journalGroupNumberOf(claimKey, groups.length)];
    if (group === undefined) throw new Error("No such group");
    return journalQueries.claim(group.state, { key: claimKey }).type;
  };
  return { fake, groups, target, runnerOf, call, stateOf };
}

async function errorFrom(run: Promise<unknown>): Promise<RhubarbstageError> {
  const result = await run.catch((error) => error);
  if (result instanceof RhubarbstageError) return result;
  throw new Error(`Not refused: ${JSON.stringify(result)}`);
}

describe("ClaimRunner", () => {
  // Guards against a second charge when a caller resends after a lost answer.
  test("replays the stored response to a resend on another host", async () => {
    const { fake, runnerOf, call } = await setUp();
    const first = await runnerOf("h1").run(call("k"));
    const again = await runnerOf("h2").run(call("k"));
    expect(first).toMatchObject({ outcome: "ran", replayed: false });
    expect(again).toMatchObject({ outcome: "ran", replayed: true });
    expect(Buffer.from(again.body)).toEqual(Buffer.from(first.body));
    expect(fake.records.counts).toEqual({ k: 1 });
  });

  // Guards against a second charge when many hosts receive one key at once.
  test("runs concurrent resends once and responds to all", async () => {
    const { fake, runnerOf, call } = await setUp({ delayAfter: 100 });
    const runs = Array.from(
      { length: 8 },
      (_, host) => runnerOf(`h${host}`).run(call("k")),
    );
    const answers = await Promise.all(runs);
    expect(fake.records.counts).toEqual({ k: 1 });
    expect(answers.filter(({ replayed }) => !replayed)).toHaveLength(1);
  });

  // Guards against calls whose resends cannot be detected.
  test("refuses a missing key and a key with another body", async () => {
    const { fake, runnerOf, call } = await setUp();
    const runner = runnerOf("h1");
    const missing = await errorFrom(runner.run(call(undefined)));
    expect(missing.kind).toBe("idempotency_key_missing");
    await runner.run(call("k"));
    const reused = await errorFrom(runner.run(call("k", { body: "9" })));
    expect(reused.kind).toBe("idempotency_key_reused");
    expect(fake.records.counts).toEqual({ k: 1 });
  });

  // Guards against `not_run` and release of the key after bytes
  // of the request were written.
  test("reports may_have_run when the connection is lost", async () => {
    for (const fault of ["closeBefore", "closeAfter", "breakAnswer"]) {
      const { fake, runnerOf, call, stateOf } = await setUp({ [fault]: 1 });
      const runner = runnerOf("h1");
      const broken = await errorFrom(runner.run(call("k")));
      expect(broken).toMatchObject({
        kind: "backend_failed",
        outcome: "may_have_run",
      });
      await runner.waitUntilIdle();
      expect(stateOf("k")).toBe("unknown");
      const resend = await errorFrom(runnerOf("h2").run(call("k")));
      expect(resend.kind).toBe("outcome_unknown");
      expect(fake.records.executions.length).toBeLessThanOrEqual(1);
    }
  });

  // Guards against a key that stays claimed although nothing ran.
  test("releases the key when nothing ran", async () => {
    const { fake, runnerOf, call, stateOf, target } = await setUp({
      refuse: 1,
    });
    const runner = runnerOf("h1");
    const refused = await runner.run(call("k"));
    expect(refused).toMatchObject({ status: 503, outcome: "not_run" });
    expect(stateOf("k")).toBe("free");
    const unreachable = { ...target, address: "http://127.0.0.1:1" };
    const acquireTarget = () => Promise.resolve(unreachable);
    const failed = await errorFrom(runner.run(call("k", { acquireTarget })));
    expect(failed).toMatchObject({
      kind: "backend_unreachable",
      outcome: "not_run",
    });
    const overloaded = await errorFrom(runner.run(call("k", {
      acquireTarget: () => Promise.reject(new RhubarbstageError("overloaded")),
    })));
    expect(overloaded).toMatchObject({
      kind: "overloaded",
      outcome: "not_run",
    });
    expect(fake.records.counts).toEqual({});
    await runner.run(call("k"));
    expect(fake.records.counts).toEqual({ k: 1 });
  });

  // Guards against a client library that resends on a second connection, or
  // sends on a connection that the service has closed.
  test("uses exactly one new connection for each call", async () => {
    const { fake, runnerOf, call } = await setUp({ closeKeptAlive: true });
    const runner = runnerOf("h1");
    for (const key of ["k1", "k2", "k3"]) await runner.run(call(key));
    fake.switches.closeBefore = 1;
    await errorFrom(runner.run(call("k4")));
    expect(fake.records.connections).toBe(4);
    expect(fake.records.arrived).toBe(4);
  });

  // Guards against a second run while a partition delays the first request, and
  // against losing a response that arrives after the caller's deadline.
  test("keeps the claim while a partition delays the request", async () => {
    const { fake, runnerOf, call, stateOf, target } = await setUp();
    const port = new URL(target.address).port;
    const link = { name: "service", target: `127.0.0.1:${port}` };
    const proxy = new FaultProxy({ seed: 1, links: [link] });
    const ports = await proxy.listen();
    cleanUps.push(() => proxy.close());
    proxy.link("service").change({ forward: { loss: "hold" } });
    const address = `http://127.0.0.1:${ports.get("service")}`;
    const acquireTarget = () => Promise.resolve({ ...target, address });
    const runner = runnerOf("h1");
    const options = { acquireTarget, wait: 100 };
    const first = await errorFrom(runner.run(call("k", options)));
    expect(first).toMatchObject({
      kind: "deadline_exceeded",
      outcome: "may_have_run",
    });
    const resend = runnerOf("h2").run(call("k", { wait: 100 }));
    expect(await errorFrom(resend)).toMatchObject({
      kind: "claim_in_progress",
      outcome: "may_have_run",
    });
    expect(fake.records.counts).toEqual({});
    proxy.link("service").heal();
    const late = await runnerOf("h2").run(call("k"));
    expect(late.replayed).toBe(true);
    expect(fake.records.counts).toEqual({ k: 1 });
    expect(stateOf("k")).toBe("settled");
  });

  // Guards against a claim that blocks its key forever after its process was
  // replaced, and against a second run by the new process.
  test("marks the claim of a replaced process as unknown", async () => {
    const { fake, runnerOf, call } = await setUp({ delayAfter: 400 });
    const first = runnerOf("h1").run(call("k"));
    while (fake.records.executions.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    const newest = () => 2 as Incarnation;
    const other = runnerOf("h2", { newestIncarnation: newest });
    const refusal = await errorFrom(other.run(call("k")));
    expect(refusal).toMatchObject({
      kind: "outcome_unknown",
      outcome: "may_have_run",
    });
    const restarted = runnerOf("h1", {}, 2);
    const again = await errorFrom(restarted.run(call("k")));
    expect(again.kind).toBe("outcome_unknown");
    expect((await first).outcome).toBe("ran");
    expect(fake.records.counts).toEqual({ k: 1 });
  });

  // Guards against claims left open by a commit after the runner
  // gave up, and against a false `not_run`.
  test("releases a claim whose commit is unknown", async () => {
    const { fake, groups, runnerOf, call, stateOf } = await setUp();
    const lostCommits: (() => void)[] = [];
    for (const group of groups) {
      const propose = group.propose.bind(group);
      group.propose = (command: JournalCommand) => {
        if (command.type !== "claim") return propose(command);
        lostCommits.push(() => void propose(command));
        return Promise.reject<JournalResult>(
          new RhubarbstageError("no_quorum", { outcome: "may_have_run" }),
        );
      };
    }
    const runner = runnerOf("h1");
    const refusal = await errorFrom(runner.run(call("k", { wait: 100 })));
    expect(refusal).toMatchObject({ kind: "no_quorum", outcome: "not_run" });
    await runner.waitUntilIdle();
    for (const commit of lostCommits) commit();
    await new Promise((resolve) => setImmediate(resolve));
    expect(stateOf("k")).toBe("free");
    expect(fake.records.counts).toEqual({});
  });

  // Guards against withholding a response, and against a claim that stays open,
  // when the journal has no quorum as the service responds.
  test("responds without a quorum and settles once it returns", async () => {
    const { groups, runnerOf, call, stateOf, target } = await setUp();
    const runner = runnerOf("h1");
    const answer = await runner.run(call("k", {
      acquireTarget: () => {
        for (const group of groups) group.stopLeading();
        return Promise.resolve(target);
      },
    }));
    expect(answer.outcome).toBe("ran");
    expect(stateOf("k")).toBe("open");
    for (const group of groups) group.startLeading();
    await runner.waitUntilIdle();
    expect(stateOf("k")).toBe("settled");
  });

  // Guards against a paused process that sends long after its
  // grant or while isolated.
  test("rechecks send window and isolation before the first byte", async () => {
    const { fake, runnerOf, call, target, stateOf } = await setUp();
    let isolated = false;
    const runner = runnerOf("h1", {
      isolated: () => isolated,
      sendWindow: 20,
    });
    const slow = () =>
      new Promise<typeof target>((resolve) =>
        setTimeout(() => resolve(target), 50)
      );
    const late = runner.run(call("k", { acquireTarget: slow }));
    expect((await errorFrom(late)).outcome).toBe("not_run");
    const isolatedCall = runner.run(call("k", {
      acquireTarget: () => {
        isolated = true;
        return Promise.resolve(target);
      },
    }));
    const refused = { kind: "no_quorum", outcome: "not_run" };
    expect(await errorFrom(isolatedCall)).toMatchObject(refused);
    expect(await errorFrom(runner.run(call("k")))).toMatchObject(refused);
    expect(fake.records.counts).toEqual({});
    expect(stateOf("k")).toBe("free");
  });

  // Guards against truncating a large response or storing it whole.
  test("returns a large body whole and does not store it", async () => {
    const padding = 70_000;
    const { fake, runnerOf, call } = await setUp({ padding });
    const first = await runnerOf("h1").run(call("k"));
    expect(first.body.byteLength).toBeGreaterThan(padding);
    const resend = await errorFrom(runnerOf("h2").run(call("k")));
    expect(resend).toMatchObject({ kind: "answer_expired", outcome: "ran" });
    expect(fake.records.counts).toEqual({ k: 1 });
  });

  // Guards against cancelling a sent call because its caller disconnected.
  test("finishes a call whose caller disconnected", async () => {
    const { fake, runnerOf, call, stateOf } = await setUp({ delayBefore: 50 });
    const caller = new AbortController();
    const runner = runnerOf("h1");
    const running = runner.run(call("k", { signal: caller.signal }));
    setTimeout(() => caller.abort(), 20);
    expect((await errorFrom(running)).outcome).toBe("may_have_run");
    await runner.waitUntilIdle();
    expect(stateOf("k")).toBe("settled");
    expect(fake.records.counts).toEqual({ k: 1 });
  });
});
