import {
  type HostId,
  type Incarnation,
  ManualClock,
  type Region,
} from "rhubarbstage";
import { LocalNetwork, type Transport } from "@rhubarbstage/transport";
import {
  answerPolls,
  HostPoller,
  type HostPollOutcome,
  UsageRecorder,
} from "../../src/mod.ts";

const region = "sabah" as Region;
const incarnation = 1 as Incarnation;

test("polls itself and others after the last number, and names silent hosts", async () => {
  const network = new LocalNetwork();
  const open = (host: string): Transport =>
    network.addHost(host as HostId, { incarnation });
  const [holder, entry] = [open("holder"), open("entry")];
  const polled: unknown[] = [];
  const clock = new ManualClock(0);
  const recorder = new UsageRecorder({ incarnation, clock });
  clock.advance(500);
  answerPolls(entry, (poll) => {
    polled.push(poll);
    return recorder.answer(poll);
  });
  const stopped = new AbortController();
  const outcomes: HostPollOutcome[] = [];
  let isNeeded = true;
  const poller = new HostPoller({
    transport: holder,
    hosts: () =>
      ["holder", "entry", "lost"].map((host) => ({
        host: host as HostId,
        region,
      })),
    answerLocally: (poll) => recorder.answer(poll),
    isNeeded: () => isNeeded,
    signal: stopped.signal,
    pause: () => new Promise((resolve) => setTimeout(resolve, 10)),
  });
  poller.onOutcome((outcome) => outcomes.push(outcome), {
    signal: stopped.signal,
  });
  poller.start();
  const until = async (condition: () => boolean) => {
    while (!condition()) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  };
  await until(() => polled.length >= 2);
  await until(() => outcomes.some(({ host }) => host === "lost" as HostId));
  expect(polled.slice(0, 2)).toEqual([{}, { incarnation, after: 4 }]);
  const answered = (host: string) =>
    outcomes.find((outcome) => outcome.host === host)?.answer !== undefined;
  expect(["holder", "entry", "lost"].map(answered)).toEqual([
    true,
    true,
    false,
  ]);
  // A host that becomes the holder again asks for everything that is kept.
  isNeeded = false;
  await new Promise((resolve) => setTimeout(resolve, 60));
  const count = polled.length;
  isNeeded = true;
  await until(() => polled.length > count);
  expect(polled[count]).toEqual({});
  stopped.abort();
});

test("larger fleets are polled less often", () => {
  const intervalOf = (count: number) =>
    new HostPoller({
      transport: new LocalNetwork().addHost("a" as HostId, { incarnation }),
      hosts: () =>
        Array.from({ length: count }, (_, index) => ({
          host: `h${index}` as HostId,
          region,
        })),
      answerLocally: () => {
        throw new Error("not polled");
      },
      isNeeded: () => false,
      signal: new AbortController().signal,
    }).interval;
  expect([3, 106, 650].map(intervalOf)).toEqual([1_000, 1_060, 6_500]);
});
