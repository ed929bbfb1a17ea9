import type {
  BackendServerId,
  CustomerId,
  Incarnation,
  ModelName,
  Region,
  RequestId,
  ServiceName,
} from "rhubarbstage";
import { samplesForRoles } from "../../src/constants.ts";
import {
  FleetPolicy,
  type FleetSettings,
  type FleetState,
  type PolicyEffect,
} from "../../src/mod.ts";
import {
  chat,
  type Dispatch,
  makeServer,
  makeWork,
  PolicyDriver,
  type WorkChanges,
} from "./fixtures.ts";

const region = "attica" as Region;

function newDriver(
  servers: readonly string[] = ["a"],
  settings: Partial<FleetSettings> = {},
): PolicyDriver<FleetState> {
  const driver = new PolicyDriver(new FleetPolicy({ region, settings }));
  for (const id of servers) driver.seeServer(makeServer(id));
  return driver;
}

function arriveMany(
  driver: PolicyDriver<FleetState>,
  prefix: string,
  count: number,
  changes: WorkChanges = {},
): void {
  for (let index = 0; index < count; index += 1) {
    driver.arrive(makeWork(`${prefix}${index}`, changes));
  }
}

function firstToken(
  driver: PolicyDriver<FleetState>,
  dispatch: Dispatch,
  now: number,
): readonly PolicyEffect[] {
  const { request, attempt } = dispatch;
  return driver.send({ type: "first_token", now, request, attempt });
}

function fail(
  driver: PolicyDriver<FleetState>,
  dispatch: Dispatch,
  changes: { connectionLost?: boolean; outcome?: "not_run" | "may_have_run" },
  now = 10,
): readonly PolicyEffect[] {
  const { request, attempt } = dispatch;
  return driver.send({
    type: "failed",
    now,
    request,
    attempt,
    kind: "backend_failed",
    outcome: changes.outcome ?? "may_have_run",
    deliveredTokens: 0,
    connectionLost: changes.connectionLost ?? false,
  });
}

/** Runs requests sequentially to give the pool estimates. */
function trainEstimates(
  driver: PolicyDriver<FleetState>,
  count: number,
  slowdown: (server: string) => number = () => 1,
): void {
  for (let index = 0; index < count; index += 1) {
    const now = index * 200;
    const [dispatch] = driver.dispatches(
      driver.arrive(makeWork(`t${index}`, { arrivedAt: now }), now),
    );
    const factor = slowdown(dispatch!.server);
    firstToken(driver, dispatch!, now + 50 * factor);
    driver.finish(dispatch!, now + 150 * factor);
  }
}

describe("priority", () => {
  // Guards against paid priority waiting behind preemptible work.
  test("preempts resumable work of lower priority immediately", () => {
    const driver = newDriver();
    arriveMany(driver, "low", 6);
    const effects = driver.arrive(
      makeWork("high", { settings: { priority: 5 } }),
    );
    expect(effects).toMatchObject([
      { type: "cancel", reason: "preempted" },
      { type: "dispatch", request: "high" },
    ]);
  });

  // Guards against cancelling non-repeatable work to free a slot.
  test("does not preempt work that may not be repeated", () => {
    const driver = newDriver();
    arriveMany(driver, "charge", 4, { repeatable: false });
    arriveMany(driver, "high", 3, { settings: { priority: 5 } });
    expect(driver.cancels()).toEqual([]);
    // One slot beyond capacity, where the engine schedules by priority.
    expect(driver.dispatches()).toHaveLength(5);
  });

  // Guards against starving a customer below its configured floor.
  test("serves a customer below its floor before higher priority", () => {
    const driver = newDriver();
    arriveMany(driver, "busy", 4, { repeatable: false });
    arriveMany(driver, "high", 20, { settings: { priority: 5 } });
    const floor = { floorRequestsPerSecond: 2 };
    driver.arrive(
      makeWork("floor", { customer: "home" as CustomerId, settings: floor }),
    );
    driver.finish(driver.dispatches()[0]!, 100);
    driver.finish(driver.dispatches()[1]!, 100);
    expect(driver.dispatches().map((effect) => effect.request))
      .toContain("floor");
  });

  // Guards against a customer gaining slots by sending more requests.
  test("divides slots in proportion to shares", () => {
    const driver = newDriver();
    arriveMany(driver, "warm", 4);
    for (const [customer, share] of [["x", 3], ["y", 1]] as const) {
      const id = customer as CustomerId;
      const count = 40 * (4 - share);
      arriveMany(driver, customer, count, {
        customer: id,
        settings: { share },
      });
    }
    for (let index = 0; index < 40; index += 1) {
      driver.finish(driver.dispatches()[index]!, 100 + index);
    }
    const served = driver.dispatches().slice(4)
      .filter((effect) => effect.request.startsWith("x")).length;
    expect(served).toBeGreaterThanOrEqual(28);
    expect(served).toBeLessThanOrEqual(32);
  });
});

