/**
 * Command line program of the experiments.
 *
 * `bench [experiment...] [--seeds=N]` runs experiments and prints a table;
 * `bench decisions` measures the time of a routing decision and `bench placement`
 * that of a placement by the number of engines; `bench host` and `bench caller`
 * are started as the processes of a run.
 *
 * @module
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { availableParallelism, loadavg } from "node:os";
import { dirname } from "node:path";
import process from "node:process";
import { runCaller } from "./caller.ts";
import { measureDecisions } from "./decision_time.ts";
import { ExperimentHost } from "./experiment_host.ts";
import { experiments, type Figure } from "./experiments.ts";
import { measurePlacementCosts } from "./placement_cost.ts";
import { type FigureSummary, formatTable, summarise } from "./report.ts";

/** Result file of the last experiments; ignored by git. */
const resultFile = ".data/bench.json";

async function main(): Promise<void> {
  const [command, argument] = process.argv.slice(2);
  if (command === "host") {
    new ExperimentHost(JSON.parse(argument ?? "")).listen();
    return;
  }
  if (command === "caller") {
    const options = JSON.parse(argument ?? "");
    const result = await runCaller(options);
    writeFileSync(options.resultFile, JSON.stringify(result));
    process.exit(0);
  }
  if (command === "decisions") {
    console.log(formatTable(summarise("decisions", [measureDecisions()])));
    return;
  }
  if (command === "placement") {
    for (const { engines, microseconds } of measurePlacementCosts()) {
      console.log(`${engines} engines: ${Math.round(microseconds)} µs`);
    }
    return;
  }
  await runExperiments(process.argv.slice(2));
}

async function runExperiments(options: readonly string[]): Promise<void> {
  const names = options.filter((option) => !option.startsWith("--"));
  const seedsOption = options.find((option) => option.startsWith("--seeds="));
  const seedsOverride = seedsOption?.split("=")[1];
  const selected = experiments.filter((experiment) =>
    names.length === 0 || names.includes(experiment.name)
  );
  const unknown = names.filter((name) =>
    !experiments.some((experiment) => experiment.name === name)
  );
  if (unknown.length > 0) {
    const known = experiments.map(({ name }) => name).join(", ");
    throw new Error(`Unknown experiment "${unknown[0]}"; known are ${known}`);
  }
  const summaries: FigureSummary[] = [];
  for (const experiment of selected) {
    const seeds = Number(seedsOverride ?? experiment.seeds);
    const runs: (readonly Figure[])[] = [];
    const [loadBefore] = loadavg();
    for (let seed = 1; seed <= seeds; seed += 1) {
      runs.push(await experiment.run(seed));
    }
    const machine = machineFigures(loadBefore ?? 0);
    const summary = [
      ...summarise(experiment.name, runs),
      ...summarise(experiment.name, [machine]),
    ];
    console.log(`${formatTable(summary)}\n`);
    summaries.push(...summary);
  }
  mkdirSync(dirname(resultFile), { recursive: true });
  writeFileSync(resultFile, JSON.stringify({ summaries }, null, 2));
  console.log(`The figures are in ${resultFile}`);
}

/** Returns cores and load averages: a busy machine distorts the results. */
function machineFigures(loadBefore: number): Figure[] {
  return [
    { name: "machine: cores", value: availableParallelism() },
    { name: "machine: load before", value: loadBefore },
    { name: "machine: load after", value: loadavg()[0] ?? 0 },
  ];
}

void main();
