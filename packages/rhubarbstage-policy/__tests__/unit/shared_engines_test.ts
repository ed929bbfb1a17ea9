/**
 * Peak load on engines that several hosts share: long prompts arrive faster
 * than engines compute them, and shared parts of prompts repeat.
 */

import type {
  AvailabilityZone,
  BackendServerId,
  CustomerId,
  Incarnation,
  ModelName,
  Region,
  RequestId,
  ServiceName,
  WorkKind,
} from "rhubarbstage";
import { PromptCacheEstimate } from "../../src/prompt_cache_estimate.ts";
import { EngineStreams } from "../../src/engine_streams.ts";
import { EngineQueue } from "../../src/engine_queue.ts";
import { EngineSpeed } from "../../src/engine_speed.ts";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import type {
  EngineRole,
  PolicyEffect,
  PolicyEvent,
  PromptPart,
  Work,
} from "../../src/types.ts";

const region = "here" as Region;
const model = "assistant" as ModelName;

function createPolicy(seed = 3) {
  const policy = new FleetPolicy({
    region,
    seed,
    hosts: 8,
    settings: {
      shareEngineState: true,
      kvFixedCost: 12,
      kvCostPerToken: 0.001,
      longCostFactor: 1e6,
    },
  });
  const state = policy.initial();
  return (event: PolicyEvent): readonly PolicyEffect[] =>
    policy.reduce(state, event);
}

function serverSeen(id: string, role: EngineRole): PolicyEvent {
  return {
    type: "server_seen",
    now: 0,
    server: {
      id: id as BackendServerId,
      incarnation: 1 as Incarnation,
      region,
      availabilityZone: "here-a" as AvailabilityZone,
      models: [model],
      services: [],
      role,
      capacity: 64,
      cacheTokens: 400_000,
      acceptsNewWork: true,
    },
  };
}

function promptParts(subject: string): PromptPart[] {
  return [{ id: subject, tokens: 13_000 }, { id: "own", tokens: 4_000 }];
}

function arrival(id: string, changes: Partial<Work> & { now: number }) {
  const { now, ...rest } = changes;
  const work: Work = {
    request: id as RequestId,
    customer: "team" as CustomerId,
    service: "assistant" as ServiceName,
    kind: "review" as WorkKind,
    model,
    promptTokens: 17_000,
    outputTokenLimit: 100,
    prefixHashes: [],
    promptParts: promptParts(id),
    fingerprint: id,
    repeatable: false,
    resumable: false,
    cancellable: true,
    arrivedAt: now,
    deadlineAt: now + 6_000,
    firstTokenTimeout: 4_000,
    settings: {
      priority: 0,
      share: 1,
      requestsPerSecond: Infinity,
      tokensPerSecond: Infinity,
      floorRequestsPerSecond: 0,
      firstTokenTarget: 1_000,
      retryRatio: 0,
    },
    ...rest,
  };
  return { type: "arrived", now, work } as const;
}

function dispatchOf(effects: readonly PolicyEffect[]) {
  return effects.find((effect) => effect.type === "dispatch");
}

test("prompts spread over prefill and decode engines as queues grow", () => {
  const reduce = createPolicy();
  for (const id of ["p1", "p2"]) reduce(serverSeen(id, "prefill"));
  for (const id of ["d1", "d2", "d3"]) reduce(serverSeen(id, "decode"));
  const computing = new Map<string, number>();
  for (let count = 0; count < 12; count += 1) {
    const effect = dispatchOf(reduce(arrival(`r${count}`, { now: 10 })));
    const id = effect?.prefillServer ?? effect?.server ?? "";
    computing.set(id, (computing.get(id) ?? 0) + 1);
  }
  expect(computing.get("p1")).toBeGreaterThanOrEqual(2);
  expect(computing.get("p2")).toBeGreaterThanOrEqual(2);
  const directEngines = ["d1", "d2", "d3"].filter((id) => computing.has(id));
  expect(directEngines.length).toBeGreaterThanOrEqual(1);
});

test("work announced by another host counts in the choice of an engine", () => {
  const reduce = createPolicy();
  reduce(serverSeen("d1", "decode"));
  reduce(serverSeen("d2", "decode"));
  const server = "d1" as BackendServerId;
  reduce({
    type: "work_announced",
    now: 5,
    work: {
      server,
      id: 1,
      milliseconds: 900,
      answers: false,
      rank: 0,
      parts: promptParts("other"),
    },
  });
  expect(dispatchOf(reduce(arrival("a", { now: 10 })))?.server).toBe("d2");
});

