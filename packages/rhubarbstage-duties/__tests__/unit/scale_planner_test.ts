import { type Region, SeededRandom } from "rhubarbstage";
import {
  scaling,
  type Scenario,
  type Second,
  simulate,
} from "./scale_simulation.ts";

/** Utilisation above which queues grow. */
const fullUtilisation = 0.6;
const peakSeconds = 30;
/** All servers of the start, on demand, in one second. */
const initialCost = 19 * 5 + 19 * 0.8;

/** Measured rates of bursts that repeat every 2.8 s and every 14 s. */
function bursts(base: number): Scenario["work"] {
  return (second) => {
    const short = second % 2.8 < 1 ? 1.5 : 0.8;
    const long = second % 14 < 4 ? 1.6 : 0.8;
    return base * short * long;
  };
}

function growth(base: number, seconds: number): Scenario["work"] {
  return (second) => base * (1 + second / seconds);
}

function alternating(base: number): Scenario["work"] {
  return (second, region) =>
    base * (second % 28 < 14 === (region === "north") ? 1.8 : 0.9);
}

const steady = () => 5.7;

const scenarios: Readonly<
  Record<
    string,
    Scenario & { orders: number; saving: number; lateOrders?: number }
  >
> = {
  "a steady load of half the capacity": {
    // 19 of 38 servers of a region at the planned utilisation.
    work: () => 19 * 0.55,
    seconds: 600,
    orders: 45,
    saving: 0.7,
  },
  "bursts every 2.8 s and every 14 s": {
    work: bursts(5),
    seconds: 600,
    orders: 45,
    saving: 0.7,
  },
  "bursts of one region after the other": {
    work: alternating(5),
    seconds: 600,
    orders: 45,
    saving: 0.7,
  },
  "a load that doubles slowly": {
    work: growth(5, 900),
    lateOrders: 10,
    seconds: 900,
    orders: 70,
    saving: 0.7,
  },
  "engines of two stages": {
    work: bursts(5),
    stages: true,
    seconds: 600,
    orders: 45,
    saving: 0.7,
  },
  "a load without any request": {
    work: () => 0,
    seconds: 300,
    orders: 45,
    saving: 0.8,
  },
  "no spot servers": {
    work: steady,
    scaling: { ...scaling, spotPrice: undefined },
    seconds: 600,
    orders: 45,
    saving: 0.5,
  },
  "a change of the holder during the replacement": {
    work: steady,
    holderChanges: [30],
    seconds: 600,
    orders: 45,
    saving: 0.7,
  },
  "throttled and unclear answers": {
    work: steady,
    fault: (draw) => {
      if (draw < 0.2) return { type: "throttled" };
      return draw < 0.4 ? { type: "unclear", message: "timeout" } : undefined;
    },
    seconds: 600,
    orders: 70,
    saving: 0.7,
  },
  // Guards against hosts that fail in turn and keep all servers paid for.
  "hosts that fail in turn": {
    work: steady,
    unreachableHosts: (second, region) =>
      second % 3 + Number(region === "east"),
    seconds: 600,
    orders: 45,
    saving: 0.7,
  },
  // Guards against orders that are refused again and again.
  "a platform that keeps one server of each kind": {
    work: steady,
    fault: (_draw, { count }) =>
      count === 0 ? { type: "rejected", message: "400" } : undefined,
    seconds: 600,
    orders: 60,
    saving: 0.7,
  },
  // Guards against a plan that waits for servers that never come.
  "no spot servers available": {
    work: steady,
    fault: (_draw, { spot }) => spot ? { type: "unavailable" } : undefined,
    // One attempt in each zone.
    lateOrders: 6,
    seconds: 600,
    orders: 60,
    saving: 0.5,
  },
  "spot servers that are ordered and never come": {
    work: steady,
    isIgnored: ({ spot }) => spot,
    lateOrders: 6,
    seconds: 600,
    orders: 60,
    saving: 0.5,
  },
  "refusals of hosts that fail, at a low load": {
    work: () => 3,
    refusedShare: (second) => second > 100 ? 0.4 : 0,
    seconds: 400,
    orders: 45,
    saving: 0.7,
  },
};

