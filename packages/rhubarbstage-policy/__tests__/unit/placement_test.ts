/**
 * Placement of a region's engine work by one host. Pattern: hundreds of hosts
 * with about one request a second each share a few engines, so that none can
 * know the queues from its own requests; at a burst, more prompts arrive than
 * the engines compute.
 */

import type {
  AvailabilityZone,
  BackendServerId,
  HostId,
  Incarnation,
  ModelName,
  Region,
} from "rhubarbstage";
import { EngineQueue } from "../../src/engine_queue.ts";
import { EngineSpeed } from "../../src/engine_speed.ts";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import type {
  EngineRole,
  EngineWorkEnd,
  PolicyEffect,
  Work,
} from "../../src/types.ts";
import { makeServer, makeWork, PolicyDriver } from "./fixtures.ts";

const region = "north" as Region;
const elsewhere = "south" as Region;
const model = "assistant" as ModelName;
const asker = "asker" as HostId;

type Answer = Extract<PolicyEffect, { type: "answer_placement" }>;
type Query = Extract<PolicyEffect, { type: "request_placement" }>;

function createHost(options: { isPlacing?: boolean; seed?: number } = {}) {
  const { isPlacing = false, seed = 3 } = options;
  const settings = {
    shareEngineState: true,
    kvFixedCost: 6,
    kvCostPerToken: 0.001,
    longCostFactor: 1e6,
  };
  const host = new PolicyDriver(
    new FleetPolicy({ region, seed, hosts: 100, settings }),
  );
  host.send({
    type: "placement_host_changed",
    now: 0,
    isRemote: !isPlacing,
  });
  return host;
}

type Host = ReturnType<typeof createHost>;

function addEngine(
  hosts: readonly Host[],
  id: string,
  options: { role?: EngineRole; region?: Region; capacity?: number } = {},
): void {
  const { role = "decode", capacity = 64 } = options;
  for (const host of hosts) {
    host.seeServer(makeServer(id, {
      models: [model],
      role,
      capacity,
      region: options.region ?? region,
      availabilityZone: "north-a" as AvailabilityZone,
      cacheTokens: 400_000,
    }));
  }
}

function makePrompt(id: string, changes: Partial<Work> = {}): Work {
  const { arrivedAt = 10 } = changes;
  return makeWork(id, {
    model,
    promptTokens: 10_000,
    promptParts: [{ id: "own", tokens: 10_000 }],
    repeatable: false,
    resumable: false,
    deadlineAt: arrivedAt + 6_000,
    firstTokenTimeout: 4_000,
    ...changes,
    settings: { firstTokenTarget: 1_000 },
  });
}

function find<Type extends PolicyEffect["type"]>(
  effects: readonly PolicyEffect[],
  type: Type,
): Extract<PolicyEffect, { type: Type }> | undefined {
  return effects.find((effect) => effect.type === type) as
    | Extract<PolicyEffect, { type: Type }>
    | undefined;
}

function ask(host: Host, work: Work): Query {
  return find(host.arrive(work), "request_placement") as Query;
}

function place(placing: Host, { query }: Query, now: number): Answer {
  return find(
    placing.send({ type: "placement_requested", now, from: asker, query }),
    "answer_placement",
  ) as Answer;
}

function receive(host: Host, { request, placement }: Answer, now: number) {
  return host.send({ type: "placement_received", now, request, placement });
}

test("starts a request on the engines that the placing host chose", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  addEngine([placing, host], "p1", { role: "prefill" });
  addEngine([placing, host], "d1");
  const answer = place(placing, ask(host, makePrompt("a")), 11);
  expect(answer.to).toBe(asker);
  expect(answer.works.map(({ server }) => server).sort()).toEqual(["d1", "p1"]);
  const effects = receive(host, answer, 12);
  expect(find(effects, "dispatch")).toMatchObject({
    request: "a",
    server: "d1",
    prefillServer: "p1",
  });
  // The placing host knows the work already.
  const announced = effects.filter(({ type }) => type === "announce_work");
  expect(announced).toMatchObject([{ isPlaced: true }, { isPlaced: true }]);
});

