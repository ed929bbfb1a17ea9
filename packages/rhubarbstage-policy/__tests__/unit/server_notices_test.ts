/**
 * Servers that leave or ask for a pause in their answers. Pattern: a busy server
 * turns callers away while its announcements are late.
 */

import type {
  BackendServerId,
  Incarnation,
  Region,
  RequestId,
  ServiceName,
} from "rhubarbstage";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import type { PolicyEffect, ServerNotice, Work } from "../../src/types.ts";
import {
  chat,
  makeServer,
  makeWork,
  PolicyDriver,
  type WorkChanges,
} from "./fixtures.ts";

const service = "balances" as ServiceName;

/** A host with the servers `a` and `b`, engines or of a plain service. */
function makeHost(
  options: { readonly hosts?: number; readonly arePlain?: boolean } = {},
) {
  const { hosts = 8, arePlain = false } = options;
  const host = new PolicyDriver(
    new FleetPolicy({
      region: "attica" as Region,
      seed: 5,
      hosts,
      settings: { shareEngineState: true, maxServerPause: 10_000 },
    }),
  );
  for (const id of ["a", "b"]) {
    host.seeServer(makeServer(
      id,
      arePlain ? { models: [], services: [service] } : { models: [chat] },
    ));
  }
  return host;
}

type Host = ReturnType<typeof makeHost>;

function notice(
  host: Host,
  server: string,
  notice: ServerNotice,
  options: { readonly now?: number; readonly incarnation?: number } = {},
): readonly PolicyEffect[] {
  const { now = 10, incarnation = 1 } = options;
  return host.send({
    type: "server_notice_observed",
    now,
    server: server as BackendServerId,
    incarnation: incarnation as Incarnation,
    notice,
  });
}

function makePlainWork(id: string, changes: WorkChanges = {}): Work {
  const { model: _model, ...work } = makeWork(id, { service, ...changes });
  return work;
}

/** Servers that get twelve requests in a row. */
function usedServers(
  host: Host,
  now: number,
  make: typeof makeWork = makeWork,
): Set<string> {
  const used = new Set<string>();
  for (let index = 0; index < 12; index += 1) {
    const work = make(`${now}-${index}`, {
      arrivedAt: now,
      deadlineAt: now + 6_000,
    });
    for (const dispatch of host.dispatches(host.arrive(work))) {
      used.add(dispatch.server);
      host.finish(dispatch, now);
    }
  }
  return used;
}

describe.each([8, 195])("at %i hosts", (hosts) => {
  // Guards against requests to a server that has said that it leaves, though its
  // announcement has not.
  test("a server that leaves gets no more requests until its process ends", () => {
    for (const arePlain of [true, false]) {
      const make = arePlain ? makePlainWork : makeWork;
      const host = makeHost({ hosts, arePlain });
      expect([...usedServers(host, 5, make)].sort()).toEqual(["a", "b"]);
      notice(host, "a", { isLeaving: true });
      for (const now of [20, 60_000, 3_600_000]) {
        expect([...usedServers(host, now, make)]).toEqual(["b"]);
      }
      const kind = arePlain ? { models: [], services: [service] } : {};
      const incarnation = 2 as Incarnation;
      host.seeServer(makeServer("a", { incarnation, ...kind }), 3_700_000);
      expect([...usedServers(host, 3_700_001, make)].sort())
        .toEqual(["a", "b"]);
    }
  });

  // Guards against requests to a server within the pause that it asked for.
  test("a server that asks for a pause gets no requests until it is over", () => {
    const host = makeHost({ hosts });
    notice(host, "a", { isLeaving: false, pause: 2_000 });
    notice(host, "a", { isLeaving: false, pause: 500 }, { now: 20 });
    expect([...usedServers(host, 2_009)]).toEqual(["b"]);
    expect([...usedServers(host, 2_011)].sort()).toEqual(["a", "b"]);
  });
});

test("a pause lasts no longer than the settings allow", () => {
  const host = makeHost();
  notice(host, "a", { isLeaving: false, pause: 3_600_000 });
  expect([...usedServers(host, 10_009)]).toEqual(["b"]);
  expect([...usedServers(host, 10_011)].sort()).toEqual(["a", "b"]);
});

test("an answer of an earlier process says nothing of the present one", () => {
  const host = makeHost();
  host.seeServer(makeServer("a", { incarnation: 2 as Incarnation }), 5);
  const effects = notice(host, "a", { isLeaving: true }, { incarnation: 1 });
  expect(effects).toEqual([]);
  expect([...usedServers(host, 20)].sort()).toEqual(["a", "b"]);
});

test("each change is logged once", () => {
  const host = makeHost();
  const leaving = { isLeaving: true };
  expect(notice(host, "a", leaving)).toMatchObject([
    { type: "note", event: "server_leaving" },
  ]);
  expect(notice(host, "a", leaving)).toEqual([]);
  const paused = { isLeaving: false, pause: 1_000 };
  expect(notice(host, "b", paused)).toMatchObject([
    { type: "note", event: "server_paused" },
  ]);
  expect(notice(host, "b", paused)).toEqual([]);
});

// Guards against a wait until the deadline while every server pauses.
test("callers are told the shortest pause if all servers pause", () => {
  const host = makeHost();
  notice(host, "a", { isLeaving: false, pause: 9_000 });
  notice(host, "b", { isLeaving: false, pause: 6_000 });
  const work = makeWork("r", { arrivedAt: 10, deadlineAt: 4_000 });
  const [refusal] = host.refusals(host.arrive(work));
  expect(refusal).toMatchObject({ kind: "overloaded", outcome: "not_run" });
  expect(refusal?.retryAfterSeconds).toBeGreaterThan(3);
  expect(refusal?.retryAfterSeconds).toBeLessThan(8);
});

test("a request waits for the end of a pause that its deadline allows", () => {
  const host = makeHost();
  for (const id of ["a", "b"]) {
    notice(host, id, { isLeaving: false, pause: 1_000 });
  }
  const work = makeWork("r", { arrivedAt: 10, deadlineAt: 6_000 });
  expect(host.dispatches(host.arrive(work))).toEqual([]);
  expect(host.dispatches(host.tick(1_000))).toEqual([]);
  expect(host.dispatches(host.tick(1_020))).toHaveLength(1);
});

// Guards against a placing host that has not heard what a server said here.
test("the placing host is asked for other servers, and its error is noticed", () => {
  const host = makeHost();
  host.send({ type: "placement_host_changed", now: 0, isRemote: true });
  notice(host, "a", { isLeaving: true });
  const [effect] = host.arrive(makeWork("r", { arrivedAt: 20 }));
  expect(effect).toMatchObject({
    type: "request_placement",
    query: { excludedServers: ["a"] },
  });
  const effects = host.send({
    type: "placement_received",
    now: 21,
    request: "r" as RequestId,
    placement: {
      type: "placed",
      server: "a" as BackendServerId,
      rank: 0,
      uncachedTokens: 500,
      expectedWait: 0,
      expectedFirstToken: 50,
      works: [],
    },
  });
  expect(host.dispatches(effects)).toMatchObject([{ server: "b" }]);
});
