/**
 * Benchmark of the relay: the fake engine called directly, through a bare
 * pass-through proxy and through the gateway, compared in one run.
 *
 * `relay [rated|saturated|burst|memory...]` runs parts of it; `--rounds=N`
 * repeats them and `--seconds=N` sets the measured time per step.
 *
 * @module
 */

import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import type { FakeEngineOptions } from "@rhubarbstage/test-support";
import { delay } from "rhubarbstage";
import { percentile } from "./measure.ts";
import { type LoadResult, runClosedLoad, runOpenLoad } from "./relay_load.ts";
import {
  type RelayServerOptions,
  type RelayUsage,
  serveGateway,
  servePassThrough,
} from "./relay_servers.ts";

const requestsPerSecond = 36;
/** 36 requests a second of 287 tokens make 10,300 tokens a second. */
const tokensPerAnswer = 287;
/** Decode rate of each stream under the rated load. */
const ratedDecodeTokensPerSecond = 60;
const capacity = 512;
const mebibyte = 1_048_576;

type RelayMode = "direct" | "pass_through" | "gateway";
const modes: readonly RelayMode[] = ["direct", "pass_through", "gateway"];

interface Settings {
  readonly rounds: number;
  /** Measured time of each step, in milliseconds. */
  readonly duration: number;
}

/** Result of one step: load in one mode. */
interface Step {
  readonly mode: RelayMode;
  readonly result: LoadResult;
  /**
   * CPU time of the server process per token, in microseconds; 0 in the mode
   * `direct`.
   */
  readonly cpuPerToken: number;
}

class ServerProcess {
  readonly url: string;
  #child: ChildProcess;

  private constructor(child: ChildProcess, url: string) {
    this.#child = child;
    this.url = url;
  }

  static async start(
    mode: RelayMode,
    options: RelayServerOptions,
  ): Promise<ServerProcess> {
    const child = fork(process.argv[1] as string, [
      mode,
      JSON.stringify(options),
    ], { execArgv: ["--expose-gc", ...process.execArgv] });
    const [{ url }] = await once(child, "message");
    return new ServerProcess(child, url);
  }

