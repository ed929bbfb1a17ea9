/**
 * Definitions of the experiments: load, faults, figures and targets.
 *
 * @module
 */

import type { EngineRole, FleetSettings } from "@rhubarbstage/policy";
import {
  type Deployment,
  type EngineSample,
  runDeployment,
  type RunResult,
} from "./fleet_run.ts";
import {
  arrivedWithin,
  completionRate,
  dispatchesBySecond,
  firstTokenLatencies,
  fractionOf,
  metFirstTokenTarget,
  percentile,
  sumEventCounts,
  totalLatencies,
} from "./measure.ts";
import type { PolicyName, RequestRecord, RequestStream } from "./protocol.ts";

/** Value of one figure for one seed. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  /** Bounds of the value; a figure without bounds is informational. */
  readonly atLeast?: number;
  readonly atMost?: number;
}

/** A named experiment, run once per seed. */
export interface Experiment {
  readonly name: string;
  /** Default number of seeds; limits all runs to ten minutes. */
  readonly seeds: number;
  run(seed: number): Promise<readonly Figure[]>;
}

/** Scaled-down engines: 8 slots, a request takes about 0.4 s. */
const engine = {
  slots: 8,
  prefillTokensPerSecond: 20_000,
  decodeTokensPerSecond: 100,
  announceInterval: 500,
  transferBytesPerSecond: 10_000_000_000,
};

/** Has as many hosts as the example deployment `padana`. */
const eightEngineDeployment: Deployment = {
  regions: ["lombardia", "veneto", "emilia"],
  hosts: 8,
  engines: 8,
  services: 0,
  engine,
  regionRoundTrip: 30,
};

/** Has as many hosts as the example deployment `pinakas`. */
const thirteenEngineDeployment: Deployment = {
  regions: ["attica", "macedonia", "crete"],
  hosts: 7,
  engines: 13,
  services: 3,
  engine,
  regionRoundTrip: 30,
};

/** Approximate capacity of an engine's 8 slots in requests per second. */
const ratePerEngine = 20;

function stream(
  name: string,
  changes: Partial<RequestStream>,
): RequestStream {
  return {
    name,
    customer: name,
    kind: "chat",
    priority: 0,
    share: 1,
    floorRequestsPerSecond: 0,
    firstTokenTarget: 1_000,
    deadline: 10_000,
    rate: [],
    promptTokens: [200, 600],
    outputTokens: [15, 45],
    outputTokenLimit: 1_000,
    stragglers: { part: 0, factor: 1 },
    ...changes,
  };
}

function filterByStream(
  records: readonly RequestRecord[],
  name: string,
): RequestRecord[] {
  return records.filter((record) => record.stream === name);
}

function countFigures(result: RunResult): Figure[] {
  const counts = Object.entries(sumEventCounts(result))
    .map(([name, value]) => ({ name: `count of ${name}`, value }));
  const time = result.hosts.reduce((sum, host) => sum + host.policyTime, 0);
  const events = result.hosts.reduce((sum, host) => sum + host.policyEvents, 0);
  const name = "policy time for each event, microseconds";
  return [...counts, { name, value: time / events * 1_000 }];
}

const crestWindow = [5, 16] as const;
const paidFirstTokenTarget = 500;

/** Load at twice the capacity, with a paid priority and a guaranteed floor. */
export const crest: Experiment = {
  name: "crest",
  seeds: 3,
  async run(seed) {
    const capacity = eightEngineDeployment.engines * ratePerEngine;
    const bulk = (part: number) =>
      [
        [0, 0.4 * part * capacity],
        [4, 0.4 * part * capacity],
        [4.1, 1.75 * part * capacity],
        [16, 1.75 * part * capacity],
      ] as const;
    const streams = [
      stream("bulk-a", { rate: bulk(0.7) }),
      stream("bulk-b", { rate: bulk(0.3) }),
      stream("bought", {
        priority: 5,
        firstTokenTarget: paidFirstTokenTarget,
        rate: [[0, 0.05 * capacity], [4, 0.05 * capacity], [
          4.1,
          0.2 * capacity,
        ]],
      }),
      stream("floor", { rate: [[0, 4]], floorRequestsPerSecond: 8 }),
      stream("idle", {
        priority: 5,
        firstTokenTarget: paidFirstTokenTarget,
        rate: [[0, 0], [10, 0], [10.01, 5]],
      }),
    ];
    const run = (policy: PolicyName) =>
      runDeployment({
        deployment: eightEngineDeployment,
        policy,
        seed,
        duration: 16,
        streams,
      });
    const naive = await run("naive");
    const fleet = await run("fleet");
    const measured = completionRate(naive.records, crestWindow);
    return [
      { name: "capacity, requests a second", value: measured },
      ...crestFigures("naive", naive, measured),
      ...crestFigures("fleet", fleet, measured),
      ...countFigures(fleet),
    ];
  },
};

