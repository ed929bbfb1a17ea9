/**
 * Competition for the slots of a region's engines, under the loads of
 * deployment S divided by three regions and by four: alternating bursts of two
 * kinds, one customer with ten times its share, and clients that return at once.
 */

import {
  type CustomerId,
  type HostId,
  type ModelName,
  type RequestId,
  SeededRandom,
} from "rhubarbstage";
import type { PlacementQuery, PolicyEffect } from "../../src/types.ts";
import {
  type Arrival,
  type Kind,
  Region,
  type RegionOptions,
  type Result,
} from "./region.ts";

const long: Kind = {
  name: "long",
  shared: 13_300,
  own: 3_720,
  output: 300,
  target: 1_027,
  deadline: 5_136,
  rank: 3,
};
const urgent: Kind = {
  name: "urgent",
  shared: 6_300,
  own: 2_890,
  output: 300,
  target: 419,
  deadline: 3_143,
  rank: 0,
};
const short: Kind = {
  name: "short",
  shared: 350,
  own: 1_110,
  output: 200,
  target: 261,
  deadline: 5_224,
  rank: 2,
};
const customerCount = 18;
const duration = 24_000;
/** A quarter of a region: 78 engines / 3 / 4. */
const options: RegionOptions = {
  engines: 6,
  slots: 12,
  promptSpeed: 157,
  tokenInterval: 3.55,
  hasCustomers: true,
};

interface Load {
  readonly kind: Kind;
  /** Requests a second, as a function of the time in ms. */
  readonly rate: (at: number) => number;
  readonly customerOf: (random: SeededRandom) => string;
  readonly isImpatient?: boolean;
}

function anyCustomer(random: SeededRandom): string {
  return `customer-${random.integer(customerCount)}`;
}

function makeArrivals(loads: readonly Load[], until: number): Arrival[] {
  const random = new SeededRandom(11);
  const arrivals: Arrival[] = [];
  for (const { kind, rate, customerOf, isImpatient = false } of loads) {
    for (let at = 0; at < until;) {
      at += -Math.log(1 - random.next()) * 1_000 / Math.max(0.01, rate(at));
      arrivals.push({ at, kind, customer: customerOf(random), isImpatient });
    }
  }
  return arrivals.sort((left, right) => left.at - right.at);
}

/** Bursts of `factor` in the first part of each period. */
function bursts(rate: number, period: number, factor: number) {
  return (at: number) => at % period < period / 3 ? rate * factor : rate;
}

const alternating: readonly Load[] = [
  { kind: long, rate: bursts(16, 14_000, 2.4), customerOf: anyCustomer },
  { kind: urgent, rate: bursts(40, 2_800, 2.4), customerOf: anyCustomer },
  { kind: short, rate: bursts(16, 14_000, 1.5), customerOf: anyCustomer },
];

function play(
  loads: readonly Load[],
  changes: Partial<RegionOptions> = {},
  until = duration,
): Result[] {
  const region = new Region({ ...options, ...changes });
  return region.play(makeArrivals(loads, until));
}

function isServed({ outcome }: Result): boolean {
  return outcome === "on_time" || outcome === "late";
}

function share(results: readonly Result[], test: (item: Result) => boolean) {
  return results.filter(test).length / results.length;
}

/** Results of one kind, by its name. */
function of(results: readonly Result[], kind: Kind): Result[] {
  return results.filter(({ arrival }) => arrival.kind.name === kind.name);
}

function servedByCustomer(results: readonly Result[]): Map<string, number> {
  const customers = new Map<string, Result[]>();
  for (const result of results) {
    const { customer } = result.arrival;
    customers.set(customer, [...customers.get(customer) ?? [], result]);
  }
  return new Map(
    [...customers].map(([name, own]) => [name, share(own, isServed)]),
  );
}

type Answer = Extract<PolicyEffect, { type: "answer_placement" }>;

/** A query of the urgent kind without a customer. */
function makeQuery(request: string): PlacementQuery {
  return {
    request: request as RequestId,
    model: "assistant" as ModelName,
    promptTokens: urgent.own,
    outputTokens: urgent.output,
    parts: [{ id: request, tokens: urgent.own }],
    rank: 0,
    waited: 0,
    firstTokenTarget: urgent.target,
    startTimeout: 2_000,
    excludedServers: [],
    suspect: false,
  };
}

/** A load whose rate and customers do not change. */
function steady(kind: Kind, rate: number, customer?: string): Load {
  const isHog = customer !== undefined;
  const customerOf = isHog ? () => customer : anyCustomer;
  return { kind, rate: () => rate, customerOf, isImpatient: isHog };
}

function onTime({ outcome }: Result): boolean {
  return outcome === "on_time";
}

