/**
 * Streams while servers of several software versions serve. Pattern: a rolling
 * release under load, in which engines crash and streams go on elsewhere.
 */

import type {
  BackendServerId,
  HostId,
  Region,
  RequestId,
  SoftwareVersion,
} from "rhubarbstage";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import type { PolicyEffect } from "../../src/types.ts";
import {
  type Dispatch,
  makeServer,
  makeWork,
  PolicyDriver,
  type WorkChanges,
} from "./fixtures.ts";

const old = "v1" as SoftwareVersion;
const current = "v1.1" as SoftwareVersion;
/** Seeds of the random choices among equally good servers. */
const seeds = [1, 2, 3, 4, 5, 6];

/** Engines of the old version `a` and `b`, and of the current one `x` to `z`. */
const engines: readonly (readonly [string, SoftwareVersion])[] = [
  ["a", old],
  ["b", old],
  ["x", current],
  ["y", current],
  ["z", current],
];

function makeHost(
  seed: number,
  settings: { readonly shareEngineState: boolean },
) {
  const host = new PolicyDriver(
    new FleetPolicy({ region: "attica" as Region, seed, settings }),
  );
  for (const [id, softwareVersion] of engines) {
    host.seeServer(makeServer(id, { softwareVersion }));
  }
  return host;
}

type Host = ReturnType<typeof makeHost>;

function versionOf({ server }: { readonly server: BackendServerId }) {
  return engines.find(([id]) => id === server)?.[1];
}

/** Breaks a dispatched request off after some tokens. */
function breakOff(
  host: Host,
  { request, attempt }: Dispatch,
  options: { readonly deliveredTokens: number },
): readonly PolicyEffect[] {
  const { deliveredTokens } = options;
  if (deliveredTokens > 0) {
    const count = deliveredTokens;
    host.send({ type: "tokens", now: 100, request, attempt, count });
  }
  return host.send({
    type: "failed",
    now: 200,
    request,
    attempt,
    kind: deliveredTokens > 0 ? "stream_interrupted" : "backend_failed",
    outcome: "may_have_run",
    deliveredTokens,
    connectionLost: true,
  });
}

function dispatchOne(host: Host, changes: WorkChanges = {}): Dispatch {
  const [dispatch] = host.dispatches(host.arrive(makeWork("r", changes)));
  return dispatch as Dispatch;
}

function removeServers(host: Host, ids: readonly string[]): void {
  for (const id of ids) {
    const server = id as BackendServerId;
    host.send({ type: "server_gone", now: 0, server, crashed: false });
  }
}

describe.each([true, false])("with shared engine state %p", (shared) => {
  // Guards against one answer joined from two software versions when the server
  // that began it crashes.
  test("a broken stream goes on at its software version", () => {
    for (const seed of seeds) {
      const host = makeHost(seed, { shareEngineState: shared });
      const first = dispatchOne(host);
      const effects = breakOff(host, first, { deliveredTokens: 3 });
      const versions = host.dispatches(effects).map(versionOf);
      expect(versions).toEqual([versionOf(first)]);
    }
  });

  // Guards against the same when no other server of that version is left.
  test("a broken stream is refused if no server of its version is left", () => {
    const host = makeHost(1, { shareEngineState: shared });
    removeServers(host, ["a", "x", "y", "z"]);
    const first = dispatchOne(host);
    host.seeServer(makeServer("z", { softwareVersion: current }));
    const effects = [
      ...breakOff(host, first, { deliveredTokens: 3 }),
      // Refusals after a crash wait until its marks have reached all hosts.
      ...host.tick(3_000),
    ];
    expect(host.dispatches(effects)).toEqual([]);
    expect(host.refusals(effects)).toMatchObject([
      { kind: "stream_interrupted", outcome: "may_have_run" },
    ]);
  });

  test("a request that broke before its first token goes on at any version", () => {
    const host = makeHost(1, { shareEngineState: shared });
    removeServers(host, ["a", "x", "y", "z"]);
    const first = dispatchOne(host);
    host.seeServer(makeServer("z", { softwareVersion: current }));
    const effects = breakOff(host, first, { deliveredTokens: 0 });
    expect(host.dispatches(effects)).toMatchObject([{ server: "z" }]);
  });
});

