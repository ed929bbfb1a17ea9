import { type Incarnation, SeededRandom } from "rhubarbstage";
import type { RequestLimitReport } from "../../src/mod.ts";
import { RequestLimits } from "../../src/request_limits.ts";
import { makeServer } from "./fixtures.ts";

const server = makeServer("a");

function newLimits(share = 1): RequestLimits {
  return new RequestLimits(new SeededRandom(1), () => share);
}

/** Number of requests that may be sent when one is tried each 10 ms. */
function countSends(
  limits: RequestLimits,
  options: { readonly from: number; readonly to: number },
): number {
  let sends = 0;
  for (let now = options.from; now < options.to; now += 10) {
    if (!limits.allows(server, now)) continue;
    limits.recordSend(server, now);
    sends += 1;
  }
  return sends;
}

describe("RequestLimits", () => {
  test("allows this host's part of a limit without a burst after a pause", () => {
    const limits = newLimits(0.25);
    limits.observe(server, 20, 0);
    expect(countSends(limits, { from: 0, to: 4_000 })).toBeLessThanOrEqual(21);
    expect(countSends(limits, { from: 60_000, to: 60_020 }))
      .toBeLessThanOrEqual(2);
  });

  // Guards against lifting a limit because of one answer that was overtaken.
  test("ends a limit once answers have named none for a second", () => {
    const limits = newLimits();
    limits.observe(server, 1, 0);
    expect(limits.observe(server, undefined, 500)).toBeUndefined();
    limits.observe(server, 1, 600);
    expect(limits.observe(server, undefined, 1_500)).toBeUndefined();
    expect(limits.observe(server, undefined, 1_700)).toEqual({});
    expect(countSends(limits, { from: 1_700, to: 1_800 })).toBe(10);
  });

  // Guards against hosts that only obey what a server told them themselves, and
  // against limits that a stale report brings back.
  test("adopts reports of other hosts unless it knows better", () => {
    const [limits, other] = [newLimits(), newLimits()] as const;
    other.observe(server, 1, 0);
    const named = other.takeChangedReports(0) as RequestLimitReport[];
    limits.merge(server, named[0]!, 100);
    expect(countSends(limits, { from: 100, to: 600 })).toBeLessThanOrEqual(1);
    other.observe(server, undefined, 5_000);
    const ended = other.takeChangedReports(5_000) as RequestLimitReport[];
    limits.merge(server, ended[0]!, 5_000);
    limits.merge(server, { ...named[0]!, age: 4_900 }, 5_100);
    expect(countSends(limits, { from: 5_100, to: 5_200 })).toBe(10);
    expect(limits.takeChangedReports(5_200)).toBeUndefined();
  });

  // Guards against a server that is never asked again.
  test("still sends a request now and then to a server that takes none", () => {
    const limits = newLimits();
    limits.observe(server, 0, 0);
    const sends = countSends(limits, { from: 0, to: 60_000 });
    expect(sends).toBeGreaterThan(0);
    expect(sends).toBeLessThanOrEqual(7);
  });

  // Guards against callers that wait until their deadline for a full server.
  test("forecasts the wait for servers that all have limits", () => {
    const limits = newLimits();
    const other = makeServer("b");
    limits.observe(server, 2, 0);
    expect(limits.waitTime([server, other], 9, 0)).toBe(0);
    limits.observe(other, 2, 0);
    const wait = limits.waitTime([server, other], 9, 0);
    expect(wait).toBeGreaterThan(2_000);
    expect(wait).toBeLessThanOrEqual(2_500);
  });

  // Guards against a limit that outlives the process that named it.
  test("ignores reports about another process of the server", () => {
    const limits = newLimits();
    const report = { server: server.id, incarnation: 1 as Incarnation, age: 0 };
    const restarted = makeServer("a", { incarnation: 2 as Incarnation });
    limits.merge(restarted, { ...report, limit: 1 }, 0);
    expect(limits.allows(restarted, 0)).toBe(true);
    expect(limits.takeChangedReports(0)).toBeUndefined();
  });
});