describe("admission", () => {
  // Guards against accepting work that would miss its first-token target.
  test("refuses early with a retry delay", () => {
    const driver = newDriver();
    trainEstimates(driver, 30);
    arriveMany(driver, "r", 200, { arrivedAt: 10_000 });
    const refused = driver.refusals();
    expect(refused.length).toBeGreaterThan(100);
    expect(refused[0]).toMatchObject({
      kind: "overloaded",
      outcome: "not_run",
    });
    expect(refused[0]!.retryAfterSeconds).toBeGreaterThan(0);
  });

  // Guards against admitting requests above the limit.
  test("refuses work above the request limit", () => {
    const driver = newDriver();
    arriveMany(driver, "r", 5, { settings: { requestsPerSecond: 2 } });
    expect(driver.refusals().map((effect) => effect.kind))
      .toEqual(["limit_exceeded", "limit_exceeded", "limit_exceeded"]);
  });
});

describe("long work", () => {
  // Guards against long prompts occupying all slots of an engine.
  test("is limited per server and leaves slots for short work", () => {
    const driver = newDriver(["a", "b"]);
    trainEstimates(driver, 30);
    driver.effects.length = 0;
    const promptTokens = 50_000;
    const changes = { arrivedAt: 10_000, promptTokens, deadlineAt: 900_000 };
    const settings = { firstTokenTarget: 600_000 };
    arriveMany(driver, "long", 6, { ...changes, settings });
    expect(driver.dispatches()).toHaveLength(2);
    arriveMany(driver, "short", 6, { arrivedAt: 10_000 });
    expect(driver.dispatches()).toHaveLength(8);
  });

  // Guards against starvation of long work behind short work.
  test("is served before short work after the ageing delay", () => {
    const driver = newDriver();
    trainEstimates(driver, 30);
    driver.effects.length = 0;
    arriveMany(driver, "short", 12, {
      arrivedAt: 10_000,
      settings: { firstTokenTarget: 60_000 },
    });
    driver.arrive(makeWork("long", {
      arrivedAt: 10_000,
      promptTokens: 50_000,
      deadlineAt: 900_000,
      settings: { firstTokenTarget: 600_000 },
    }));
    driver.finish(driver.dispatches()[0]!, 10_100);
    expect(driver.dispatches().at(-1)!.request).toMatch("short");
    driver.finish(driver.dispatches()[1]!, 16_000);
    expect(driver.dispatches().at(-1)!.request).toBe("long");
  });
});