// Guards against a slow stream that is moved to another software version.
test("a slow stream moves only to a server of its software version", () => {
  const host = makeHost(1, { shareEngineState: false });
  const dispatches: Dispatch[] = [];
  for (let index = 0; index < 12; index += 1) {
    const work = makeWork(`w${index}`, { outputTokenLimit: 2_000 });
    dispatches.push(...host.dispatches(host.arrive(work, index)));
  }
  expect(dispatches).toHaveLength(12);
  const moves: { from: Dispatch; to: Dispatch }[] = [];
  for (let now = 100; now < 20_000; now += 100) {
    const effects: PolicyEffect[] = [];
    for (const { request, attempt, server } of dispatches) {
      const isSlow = server === "a";
      if (isSlow && now % 2_000 !== 100) continue;
      const count = isSlow ? 1 : 10;
      effects.push(
        ...host.send({ type: "tokens", now, request, attempt, count }),
      );
    }
    effects.push(...host.tick(now));
    for (const to of host.dispatches(effects)) {
      const from = dispatches.find(({ request }) => request === to.request);
      moves.push({ from: from as Dispatch, to });
    }
  }
  expect(moves.length).toBeGreaterThan(0);
  for (const { from, to } of moves) expect(versionOf(to)).toBe(versionOf(from));
});

describe("a stream that is taken up", () => {
  const answerOrigin = { softwareVersion: old };

  test("is placed at its software version by the host of the region", () => {
    for (const seed of seeds) {
      const asking = makeHost(seed, { shareEngineState: true });
      const placing = makeHost(seed, { shareEngineState: true });
      asking.send({ type: "placement_host_changed", now: 0, isRemote: true });
      const [effect] = asking.arrive(makeWork("r", { answerOrigin }));
      const { query } = effect as Extract<
        PolicyEffect,
        { type: "request_placement" }
      >;
      const from = "asker" as HostId;
      const [answer] = placing.send({
        type: "placement_requested",
        now: 1,
        from,
        query,
      });
      const { placement } = answer as Extract<
        PolicyEffect,
        { type: "answer_placement" }
      >;
      expect(placement.type === "placed" && versionOf(placement)).toBe(old);
    }
  });

  test("is not sent where the placing host errs in the version", () => {
    const host = makeHost(1, { shareEngineState: true });
    host.send({ type: "placement_host_changed", now: 0, isRemote: true });
    host.arrive(makeWork("r", { answerOrigin }));
    const effects = host.send({
      type: "placement_received",
      now: 2,
      request: "r" as RequestId,
      placement: {
        type: "placed",
        server: "x" as BackendServerId,
        rank: 0,
        uncachedTokens: 500,
        expectedWait: 0,
        expectedFirstToken: 50,
        works: [],
      },
    });
    expect(host.dispatches(effects).map(versionOf)).toEqual([old]);
  });

  test("is refused at once if its version no longer serves", () => {
    const host = makeHost(1, { shareEngineState: true });
    removeServers(host, ["a", "b"]);
    const effects = host.arrive(makeWork("r", { answerOrigin }));
    expect(host.refusals(effects)).toMatchObject([
      { kind: "no_backend_server", outcome: "not_run", retryAfterSeconds: 1 },
    ]);
  });

  test("is refused rather than hold up others if its version is busy", () => {
    const host = makeHost(1, { shareEngineState: true });
    removeServers(host, ["b"]);
    for (let index = 0; index < 40; index += 1) {
      host.arrive(makeWork(`busy-${index}`, { answerOrigin }));
    }
    const effects = host.arrive(makeWork("r", { answerOrigin }), 1);
    expect(host.refusals(effects)).toMatchObject([
      { kind: "overloaded", outcome: "not_run" },
    ]);
    const others = host.dispatches(host.arrive(makeWork("other"), 2));
    expect(others.map(versionOf)).toEqual([current]);
  });
});