describe("with few slots and bursts of two kinds", () => {
  const results = play(alternating);
  const before = play(alternating, { hasCustomers: false });

  // Guards against answers that come late because they wait at an engine.
  test("more requests are on time than without customers", () => {
    expect(share(before, onTime)).toBeLessThan(0.65);
    expect(share(results, onTime)).toBeGreaterThan(0.82);
    expect(share(of(results, urgent), onTime)).toBeGreaterThan(0.97);
  });

  // Guards against runs that are paid for and thrown away.
  test("hardly any answer is late or fails", () => {
    const wasted = ({ outcome }: Result) =>
      outcome === "late" || outcome === "failed";
    expect(share(before, wasted)).toBeGreaterThan(0.05);
    expect(share(results, wasted)).toBeLessThan(0.01);
  });

  test("no kind starves", () => {
    for (const kind of [long, short]) {
      expect(share(of(results, kind), isServed)).toBeGreaterThan(0.6);
    }
  });

  test("no request is held in vain for over an eighth of its target", () => {
    for (const { lostHold } of results) {
      expect(lostHold).toBeLessThanOrEqual(1 / 8);
    }
  });

  test("no request is refused beside a free slot", () => {
    expect(results.filter((item) => item.isRefusedBesideFreeSlot)).toEqual([]);
  });
});

// Guards against a customer that takes what others ask for.
test("a customer with ten times its share leaves the others theirs", () => {
  const kind = { ...short, rank: 2 };
  const results = play([
    steady({ ...long, rank: 2 }, 10),
    steady(kind, 20),
    steady(kind, 200, "hog"),
  ]);
  const served = servedByCustomer(results);
  const hog = served.get("hog") ?? 0;
  served.delete("hog");
  for (const part of served.values()) expect(part).toBeGreaterThan(0.95);
  expect(hog).toBeGreaterThan(share(results, isServed) / 4);
});

// Guards against prompts that queue at the engines in order of arrival.
test("long prompts of one customer do not starve short ones of others", () => {
  const engines = { slots: 64, promptSpeed: 49.6, tokenInterval: 5.18 };
  const kind = { ...short, rank: 2 };
  const loads = [
    steady({ ...long, rank: 2 }, 15),
    steady(kind, 40),
    steady({ ...long, rank: 2 }, 120, "hog"),
  ];
  const results = play(loads, engines, 8_000);
  const before = play(loads, { ...engines, hasCustomers: false }, 8_000);
  expect(share(of(results, kind), onTime)).toBeGreaterThan(0.97);
  expect(share(results, onTime)).toBeGreaterThan(share(before, onTime) + 0.15);
});

// Guards against work that is held although there is room for all of it.
test("nothing is refused or held while there is room", () => {
  const results = play([steady(long, 10), steady(urgent, 20)]);
  expect(results.every(onTime)).toBe(true);
  expect(results.every(({ tries }) => tries === 1)).toBe(true);
});

// Guards against customers that are served less the smaller they are.
test("every customer is served at least a quarter as often as all", () => {
  const results = play([...alternating, steady(urgent, 60, "hog")]);
  const least = Math.min(...servedByCustomer(results).values());
  expect(least).toBeGreaterThan(share(results, isServed) / 4);
});

// Guards against answers that look like those of an earlier software version.
test("a query without customer is answered at once, as before", () => {
  const region = new Region({ ...options, engines: 1, slots: 1 });
  const query = makeQuery("unnamed");
  const answers = [0, 1, 2, 3].map((index) =>
    region.host.send({
      type: "placement_requested",
      now: 1,
      from: "asker" as HostId,
      query: { ...query, request: `unnamed-${index}` as RequestId },
    })
  ).flat();
  const types = answers.map((effect) =>
    effect.type === "answer_placement" ? effect.placement.type : effect.type
  );
  expect(types).not.toContain("waiting");
  expect(types).toContain("refused");
});

describe("a query that waits", () => {
  function ask(region: Region, request: string, now: number) {
    const query = makeQuery(request);
    const customer = "kiosks" as CustomerId;
    return region.host.send({
      type: "placement_requested",
      now,
      from: "asker" as HostId,
      query: { ...query, customer },
    }).flatMap((effect) => effect.type === "answer_placement" ? [effect] : []);
  }

  function fill(): { region: Region; end: (now: number) => Answer[] } {
    const region = new Region({ ...options, engines: 1, slots: 1 });
    const [answer] = ask(region, "first", 1);
    const [work] = answer!.works;
    const end = (now: number) =>
      region.host.send({
        type: "work_ended",
        now,
        end: { server: work!.server, id: work!.id, ended: "answered" },
      }).flatMap((effect) =>
        effect.type === "answer_placement" ? [effect] : []
      );
    return { region, end };
  }

  // Also just after a takeover, when no rate of placements is known.
  test("gets the slot that becomes free", () => {
    const { region, end } = fill();
    expect(ask(region, "second", 2)[0]?.placement.type).toBe("waiting");
    const [answer] = end(20);
    expect(answer).toMatchObject({
      request: "second",
      placement: { type: "placed" },
    });
  });

  test("gets no slot once its request has ended", () => {
    const { region, end } = fill();
    ask(region, "second", 2);
    region.host.send({
      type: "placement_cancelled",
      now: 10,
      from: "asker" as HostId,
      request: "second" as RequestId,
    });
    expect(end(20)).toEqual([]);
  });

  test("is refused at its limit, once, with an ordered delay", () => {
    const { region } = fill();
    const [waiting] = ask(region, "second", 2);
    const { limit } = waiting!.placement as { limit: number };
    expect(limit).toBe(Math.floor(urgent.target / 8));
    const due = (now: number) =>
      region.host.send({ type: "placement_due", now });
    expect(due(2 + limit - 1)).toEqual([]);
    expect(due(2 + limit)).toMatchObject([
      { placement: { type: "refused", isOrdered: true } },
    ]);
    expect(due(3 + limit)).toEqual([]);
  });
});
