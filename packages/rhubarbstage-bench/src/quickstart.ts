/**
 * Forms a small system on loopback, uses it and stops it. Exits with 0 only
 * if every step succeeds.
 *
 * @module
 */

import { join } from "node:path";
import process from "node:process";
import {
  type BackendsAnswer,
  type BootstrapAnswer,
  type EditAnswer,
  type EffectiveAnswer,
  operatorPaths,
  type TimelineAnswer,
} from "@rhubarbstage/settings";
import {
  type DrivenProcess,
  freePorts,
  ProcessDriver,
} from "@rhubarbstage/test-support";
import { delay } from "rhubarbstage";
import {
  countExecutions,
  isOk,
  readOperator,
  sendCharge,
  streamChat,
} from "./quickstart_calls.ts";
import {
  backendToken,
  type QuickstartFiles,
  type QuickstartHost,
  quickstartPortCount,
  writeQuickstartFiles,
} from "./quickstart_files.ts";

/** Timeout of one condition, in milliseconds. */
const conditionTimeout = 20_000;

/** Maximum time until an edit is in force on all hosts, in milliseconds. */
const editInForceTimeout = 8_000;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function assert(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}

/** Polls a check until it passes; returns the elapsed time in milliseconds. */
async function waitUntil(
  condition: string,
  options: {
    readonly check: () => Promise<boolean>;
    readonly processes: readonly DrivenProcess[];
  },
): Promise<number> {
  const start = performance.now();
  while (!await options.check()) {
    const stopped = options.processes.find(({ running }) => !running);
    if (stopped !== undefined) {
      throw new Error(`${stopped.name} exited before ${condition}`);
    }
    if (performance.now() - start > conditionTimeout) {
      throw new Error(
        `Timed out after ${conditionTimeout} ms waiting until ${condition}`,
      );
    }
    await delay(100);
  }
  return Math.round(performance.now() - start);
}

/** Steps of the quickstart. */
class Quickstart {
  readonly #driver: ProcessDriver;
  readonly #files: QuickstartFiles;
  readonly #processes: DrivenProcess[] = [];

  constructor(driver: ProcessDriver, files: QuickstartFiles) {
    this.#driver = driver;
    this.#files = files;
  }