function crestFigures(
  policy: PolicyName,
  result: RunResult,
  capacity: number,
): Figure[] {
  const records = arrivedWithin(result.records, crestWindow);
  const seconds = crestWindow[1] - crestWindow[0];
  const targetOf = (record: RequestRecord) =>
    record.stream === "bought" || record.stream === "idle"
      ? paidFirstTokenTarget
      : 1_000;
  const inTimeCount =
    records.filter((record) => metFirstTokenTarget(record, targetOf(record)))
      .length;
  const bought = filterByStream(records, "bought");
  const idle = filterByStream(records, "idle")
    .sort((left, right) => left.arrival - right.arrival);
  const refused = records.filter((record) => record.end === "refused");
  const boundForFleet = <Bound>(bound: Bound) =>
    policy === "fleet" ? bound : {};
  return [
    {
      name: `${policy}: goodput over capacity`,
      value: inTimeCount / seconds / capacity,
      ...boundForFleet({ atLeast: 0.95 }),
    },
    {
      name: `${policy}: completions over capacity`,
      value: completionRate(result.records, crestWindow) / capacity,
    },
    {
      name: `${policy}: bought priority in time`,
      value: fractionOf(
        bought,
        (record) => metFirstTokenTarget(record, paidFirstTokenTarget),
      ),
      ...boundForFleet({ atLeast: 0.95 }),
    },
    {
      name: `${policy}: floor served`,
      value: fractionOf(
        filterByStream(records, "floor"),
        (record) => record.end === "finished",
      ),
      ...boundForFleet({ atLeast: 0.99 }),
    },
    {
      name: `${policy}: first request of the idle customer, ms`,
      value: firstTokenLatencies(idle)[0] ?? Infinity,
      ...boundForFleet({ atMost: paidFirstTokenTarget }),
    },
    {
      name: `${policy}: refusals p99, ms`,
      value: percentile(refused.map(({ total }) => total), 99),
      ...boundForFleet({ atMost: 50 }),
    },
    {
      name: `${policy}: untrue refusals`,
      value: refused.filter((record) => record.untrue).length,
      ...boundForFleet({ atMost: 0 }),
    },
    ...["bulk-a", "bulk-b", "bought", "floor"].flatMap((name) =>
      latencyFigures(`${policy}: ${name}`, filterByStream(records, name))
    ),
    {
      name: `${policy}: idle slots`,
      value: meanSample(result, crestWindow, ({ idle }) => idle),
    },
    {
      name: `${policy}: queued in engines`,
      value: meanSample(result, crestWindow, ({ queued }) => queued),
    },
    { name: `${policy}: refused part`, value: refused.length / records.length },
    {
      name: `${policy}: failed part`,
      value: fractionOf(records, (record) => record.end === "failed"),
    },
  ];
}

function meanSample(
  result: RunResult,
  [from, to]: readonly [number, number],
  value: (sample: EngineSample) => number,
): number {
  const samples = result.samples
    .filter(({ second }) => second >= from && second < to);
  return samples.reduce((sum, sample) => sum + value(sample), 0) /
    samples.length;
}

function latencyFigures(
  name: string,
  records: readonly RequestRecord[],
): Figure[] {
  const served = records.filter((record) => record.end === "finished");
  const waits = served.map((record) => record.queueWait);
  return [50, 99].flatMap((percent) => [
    {
      name: `${name} first token p${percent}, ms`,
      value: percentile(firstTokenLatencies(served), percent),
    },
    {
      name: `${name} wait on the host p${percent}, ms`,
      value: percentile(waits, percent),
    },
  ]);
}

