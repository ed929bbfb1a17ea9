/**
 * Ways to choose a plain server on the same recorded calls. Prints the table of
 * `docs/design/costs.md` if `PRINT_TABLE` is set.
 */

import {
  FewestOpenChooser,
  FullViewChooser,
  LastReportChooser,
  LeastWorkChooser,
  PolicyChooser,
  TwoChoicesChooser,
} from "./plain_choosers.ts";
import {
  type Chooser,
  recordCalls,
  replay,
  type ReplayResult,
  type World,
} from "./plain_replay.ts";

/** Load of the assertions; 1 is 200 calls a second. */
const testedLoad = 1.5;
const ways: Record<string, (world: World) => Chooser> = {
  "fewest open requests": () => new FewestOpenChooser(),
  "least work in last reports": () => new LastReportChooser(),
  "least expected completion, alone": () => new LeastWorkChooser(),
  "two random choices with cost": () => new TwoChoicesChooser(),
  "policy, setting off": () => new PolicyChooser({ isOn: false }),
  "policy, setting on": () => new PolicyChooser({ isOn: true }),
  "full view": (world) => new FullViewChooser(world),
};
const isTablePrinted = process.env.PRINT_TABLE !== undefined;
/** Seeds of the recordings; the table has means over three. */
const seeds = isTablePrinted ? [21, 5, 6] : [21];
const loads = isTablePrinted ? [1, 1.5, 2] : [testedLoad];

function average(results: readonly ReplayResult[]): ReplayResult {
  const mean = (field: keyof ReplayResult) =>
    results.reduce((sum, result) => sum + result[field], 0) / results.length;
  return {
    mean: mean("mean"),
    p95: mean("p95"),
    p99: mean("p99"),
    late: mean("late"),
    remote: mean("remote"),
    otherZone: mean("otherZone"),
  };
}

function toRow(name: string, load: number, result: ReplayResult): string {
  const { mean, p95, p99, late, remote, otherZone } = result;
  const cells = [
    name,
    load,
    mean.toFixed(0),
    p95.toFixed(0),
    p99.toFixed(0),
    `${(late * 100).toFixed(2)}%`,
    `${(otherZone * 100).toFixed(0)}%`,
    `${(remote * 100).toFixed(0)}%`,
  ];
  return `| ${cells.join(" | ")} |`;
}

// Guards against herding and against trust in old reports: both made the choice
// by remaining work worse than the one without it on the same calls.
test("remaining work beats the present choice on recorded calls", () => {
  const results = new Map<string, ReplayResult>();
  const rows: string[] = [];
  for (const load of loads) {
    const recordings = seeds.map((seed) => recordCalls(load, seed));
    for (const [name, create] of Object.entries(ways)) {
      if (!isTablePrinted && !name.startsWith("policy")) continue;
      const result = average(
        recordings.map((calls) => replay(calls, create)),
      );
      if (load === testedLoad) results.set(name, result);
      rows.push(toRow(name, load, result));
    }
  }
  if (isTablePrinted) console.log(rows.join("\n"));
  const on = results.get("policy, setting on")!;
  const off = results.get("policy, setting off")!;
  expect(on.late).toBeLessThan(off.late);
  expect(on.mean).toBeLessThan(off.mean * 0.95);
  expect(on.remote).toBeLessThan(off.remote);
});
