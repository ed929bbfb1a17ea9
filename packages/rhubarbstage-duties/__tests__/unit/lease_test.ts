import type { FencingNumber } from "rhubarbstage";
import { DutyLease, LeaseClock } from "../../src/mod.ts";
import { VirtualMachine, VirtualTime } from "./virtual_time.ts";

const fence = 17 as FencingNumber;

/** A machine whose lease was just taken. */
function createLease() {
  const time = new VirtualTime();
  const machine = new VirtualMachine(time);
  const clock = new LeaseClock({ clock: machine.clock });
  const lease = new DutyLease({ clock, fence, takenAt: clock.read() });
  const renewAfter = (milliseconds: number) => {
    time.now += milliseconds;
    lease.renew(clock.read());
  };
  return { time, machine, clock, lease, renewAfter };
}

test("a new holder waits for the lease of the earlier one", () => {
  const { lease, renewAfter } = createLease();
  renewAfter(2_999);
  expect(lease.permit()).toBeUndefined();
  renewAfter(1);
  expect(lease.permit()).toBe(fence);
});

test("a permit ends 1,000 ms after the start of the last proof", () => {
  const { time, lease, renewAfter } = createLease();
  renewAfter(3_000);
  time.now += 999;
  expect(lease.permit()).toBe(fence);
  time.now += 1;
  expect(lease.permit()).toBeUndefined();
});

// Guards against a proof that took longer than the permit itself.
test("a proof counts from its start", () => {
  const { time, clock, lease, renewAfter } = createLease();
  renewAfter(3_000);
  const startedAt = clock.read();
  time.now += 1_200;
  lease.renew(startedAt);
  expect(lease.permit()).toBeUndefined();
});

test("a process that was frozen may not act", () => {
  const { time, machine, lease, renewAfter } = createLease();
  renewAfter(3_000);
  machine.freeze(1_500);
  time.now += 1_500;
  expect(lease.permit()).toBeUndefined();
});

// Guards against the monotonic clock, which stands still in a suspension.
test("a machine that was suspended may not act", () => {
  const { time, machine, lease, renewAfter } = createLease();
  renewAfter(3_000);
  machine.suspend(1_500);
  time.now += 1_500;
  expect(lease.permit()).toBeUndefined();
});

test("a suspension does not shorten the wait for the earlier lease", () => {
  const { time, machine, lease, renewAfter } = createLease();
  machine.suspend(2_000);
  renewAfter(3_100);
  expect(lease.permit()).toBeUndefined();
  renewAfter(1_900);
  expect(lease.permit()).toBe(fence);
  expect(time.now).toBe(5_000);
});

test("a forward step of the wall clock only ends the permit early", () => {
  const { machine, lease, renewAfter } = createLease();
  machine.stepWall(5_000);
  renewAfter(100);
  expect(lease.permit()).toBeUndefined();
  renewAfter(2_900);
  expect(lease.permit()).toBe(fence);
  machine.stepWall(5_000);
  expect(lease.permit()).toBeUndefined();
  renewAfter(10);
  expect(lease.permit()).toBe(fence);
});

test("a backward step of the wall clock extends no permit", () => {
  const { time, machine, lease, renewAfter } = createLease();
  renewAfter(3_000);
  machine.stepWall(-60_000);
  time.now += 1_000;
  expect(lease.permit()).toBeUndefined();
});

// Guards against a backward step that hides a suspension from both clocks.
test("the time since the machine's start shows a hidden suspension", () => {
  const time = new VirtualTime();
  const machine = new VirtualMachine(time);
  const clock = new LeaseClock({
    clock: machine.clock,
    bootMilliseconds: () => time.now,
  });
  const lease = new DutyLease({ clock, fence, takenAt: clock.read() });
  time.now = 3_000;
  lease.renew(clock.read());
  machine.suspend(1_500);
  machine.stepWall(-1_500);
  time.now += 1_500;
  expect(lease.permit()).toBeUndefined();
});

test("an ended lease permits nothing more", () => {
  const { lease, renewAfter } = createLease();
  renewAfter(3_000);
  lease.end();
  renewAfter(10);
  expect(lease.permit()).toBeUndefined();
});