  async usage(): Promise<RelayUsage> {
    this.#child.send("usage");
    const [usage] = await once(this.#child, "message");
    return usage;
  }

  async stop(): Promise<void> {
    this.#child.disconnect();
    await once(this.#child, "exit");
  }
}

async function startEngine(
  options: Partial<FakeEngineOptions>,
): Promise<{ url: string; stop: () => Promise<void> }> {
  const program = (process.argv[1] as string).replace(
    /relay\.cjs$/,
    "fake_engine.cjs",
  );
  const child = fork(program, [
    JSON.stringify({
      slots: capacity,
      batchSlowdown: 0,
      prefillTokensPerSecond: 1e9,
      ...options,
    }),
  ], { silent: true });
  const [line] = await once(child.stdout as NodeJS.ReadableStream, "data");
  const { url } = JSON.parse(String(line));
  const stop = async () => {
    child.kill("SIGKILL");
    await once(child, "exit");
  };
  return { url, stop };
}

/** Runs a load in each mode in turn, for a number of rounds. */
async function runModes(
  engine: Partial<FakeEngineOptions>,
  settings: Settings,
  load: (url: string) => Promise<LoadResult>,
): Promise<Step[]> {
  const fakeEngine = await startEngine(engine);
  const options = { engine: fakeEngine.url, capacity };
  const servers = {
    direct: undefined,
    pass_through: await ServerProcess.start("pass_through", options),
    gateway: await ServerProcess.start("gateway", options),
  };
  const steps: Step[] = [];
  for (let round = 0; round < settings.rounds; round += 1) {
    for (const mode of modes) {
      const server = servers[mode];
      const before = await server?.usage();
      const result = await load(server?.url ?? fakeEngine.url);
      const after = await server?.usage();
      const cpu = (after?.cpu ?? 0) - (before?.cpu ?? 0);
      const cpuPerToken = cpu * 1_000 / result.allTokens;
      steps.push({ mode, result, cpuPerToken });
    }
  }
  await servers.pass_through.stop();
  await servers.gateway.stop();
  await fakeEngine.stop();
  return steps;
}

function filterByMode(steps: readonly Step[], mode: RelayMode): Step[] {
  return steps.filter((step) => step.mode === mode);
}

function tokenRate(steps: readonly Step[], settings: Settings): number {
  const tokens = steps.reduce((sum, { result }) => sum + result.tokens, 0);
  return tokens / steps.length / settings.duration * 1_000;
}

function printSteps(steps: readonly Step[], settings: Settings): void {
  for (const mode of modes) {
    const modeSteps = filterByMode(steps, mode);
    const firstTokens = modeSteps.flatMap(({ result }) => result.firstTokens);
    const failures = modeSteps.reduce(
      (sum, { result }) => sum + result.failures,
      0,
    );
    const cpu = modeSteps.reduce((sum, step) => sum + step.cpuPerToken, 0);
    console.log([
      `  ${mode.padEnd(12)}`,
      `${tokenRate(modeSteps, settings).toFixed(0)} tokens/s`,
      `first token p50 ${percentile(firstTokens, 50).toFixed(2)} ms`,
      `p95 ${percentile(firstTokens, 95).toFixed(2)} ms`,
      `p99 ${percentile(firstTokens, 99).toFixed(2)} ms`,
      `${firstTokens.length} requests`,
      `${failures} failed`,
      `CPU ${(cpu / modeSteps.length).toFixed(1)} us/token`,
    ].join(", "));
  }
}

async function runRated(settings: Settings): Promise<void> {
  console.log(`rated: ${requestsPerSecond} requests/s`);
  const steps = await runModes(
    { decodeTokensPerSecond: ratedDecodeTokensPerSecond },
    settings,
    (url) =>
      runOpenLoad({
        url,
        tokens: tokensPerAnswer,
        requestsPerSecond,
        warmUp: 6_000,
        duration: settings.duration,
      }),
  );
  printSteps(steps, settings);
  for (const mode of ["pass_through", "gateway"] as const) {
    const added = addedFirstToken(steps, mode);
    const rounds = added.map((time) => time.toFixed(2)).join(", ");
    console.log(
      `  added at p95 by ${mode}: median of rounds ` +
        `${median(added).toFixed(2)} ms (target 7.7), rounds ${rounds}`,
    );
  }
}

/** Returns the added time to first token at p95 per round, in milliseconds. */
function addedFirstToken(steps: readonly Step[], mode: RelayMode): number[] {
  const p95 = (step: Step) => percentile(step.result.firstTokens, 95);
  const direct = filterByMode(steps, "direct");
  return filterByMode(steps, mode)
    .map((step, round) => p95(step) - p95(direct[round] as Step));
}

function median(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/**
 * Compares the token rates of gateway and pass-through proxy with a constant
 * number of concurrent streams.
 */
async function runStreams(
  settings: Settings,
  shape: { readonly concurrency: number; readonly tokensPerSecond: number },
): Promise<void> {
  const { concurrency, tokensPerSecond } = shape;
  const steps = await runModes(
    { decodeTokensPerSecond: tokensPerSecond, step: 1 },
    settings,
    (url) =>
      runClosedLoad({
        url,
        tokens: 2_000,
        concurrency,
        warmUp: 2_000,
        duration: settings.duration,
      }),
  );
  printSteps(steps, settings);
  const rate = (mode: RelayMode) =>
    tokenRate(filterByMode(steps, mode), settings);
  const ratio = rate("gateway") / rate("pass_through");
  console.log(`  gateway / pass-through: ${ratio.toFixed(2)} (target 0.8)`);
}

async function runSaturated(settings: Settings): Promise<void> {
  console.log("saturated: 480 streams of at most 600 tokens/s");
  await runStreams(settings, { concurrency: 480, tokensPerSecond: 600 });
}

async function runBurst(settings: Settings): Promise<void> {
  console.log("burst: 64 streams of at most 30,000 tokens/s");
  await runStreams(settings, { concurrency: 64, tokensPerSecond: 30_000 });
}

/** Samples the memory of a gateway under the rated load. */
async function runMemory(settings: Settings): Promise<void> {
  const samples = 6;
  const warmUp = 6_000;
  const length = settings.duration * settings.rounds;
  console.log(`memory: rated load for ${length / 1_000} s`);
  const fakeEngine = await startEngine({
    decodeTokensPerSecond: ratedDecodeTokensPerSecond,
  });
  const server = await ServerProcess.start("gateway", {
    engine: fakeEngine.url,
    capacity,
  });
  const load = runOpenLoad({
    url: server.url,
    tokens: tokensPerAnswer,
    requestsPerSecond,
    warmUp,
    duration: length,
  });
  await delay(warmUp);
  for (let sample = 0; sample < samples; sample += 1) {
    await delay(length / (samples + 1));
    const { heap, resident } = await server.usage();
    console.log(
      `  heap ${(heap / mebibyte).toFixed(1)} MiB, ` +
        `resident ${(resident / mebibyte).toFixed(1)} MiB`,
    );
  }
  const { tokens, failures } = await load;
  console.log(`  ${tokens} tokens, ${failures} failed`);
  await server.stop();
  await fakeEngine.stop();
}

const parts: Readonly<Record<string, (settings: Settings) => Promise<void>>> = {
  rated: runRated,
  saturated: runSaturated,
  burst: runBurst,
  memory: runMemory,
};

async function main(): Promise<void> {
  const [command, argument] = process.argv.slice(2);
  if (command === "pass_through") {
    return await servePassThrough(JSON.parse(argument as string));
  }
  if (command === "gateway") {
    return await serveGateway(JSON.parse(argument as string));
  }
  const names = process.argv.slice(2).filter((name) => !name.startsWith("--"));
  const settings = {
    rounds: readNumber("rounds", 3),
    duration: readNumber("seconds", 10) * 1_000,
  };
  for (const [name, run] of Object.entries(parts)) {
    if (names.length === 0 || names.includes(name)) await run(settings);
  }
}

function readNumber(name: string, fallback: number): number {
  const prefix = `--${name}=`;
  const option = process.argv.find((option) => option.startsWith(prefix));
  return option === undefined ? fallback : Number(option.slice(prefix.length));
}

void main();
