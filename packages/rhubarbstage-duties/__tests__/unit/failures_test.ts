/** Each failure by itself, in virtual time. */

import { brokenRules } from "./safety.ts";
import {
  type ReceivedCall,
  VirtualEntryHost,
  VirtualGroup,
  VirtualHost,
} from "./virtual_group.ts";
import { VirtualTime } from "./virtual_time.ts";

const windowLength = 5_000;
/** Time after its end at which the report of a window is due, in ms. */
const dueTime = 10_000;
const epoch = 1_700_000_000_000;

interface System {
  readonly time: VirtualTime;
  readonly group: VirtualGroup;
  readonly received: ReceivedCall[];
  readonly entryHosts: readonly VirtualEntryHost[];
  readonly a: VirtualHost;
  readonly b: VirtualHost;
}

let running: System | undefined;

/** Starts two control hosts and three entry hosts with 10 requests a second. */
function startSystem(): System {
  const time = new VirtualTime();
  const group = new VirtualGroup(time);
  const received: ReceivedCall[] = [];
  const entryHosts = ["x", "y", "z"].map((name) =>
    new VirtualEntryHost(name, time)
  );
  for (const entry of entryHosts) {
    const begin = () => {
      entry.begin("hule930");
      entry.machine.schedule(100, begin);
    };
    entry.machine.schedule(50, begin);
  }
  const [a, b] = ["a", "b"].map((name) =>
    new VirtualHost({ name, group, received, entryHosts })
  ) as [VirtualHost, VirtualHost];
  group.elect(a);
  running = { time, group, received, entryHosts, a, b };
  return running;
}

afterEach(() => {
  expect(brokenRules(running?.received ?? [])).toEqual([]);
});

/** Returns the count of each accepted window by its number from the start. */
function countsOf({ received }: System): ReadonlyMap<number, number> {
  const first = epoch / windowLength;
  return new Map(
    received.filter(({ accepted }) => accepted).map(({ window, counts }) => [
      window - first,
      (JSON.parse(counts) as [string, number][])[0]?.[1] ?? 0,
    ]),
  );
}

/** Expects the windows to be reported in time, with counts within 5%. */
function expectReports(system: System, windows: readonly number[]): void {
  const counts = countsOf(system);
  for (const window of windows) {
    const count = counts.get(window) ?? NaN;
    expect([window, Math.abs(count - 150) / 150 <= 0.05]).toEqual([
      window,
      true,
    ]);
    const reported = system.received.find((call) =>
      call.accepted && call.window === window + epoch / windowLength
    );
    const age = (reported?.at ?? Infinity) - (window + 1) * windowLength;
    expect(age).toBeLessThan(dueTime);
  }
}

test("windows are reported in time, each once", async () => {
  const system = startSystem();
  await system.time.run(40_000);
  expectReports(system, [1, 2, 3, 4, 5, 6]);
  expect(system.received.length).toBe(countsOf(system).size);
});

test("a holder that is killed loses no window", async () => {
  const system = startSystem();
  await system.time.run(17_000);
  system.a.restart();
  await system.time.run(1_500);
  system.group.elect(system.b);
  await system.time.run(20_000);
  expectReports(system, [1, 2, 3, 4, 5]);
  expect(new Set(system.received.map(({ machine }) => machine)).size).toBe(2);
});

test("a holder that restarts and leads again has a new token", async () => {
  const system = startSystem();
  await system.time.run(17_000);
  system.a.restart();
  await system.time.run(1_500);
  system.group.elect(system.a);
  await system.time.run(20_000);
  expectReports(system, [1, 2, 3, 4, 5]);
  expect(new Set(system.received.map(({ fence }) => fence)).size).toBe(2);
});

test.each(["freeze", "suspend"] as const)(
  "a holder that stops past its lease (%s) sends nothing afterwards",
  async (kind) => {
    const system = startSystem();
    await system.time.run(17_000);
    system.a.machine[kind](9_000);
    system.time.schedule(1_500, () => system.group.elect(system.b));
    await system.time.run(25_000);
    const stopped = system.received.findLast(({ machine }) => machine === "a");
    expect(stopped?.at).toBeLessThan(17_100);
    expectReports(system, [1, 2, 3, 4, 5, 6]);
  },
);

test.each([7_000, -7_000])(
  "a step of the holder's wall clock by %i ms shifts no window",
  async (change) => {
    const system = startSystem();
    await system.time.run(17_000);
    system.a.machine.stepWall(change);
    await system.time.run(20_000);
    expectReports(system, [1, 2, 3, 4, 5]);
  },
);