describe("slow servers", () => {
  // Guards against even traffic to fast and slow servers, and against a
  // recovered server that never receives work again.
  test("receive less traffic and are still probed", () => {
    const driver = newDriver(["a", "b", "c", "d"]);
    trainEstimates(driver, 200, (server) => server === "a" ? 6 : 1);
    const slowed = driver.dispatches().slice(100)
      .filter((effect) => effect.server === "a").length;
    expect(slowed).toBeLessThan(25);
    expect(slowed).toBeGreaterThan(0);
  });

  // Guards against waiting for a stuck server and running a charge twice.
  test.each([[true, 2], [false, 1]])(
    "are backed by hedges only for repeatable work (%p)",
    (repeatable, runs) => {
      const driver = newDriver(["a", "b"]);
      driver.arrive(makeWork("1", { repeatable }));
      driver.tick(5_000);
      expect(driver.dispatches()).toHaveLength(runs);
      const effects = firstToken(driver, driver.dispatches()[0]!, 5_010);
      expect(driver.cancels(effects)).toHaveLength(runs - 1);
    },
  );
});

describe("retries", () => {
  // Guards against retrying a charge that may have run.
  test("repeat only work that did not run or is repeatable", () => {
    const driver = newDriver(["a", "b"]);
    driver.arrive(makeWork("charge", { repeatable: false }));
    const [first] = driver.dispatches();
    const [second] = driver.dispatches(
      fail(driver, first!, { outcome: "not_run" }),
    );
    expect(second!.server).not.toBe(first!.server);
    expect(fail(driver, second!, {}))
      .toMatchObject([{ type: "refuse", outcome: "may_have_run" }]);
  });

  // Guards against retries amplifying an overload.
  test("stop when the customer's budget is exhausted", () => {
    const driver = newDriver(["a", "b"]);
    for (let index = 0; index < 30; index += 1) {
      const work = makeWork(`${index}`, { settings: { retryRatio: 0 } });
      const [dispatch] = driver.dispatches(driver.arrive(work));
      const [retry] = driver.dispatches(fail(driver, dispatch!, {}));
      if (retry !== undefined) driver.finish(retry, 20);
    }
    expect(driver.dispatches()).toHaveLength(30 + 10);
  });
});