test("a prompt is sent to the engine that cached its shared part for another host", () => {
  const reduce = createPolicy();
  for (const id of ["d1", "d2", "d3", "d4"]) reduce(serverSeen(id, "decode"));
  const server = "d3" as BackendServerId;
  reduce({
    type: "work_announced",
    now: 5,
    work: {
      server,
      id: 1,
      milliseconds: 100,
      answers: true,
      rank: 0,
      parts: promptParts("ledger"),
    },
  });
  const work = arrival("a", { now: 200, promptParts: promptParts("ledger") });
  const effect = dispatchOf(reduce(work));
  expect(effect?.server).toBe("d3");
  expect(effect?.forecast?.uncachedTokens).toBe(4_000);
});

test("a short prompt does not wait for long ones on prefill engines", () => {
  const reduce = createPolicy();
  for (const id of ["p1", "p2"]) reduce(serverSeen(id, "prefill"));
  for (const id of ["d1", "d2"]) reduce(serverSeen(id, "decode"));
  for (const id of ["p1", "p2"]) {
    const server = id as BackendServerId;
    const work = {
      server,
      id: 1,
      milliseconds: 900,
      answers: false,
      rank: 2,
      parts: [],
    };
    reduce({ type: "work_announced", now: 5, work });
  }
  const short = arrival("short", {
    now: 10,
    promptTokens: 1_400,
    promptParts: [{ id: "own", tokens: 1_400 }],
    rank: 0,
  });
  const effect = dispatchOf(reduce(short));
  expect(effect?.prefillServer).toBeUndefined();
  expect(effect?.forecast?.firstToken).toBeLessThan(400);
  // A long prompt takes longer on a decode engine than the wait for a prefill
  // engine and its computation there.
  expect(dispatchOf(reduce(arrival("long", { now: 20 })))?.prefillServer)
    .toBeDefined();
});

test("urgent prompts do not wait for prompts that will be late anyway", () => {
  const reduce = createPolicy();
  for (const id of ["p1", "d1"]) {
    reduce(serverSeen(id, id === "p1" ? "prefill" : "decode"));
  }
  const server = "p1" as BackendServerId;
  for (let id = 0; id < 5; id += 1) {
    const work = {
      server,
      id,
      milliseconds: 400,
      answers: false,
      rank: 7,
      parts: [],
    };
    reduce({ type: "work_announced", now: 5, work });
  }
  // The first waits only for the running prompt; the second will be late.
  const first = dispatchOf(reduce(arrival("first", { now: 10, rank: 2 })));
  expect(first).toMatchObject({ prefillServer: "p1", rank: 2 });
  expect(first?.forecast?.firstToken).toBeLessThan(1_100);
  const second = dispatchOf(reduce(arrival("second", { now: 20, rank: 2 })));
  expect(second?.rank).toBe(7);
});

test("refuses at once a request that would start too late for its caller", () => {
  const reduce = createPolicy();
  reduce(serverSeen("d1", "decode"));
  const server = "d1" as BackendServerId;
  reduce({
    type: "work_announced",
    now: 5,
    work: {
      server,
      id: 1,
      milliseconds: 5_000,
      answers: false,
      rank: 0,
      parts: [],
    },
  });
  const effects = reduce(arrival("a", { now: 10 }));
  expect(effects[0]).toMatchObject({
    type: "note",
    event: "request_refused",
    fields: { reason: "engine_queue", server: "d1", patience: 4_000 },
  });
  expect(effects[1]).toMatchObject({
    type: "refuse",
    kind: "overloaded",
    outcome: "not_run",
  });
  // The queue is short enough when the caller retries after the given delay.
  const wait = (effects[1] as { retryAfterSeconds?: number }).retryAfterSeconds;
  const back = reduce(arrival("b", { now: 10 + (wait ?? 0) * 1_000 + 1 }));
  expect(dispatchOf(back)).toBeDefined();
});

test("a long prompt is not refused for its own length", () => {
  const reduce = createPolicy();
  reduce(serverSeen("d1", "decode"));
  const long = arrival("a", {
    now: 10,
    promptTokens: 40_000,
    promptParts: [{ id: "own", tokens: 40_000 }],
  });
  expect(dispatchOf(reduce(long))).toBeDefined();
});

test("the expected wait shrinks as time passes", () => {
  const queue = new EngineQueue();
  queue.add(1, { milliseconds: 400, rank: 0 }, 0);
  queue.add(2, { milliseconds: 200, rank: 0 }, 50);
  expect(queue.waitTime(100)).toBe(500);
  // A prompt that takes longer than expected stays until its end is announced.
  expect(queue.waitTime(700)).toBe(80 + 200);
  queue.complete(1, 700);
  expect(queue.waitTime(750)).toBe(150);
});