test.each([7_000, -7_000])(
  "a step of one entry host's clock by %i ms shifts no window",
  async (change) => {
    const system = startSystem();
    await system.time.run(17_000);
    system.entryHosts[0]?.machine.stepWall(change);
    await system.time.run(20_000);
    expectReports(system, [1, 2, 3, 4, 5]);
  },
);

test("a holder that is cut off from the group stops within its lease", async () => {
  const system = startSystem();
  await system.time.run(17_000);
  // It never hears that another host leads.
  system.a.learn = () => {};
  system.group.elect(system.b);
  await system.time.run(20_000);
  const last = system.received.findLast(({ machine }) => machine === "a");
  expect(last?.at).toBeLessThan(18_100);
  expectReports(system, [1, 2, 3, 4, 5]);
});

test("reports wait for a platform that is cut off, and repeat exactly", async () => {
  const system = startSystem();
  await system.time.run(14_000);
  system.a.calls.isReachable = false;
  await system.time.run(8_000);
  expect(countsOf(system).size).toBe(1);
  system.a.calls.isReachable = true;
  await system.time.run(10_000);
  expectReports(system, [1, 2, 3, 4]);
});

test("leaders that change from A to B to A break no rule", async () => {
  const system = startSystem();
  for (let change = 0; change < 8; change += 1) {
    await system.time.run(3_400);
    system.group.elect(change % 2 === 0 ? system.b : system.a, 900);
  }
  await system.time.run(15_000);
  const fences = new Set(system.received.map(({ fence }) => fence));
  expect(fences.size).toBeGreaterThanOrEqual(2);
});

test("a holder that is killed between agreement and send", async () => {
  const system = startSystem();
  await system.time.run(12_000);
  system.a.calls.answer = () => "not_sent";
  system.a.calls.reportUsage = () =>
    Promise.resolve({ type: "not_sent", message: "killed first" });
  await system.time.run(5_000);
  expect(system.group.state.duties?.usage.size).toBeGreaterThanOrEqual(2);
  system.a.restart();
  system.group.elect(system.b);
  await system.time.run(20_000);
  expectReports(system, [1, 2, 3, 4, 5]);
});

// Guards against different counts from a holder that saw more answers.
test("a holder that is killed between send and answer", async () => {
  const system = startSystem();
  system.a.calls.answer = () => "unclear";
  await system.time.run(17_000);
  system.a.restart();
  system.entryHosts[0]?.restart();
  system.group.elect(system.b);
  await system.time.run(20_000);
  const first = epoch / windowLength;
  const repeated = system.received.filter(({ window }) => window === first + 1);
  expect(new Set(repeated.map(({ machine }) => machine))).toEqual(
    new Set(["a", "b"]),
  );
  expect(new Set(repeated.map(({ counts }) => counts)).size).toBe(1);
});

test("nothing is sent while the group has no quorum, and all afterwards", async () => {
  const system = startSystem();
  await system.time.run(17_000);
  system.group.hasQuorum = false;
  await system.time.run(4_500);
  const calls = system.received.filter(({ at }) => at > 18_100);
  expect(calls).toEqual([]);
  system.group.hasQuorum = true;
  await system.time.run(15_000);
  expectReports(system, [1, 2, 3, 4, 5]);
});

// Guards against a window that waits for ever for a host that does not answer.
test("an unreachable entry host delays a window by 4 s at most", async () => {
  const system = startSystem();
  await system.time.run(12_000);
  system.entryHosts[0]!.isReachable = false;
  await system.time.run(8_000);
  system.entryHosts[0]!.isReachable = true;
  await system.time.run(15_000);
  const counts = countsOf(system);
  expect(counts.get(2)).toBeGreaterThanOrEqual(100);
  expectReports(system, [1, 4, 5]);
});

test("an entry host that restarts loses only what was not polled", async () => {
  const system = startSystem();
  await system.time.run(12_500);
  system.entryHosts[0]?.restart();
  await system.time.run(20_000);
  expect(countsOf(system).get(2)).toBeGreaterThanOrEqual(140);
  expectReports(system, [1, 3, 4]);
});

test("a lost answer to an agreement leads to no second counts", async () => {
  const system = startSystem();
  let answers = 0;
  system.group.losesAnswer = () => (answers += 1) % 2 === 0;
  await system.time.run(30_000);
  expectReports(system, [1, 2, 3, 4]);
});

test("windows without a request are reported as empty", async () => {
  const system = startSystem();
  for (const entry of system.entryHosts) entry.begin = () => {};
  await system.time.run(20_000);
  expect(countsOf(system).get(2)).toBe(0);
});