test("hosts that know nothing of each other spread over the engines", () => {
  const placing = createHost({ isPlacing: true });
  const engines = ["d1", "d2", "d3", "d4"];
  const hosts = Array.from({ length: 40 }, (_, seed) => createHost({ seed }));
  for (const id of engines) addEngine([placing, ...hosts], id);
  const counts = new Map<string, number>();
  for (const [index, host] of hosts.entries()) {
    const query = ask(host, makePrompt(`r${index}`, { arrivedAt: 10 }));
    const { placement } = place(placing, query, 10);
    const server = placement.type === "placed" ? placement.server : "none";
    counts.set(server, (counts.get(server) ?? 0) + 1);
  }
  // Forty equal prompts of 850 ms do not all start in time: none is lost, and
  // no engine gets more than its part.
  for (const id of engines) expect(counts.get(id) ?? 0).toBeLessThanOrEqual(10);
});

test("ends of work free the engine on the placing host", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  addEngine([placing, host], "d1");
  const answer = place(placing, ask(host, makePrompt("a")), 11);
  const dispatch = find(receive(host, answer, 12), "dispatch");
  const engine = placing.state.table.servers.get("d1" as BackendServerId);
  expect(engine?.queue.size).toBe(1);
  const effects = host.send({
    type: "first_token",
    now: 900,
    request: dispatch?.request ?? "" as never,
    attempt: dispatch?.attempt ?? "" as never,
  });
  for (const effect of effects) {
    if (effect.type !== "announce_work_end") continue;
    placing.send({ type: "work_ended", now: 901, end: effect.end });
  }
  expect(engine?.queue.size).toBe(0);
  expect(engine?.streams.running(901)).toBe(1);
});

test("a host whose query is not answered chooses itself and announces it", () => {
  const host = createHost();
  addEngine([host], "d1");
  const { query } = ask(host, makePrompt("a"));
  const { request } = query;
  const effects = host.send({ type: "placement_unanswered", now: 90, request });
  expect(find(effects, "dispatch")).toMatchObject({ server: "d1" });
  expect(find(effects, "announce_work")).toMatchObject({ isPlaced: false });
});

test("a late answer is not used, and its work is ended", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  addEngine([placing, host], "d1");
  const query = ask(host, makePrompt("a"));
  const { request } = query.query;
  host.send({ type: "placement_unanswered", now: 90, request });
  const late = place(placing, query, 95);
  const effects = receive(host, late, 130);
  expect(find(effects, "dispatch")).toBeUndefined();
  const ends = effects.flatMap((effect) =>
    effect.type === "announce_work_end" ? [effect.end.ended] : []
  );
  expect(ends).toEqual(["dropped", "answered"]);
});

test("the work of a placement is ended if the caller has left", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  addEngine([placing, host], "d1");
  const query = ask(host, makePrompt("a"));
  host.send({ type: "caller_gone", now: 11, request: query.query.request });
  const effects = receive(host, place(placing, query, 11), 12);
  expect(find(effects, "dispatch")).toBeUndefined();
  const ends: EngineWorkEnd[] = effects.flatMap((effect) =>
    effect.type === "announce_work_end" ? [effect.end] : []
  );
  for (const end of ends) placing.send({ type: "work_ended", now: 13, end });
  const engine = placing.state.table.servers.get("d1" as BackendServerId);
  expect(engine?.queue.size).toBe(0);
  expect(engine?.streams.count(13)).toBe(0);
});

test("a placement on an engine that left is replaced at once", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  addEngine([placing], "d1");
  addEngine([host], "d1");
  addEngine([host], "d2");
  const query = ask(host, makePrompt("a"));
  const answer = place(placing, query, 11);
  host.seeServer(makeServer("d1", {
    models: [model],
    role: "decode",
    region,
    acceptsNewWork: false,
  }));
  const effects = receive(host, answer, 12);
  expect(find(effects, "dispatch")).toMatchObject({ server: "d2" });
  expect(find(effects, "announce_work_end")).toBeDefined();
});