test("a prompt waits for the running one and for prompts of its own or an earlier rank", () => {
  const queue = new EngineQueue();
  queue.add(1, { milliseconds: 600, rank: 7 }, 0);
  queue.add(2, { milliseconds: 300, rank: 2 }, 0);
  queue.add(3, { milliseconds: 900, rank: 7 }, 0);
  expect(queue.waitTime(100, 0)).toBe(500);
  expect(queue.waitTime(100, 2)).toBe(800);
  expect(queue.waitTime(100, 7)).toBe(1_700);
  expect(queue.complete(1, 600)).toBe(600);
  // The urgent prompt starts regardless of the order of arrival.
  expect(queue.waitTime(700, 0)).toBe(200);
});

test("a prompt that ends out of order corrects the estimated queue", () => {
  const queue = new EngineQueue();
  queue.add(1, { milliseconds: 500, rank: 2 }, 0);
  queue.add(2, { milliseconds: 100, rank: 2 }, 0);
  expect(queue.complete(2, 120)).toBeUndefined();
  expect(queue.waitTime(120, 2)).toBe(500);
  queue.drop(1, 130);
  expect(queue.waitTime(130)).toBe(0);
});

test("a prompt whose end is never announced is dropped", () => {
  const queue = new EngineQueue();
  queue.add(1, { milliseconds: 200, rank: 0 }, 0);
  queue.add(2, { milliseconds: 300, rank: 0 }, 0);
  expect(queue.waitTime(1_500)).toBe(40 + 300);
  expect(queue.waitTime(1_700)).toBe(300);
  expect(queue.waitTime(4_000)).toBe(0);
  expect(queue.size).toBe(0);
});

test("streams count until their end is announced or they expire", () => {
  const streams = new EngineStreams();
  streams.add(1, 17_000, 0);
  streams.add(2, 2_000, 1_000);
  expect(streams.count(2_000)).toBe(2);
  expect(streams.tokens(2_000)).toBe(19_000);
  streams.end(1);
  expect(streams.tokens(2_000)).toBe(2_000);
  expect(streams.count(40_000)).toBe(0);
  expect(streams.tokens(40_000)).toBe(0);
});

test("hosts spread streams instead of all choosing the same idle engine", () => {
  const hosts = Array.from(
    { length: 8 },
    (_, seed) => createPolicy(seed + 1),
  );
  const counts = new Map<string, number>();
  for (const reduce of hosts) {
    reduce(serverSeen("p1", "prefill"));
    for (const id of ["d1", "d2", "d3"]) reduce(serverSeen(id, "decode"));
  }
  for (let round = 0; round < 24; round += 1) {
    const reduce = hosts[round % 8] as ReturnType<typeof createPolicy>;
    const effects = reduce(
      arrival(`r${round}`, {
        now: 10 + round,
        promptTokens: 1_000,
        promptParts: [{ id: "own", tokens: 1_000 }],
        expectedOutputTokens: 200,
      }),
    );
    const server = dispatchOf(effects)?.server ?? "none";
    counts.set(server, (counts.get(server) ?? 0) + 1);
    for (const effect of effects) {
      if (effect.type !== "announce_work") continue;
      for (const other of hosts) {
        if (other === reduce) continue;
        const { work } = effect;
        other({ type: "work_announced", now: 10 + round, work });
      }
    }
  }
  for (const id of ["d1", "d2", "d3"]) {
    expect(counts.get(id)).toBeGreaterThanOrEqual(6);
    expect(counts.get(id)).toBeLessThanOrEqual(10);
  }
});

test("a cache estimate evicts the least recently used parts", () => {
  const cache = new PromptCacheEstimate(40_000);
  cache.store(promptParts("first"));
  expect(cache.cachedTokens(promptParts("first"))).toBe(13_000);
  cache.store(promptParts("second"));
  cache.store(promptParts("third"));
  expect(cache.cachedTokens(promptParts("first"))).toBe(0);
  expect(cache.cachedTokens(promptParts("third"))).toBe(13_000);
});

test("learned speed stays within its bounds", () => {
  const speed = new EngineSpeed();
  for (let count = 0; count < 200; count += 1) {
    speed.learnPromptTime({ tokens: 10_000, role: "prefill", elapsed: 200 });
  }
  expect(speed.promptTime(10_000, "prefill")).toBeCloseTo(200, -1);
  for (let count = 0; count < 500; count += 1) {
    speed.learnPromptTime({ tokens: 10_000, role: "prefill", elapsed: 60_000 });
  }
  expect(speed.promptTime(10_000, "prefill")).toBeLessThanOrEqual(1_400);
});
