import {
  compareTimestamps,
  HybridLogicalClock,
  ManualClock,
} from "../../src/mod.ts";

describe("HybridLogicalClock", () => {
  // Guards against effects shown before their cause when the sender's clock is
  // ahead.
  test("orders a received event after the sent one under clock skew", () => {
    const ahead = new HybridLogicalClock(new ManualClock(5_000));
    const behind = new HybridLogicalClock(new ManualClock(1_000));
    const sent = ahead.next();
    behind.observe(sent);
    expect(compareTimestamps(sent, behind.next())).toBeLessThan(0);
  });

  // Guards against equal timestamps within one millisecond.
  test("orders events of the same millisecond", () => {
    const clock = new HybridLogicalClock(new ManualClock(1));
    expect(compareTimestamps(clock.next(), clock.next())).toBeLessThan(0);
  });
});
