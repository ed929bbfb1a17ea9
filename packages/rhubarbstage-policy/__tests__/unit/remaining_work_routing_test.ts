/** Choice of servers by likely cost, pace and remaining work in the policy. */

import type {
  AvailabilityZone,
  BackendServerId,
  HostId,
  Region,
  RequestId,
  ServiceName,
} from "rhubarbstage";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import type { FleetSettings } from "../../src/fleet_settings.ts";
import type { BackendServer, PlacementQuery } from "../../src/types.ts";
import {
  chat,
  type Dispatch,
  makeServer,
  makeWork,
  PolicyDriver,
} from "./fixtures.ts";

const region = "attica" as Region;
const charges = "charges" as ServiceName;

function createDriver(changes: Partial<FleetSettings> = {}) {
  return new PolicyDriver(
    new FleetPolicy({
      region,
      availabilityZone: "attica-1" as AvailabilityZone,
      seed: 4,
      hosts: 20,
      settings: {
        shareEngineState: true,
        longCostFactor: 1e6,
        routeByRemainingWork: true,
        ...changes,
      },
    }),
  );
}

const loadOf = (requests: number, pace?: number) => ({
  runningRequests: requests,
  queuedRequests: 0,
  cacheTokensUsed: 0,
  cacheTokensTotal: 0,
  ...(pace === undefined ? {} : { pace }),
});

function plainServer(id: string, changes: Partial<BackendServer> = {}) {
  return makeServer(id, {
    models: [],
    services: [charges],
    capacity: 6,
    ...changes,
  });
}

function plainWork(id: string, now: number) {
  const work = makeWork(id, {
    service: charges,
    arrivedAt: now,
    deadlineAt: now + 5_000,
  });
  const { model: _model, ...plain } = work;
  return plain;
}

function query(id: string, changes: Partial<PlacementQuery> = {}) {
  return {
    type: "placement_requested",
    from: "host-2" as HostId,
    query: {
      request: id as RequestId,
      model: chat,
      promptTokens: 6_000,
      outputTokens: 20,
      parts: [{ id: `own-${id}`, tokens: 6_000 }],
      rank: 1,
      waited: 0,
      firstTokenTarget: 1_000,
      startTimeout: 4_000,
      excludedServers: [],
      suspect: false,
      ...changes,
    },
  } as const;
}

describe("plain services", () => {
  // Guards against calls that wait on a slow server while others are free.
  test("calls avoid a server that works slowly", () => {
    const driver = createDriver();
    for (let now = 0; now < 3_000; now += 50) {
      driver.seeServer(plainServer("slow", { load: loadOf(2, 2.5) }), now);
      driver.seeServer(plainServer("usual", { load: loadOf(2, 1) }), now);
    }
    for (let index = 0; index < 20; index += 1) {
      const now = 3_000 + index * 100;
      const [sent] = driver.dispatches(
        driver.arrive(plainWork(`r${index}`, now), now),
      );
      driver.finish(sent as Dispatch, now + 45);
    }
    const servers = driver.dispatches().map(({ server }) => server as string);
    const slow = servers.filter((server) => server === "slow");
    expect(slow.length).toBeLessThan(3);
  });

  // Guards against a server that counts as full because of a report from long
  // ago, so that calls wait at the host.
  test("an old report of a full server does not hold calls", () => {
    const driver = createDriver();
    driver.seeServer(plainServer("one", { load: loadOf(12, 1) }), 0);
    for (let index = 0; index < 3; index += 1) {
      driver.arrive(plainWork(`r${index}`, 10_000), 10_000);
    }
    expect(driver.dispatches()).toHaveLength(3);
  });

  // Guards against more calls behind one that has been waiting for long.
  test("calls avoid a server on which an own call is overdue", () => {
    const driver = createDriver();
    driver.seeServer(plainServer("stuck"), 0);
    driver.arrive(plainWork("first", 0), 0);
    driver.seeServer(plainServer("other"), 0);
    for (let index = 0; index < 5; index += 1) {
      driver.arrive(plainWork(`r${index}`, 400), 400);
    }
    const servers = driver.dispatches().map(({ server }) => server as string);
    expect(servers).toEqual(["stuck", ...Array(5).fill("other")]);
  });
});