/** One request in a hundred is 20 times as long. */
export const stragglers: Experiment = {
  name: "stragglers",
  seeds: 2,
  async run(seed) {
    const rate = eightEngineDeployment.engines * ratePerEngine * 0.8;
    const run = async (policy: PolicyName, part: number) => {
      const streams = [stream("work", {
        rate: [[0, rate]],
        deadline: 30_000,
        firstTokenTarget: 5_000,
        stragglers: { part, factor: 20 },
      })];
      return await runDeployment({
        deployment: eightEngineDeployment,
        policy,
        seed,
        duration: 14,
        streams,
      });
    };
    const shortFirstTokenP99 = (result: RunResult) => {
      const short = arrivedWithin(result.records, [3, 14])
        .filter((record) => !record.straggler);
      return percentile(firstTokenLatencies(short), 99);
    };
    const naive = shortFirstTokenP99(await run("naive", 0.01));
    const baseline = shortFirstTokenP99(await run("fleet", 0));
    const fleetRun = await run("fleet", 0.01);
    const fleet = shortFirstTokenP99(fleetRun);
    const stragglerRecords = fleetRun.records.filter((record) =>
      record.straggler
    );
    return [
      { name: "naive: short p99, ms", value: naive },
      { name: "fleet without stragglers: short p99, ms", value: baseline },
      { name: "fleet: short p99, ms", value: fleet },
      {
        name: "short p99 over that without stragglers",
        value: fleet / baseline,
        atMost: 1.5,
      },
      { name: "short p99 over naive's", value: fleet / naive, atMost: 0.3 },
      {
        name: "fleet: stragglers finished",
        value: fractionOf(
          stragglerRecords,
          (record) => record.end === "finished",
        ),
      },
      ...countFigures(fleetRun),
    ];
  },
};

const slowFrom = 6;
const slowTo = 14;
const slowedEngines = [3, 8];

/** Two of 13 engines are slowed down by a factor of 5; load reports lag 5 s. */
export const slowed: Experiment = {
  name: "slowed",
  seeds: 2,
  async run(seed) {
    const rate = thirteenEngineDeployment.engines * ratePerEngine * 0.5;
    const run = (policy: PolicyName, slowdown: number) =>
      runDeployment({
        deployment: {
          ...thirteenEngineDeployment,
          engine: { ...engine, reportDelay: 5_000 },
        },
        policy,
        seed,
        duration: 24,
        streams: [
          stream("work", { rate: [[0, rate]], deadline: 30_000 }),
          stream("reads", { rate: [[0, 30]], service: "intake" }),
        ],
        actions: [
          { second: slowFrom, engines: slowedEngines, switches: { slowdown } },
          {
            second: slowTo,
            engines: slowedEngines,
            switches: { slowdown: 1 },
          },
        ],
      });
    const tailLatencies = (result: RunResult) => {
      const records = filterByStream(
        arrivedWithin(result.records, [slowFrom, slowTo]),
        "work",
      );
      return {
        total: percentile(totalLatencies(records), 99),
        firstToken: percentile(firstTokenLatencies(records), 99),
      };
    };
    const naive = tailLatencies(await run("naive", 5));
    const baseline = tailLatencies(await run("fleet", 1));
    const fleetRun = await run("fleet", 5);
    const fleet = tailLatencies(fleetRun);
    const figure = (name: string, value: number) => ({ name, value });
    return [
      figure("naive: total p99, ms", naive.total),
      figure("fleet without slowing: total p99, ms", baseline.total),
      figure("fleet: total p99, ms", fleet.total),
      figure("naive: first token p99, ms", naive.firstToken),
      figure("fleet without slowing: first token p99, ms", baseline.firstToken),
      figure("fleet: first token p99, ms", fleet.firstToken),
      {
        name: "total p99 over that without slowing",
        value: fleet.total / baseline.total,
        atMost: 1.5,
      },
      {
        name: "total p99 over naive's",
        value: fleet.total / naive.total,
        atMost: 0.4,
      },
      {
        name: "seconds until normal share after recovery",
        value: secondsToNormalShare(fleetRun),
        atMost: 10,
      },
      figure(
        "fleet: share while slowed over the even share",
        shareOverEven(fleetRun, [slowFrom + 2, slowTo]),
      ),
      figure(
        "fleet: reads finished",
        fractionOf(
          filterByStream(fleetRun.records, "reads"),
          (record) => record.end === "finished",
        ),
      ),
      ...countFigures(fleetRun),
    ];
  },
};