test("a placing host that knows no engine yet does not answer", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  addEngine([host], "d1");
  const query = ask(host, makePrompt("a"));
  expect(place(placing, query, 11)).toBeUndefined();
});

test("refuses at once what would start too late, with a true delay", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  addEngine([placing, host], "d1");
  placing.send({
    type: "work_announced",
    now: 5,
    work: {
      server: "d1" as BackendServerId,
      id: 1,
      milliseconds: 5_000,
      answers: false,
      rank: 0,
      parts: [],
    },
  });
  const effects = receive(
    host,
    place(placing, ask(host, makePrompt("a")), 11),
    12,
  );
  const refusal = find(effects, "refuse");
  expect(refusal).toMatchObject({ kind: "overloaded", outcome: "not_run" });
  const wait = (refusal?.retryAfterSeconds ?? 0) * 1_000;
  const back = ask(host, makePrompt("b", { arrivedAt: 13 + wait }));
  expect(place(placing, back, 14 + wait).placement.type).toBe("placed");
});

test("an old load report does not refuse a request before it is placed", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  addEngine([placing, host], "d1", { capacity: 6 });
  for (let index = 0; index < 30; index += 1) {
    const now = 10 + index * 100;
    const work = makePrompt(`r${index}`, { arrivedAt: now });
    const answer = place(placing, ask(host, work), now);
    const dispatch = find(receive(host, answer, now), "dispatch");
    // The last one keeps running.
    if (dispatch === undefined || index === 29) continue;
    for (const effect of host.finish(dispatch, now + 90)) {
      if (effect.type !== "announce_work_end") continue;
      placing.send({ type: "work_ended", now: now + 90, end: effect.end });
    }
  }
  host.seeServer(
    makeServer("d1", {
      models: [model],
      role: "decode",
      region,
      capacity: 6,
      load: {
        runningRequests: 6,
        queuedRequests: 12,
        cacheTokensUsed: 0,
        cacheTokensTotal: 0,
      },
    }),
    3_100,
  );
  const late = host.arrive(makePrompt("late", { arrivedAt: 3_200 }));
  expect(find(late, "refuse")).toBeUndefined();
  expect(find(late, "request_placement")).toBeDefined();
});

test("urgent requests get slots that others may not use", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  addEngine([placing, host], "d1", { capacity: 6 });
  const short = {
    promptTokens: 100,
    promptParts: [{ id: "own", tokens: 100 }],
  };
  const outcomes = Array.from({ length: 9 }, (_, index) => {
    const work = makePrompt(`r${index}`, { ...short, rank: 2 });
    return place(placing, ask(host, work), 10).placement.type;
  });
  expect(outcomes.at(-1)).toBe("refused");
  const urgent = ask(host, makePrompt("urgent", { ...short, rank: 0 }));
  expect(place(placing, urgent, 10).placement.type).toBe("placed");
});

test("a stream takes a slot only once its prompt is computed", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  for (const id of ["p1", "p2", "p3", "p4"]) {
    addEngine([placing, host], id, { role: "prefill" });
  }
  addEngine([placing, host], "d1", { capacity: 6 });
  // Long prompts queue on the prefill engines while all slots are free.
  const placements = Array.from({ length: 12 }, (_, index) => {
    const work = makePrompt(`r${index}`, { rank: 2 });
    return place(placing, ask(host, work), 10).placement.type;
  });
  expect(placements).not.toContain("refused");
});

test("late prompts wait behind the urgent ones that keep arriving", () => {
  const queue = new EngineQueue();
  let now = 0;
  for (let id = 0; id < 60; id += 1) {
    queue.add(id, { milliseconds: 45, rank: 2 }, now);
    now += 45;
    queue.complete(id, now);
    now += 5;
  }
  queue.add(100, { milliseconds: 300, rank: 7 }, now);
  expect(queue.waitTime(now, 7)).toBe(300);
  // Urgent prompts take nine tenths of the engine's time.
  expect(queue.lateWaitTime(now, 7)).toBeGreaterThan(1_500);
  // A single long prompt in the queue is no sustained load.
  const quiet = new EngineQueue();
  quiet.add(1, { milliseconds: 900, rank: 2 }, 0);
  expect(quiet.lateWaitTime(0, 7)).toBe(900);
});