describe("engines", () => {
  function seeEngines(
    driver: ReturnType<typeof createDriver>,
    changes: Partial<BackendServer> = {},
  ) {
    driver.seeServer(makeServer("near", { cacheTokens: 90_000 }));
    driver.seeServer(makeServer("other", { cacheTokens: 90_000, ...changes }));
  }

  function placedOn(driver: ReturnType<typeof createDriver>, now: number) {
    const [answer] = driver.send({ ...query(`q${now}`), now });
    if (answer?.type !== "answer_placement") throw new Error("no answer");
    if (answer.placement.type !== "placed") return undefined;
    for (const { server, id } of answer.placement.works) {
      driver.send({
        type: "work_ended",
        now,
        end: { server, id, ended: "dropped" },
      });
      driver.send({
        type: "work_ended",
        now,
        end: { server, id, ended: "answered" },
      });
    }
    return answer.placement.server as string;
  }

  // Guards against prompts on an engine in a slow phase, and against an engine
  // that is avoided after the phase.
  test("prompts avoid an engine during its slow phase only", () => {
    const driver = createDriver();
    seeEngines(driver);
    const end = { server: "near" as BackendServerId, id: 7, pace: 2.5 };
    driver.send({
      type: "work_ended",
      now: 1_000,
      end: { ...end, ended: "computed" },
    });
    const during = Array.from({ length: 8 }, () => placedOn(driver, 1_000));
    expect(new Set(during)).toEqual(new Set(["other"]));
    const later = Array.from({ length: 40 }, () => placedOn(driver, 120_000));
    expect(later).toContain("near");
  });

  // Guards against billed traffic between zones without a gain in time.
  test("prompts stay in the zone of the asking host", () => {
    const driver = createDriver({ crossZonePenalty: 30 });
    seeEngines(driver, {
      availabilityZone: "attica-2" as AvailabilityZone,
    });
    const zone = "attica-2" as AvailabilityZone;
    for (const [asking, expected] of [[undefined, "near"], [zone, "other"]]) {
      const [answer] = driver.send({
        ...query(`q-${expected}`, asking === undefined ? {} : { zone }),
        now: 0,
      });
      expect(answer).toMatchObject({ placement: { server: expected } });
    }
  });
});

// Guards against streams that seem to generate nothing, and against a claim that
// is believed although it was never right.
test("the expected output follows the route without a limit or good claims", () => {
  const driver = createDriver();
  driver.send({ type: "placement_host_changed", now: 0, isRemote: false });
  driver.seeServer(makeServer("engine", { capacity: 64 }));
  for (let index = 0; index < 40; index += 1) {
    const now = index * 100;
    const [sent] = driver.dispatches(driver.arrive(
      makeWork(`r${index}`, {
        arrivedAt: now,
        outputTokenLimit: 0,
        expectedOutputTokens: index % 2 === 0 ? 2 : 20_000,
      }),
    ));
    driver.finish(sent as Dispatch, now + 50);
  }
  driver.send({ type: "placement_host_changed", now: 5_000, isRemote: true });
  const [asked] = driver.arrive(
    makeWork("last", {
      arrivedAt: 5_000,
      outputTokenLimit: 0,
      expectedOutputTokens: 20_000,
    }),
  );
  if (asked?.type !== "request_placement") throw new Error("no query");
  expect(asked.query.outputTokens).toBeGreaterThan(60);
  expect(asked.query.outputTokens).toBeLessThan(250);
  expect(asked.query.zone).toBe("attica-1");
});

describe("the setting `automatic`", () => {
  // Guards against a host that alternates between the two choices.
  test("begins with the first stated pace and does not end", () => {
    const driver = createDriver({ routeByRemainingWork: "automatic" });
    const compared = (now: number) => {
      const [sent] = driver.dispatches(
        driver.arrive(plainWork(`r${now}`, now), now),
      );
      return driver.finish(sent as Dispatch, now + 45)
        .some(({ type }) => type === "compare_cost");
    };
    driver.seeServer(plainServer("one", { load: loadOf(1) }), 0);
    expect(compared(0)).toBe(false);
    driver.seeServer(plainServer("one", { load: loadOf(1, 1) }), 100);
    expect(compared(200)).toBe(true);
    driver.seeServer(plainServer("one", { load: loadOf(1) }), 60_000);
    expect(compared(60_000)).toBe(true);
  });
});

// Guards against decisions that become slow with the setting or the fleet.
test.each([78, 600])("%d engines: a decision stays cheap", (engines) => {
  const off = decisionTime(engines, false);
  const on = decisionTime(engines, true);
  expect(on).toBeLessThan(off * 2 + 0.05);
});

/** Median time of a placement, in milliseconds. */
function decisionTime(engines: number, routeByRemainingWork: boolean): number {
  const driver = createDriver({ routeByRemainingWork });
  for (let index = 0; index < engines; index += 1) {
    driver.seeServer(makeServer(`engine-${index}`, {
      region: `region-${index % 3}` as Region,
      role: index % 2 === 0 ? "prefill" : "decode",
      capacity: 12,
      cacheTokens: 700_000,
      load: loadOf(index % 9, 1 + index % 3),
    }));
  }
  const times: number[] = [];
  for (let index = 0; index < 600; index += 1) {
    const startedAt = performance.now();
    driver.send({ ...query(`q${index}`), now: index * 10 });
    times.push(performance.now() - startedAt);
  }
  return times.sort((left, right) => left - right)[300] as number;
}
