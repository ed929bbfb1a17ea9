/**
 * Executes one run of an experiment: starts the processes of a deployment, sends
 * load and collects results.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { EngineRole, FleetSettings } from "@rhubarbstage/policy";
import {
  type DrivenProcess,
  type FakeEngineOptions,
  freePorts,
  ProcessDriver,
} from "@rhubarbstage/test-support";
import { request as httpRequest } from "undici";
import type {
  CallerOptions,
  CallerResult,
  HostMetrics,
  HostOptions,
  Location,
  PolicyName,
  RequestRecord,
  RequestStream,
} from "./protocol.ts";

/** Topology and size of a deployment. */
export interface Deployment {
  readonly regions: readonly string[];
  readonly hosts: number;
  readonly engines: number;
  readonly services: number;
  /** Slots and speeds of each engine. */
  readonly engine: Partial<FakeEngineOptions>;
  /** Round trip between regions, in milliseconds. */
  readonly regionRoundTrip: number;
}

/** Change of engine settings at a time of a run. */
export interface TimedAction {
  readonly second: number;
  /** Indices of the engines. */
  readonly engines: readonly number[];
  readonly switches: Partial<FakeEngineOptions>;
}

/** Options of one run with one policy. */
export interface DeploymentRun {
  readonly deployment: Deployment;
  readonly policy: PolicyName;
  readonly seed: number;
  /** Duration of the arrivals in seconds. */
  readonly duration: number;
  readonly streams: readonly RequestStream[];
  readonly actions?: readonly TimedAction[];
  readonly settings?: Partial<FleetSettings>;
  /** Roles of the engines by index; mixed by default. */
  readonly roles?: readonly EngineRole[];
  /** Whether the first host may change the roles of engines; false by default. */
  readonly changesRoles?: boolean;
}

/** Result of a run. */
export interface RunResult {
  readonly records: readonly RequestRecord[];
  readonly hosts: readonly HostMetrics[];
  /** Start of the arrivals in milliseconds since the Unix epoch. */
  readonly startAt: number;
  readonly samples: readonly EngineSample[];
}

/** Total load of all engines at one time. */
export interface EngineSample {
  /** Seconds since the start of the arrivals. */
  readonly second: number;
  readonly running: number;
  readonly queued: number;
  readonly idle: number;
}

interface EngineStatusBody {
  readonly capacity: number;
  readonly load: {
    readonly running_requests: number;
    readonly queued_requests: number;
  };
}

interface CallerProcess {
  readonly process: DrivenProcess;
  readonly resultFile: string;
}

const callerCount = 2;
const sampleInterval = 250;
const readyTimeout = 15_000;
/** Time from readiness of all servers to the first arrival, in milliseconds. */
const leadTime = 1_200;

/** Executes a run; all processes have exited when it resolves. */
export async function runDeployment(run: DeploymentRun): Promise<RunResult> {
  const driver = new ProcessDriver();
  try {
    const ports = await freePorts(run.deployment.hosts);
    const origins = ports.map((port) => `http://127.0.0.1:${port}`);
    startHosts(driver, run, { ports, origins });
    await sleep(500);
    const engines = await startServers(driver, run, origins);
    await awaitServers(run, origins);
    const startAt = Date.now() + leadTime;
    const callerProcesses = startCallers(driver, run, { origins, startAt });
    const actions = runActions(run, { engines, startAt });
    const samples: EngineSample[] = [];
    const sampler = setInterval(() => {
      void sampleEngines(engines, startAt).then((sample) =>
        samples.push(sample)
      );
    }, sampleInterval);
    const results = await Promise.all(callerProcesses.map(readResult));
    clearInterval(sampler);
    await actions;
    const hosts = await Promise.all(origins.map(readMetrics));
    const records = results.flatMap((result) => result.records);
    return { records, hosts, startAt, samples };
  } finally {
    await driver.stop();
  }
}

function locationOf(deployment: Deployment, index: number): Location {
  const region = deployment.regions[index % deployment.regions.length] ?? "";
  return { region, availabilityZone: `${region}-1` };
}

function startHosts(
  driver: ProcessDriver,
  run: DeploymentRun,
  network: {
    readonly ports: readonly number[];
    readonly origins: readonly string[];
  },
): void {
  for (const [position, port] of network.ports.entries()) {
    const options: HostOptions = {
      ...locationOf(run.deployment, position),
      port,
      position,
      policy: run.policy,
      seed: run.seed * 100 + position,
      hosts: network.origins,
      settings: run.settings ?? {},
      holdsRoleAuthority: position === 0 && run.changesRoles === true,
      regionRoundTrip: run.deployment.regionRoundTrip,
    };
    const name = `host-${position}`;
    driver.start("bench", {
      name,
      arguments: ["host", JSON.stringify(options)],
    });
  }
}

