import { InMemoryGroup } from "@rhubarbstage/replica";
import type {
  CustomerId,
  FencingNumber,
  HostId,
  Incarnation,
} from "rhubarbstage";
import { decode, encode } from "@rhubarbstage/transport";
import { controlQueries, ControlStateMachine } from "../../src/mod.ts";
import type { ControlState } from "../../src/mod.ts";
import type {
  ControlCommand,
  ControlResult,
  UsageCounts,
} from "../../src/types.ts";

const machine = new ControlStateMachine();
const counts: UsageCounts = [["fida11" as CustomerId, 4]];
const otherCounts: UsageCounts = [["fida11" as CustomerId, 5]];

function take(state: ControlState, host: string, index: number): FencingNumber {
  const result = machine.apply(state, {
    type: "take_duty",
    duty: "usage_report",
    holder: { host: host as HostId, incarnation: 1 as Incarnation },
    takeId: `${host}-${index}`,
  }, index);
  if (result.type !== "take_duty") throw new Error(result.type);
  return result.record.fence;
}

function agree(
  state: ControlState,
  fence: FencingNumber,
  agreement: { window: number; counts?: UsageCounts },
) {
  const result = machine.apply(state, {
    type: "agree_usage",
    duty: "usage_report",
    fence,
    ...agreement,
  }, 100);
  if (result.type !== "agree_usage") throw new Error(result.type);
  return result.result;
}

test("each taking of a duty has a higher fencing token", () => {
  const state = machine.initial();
  expect([take(state, "a", 4), take(state, "b", 9), take(state, "a", 12)])
    .toEqual([4, 9, 12]);
});

test("a resent taking returns the token of the first", () => {
  const state = machine.initial();
  const command = {
    type: "take_duty",
    duty: "scaling",
    holder: { host: "a" as HostId, incarnation: 1 as Incarnation },
    takeId: "one",
  } as const;
  const first = machine.apply(state, command, 4);
  expect(machine.apply(state, command, 5)).toEqual(first);
});

test("the first agreed counts of a window are in force", () => {
  const state = machine.initial();
  const first = take(state, "a", 4);
  agree(state, first, { window: 7, counts });
  const second = take(state, "b", 5);
  expect(agree(state, second, { window: 7, counts: otherCounts }))
    .toMatchObject({ type: "agreed", usage: { counts } });
});

test("a process that lost the duty agrees on no window", () => {
  const state = machine.initial();
  const first = take(state, "a", 4);
  take(state, "b", 5);
  expect(agree(state, first, { window: 7, counts }).type).toBe("not_holder");
  expect(controlQueries.usage(state)).toEqual({ open: [] });
});

test("a forgotten window is never agreed again, and the state is bounded", () => {
  const state = machine.initial();
  const fence = take(state, "a", 4);
  for (let window = 1; window <= 100; window += 1) {
    agree(state, fence, { window, counts });
  }
  expect(state.duties?.usage.size).toBe(64);
  expect(agree(state, fence, { window: 2, counts: otherCounts }))
    .toEqual({ type: "left_out", last: 100 });
});

test("accepted windows need no repeats", () => {
  const state = machine.initial();
  const fence = take(state, "a", 4);
  agree(state, fence, { window: 1 });
  agree(state, fence, { window: 2, counts });
  agree(state, fence, { window: 3, counts });
  machine.apply(state, { type: "usage_accepted", window: 2 }, 9);
  expect(controlQueries.usage(state)).toMatchObject({
    last: 3,
    open: [{ window: 3, counts }],
  });
});

test("a snapshot of a build without duties is restored", () => {
  // No field of duties is stored before the first one is taken.
  const old = machine.snapshot(machine.initial()) as ControlState;
  expect(Object.keys(old)).not.toContain("duties");
  const state = machine.restore(decode(encode(old)));
  expect(take(state, "a", 4)).toBe(4);
  expect(controlQueries.usage(state)).toEqual({ open: [] });
});

test("a snapshot keeps duties and agreed windows", () => {
  const state = machine.initial();
  agree(state, take(state, "a", 4), { window: 3, counts });
  const copy = machine.restore(decode(encode(machine.snapshot(state))));
  expect(copy.duties).toEqual(state.duties);
  expect(controlQueries.usage(copy)).toEqual(controlQueries.usage(state));
});

test("a command of a newer build changes nothing and stops nothing", async () => {
  const group = new InMemoryGroup<ControlState, ControlCommand, ControlResult>({
    stateMachine: machine,
    queries: controlQueries,
  });
  const unknown = { type: "of_a_newer_build" } as unknown as ControlCommand;
  expect(await group.propose(unknown)).toBeUndefined();
  expect(group.state).toEqual(machine.initial());
});
