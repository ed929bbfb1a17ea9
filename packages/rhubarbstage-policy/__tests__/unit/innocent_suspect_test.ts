/**
 * Requests that run beside one that crashes servers, on another host, and meet
 * it again on the server where they are repeated.
 */

import type { Region } from "rhubarbstage";
import { FleetPolicy, type PolicyEvent } from "../../src/mod.ts";
import {
  type Dispatch,
  makeServer,
  makeWork,
  PolicyDriver,
} from "./fixtures.ts";

/** Time between the crashes of the two servers, in milliseconds. */
const crashInterval = 56;
/** Time after which the answers to crashed requests are due, in ms. */
const propagationTime = 1_500;

type Driver = ReturnType<typeof makeHost>;

function makeHost() {
  return new PolicyDriver(new FleetPolicy({ region: "attica" as Region }));
}

/** Shows a server to hosts on which it is the only one with a free slot. */
function seeServer(hosts: readonly Driver[], id: string, now: number): void {
  for (const host of hosts) host.seeServer(makeServer(id), now);
}

function arrive(host: Driver, id: string, now: number): Dispatch {
  const work = makeWork(id, { arrivedAt: now, deadlineAt: now + deadline });
  return host.dispatches(host.arrive(work, now))[0]!;
}

function answer(host: Driver, run: Dispatch, now: number): void {
  const { request, attempt } = run;
  host.send({ type: "first_token", now, request, attempt });
  host.send({ type: "tokens", now, request, attempt, count: 5 });
}

function crash(host: Driver, run: Dispatch, now: number) {
  const { request, attempt } = run;
  return host.send({
    type: "failed",
    now,
    request,
    attempt,
    kind: "backend_failed",
    outcome: "may_have_run",
    deliveredTokens: host === innocentHost && isAnswered ? 5 : 0,
    connectionLost: true,
  });
}

/** Delivers the newest marks that a host has published. */
function gossip(from: Driver, to: Driver, now: number): void {
  const marks = from.effects.findLast((effect) =>
    effect.type === "publish_quarantine"
  );
  if (marks === undefined) return;
  const type: PolicyEvent["type"] = "quarantine_reported";
  to.send({ type, now, marks: marks.marks });
}

let deadlyHost: Driver;
let innocentHost: Driver;
let isAnswered: boolean;
/** Time that callers wait, in milliseconds. */
let deadline: number;

/**
 * Crashes two servers by a request of one host, beside a request of the other
 * one. Returns the time of the second crash.
 */
function crashTwoServers(): number {
  const hosts = [deadlyHost, innocentHost];
  seeServer(hosts, "first", 0);
  let innocent = arrive(innocentHost, "innocent", 0);
  let deadly = arrive(deadlyHost, "deadly", 10);
  if (isAnswered) answer(innocentHost, innocent, 20);
  seeServer(hosts, "second", 30);
  [deadly] = deadlyHost.dispatches(crash(deadlyHost, deadly, 100)) as [
    Dispatch,
  ];
  deadly ??= deadlyHost.dispatches(deadlyHost.tick(110))[0]!;
  [innocent] = innocentHost.dispatches(crash(innocentHost, innocent, 101)) as [
    Dispatch,
  ];
  innocent ??= innocentHost.dispatches(innocentHost.tick(110))[0]!;
  expect([deadly.server, innocent.server]).toEqual(["second", "second"]);
  seeServer(hosts, "third", 120);
  const now = 100 + crashInterval;
  crash(deadlyHost, deadly, now);
  crash(innocentHost, innocent, now + 1);
  return now + 1;
}

beforeEach(() => {
  deadlyHost = makeHost();
  innocentHost = makeHost();
  isAnswered = true;
  deadline = 60_000;
});