/** Starts engines and services; resolves with the engines' origins. */
async function startServers(
  driver: ProcessDriver,
  run: DeploymentRun,
  origins: readonly string[],
): Promise<string[]> {
  const { deployment } = run;
  const rotate = (index: number) => [
    ...origins.slice(index % origins.length),
    ...origins.slice(0, index % origins.length),
  ];
  const engines = Array.from({ length: deployment.engines }, (_, index) => {
    const options: Partial<FakeEngineOptions> = {
      ...deployment.engine,
      ...locationOf(deployment, index),
      id: `engine-${index}`,
      role: run.roles?.[index] ?? "mixed",
      announceOrigins: rotate(index),
    };
    return start(driver, "fake_engine", options);
  });
  const services = Array.from({ length: deployment.services }, (_, index) => {
    const options = {
      ...locationOf(deployment, index),
      id: `service-${index}`,
      services: ["intake"],
      capacity: 16,
      delayBefore: 20,
      announceOrigins: rotate(index),
    };
    return start(driver, "fake_service", options);
  });
  await Promise.all(services.map((service) => service.ready()));
  const ready = engines.map((engine) => engine.ready<{ url: string }>());
  return (await Promise.all(ready)).map(({ url }) => url);
}

function start(
  driver: ProcessDriver,
  program: string,
  options: { readonly id?: string },
): DrivenProcess {
  return driver.start(program, {
    name: options.id ?? program,
    arguments: [JSON.stringify(options)],
  });
}

async function awaitServers(
  run: DeploymentRun,
  origins: readonly string[],
): Promise<void> {
  const { engines, services } = run.deployment;
  const endsAt = Date.now() + readyTimeout;
  while (Date.now() < endsAt) {
    const metrics = await Promise.all(origins.map(readMetrics));
    if (metrics.every((host) => host.servers === engines + services)) return;
    await sleep(100);
  }
  throw new Error(
    `Not all hosts know ${engines + services} servers after ` +
      `${readyTimeout} ms`,
  );
}

async function sampleEngines(
  engines: readonly string[],
  startAt: number,
): Promise<EngineSample> {
  const statuses = await Promise.all(engines.map(async (origin) => {
    const answer = await httpRequest(`${origin}/v1/status`);
    return await answer.body.json() as EngineStatusBody;
  }));
  const sum = (value: (status: EngineStatusBody) => number) =>
    statuses.reduce((total, status) => total + value(status), 0);
  return {
    second: (Date.now() - startAt) / 1_000,
    running: sum(({ load }) => load.running_requests),
    queued: sum(({ load }) => load.queued_requests),
    idle: sum(({ load, capacity }) => capacity - load.running_requests),
  };
}

async function readMetrics(origin: string): Promise<HostMetrics> {
  const answer = await httpRequest(`${origin}/metrics`);
  return await answer.body.json() as HostMetrics;
}

function startCallers(
  driver: ProcessDriver,
  run: DeploymentRun,
  network: { readonly origins: readonly string[]; readonly startAt: number },
): CallerProcess[] {
  return Array.from({ length: callerCount }, (_, index) => {
    const resultFile = join(driver.folder, `caller-${index}.json`);
    const options: CallerOptions = {
      hosts: network.origins,
      seed: run.seed * callerCount + index,
      startAt: network.startAt,
      duration: run.duration,
      part: 1 / callerCount,
      streams: run.streams,
      resultFile,
    };
    const started = driver.start("bench", {
      name: `caller-${index}`,
      arguments: ["caller", JSON.stringify(options)],
    });
    return { process: started, resultFile };
  });
}

async function readResult(caller: CallerProcess): Promise<CallerResult> {
  const code = await caller.process.exited;
  if (code !== 0) {
    throw new Error(`A caller exited with ${code}:\n${caller.process.output}`);
  }
  return JSON.parse(await readFile(caller.resultFile, "utf8"));
}

async function runActions(
  run: DeploymentRun,
  network: { readonly engines: readonly string[]; readonly startAt: number },
): Promise<void> {
  for (const action of run.actions ?? []) {
    await sleep(network.startAt + action.second * 1_000 - Date.now());
    await Promise.all(action.engines.map(async (index) => {
      const origin = network.engines[index] as string;
      const answer = await httpRequest(`${origin}/test/switch`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(action.switches),
      });
      await answer.body.dump();
    }));
  }
}