describe("quarantine", () => {
  // Guards against a third crash, or refusing requests beside it.
  test("refuses a request that crashed two servers", () => {
    const driver = newDriver(["a", "b", "c"]);
    const bad = { fingerprint: "bad" };
    driver.arrive(makeWork("bad1", bad));
    const [first] = driver.dispatches();
    const lost = { connectionLost: true };
    const [second] = driver.dispatches(fail(driver, first!, lost));
    expect(second!.server).not.toBe(first!.server);
    driver.arrive(makeWork("beside"));
    fail(driver, second!, lost, 20);
    driver.arrive(makeWork("bad2", bad));
    driver.arrive(makeWork("beside2", { fingerprint: "fingerprint-beside" }));
    driver.tick(2_000);
    expect(driver.refusals().map((effect) => [effect.request, effect.kind]))
      .toEqual([
        ["bad2", "request_quarantined"],
        ["bad1", "request_quarantined"],
      ]);
  });

  // Guards against refusing a request after two network interruptions.
  test("withdraws the mark when the same server process is seen again", () => {
    const driver = newDriver(["a", "b", "c"]);
    driver.arrive(makeWork("1", { fingerprint: "f" }));
    const [first] = driver.dispatches();
    const [retry] = driver.dispatches(
      fail(driver, first!, { connectionLost: true }),
    );
    driver.seeServer(makeServer(first!.server), 6_000);
    fail(driver, retry!, { connectionLost: true }, 6_010);
    driver.arrive(makeWork("2", { fingerprint: "f", arrivedAt: 6_020 }));
    expect(driver.dispatches().at(-1)!.request).toBe("2");
  });

  // Guards against a resend that reaches another host before the mark does.
  test("delays the refusal until marks have spread", () => {
    const driver = newDriver(["a", "b"]);
    driver.arrive(makeWork("1", { repeatable: false }));
    const [dispatch] = driver.dispatches();
    const effects = fail(driver, dispatch!, { connectionLost: true }, 10);
    expect(effects).toMatchObject([
      { type: "note", event: "server_crashed" },
      { type: "publish_quarantine" },
    ]);
    expect(driver.refusals(driver.tick(1_000))).toEqual([]);
    expect(driver.refusals(driver.tick(1_600)))
      .toMatchObject([{ request: "1", outcome: "may_have_run" }]);
  });

  // Guards against losing marks that later ones replace in gossip, and against
  // an old clearance overriding a newer mark.
  test("publishes all local marks each time and ignores a clearance older than a mark", () => {
    const driver = newDriver(["a", "b", "c"]);
    const work = { repeatable: false };
    driver.arrive(makeWork("1", { ...work, fingerprint: "f1" }));
    fail(driver, driver.dispatches()[0]!, { connectionLost: true }, 10);
    driver.arrive(makeWork("2", { ...work, fingerprint: "f2", arrivedAt: 20 }));
    const last = driver.dispatches()[1]!;
    expect(fail(driver, last, { connectionLost: true }, 30)).toMatchObject([{
      type: "note",
      event: "server_crashed",
    }, {
      type: "publish_quarantine",
      marks: [
        { fingerprint: "f1", crashes: 1, age: 20 },
        { fingerprint: "f2", crashes: 1, age: 0 },
      ],
    }]);
    const clear = { fingerprint: "f2", crashes: 0, blocked: false, age: 60 };
    driver.send({ type: "quarantine_reported", now: 40, marks: [clear] });
    driver.arrive(makeWork("3", { fingerprint: "f2", arrivedAt: 50 }));
    const again = driver.dispatches().at(-1)!;
    fail(driver, again, { connectionLost: true }, 60);
    driver.arrive(makeWork("4", { fingerprint: "f2", arrivedAt: 70 }));
    expect(driver.refusals().at(-1)).toMatchObject({
      request: "4",
      kind: "request_quarantined",
    });
  });

  // Guards against marks that apply only on the host that set them.
  test("applies marks of other hosts", () => {
    const driver = newDriver();
    const mark = { fingerprint: "f", crashes: 2, blocked: true, age: 1_000 };
    driver.send({ type: "quarantine_reported", now: 0, marks: [mark] });
    driver.arrive(makeWork("1", { fingerprint: "f" }));
    driver.arrive(
      makeWork("2", { fingerprint: "f", arrivedAt: 600_000, deadlineAt: 1e6 }),
    );
    expect(driver.refusals()).toMatchObject([{ request: "1" }]);
  });
});

describe("routing", () => {
  // Guards against recomputing a prompt that a server has cached.
  test("prefers the server that has the prompt cached", () => {
    const driver = newDriver(["a", "b", "c", "d", "e", "f", "g", "h"]);
    const prefixHashes = ["p1", "p2", "p3", "p4"];
    const work = { prefixHashes, promptTokens: 4_100 };
    driver.arrive(makeWork("1", work));
    const [first] = driver.dispatches();
    driver.finish(first!, 100);
    driver.arrive(makeWork("2", { ...work, arrivedAt: 200 }));
    expect(driver.dispatches()[1]!.server).toBe(first!.server);
  });

  // Guards against using a remote server while a local one is free.
  test("prefers the local region", () => {
    const driver = newDriver([]);
    driver.seeServer(makeServer("far", { region: "crete" as Region }));
    driver.seeServer(makeServer("near"));
    const far = "crete" as Region;
    driver.send({ type: "path_measured", now: 0, region: far, roundTrip: 60 });
    arriveMany(driver, "r", 2, { promptTokens: 10 });
    expect(driver.dispatches().map((effect) => effect.server))
      .toEqual(["near", "near"]);
  });

  // Guards against moving KV cache for prompts that are cheaper to compute.
  test("uses a prefill engine only past the break-even", () => {
    const driver = newDriver([]);
    driver.seeServer(makeServer("p", { role: "prefill" }));
    driver.seeServer(makeServer("d", { role: "decode" }));
    driver.arrive(makeWork("small", { promptTokens: 10 }));
    driver.arrive(makeWork("large", { promptTokens: 5_000 }));
    const [small, large] = driver.dispatches();
    expect([small!.server, small!.prefillServer]).toEqual(["d", undefined]);
    expect([large!.server, large!.prefillServer]).toEqual(["d", "p"]);
  });
});