test("the speed of fast engines is learned within a few prompts", () => {
  const speed = new EngineSpeed();
  const tokens = 9_200;
  for (let count = 0; count < 10; count += 1) {
    speed.learnPromptTime({ tokens, role: "prefill", elapsed: 27 });
  }
  expect(speed.promptTime(tokens, "prefill")).toBeLessThan(27 * 3);
  // Engines of a role that has not been observed are as much faster.
  const expected = speed.promptTime(tokens, "prefill") / 0.035 * 0.085;
  expect(speed.promptTime(tokens, "decode")).toBeCloseTo(expected, 5);
});

test("a wait at an engine does not count as its fixed time", () => {
  const speed = new EngineSpeed();
  for (let count = 0; count < 20; count += 1) speed.learnFixedTime(5);
  const short = speed.fixedTime;
  for (let count = 0; count < 20; count += 1) speed.learnFixedTime(300);
  expect(speed.fixedTime).toBeLessThan(short + 60);
});

test("times over long paths do not make near engines look slow", () => {
  const placing = createHost({ isPlacing: true });
  addEngine([placing], "near", { role: "prefill" });
  addEngine([placing], "far", { role: "prefill", region: elsewhere });
  placing.send({
    type: "path_measured",
    now: 0,
    region: elsewhere,
    roundTrip: 60,
  });
  let id = 0;
  const compute = (server: string, now: number, elapsed: number) => {
    id += 1;
    const work = {
      server: server as BackendServerId,
      id,
      milliseconds: 30,
      uncachedTokens: 9_000,
      answers: false,
      rank: 2,
      parts: [],
    };
    placing.send({ type: "work_announced", now, work });
    placing.send({
      type: "work_ended",
      now: now + elapsed,
      end: { server: work.server, id, ended: "computed" },
    });
  };
  // A query creates the state of the pool.
  place(placing, ask(placing2(), makePrompt("first")), 0);
  for (let round = 1; round <= 20; round += 1) {
    compute("near", round * 200, 30);
    compute("far", round * 200, 35);
  }
  const pool = placing.state.poolStates.get(`model ${model}`);
  expect(pool?.slowServers.isSlow("near" as BackendServerId, 4_100)).toBe(
    false,
  );

  function placing2(): Host {
    const host = createHost();
    addEngine([host], "near", { role: "prefill" });
    return host;
  }
});

test("an incarnation that restarts loses the work of its earlier process", () => {
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  addEngine([placing, host], "d1");
  place(placing, ask(host, makePrompt("a")), 11);
  placing.seeServer(
    makeServer("d1", {
      models: [model],
      role: "decode",
      region,
      incarnation: 2 as Incarnation,
    }),
    20,
  );
  const engine = placing.state.table.servers.get("d1" as BackendServerId);
  expect(engine?.queue.size).toBe(0);
});

// Guards against an engine that gets half of the requests that it takes, because
// a prompt that it computes itself counts twice.
test("an engine with a limit gets all the requests that it takes", () => {
  const limit = 5;
  const seconds = 10;
  const placing = createHost({ isPlacing: true });
  const host = createHost();
  const server = "d1" as BackendServerId;
  addEngine([placing, host], server);
  placing.send({ type: "request_limit_observed", now: 0, server, limit });
  let placed = 0;
  for (let now = 20; now < seconds * 1_000; now += 20) {
    const work = makePrompt(`r${now}`, { arrivedAt: now, promptTokens: 10 });
    const { placement } = place(placing, ask(host, work), now);
    if (placement.type !== "placed") continue;
    placed += 1;
    for (const { id } of placement.works) {
      const end = { server, id, ended: "answered" } as const;
      placing.send({ type: "work_ended", now, end });
    }
  }
  expect(placed).toBeLessThanOrEqual(limit * seconds + 5);
  expect(placed).toBeGreaterThanOrEqual(limit * seconds * 0.9);
});
