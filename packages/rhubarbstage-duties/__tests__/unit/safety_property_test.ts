import fc from "fast-check";
import { brokenRules } from "./safety.ts";
import {
  type ReceivedCall,
  VirtualEntryHost,
  VirtualGroup,
  VirtualHost,
} from "./virtual_group.ts";
import { VirtualTime } from "./virtual_time.ts";

const runTime = 40_000;
const hostCount = 3;

const fault = fc.record({
  at: fc.integer({ min: 0, max: runTime }),
  host: fc.nat(hostCount - 1),
  kind: fc.constantFrom(
    "elect",
    "elect",
    "elect",
    "freeze",
    "suspend",
    "step",
    "restart",
    "quorum",
    "cut",
  ),
  duration: fc.integer({ min: 50, max: 9_000 }),
  isBackward: fc.boolean(),
});

/** Delays and losses of one run, from a sequence of numbers below 1. */
function drawFrom(numbers: readonly number[]): () => number {
  let index = 0;
  return () => numbers[index++ % numbers.length] ?? 0;
}

async function play(
  faults: readonly (typeof fault extends fc.Arbitrary<infer F> ? F : never)[],
  numbers: readonly number[],
): Promise<ReceivedCall[]> {
  const time = new VirtualTime();
  const group = new VirtualGroup(time);
  const draw = drawFrom(numbers);
  group.latency = () => draw() ** 4 * 900;
  group.losesAnswer = () => draw() > 0.8;
  const received: ReceivedCall[] = [];
  const entryHosts = ["x", "y"].map((name) => new VirtualEntryHost(name, time));
  const hosts = ["a", "b", "c"].map((name) =>
    new VirtualHost({ name, group, received, entryHosts })
  );
  for (const { calls } of hosts) {
    calls.delay = () => draw() ** 2 * 1_000;
    calls.answer = () => draw() > 0.5 ? "unclear" : "accepted";
  }
  for (const entry of entryHosts) {
    const begin = () => {
      entry.begin(draw() > 0.5 ? "hule930" : "fida11");
      entry.machine.schedule(40 + draw() * 200, begin);
    };
    begin();
  }
  group.elect(hosts[0]);
  for (const { at, host: number, kind, duration, isBackward } of faults) {
    const host = hosts[number] as VirtualHost;
    time.schedule(at, () => {
      if (kind === "elect") return group.elect(host, duration / 2);
      if (kind === "freeze") return host.machine.freeze(duration);
      if (kind === "suspend") return host.machine.suspend(duration);
      if (kind === "restart") return host.restart();
      if (kind === "step") {
        return host.machine.stepWall(isBackward ? -duration : duration);
      }
      if (kind === "cut") {
        host.calls.isReachable = false;
        return time.schedule(duration, () => host.calls.isReachable = true);
      }
      group.hasQuorum = false;
      time.schedule(duration, () => group.hasQuorum = true);
    });
  }
  await time.run(runTime);
  return received;
}

// Guards against a lease, agreement or fencing token that holds only while
// leaders change one at a time and nobody stops in between.
test("no interleaving of faults breaks a safety rule", async () => {
  let calls = 0;
  let senders = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(fault, { maxLength: 14 }),
      fc.array(fc.double({ min: 0, max: 0.999, noNaN: true }), {
        minLength: 40,
        maxLength: 120,
      }),
      async (faults, numbers) => {
        const received = await play(faults, numbers);
        calls += received.length;
        senders += new Set(received.map(({ machine }) => machine)).size;
        expect(brokenRules(received)).toEqual([]);
      },
    ),
    { numRuns: 150 },
  );
  // The runs are of no worth if hardly a call was made.
  expect(calls).toBeGreaterThan(300);
  expect(senders).toBeGreaterThan(160);
}, 120_000);
