/** Pace, remaining work and costs, without a network. */

import {
  expectedRequestsAhead,
  RemainingWork,
} from "../../src/remaining_work.ts";
import { predictedDecile, RequestCosts } from "../../src/request_cost.ts";
import { ServerPace } from "../../src/server_pace.ts";
import { SharedFigures } from "../../src/shared_figures.ts";

describe("the pace of a server", () => {
  // Guards against a figure of one phase that is believed seconds later.
  test("returns to its mean with the age of the report", () => {
    const pace = new ServerPace();
    for (let now = 0; now < 20_000; now += 500) pace.report(1, now);
    pace.report(2.5, 20_000);
    expect(pace.current(20_000)).toBeCloseTo(2.5);
    expect(pace.current(20_300)).toBeLessThan(1.7);
    expect(pace.current(23_000)).toBeLessThan(1.15);
  });

  // Guards against a server that is slow for long and counts as usual.
  test("stays high at a server that is slow in all reports", () => {
    const pace = new ServerPace();
    for (let now = 0; now < 20_000; now += 1_000) pace.report(2.5, now);
    expect(pace.current(21_000)).toBeGreaterThan(2.1);
    expect(pace.current(200_000)).toBeCloseTo(1, 1);
  });

  // Guards against work of a second that is scaled by a phase of 600 ms.
  test("slows long work less than short work", () => {
    const pace = new ServerPace();
    for (let now = 0; now < 20_000; now += 100) pace.report(1, now);
    pace.report(2.5, 20_000);
    const at = 20_000;
    expect(pace.duration(1, at)).toBeCloseTo(2.5, 1);
    const long = pace.duration(1_000, at);
    expect(long).toBeGreaterThan(1_200);
    expect(long).toBeLessThan(1_400);
    expect(pace.duration(100_000, at) / 100_000).toBeCloseTo(1, 1);
    expect(pace.duration(9_001, at)).toBeGreaterThan(pace.duration(9_000, at));
  });

  // Guards against malformed figures of a server or another host.
  test.each([NaN, Infinity, 0, -1, 1e9, "2"])(
    "ignores a figure of %j",
    (figure) => {
      const pace = new ServerPace();
      pace.report(figure as number, 0);
      pace.measure(figure as number, 0);
      expect(pace.current(0)).toBe(1);
    },
  );
});

describe("the remaining work of a server", () => {
  const runTime = 43;

  // Guards against reports that count requests long after their ends.
  test("follows a report only until its requests have ended", () => {
    const work = new RemainingWork();
    let now = 0;
    for (; now < 20_000; now += 100) work.report({ requests: 2, own: 0 }, now);
    work.report({ requests: 10, own: 0 }, now);
    expect(work.estimate({ own: 0, runTime }, now).mean).toBeCloseTo(10);
    const later = work.estimate({ own: 0, runTime }, now + 300);
    expect(later.mean).toBeGreaterThan(4.5);
    expect(later.mean).toBeLessThan(5.5);
    const old = work.estimate({ own: 0, runTime }, now + 3_000);
    expect(old.mean).toBeCloseTo(2, 0);
    expect(old.variance).toBeGreaterThan(1.5);
  });

  // Guards against a burst of one host that goes to one server.
  test("counts own sends at once and once", () => {
    const work = new RemainingWork();
    work.report({ requests: 3, own: 2 }, 0);
    expect(work.estimate({ own: 5, runTime }, 0).mean).toBeCloseTo(6);
  });

  test("expects no wait on idle servers and the excess on full ones", () => {
    const sure = { variance: 0 };
    expect(expectedRequestsAhead({ mean: 1, ...sure }, 6)).toBeCloseTo(0);
    expect(expectedRequestsAhead({ mean: 9, ...sure }, 6)).toBeCloseTo(4);
    const unsure = expectedRequestsAhead({ mean: 5, variance: 5 }, 6);
    expect(unsure).toBeGreaterThan(0.5);
    expect(unsure).toBeLessThan(1.5);
  });
});

describe("the cost of a request", () => {
  // Guards against wrong claims that are believed, and good ones that are not.
  test("follows claims as far as they were right", () => {
    const honest = new RequestCosts(200);
    const wrong = new RequestCosts(200);
    for (let index = 0; index < 200; index += 1) {
      const actual = index % 2 === 0 ? 50 : 800;
      honest.learn("route", actual, actual);
      wrong.learn("route", actual, index % 3 === 0 ? 10 : 5_000);
    }
    expect(honest.estimate("route", 50).median).toBeCloseTo(50, -1);
    expect(honest.estimate("route", 800).median).toBeGreaterThan(700);
    const claimed = wrong.estimate("route", 5_000).median;
    expect(claimed).toBeLessThan(1_000);
  });

  test("of a new route is that of the pool, then its own", () => {
    const costs = new RequestCosts(50);
    expect(costs.estimate("new").median).toBeCloseTo(50);
    for (let index = 0; index < 30; index += 1) costs.learn("other", 400);
    expect(costs.estimate("new").median).toBeCloseTo(400);
    for (let index = 0; index < 60; index += 1) costs.learn("new", 40);
    expect(costs.estimate("new").median).toBeLessThan(60);
  });

  // Guards against costs that never change after many samples.
  test("forgets old samples", () => {
    const costs = new RequestCosts(50);
    for (let index = 0; index < 1_000; index += 1) costs.learn("route", 40);
    for (let index = 0; index < 150; index += 1) costs.learn("route", 400);
    expect(costs.estimate("route").median).toBeGreaterThan(300);
  });

  test("hits each decile of its distribution equally often", () => {
    const costs = new RequestCosts(50);
    const counts = Array.from({ length: 11 }, () => 0);
    for (let index = 0; index < 4_000; index += 1) {
      // Logistic quantiles approximate a normal distribution.
      const part = ((index * 0.618) % 1) * 0.998 + 0.001;
      const actual = 43 * Math.exp(0.3 * Math.log(part / (1 - part)));
      const estimate = costs.estimate("route");
      if (index > 500) counts[predictedDecile(estimate, actual)]! += 1;
      costs.learn("route", actual);
    }
    for (const count of counts.slice(1)) {
      expect(count / 3_500).toBeGreaterThan(0.05);
      expect(count / 3_500).toBeLessThan(0.17);
    }
  });
});

// Guards against unbounded state with many routes or servers.
test("shared figures are bounded and small", () => {
  const figures = new SharedFigures();
  for (let index = 0; index < 1_000; index += 1) {
    figures.add(`cost/service charges/route-${index}`, Math.PI, 0);
  }
  const rows = JSON.stringify([...figures.publish(1_000)]);
  expect(rows.length).toBeLessThan(6_000);
});