describe("roles", () => {
  /** `trainEstimates` yields 0.1 ms per prompt token, 1 ms per output token. */
  const outputRate = 8_000;
  const steadyPromptRate = 10_000;
  const shiftedPromptRate = 38_000;

  function runDemandShift(
    held: boolean,
    promptRate: number,
    samples = samplesForRoles,
  ): PolicyEffect[] {
    const driver = newDriver([], { roleChangeCooldown: 60_000 });
    const roles = [
      "prefill",
      "prefill",
      "decode",
      "decode",
      "decode",
      "decode",
    ];
    for (const [index, role] of roles.entries()) {
      driver.seeServer(makeServer(`s${index}`, { role: role as "prefill" }));
    }
    trainEstimates(driver, samples);
    const start = samples * 200;
    driver.send({ type: "role_authority_changed", now: start, held });
    for (let now = start + 500; now <= start + 20_000; now += 500) {
      const models = new Map([[chat as ModelName, {
        promptTokensPerSecond: promptRate,
        outputTokensPerSecond: outputRate,
      }]]);
      driver.send({
        type: "demand_reported",
        now,
        total: new Map(),
        hosts: 1,
        models,
      });
      for (const effect of driver.tick(now)) {
        if (effect.type !== "set_role") continue;
        const { server: id, role } = effect;
        driver.seeServer(makeServer(id, { role }), now);
      }
    }
    return driver.effects.filter((effect) => effect.type === "set_role");
  }

  // Guards against flapping in a steady mix and ignored shifts.
  test("follow a demand shift once, and only with role authority", () => {
    expect(runDemandShift(true, steadyPromptRate)).toEqual([]);
    const changed = runDemandShift(true, shiftedPromptRate);
    expect(changed.length).toBeGreaterThanOrEqual(1);
    const servers = changed.map((effect) => (effect as Dispatch).server);
    expect(new Set(servers).size).toBe(servers.length);
    expect(runDemandShift(false, shiftedPromptRate)).toEqual([]);
  });

  // Guards against a change because first requests end sooner.
  test("wait until the pool has estimates", () => {
    const samples = samplesForRoles - 1;
    expect(runDemandShift(true, shiftedPromptRate, samples)).toEqual([]);
  });
});

describe("settings", () => {
  // Guards against settings that take effect only after a restart.
  test("take effect without a restart", () => {
    const driver = newDriver();
    const mark = { fingerprint: "f", crashes: 2, blocked: true, age: 0 };
    driver.send({ type: "quarantine_reported", now: 0, marks: [mark] });
    const settings = { quarantinePeriod: 1_000 };
    driver.send({ type: "settings_changed", now: 0, settings });
    driver.arrive(makeWork("1", { fingerprint: "f", arrivedAt: 1_500 }));
    expect(driver.dispatches()).toHaveLength(1);
  });
});

describe("server records", () => {
  // Guards against routing a service call to an engine.
  test("route plain service calls to servers that offer the service", () => {
    const driver = newDriver();
    const intake = "intake" as ServiceName;
    driver.seeServer(makeServer("i", { models: [], services: [intake] }));
    driver.arrive(makeWork("1", { model: undefined, service: intake }));
    expect(driver.dispatches()).toMatchObject([{ server: "i" }]);
  });

  // Guards against late records of a replaced server process.
  test("of an older incarnation are ignored", () => {
    const driver = newDriver([]);
    driver.seeServer(makeServer("a", { incarnation: 2 as Incarnation }));
    driver.send({
      type: "caller_gone",
      now: 0,
      request: "none" as RequestId,
    });
    driver.seeServer(makeServer("a", { acceptsNewWork: false }));
    driver.arrive(makeWork("1"));
    expect(driver.dispatches()).toMatchObject([
      { server: "a" as BackendServerId },
    ]);
  });
});
