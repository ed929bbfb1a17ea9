import type { HostId } from "rhubarbstage";
import { DemandAggregate, pickAggregator } from "../../src/mod.ts";

const subject = "customer/kiosks";
const hosts = ["a", "b", "c"] as HostId[];

describe("demand exchange", () => {
  // Guards against hosts that report one customer to different aggregators.
  test("picks the same aggregator for any order of hosts", () => {
    const picked = pickAggregator(subject, hosts);
    expect(pickAggregator(subject, [...hosts].reverse())).toBe(picked);
    expect(pickAggregator(subject, [])).toBeUndefined();
  });

  // Guards against counting the demand of a host that stopped reporting.
  test("sums current reports and drops expired ones", () => {
    const aggregate = new DemandAggregate();
    aggregate.report(hosts[0] as HostId, [[subject, 3, 30]], 0);
    const total = aggregate.report(
      hosts[1] as HostId,
      [[subject, 2, 20]],
      1_000,
    );
    expect(total).toEqual([[subject, 5, 50]]);
    const later = aggregate.report(
      hosts[1] as HostId,
      [[subject, 2, 20]],
      4_500,
    );
    expect(later).toEqual([[subject, 2, 20]]);
    aggregate.expire(20_000);
    expect(aggregate.size).toBe(0);
  });
});