/** Returns the slowed engines' share of dispatches over an even share. */
function shareOverEven(
  result: RunResult,
  [from, to]: readonly [number, number],
): number {
  let all = 0;
  let slow = 0;
  for (const [server, counts] of Object.entries(dispatchesBySecond(result))) {
    if (!server.startsWith("engine-")) continue;
    const sum = counts.slice(from, to).reduce((left, right) => left + right, 0);
    all += sum;
    if (slowedEngines.includes(Number(server.slice("engine-".length)))) {
      slow += sum;
    }
  }
  return slow / all * thirteenEngineDeployment.engines / slowedEngines.length;
}

/**
 * Returns the seconds from the end of the slowdown to the middle of the first
 * two seconds in which the slowed engines receive at least 80% of an even share;
 * infinite if they never do.
 */
function secondsToNormalShare(result: RunResult): number {
  for (let second = slowTo; second < 24; second += 1) {
    if (shareOverEven(result, [second, second + 2]) >= 0.8) {
      return second + 1 - slowTo;
    }
  }
  return Infinity;
}

const swingFrom = 5;
const swingTo = 20;
const mixDuration = 25;
const prefillSplits = [1, 2, 3, 4];
/** Best of `prefillSplits` for the initial mix. */
const initialPrefillEngines = 1;

/** Role settings, scaled to a swing over 15 s instead of two minutes. */
const scaledRoles: Partial<FleetSettings> = {
  roleChangeCost: 600,
  roleHorizon: 4_000,
  roleChangeCooldown: (swingTo - swingFrom) * 1_000,
  roleStabilisationWindow: 300,
};

/** The share of prefill in the work grows from 20% to 70%. */
export const mixSwing: Experiment = {
  name: "mix-swing",
  seeds: 1,
  async run(seed) {
    const streams = [
      stream("chat", {
        rate: [[0, 105], [swingFrom, 105], [swingTo, 32]],
        promptTokens: [100, 300],
        outputTokens: [30, 60],
        firstTokenTarget: 1_500,
      }),
      stream("ledger", {
        kind: "ledger",
        rate: [[0, 3.5], [swingFrom, 3.5], [swingTo, 30]],
        promptTokens: [3_000, 5_000],
        outputTokens: [10, 20],
        firstTokenTarget: 1_500,
      }),
    ];
    const run = (policy: PolicyName, prefill: number, changesRoles: boolean) =>
      runDeployment({
        deployment: {
          ...eightEngineDeployment,
          engine: { ...engine, roleChangeTime: 400 },
        },
        policy,
        seed,
        duration: mixDuration,
        streams,
        roles: Array.from(
          { length: eightEngineDeployment.engines },
          (_, index): EngineRole => index < prefill ? "prefill" : "decode",
        ),
        settings: scaledRoles,
        changesRoles,
      });
    const goodput = (result: RunResult) =>
      result.records.filter((record) => metFirstTokenTarget(record, 1_500))
        .length /
      mixDuration;
    const figures: Figure[] = [];
    let best = 0;
    for (const prefill of prefillSplits) {
      const value = goodput(await run("fleet", prefill, false));
      figures.push({ name: `goodput with ${prefill} prefill engines`, value });
      best = Math.max(best, value);
    }
    const naive = goodput(await run("naive", initialPrefillEngines, false));
    const fleetRun = await run("fleet", initialPrefillEngines, true);
    const fleet = goodput(fleetRun);
    const changes = fleetRun.hosts.flatMap((host) => host.roleChanges);
    const steady = changes.filter(({ at }) =>
      at < fleetRun.startAt + swingFrom * 1_000
    );
    const counts = changes.map(({ server }) =>
      changes.filter((change) => change.server === server).length
    );
    return [
      ...figures,
      { name: "naive: goodput", value: naive },
      { name: "fleet: goodput", value: fleet },
      {
        name: "goodput over the best split",
        value: fleet / best,
        atLeast: 0.95,
      },
      {
        name: "most role changes of an engine",
        value: Math.max(0, ...counts),
        atMost: 1,
      },
      {
        name: "role changes in the steady mix",
        value: steady.length,
        atMost: 0,
      },
      { name: "role changes", value: changes.length },
      {
        name: "role changes to prefill",
        value: changes.filter(({ role }) => role === "prefill").length,
      },
      ...countFigures(fleetRun),
    ];
  },
};

/** All experiments, ordered by importance. */
export const experiments: readonly Experiment[] = [
  crest,
  stragglers,
  slowed,
  mixSwing,
];