describe("scale planner", () => {
  describe.each(Object.entries(scenarios))("%s", (_, scenario) => {
    const seconds = simulate(scenario);

    // Guards against lowering into a valley between bursts, and against
    // lowering one kind before the other serves.
    it("keeps the servers that the load needs in each region", () => {
      expect(findShortages(seconds, 0)).toEqual([]);
    });

    // Guards against orders that the platform refuses.
    it("orders at least the minimum and at most the maximum", () => {
      for (const { ordered } of seconds) {
        for (const count of ordered.values()) {
          expect(count).toBeGreaterThanOrEqual(1);
          expect(count).toBeLessThanOrEqual(27);
        }
      }
    });

    // Guards against flapping: each order is a counted call.
    it("makes few orders, for each zone at most one in 2 s", () => {
      expect(countOrders(seconds)).toBeLessThanOrEqual(scenario.orders);
      const last = new Map<string, number>();
      for (const { second, decisions } of seconds) {
        for (const { order: { availabilityZone } } of decisions) {
          expect(second - (last.get(availabilityZone) ?? -2))
            .toBeGreaterThanOrEqual(2);
          last.set(availabilityZone, second);
        }
      }
    });

    // Guards against servers that are paid for and not needed.
    it("costs less than to keep all servers", () => {
      const cost = seconds.reduce((sum, { cost }) => sum + cost, 0);
      expect(1 - cost / (initialCost * seconds.length))
        .toBeGreaterThanOrEqual(scenario.saving);
    });

    // Guards against a plan that never comes to rest.
    it("makes no order in the last minute unless the load changes", () => {
      const last = countOrders(seconds.slice(-60));
      expect(last).toBeLessThanOrEqual(scenario.lateOrders ?? 0);
    });
  });

  it("orders nothing before the load was observed for 10 s", () => {
    const seconds = simulate({ work: () => 30, seconds: 12 });
    expect(countOrders(seconds.slice(0, 10))).toBe(0);
    expect(countOrders(seconds.slice(10))).toBeGreaterThan(0);
  });

  // Guards against a lost zone that takes its region's callers with it.
  it("recovers after the spot servers of the largest zone were reclaimed", () => {
    const seconds = simulate({
      work: bursts(6),
      seconds: 500,
      reclaims: [300],
      scarceFor: 120,
    });
    expect(seconds[299]?.spot).toBeGreaterThan(30);
    for (const { serving, measured } of seconds.slice(200)) {
      for (const [region, count] of serving) {
        expect(count).toBeGreaterThan(measured.get(region) ?? 0);
      }
    }
    expect(findShortages(seconds.slice(0, 300), 0)).toEqual([]);
    expect(findShortages(seconds.slice(270), 40)).toEqual([]);
    expect(countOrders(seconds.slice(300))).toBeLessThanOrEqual(30);
    expect(seconds.at(-1)?.cost).toBeLessThan(initialCost * 0.4);
  });

  // Guards against a plan that random loads and repeated losses upset.
  it("serves through random loads, reclaims and changes of the holder", () => {
    const random = new SeededRandom(11);
    const seconds = simulate({
      work: (second, region) =>
        bursts(5)(second, region) * (0.7 + random.next() * 0.6),
      seconds: 900,
      reclaims: [150, 320, 500, 700],
      scarceFor: 100,
      holderChanges: [200, 510],
    });
    for (const { serving, measured } of seconds) {
      for (const [region, count] of serving) {
        expect(count).toBeGreaterThan(measured.get(region) ?? 0);
      }
    }
    expect(countOrders(seconds)).toBeLessThanOrEqual(150);
  });

  it("replaces servers that crashed", () => {
    const seconds = simulate({
      work: () => 10,
      seconds: 300,
      crash: { at: 150, servers: 12 },
    });
    expect(findShortages(seconds.slice(130), 30)).toEqual([]);
  });

  it("orders more when requests are refused at a high load", () => {
    const options = { work: () => 11, seconds: 120, initial: 10 };
    const quiet = simulate(options);
    const refusing = simulate({
      ...options,
      refusedShare: (second) => second > 30 && second < 60 ? 0.1 : 0,
    });
    expect(sumServing(refusing.at(90))).toBeGreaterThan(
      sumServing(quiet.at(90)),
    );
  });

  // Guards against orders by hosts that know too little of the load.
  it.each<[string, Partial<Scenario>]>([
    ["hosts are unreachable", { unreachableHosts: () => 4 }],
    ["all hosts of a region are unreachable", {
      unreachableHosts: (_, region) => region === "north" ? 30 : 0,
    }],
    ["the observed servers are old", { stateAge: () => 6_000 }],
    ["requests are refused", { work: () => 17, refusedShare: () => 0.1 }],
  ])("lowers nothing while %s", (_, condition) => {
    const seconds = simulate({ work: steady, seconds: 120, ...condition });
    const reasons = seconds.flatMap(({ decisions }) => decisions)
      .map(({ reason }) => reason);
    expect(reasons).not.toContain("lower");
  });

  it("lowers in one zone of a region at a time", () => {
    const seconds = simulate({ work: steady, seconds: 200 });
    const last = new Map<string, number>();
    for (const { second, decisions } of seconds) {
      for (const { order, reason } of decisions) {
        if (reason !== "lower") continue;
        const region = order.availabilityZone.slice(0, -2);
        expect(second - (last.get(region) ?? -5)).toBeGreaterThanOrEqual(5);
        last.set(region, second);
      }
    }
    expect(last.size).toBe(3);
  });
});

/** Seconds in which a region serves less than its recent peak needs. */
function findShortages(seconds: readonly Second[], from: number): string[] {
  return seconds.flatMap(({ second, serving }, index) => {
    if (index < from) return [];
    const recent = seconds.slice(Math.max(0, index - peakSeconds), index);
    return [...serving].flatMap(([region, count]) => {
      const need = peakOf(recent, region) / fullUtilisation;
      return count < need
        ? [`${second} s: ${count} of ${need} in ${region}`]
        : [];
    });
  });
}

function peakOf(seconds: readonly Second[], region: Region): number {
  return Math.max(
    0,
    ...seconds.map(({ measured }) => measured.get(region) ?? 0),
  );
}

function countOrders(seconds: readonly Second[]): number {
  return seconds.reduce((sum, { decisions }) => sum + decisions.length, 0);
}

function sumServing(second: Second | undefined): number {
  return [...second?.serving.values() ?? []].reduce((sum, n) => sum + n, 0);
}