describe("a request beside one that crashes two servers", () => {
  // Guards against refusing a request whose answer had begun, because it met the
  // crashing request of another host on both servers (serving_test.ts, issue 2).
  test("runs again once the other one explains the second crash", () => {
    const crashedAt = crashTwoServers();
    gossip(deadlyHost, innocentHost, crashedAt + 100);
    const effects = innocentHost.tick(crashedAt + propagationTime + 10);
    expect(innocentHost.refusals()).toEqual([]);
    const [run] = innocentHost.dispatches(effects);
    expect(run).toMatchObject({ request: "innocent", server: "third" });
    innocentHost.finish(run!, crashedAt + 3_000);
    // The other one is refused on both hosts.
    for (const host of [deadlyHost, innocentHost]) {
      const work = makeWork("again", {
        fingerprint: "fingerprint-deadly",
        arrivedAt: crashedAt + 3_100,
      });
      host.arrive(work, crashedAt + 3_100);
      expect(host.refusals().at(-1)).toMatchObject({
        request: "again",
        kind: "request_quarantined",
      });
    }
  });

  test("is not refused where both hosts' marks arrive, in either order", () => {
    const crashedAt = crashTwoServers();
    for (const order of [[0, 1], [1, 0]]) {
      const third = makeHost();
      seeServer([third], "third", 0);
      for (const index of order) {
        const from = [deadlyHost, innocentHost][index]!;
        gossip(from, third, crashedAt + 100);
      }
      for (const name of ["innocent", "deadly"]) {
        const work = makeWork(`resent-${name}`, {
          fingerprint: `fingerprint-${name}`,
        });
        third.arrive(work, crashedAt + 200);
      }
      expect(third.refusals().map(({ request }) => request))
        .toEqual(["resent-deadly"]);
    }
  });

  test("is refused if nothing explains the second crash", () => {
    const crashedAt = crashTwoServers();
    const effects = innocentHost.tick(crashedAt + propagationTime + 10);
    expect(innocentHost.refusals(effects)).toMatchObject([
      { request: "innocent", kind: "request_quarantined" },
    ]);
  });

  // Guards against a rule that spares requests that crash servers themselves: what
  // has not begun to answer may be either.
  test("is refused, too, if it has not begun to answer", () => {
    isAnswered = false;
    const crashedAt = crashTwoServers();
    gossip(deadlyHost, innocentHost, crashedAt + 100);
    const effects = innocentHost.tick(crashedAt + propagationTime + 10);
    expect(innocentHost.refusals(effects)).toMatchObject([
      { request: "innocent", kind: "request_quarantined" },
    ]);
  });

  // Guards against a request that crashes servers late in its answer and is spared
  // each time for what runs beside it.
  test("is spared once at most", () => {
    const crashedAt = crashTwoServers();
    gossip(deadlyHost, innocentHost, crashedAt + 100);
    const effects = innocentHost.tick(crashedAt + propagationTime + 10);
    const [run] = innocentHost.dispatches(effects);
    crash(innocentHost, run!, crashedAt + 3_000);
    // Another blocked request on the same server explains it as well.
    innocentHost.send({
      type: "quarantine_reported",
      now: crashedAt + 3_100,
      marks: [{
        fingerprint: "fingerprint-other",
        crashes: 2,
        blocked: true,
        age: 0,
        crash: { id: "third/1", hasAnswered: false },
      }],
    });
    const last = innocentHost.tick(crashedAt + 6_000);
    expect(innocentHost.refusals(last)).toMatchObject([
      { request: "innocent", kind: "request_quarantined" },
    ]);
  });

  // Guards against answers that let callers resend before the marks have spread.
  test("is refused no earlier if its deadline passes meanwhile", () => {
    deadline = 1_000;
    const crashedAt = crashTwoServers();
    expect(innocentHost.refusals(innocentHost.tick(1_100))).toEqual([]);
    gossip(deadlyHost, innocentHost, 1_200);
    const effects = innocentHost.tick(crashedAt + propagationTime + 10);
    expect(innocentHost.dispatches(effects)).toEqual([]);
    expect(innocentHost.refusals(effects)).toMatchObject([
      { request: "innocent", outcome: "may_have_run" },
    ]);
  });

  test("is not run again for a caller that has gone", () => {
    const crashedAt = crashTwoServers();
    gossip(deadlyHost, innocentHost, crashedAt + 100);
    innocentHost.send({
      type: "caller_gone",
      now: crashedAt + 200,
      request: makeWork("innocent").request,
    });
    const effects = innocentHost.tick(crashedAt + propagationTime + 10);
    expect(innocentHost.dispatches(effects)).toEqual([]);
    expect(innocentHost.refusals(effects)).toEqual([]);
  });
});