  get #urls(): readonly string[] {
    return this.#files.hosts.map(({ url }) => url);
  }

  get #firstHost(): QuickstartHost {
    return this.#files.hosts[0] as QuickstartHost;
  }

  #waitUntil(
    condition: string,
    check: () => Promise<boolean>,
  ): Promise<number> {
    return waitUntil(condition, { check, processes: this.#processes });
  }

  /** Runs an operator command against the first host. */
  async #operate<Answer>(
    ...args: readonly string[]
  ): Promise<Answer> {
    const command = this.#driver.start("rhubarbstage", {
      name: args[0] ?? "",
      arguments: [...args, "--json", "--settings", this.#firstHost.file],
      environment: {
        RHUBARBSTAGE_STATE_FOLDER: join(this.#driver.folder, "state"),
      },
    });
    const code = await command.exited;
    assert(code === 0, `${args.join(" ")} failed:\n${command.output}`);
    const { output } = command;
    return JSON.parse(
      output.slice(output.indexOf("{"), output.lastIndexOf("}") + 1),
    );
  }

  async bootstrapSystem(): Promise<void> {
    for (const host of this.#files.hosts) {
      const started = this.#driver.start("rhubarbstage", {
        name: host.name,
        arguments: ["serve", "--settings", host.file],
      });
      this.#processes.push(started);
    }
    await this.#waitUntil("all hosts listen", async () => {
      const alive = this.#urls.map((url) => isOk(`${url}/healthz`));
      return (await Promise.all(alive)).every(Boolean);
    });
    const formed = await this.#operate<BootstrapAnswer>(
      "bootstrap",
      "--tree",
      this.#files.treeFile,
    );
    print(`formed: ${formed.seats.map(({ host }) => host).join(", ")}`);
    const time = await this.#waitUntil("all hosts are ready", async () => {
      const ready = this.#urls.map((url) => isOk(`${url}/readyz`));
      return (await Promise.all(ready)).every(Boolean);
    });
    print(`ready: ${this.#urls.length} hosts, ${time} ms after the bootstrap`);
  }

  /** Starts the fakes and returns the origin of the fake service. */
  async startBackends(): Promise<string> {
    const common = { announceOrigins: this.#urls, announceToken: backendToken };
    const engine = this.#driver.start("fake_engine", {
      arguments: [JSON.stringify({ ...common, models: ["small"] })],
    });
    const service = this.#driver.start("fake_service", {
      arguments: [JSON.stringify({ ...common, services: ["kiosk"] })],
    });
    this.#processes.push(engine, service);
    await engine.ready();
    const { url } = await service.ready<{ url: string }>();
    const time = await this.#waitUntil(
      "all hosts know both fakes",
      async () => {
        const answers = await Promise.all(
          this.#urls.map((url) =>
            readOperator<BackendsAnswer>(`${url}${operatorPaths.backends}`)
          ),
        );
        return answers.every(({ backends }) => backends.length === 2);
      },
    );
    print(`backend servers: 2, known to all hosts after ${time} ms`);
    return url;
  }

  async chat(): Promise<void> {
    const answer = await streamChat(
      this.#firstHost.url,
      "What does a litre of water cost?",
    );
    assert(answer.complete, "The stream ended without its terminator");
    assert(answer.chunks > 1, "The answer was not streamed");
    const firstToken = Math.round(answer.firstToken);
    print(`chat: ${answer.chunks} chunks, the first after ${firstToken} ms`);
    print(`  ${answer.text.slice(0, 60)}`);
    await this.#showTimeline("engine-1");
  }

  /** Prints the timeline events of one backend server. */
  async #showTimeline(server: string): Promise<void> {
    const { events } = await this.#operate<TimelineAnswer>(
      "timeline",
      "--server",
      server,
    );
    assert(events.length > 0, `The timeline has no event of ${server}`);
    for (const { host, event } of events) {
      print(`  timeline of ${server}: ${event} on ${host}`);
    }
  }

  async charge(serviceUrl: string): Promise<void> {
    const key = "charge-1";
    const first = await sendCharge(this.#urls[1] as string, key);
    assert(first.status === 200, `The charge failed: ${first.body}`);
    const resend = await sendCharge(this.#urls[2] as string, key);
    assert(
      resend.body === first.body,
      "The resend returned a different answer",
    );
    assert(resend.replayed && !first.replayed, "The resend was not replayed");
    const runs = await countExecutions(serviceUrl, key);
    assert(runs === 1, `The charge ran ${runs} times`);
    print("charge: sent twice through two hosts, ran once, same answer");
  }

  async edit(): Promise<void> {
    const start = performance.now();
    const { revision } = await this.#operate<EditAnswer>(
      "tree",
      "apply",
      "--set",
      "regions/*/services/chat/priority=5",
    );
    const query = "region=lombardia&service=chat&customer=kiosks&kind=default";
    await this.#waitUntil("the edit is in force on all hosts", async () => {
      const answers = await Promise.all(
        this.#urls.map((url) =>
          readOperator<EffectiveAnswer>(
            `${url}${operatorPaths.effective}?${query}`,
          )
        ),
      );
      return answers.every((answer) =>
        answer.revision >= revision &&
        answer.settings.some(({ name, value }) =>
          name === "priority" && value === 5
        )
      );
    });
    const time = Math.round(performance.now() - start);
    assert(
      time <= editInForceTimeout,
      `The edit took ${time} ms, limit ${editInForceTimeout} ms`,
    );
    print(`edit: revision ${revision} in force on all hosts after ${time} ms`);
  }

  async stop(): Promise<void> {
    for (const { name, code } of await this.#terminateAll()) {
      assert(code === 0, `${name} exited with ${code}`);
    }
    print("stopped: every process exited with 0");
  }

  async #terminateAll() {
    return await Promise.all(
      this.#processes.map(async (driven) => ({
        name: driven.name,
        code: await driven.terminate(),
      })),
    );
  }

  /** Formats the last output of each process for a failure report. */
  describeProcesses(): string {
    return this.#processes.map(({ name, output }) =>
      `${name}:\n${output.slice(-2_000)}`
    ).join("\n");
  }
}

async function runSteps(quickstart: Quickstart): Promise<void> {
  try {
    await quickstart.bootstrapSystem();
    const serviceUrl = await quickstart.startBackends();
    await quickstart.chat();
    await quickstart.charge(serviceUrl);
    await quickstart.edit();
    await quickstart.stop();
  } catch (error) {
    process.stderr.write(`${quickstart.describeProcesses()}\n`);
    throw error;
  }
}

async function main(driver: ProcessDriver): Promise<void> {
  const start = performance.now();
  const ports = await freePorts(quickstartPortCount);
  const files = await writeQuickstartFiles(driver.folder, ports);
  await runSteps(new Quickstart(driver, files));
  const seconds = ((performance.now() - start) / 1_000).toFixed(1);
  print(`done in ${seconds} s`);
}

const driver = new ProcessDriver();

function exitAfter(code: number): void {
  void driver.stop().finally(() => process.exit(code));
}

process.once("SIGINT", () => exitAfter(130));
process.once("SIGTERM", () => exitAfter(143));
main(driver).then(
  () => exitAfter(0),
  (error) => {
    process.stderr.write(`${(error as Error).message}\n`);
    exitAfter(1);
  },
);
