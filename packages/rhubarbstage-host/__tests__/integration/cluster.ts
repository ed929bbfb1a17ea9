/**
 * Cluster of host processes and a fake plain service for integration tests.
 * Each link between two hosts, and the service's, passes through a fault proxy.
 *
 * @module
 */

import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { request } from "undici";
import { delay, SeededRandom } from "rhubarbstage";
import {
  type EditAnswer,
  type EditRequest,
  hashKey,
  operatorPaths,
  type StatusAnswer,
} from "@rhubarbstage/settings";
import {
  deleteDataFolder,
  type DrivenProcess,
  type FakeServiceRecords,
  type FakeServiceSwitches,
  FaultProxy,
  freePorts,
  type LinkFaultsChange,
  ProcessDriver,
  type ProxyLoss,
} from "@rhubarbstage/test-support";

const apiKey = "integration-customer-key";
const operatorToken = "integration-operator-token";
const backendToken = "integration-backend-token";
const conditionTimeout = 30_000;

const initialTree = `
deadline_ms: 4000
regions:
  "*":
    services:
      kiosk:
        type: plain
        routes:
          - {method: POST, path: "/accounts/{account}/charges", repeatable: false, kind: charge}
          - {method: GET, path: "/accounts/{account}/balance", repeatable: true, kind: balance}
      "*":
        customers:
          kiosks:
            api_key_hashes: [${hashKey(apiKey)}]
  lombardia: {}
`;

/** One host of a cluster. */
export interface ClusterHost {
  readonly name: string;
  readonly url: string;
  readonly peerPort: number;
  readonly file: string;
  /** Whether it has a data folder. */
  readonly replica: boolean;
  process: DrivenProcess;
}

/** Answer that a caller received to one send of a charge. */
export interface ChargeAnswer {
  readonly sendId: string;
  readonly key: string;
  /** 0 when the connection was lost. */
  readonly status: number;
  /** Empty when the connection was lost. */
  readonly outcome: string;
  readonly kind: string;
  readonly body: string;
  readonly replayed: boolean;
}

/** Answer to an operator's edit. */
export interface EditResult {
  /** 0 when the connection was lost. */
  readonly status: number;
  readonly revision: number;
  readonly kind: string;
  /** Empty when the connection was lost. */
  readonly outcome: string;
}

/** Options of {@linkcode Cluster.start}. */
export interface ClusterOptions {
  readonly seed: number;
  readonly replicas: number;
  /** Hosts without a data folder. */
  readonly hostsWithoutDataFolder?: number;
}

/** A running system of host processes. */
export class Cluster {
  readonly seed: number;
  readonly random: SeededRandom;
  readonly driver = new ProcessDriver();
  readonly hosts: ClusterHost[] = [];
  readonly proxy: FaultProxy;
  #serviceUrl = "";
  #sends = 0;

  private constructor(options: ClusterOptions) {
    this.seed = options.seed;
    this.random = new SeededRandom(options.seed);
    this.proxy = new FaultProxy({ seed: options.seed, links: [] });
  }

  /** Starts and bootstraps a system; waits until hosts reach the service. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    try {
      await cluster.#start(options);
      return cluster;
    } catch (error) {
      await cluster.#noteStatuses();
      const message = error instanceof Error ? error.message : String(error);
      const report = `${message}\n${cluster.report()}`;
      await cluster.stop();
      throw new Error(report, { cause: error });
    }
  }

  /** Seed and event log of the driver, for the message of a failed test. */
  report(): string {
    return `seed ${this.seed}\n${this.driver.eventLog}`;
  }

  /** Runs a check; when it throws, adds seed and event log to the error. */
  async check(run: () => Promise<void> | void): Promise<void> {
    try {
      await run();
    } catch (error) {
      await this.#noteStatuses();
      const message = error instanceof Error ? error.message : String(error);
      throw new Error(`${message}\n${this.report()}`, { cause: error });
    }
  }

  async #noteStatuses(): Promise<void> {
    for (const host of this.hosts) {
      const status = await this.status(host);
      const { ready, isolated, revision, groups } = status ?? {};
      const leaders = groups?.map(({ group, leader }) => `${group} ${leader}`);
      const summary = { ready, isolated, revision, leaders };
      this.driver.recordEvent(host.name, `status ${JSON.stringify(summary)}`);
      if (!host.process.running) {
        this.driver.recordEvent(host.name, host.process.output.slice(-500));
      }
    }
  }

  async stop(): Promise<void> {
    await this.driver.stop();
    await this.proxy.close();
  }

  async #start(options: ClusterOptions): Promise<void> {
    const count = options.replicas + (options.hostsWithoutDataFolder ?? 0);
    const ports = await freePorts(count * 2);
    const specs = Array.from({ length: count }, (_, number) => ({
      name: `host-${number}`,
      httpPort: ports[number * 2] as number,
      peerPort: ports[number * 2 + 1] as number,
      replica: number < options.replicas,
    }));
    await this.#writeShared();
    for (const spec of specs) {
      const file = await this.#writeSettings(spec, specs);
      const url = `http://127.0.0.1:${spec.httpPort}`;
      const process = this.#startProcess(spec.name, file);
      this.hosts.push({ ...spec, url, file, process });
    }
    await this.until(
      "all hosts listen",
      () => this.#all((host) => isOk(`${host.url}/healthz`)),
    );
    await this.#bootstrap(options.replicas);
    await this.#startService();
    await this.untilReady();
  }

  async #writeShared(): Promise<void> {
    const files = {
      "peer.tokens": "integration-peer-token",
      "operators.tokens": `tester:${operatorToken}`,
      "backend_servers.tokens": backendToken,
      "tree.yaml": initialTree,
    };
    for (const [name, content] of Object.entries(files)) {
      const file = join(this.driver.folder, name);
      await writeFile(file, `${content}\n`, { mode: 0o600 });
    }
  }

  async #writeSettings(
    own: { name: string; httpPort: number; peerPort: number; replica: boolean },
    all: readonly { name: string; peerPort: number; replica: boolean }[],
  ): Promise<string> {
    const peers: string[] = [];
    for (const { name, peerPort, replica } of all) {
      const port = name === own.name ? peerPort : await this.proxy.add({
        name: `${own.name}>${name}`,
        target: `127.0.0.1:${peerPort}`,
      });
      peers.push(
        `  - {host: ${name}, address: 127.0.0.1, port: ${port}, ` +
          `region: lombardia, availability_zone: ${name}, replica: ${replica}}`,
      );
    }
    const folder = join(this.driver.folder, own.name);
    await mkdir(folder);
    const lines = [
      `host: ${own.name}`,
      "cluster: integration",
      "region: lombardia",
      `availability_zone: ${own.name}`,
      "http:",
      `  listen: 127.0.0.1:${own.httpPort}`,
      "peer:",
      `  listen: 127.0.0.1:${own.peerPort}`,
      ...own.replica ? [`data_folder: ${own.name}/data`] : [],
      "peers:",
      ...peers,
      "token_files:",
      "  peer: peer.tokens",
      "  operators: operators.tokens",
      "  backend_servers: backend_servers.tokens",
      "log:",
      `  file: ${own.name}/host.log`,
      "timeline:",
      `  file: ${own.name}/timeline.jsonl`,
      "shutdown_notice_ms: 100",
      "journal_groups: 2",
    ];
    const file = join(this.driver.folder, `${own.name}.yaml`);
    await writeFile(file, `${lines.join("\n")}\n`);
    return file;
  }

  #startProcess(name: string, file: string): DrivenProcess {
    const parameters = ["serve", "--settings", file];
    return this.driver.start("rhubarbstage", { name, arguments: parameters });
  }

  async #bootstrap(replicas: number): Promise<void> {
    const hosts = this.hosts.slice(0, replicas).map(({ name }) => name);
    const file = join(this.driver.folder, "tree.yaml");
    await this.operate(
      this.host(0),
      ["bootstrap", "--tree", file, "--hosts", hosts.join(",")],
    );
  }

  /** Runs an operator command against a host. Throws when it fails. */
  async operate(
    host: ClusterHost,
    commandArguments: readonly string[],
  ): Promise<void> {
    const folder = join(this.driver.folder, "state");
    const command = this.driver.start("rhubarbstage", {
      name: commandArguments[0] ?? "",
      arguments: [...commandArguments, "--settings", host.file],
      environment: { RHUBARBSTAGE_STATE_FOLDER: folder },
    });
    if (await command.exited === 0) return;
    throw new Error(`${commandArguments.join(" ")} failed:\n${command.output}`);
  }

  async #startService(): Promise<void> {
    const [port] = await freePorts(1);
    const target = `127.0.0.1:${port}`;
    const proxied = await this.proxy.add({ name: "service", target });
    const options = {
      port,
      announcedUrl: `http://127.0.0.1:${proxied}`,
      announceOrigins: this.hosts.map(({ url }) => url),
      announceToken: backendToken,
      services: ["kiosk"],
      capacity: 256,
    };
    const service = this.driver.start("fake_service", {
      arguments: [JSON.stringify(options)],
    });
    this.#serviceUrl = (await service.ready<{ url: string }>()).url;
  }

  host(number: number): ClusterHost {
    const host = this.hosts[number];
    if (host === undefined) throw new Error(`Host ${number} does not exist`);
    return host;
  }

  /**
   * Polls until a check succeeds and returns the wait in ms; throws after
   * `timeout` ms.
   */
  async until(
    condition: string,
    check: () => Promise<boolean> | boolean,
    timeout = conditionTimeout,
  ): Promise<number> {
    const startedAt = performance.now();
    while (!await check()) {
      if (performance.now() - startedAt > timeout) {
        throw new Error(
          `Timed out after ${timeout} ms waiting until ${condition}`,
        );
      }
      await delay(50);
    }
    return performance.now() - startedAt;
  }

  /** Waits until all hosts are ready and charges reach the service. */
  async untilReady(): Promise<void> {
    await this.until(
      "all hosts are ready",
      () => this.#all((host) => isOk(`${host.url}/readyz`)),
    );
    await this.until(
      "all hosts reach the service",
      () =>
        this.#all(async (host) => {
          const answer = await this.charge(host, `probe-${this.#sends}`);
          const { status, kind } = answer;
          if (status === 200) return true;
          this.driver.recordEvent(host.name, `probe ${status} ${kind}`);
          return false;
        }),
    );
  }

  async #all(
    check: (host: ClusterHost) => Promise<boolean>,
  ): Promise<boolean> {
    return (await Promise.all(this.hosts.map(check))).every(Boolean);
  }

  /** Sends one charge. A lost connection yields status 0 and no outcome. */
  async charge(host: ClusterHost, key: string): Promise<ChargeAnswer> {
    this.#sends += 1;
    const sendId = `send-${this.#sends}`;
    try {
      const answer = await request(
        `${host.url}/services/kiosk/accounts/7/charges`,
        {
          method: "POST",
          headers: {
            authorization: `Bearer ${apiKey}`,
            "content-type": "application/json",
            "idempotency-key": key,
            "x-send-id": sendId,
          },
          body: JSON.stringify({ litres: 10, key }),
          headersTimeout: 8_000,
        },
      );
      const body = await answer.body.text();
      const outcome = String(answer.headers["rhubarbstage-outcome"] ?? "ran");
      const replayed = answer.headers["rhubarbstage-replayed"] === "true";
      const status = answer.statusCode;
      const kind = status === 200 ? "" : kindOf(body);
      return { sendId, key, status, outcome, kind, body, replayed };
    } catch {
      const lost = { status: 0, outcome: "", kind: "", body: "" };
      return { sendId, key, ...lost, replayed: false };
    }
  }

  /** Sends one edit. */
  async edit(host: ClusterHost, edit: EditRequest): Promise<EditResult> {
    try {
      const answer = await request(`${host.url}${operatorPaths.edits}`, {
        method: "POST",
        headers: {
          authorization: `Bearer ${operatorToken}`,
          "content-type": "application/json",
        },
        body: JSON.stringify(edit),
        headersTimeout: 12_000,
      });
      const body = await answer.body.text();
      const status = answer.statusCode;
      const outcome = String(answer.headers["rhubarbstage-outcome"] ?? "ran");
      if (status !== 200) {
        return { status, revision: 0, kind: kindOf(body), outcome };
      }
      const { revision } = JSON.parse(body) as EditAnswer;
      return { status, revision, kind: "", outcome };
    } catch {
      return { status: 0, revision: 0, kind: "", outcome: "" };
    }
  }

  /** Status of a host, or undefined when it does not answer. */
  async status(host: ClusterHost): Promise<StatusAnswer | undefined> {
    try {
      const answer = await request(`${host.url}${operatorPaths.status}`, {
        headers: { authorization: `Bearer ${operatorToken}` },
        headersTimeout: 1_000,
      });
      return await answer.body.json() as StatusAnswer;
    } catch {
      return undefined;
    }
  }

  /** Returns a group's leader as reported by the first host that knows one. */
  async leaderOf(group: string): Promise<ClusterHost> {
    let leader: ClusterHost | undefined;
    await this.until(`${group} has a leader`, async () => {
      for (const host of this.hosts) {
        const status = await this.status(host);
        const name = status?.groups.find((each) => each.group === group)
          ?.leader;
        leader = this.hosts.find((each) => each.name === name);
        if (leader !== undefined) return true;
      }
      return false;
    });
    return leader as ClusterHost;
  }

  async serviceRecords(): Promise<FakeServiceRecords> {
    const answer = await request(`${this.#serviceUrl}/test/records`);
    return await answer.body.json() as FakeServiceRecords;
  }

  async switchService(switches: Partial<FakeServiceSwitches>): Promise<void> {
    this.driver.recordEvent("service", JSON.stringify(switches));
    const answer = await request(`${this.#serviceUrl}/test/switch`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(switches),
    });
    await answer.body.dump();
  }

  /** Changes the faults of one link. */
  fault(link: string, change: LinkFaultsChange): void {
    this.driver.recordEvent("proxy", `${link} ${JSON.stringify(change)}`);
    this.proxy.link(link).change(change);
  }

  /** Cuts a host off from all others, in both directions or only outgoing. */
  isolate(
    host: ClusterHost,
    options: { readonly loss: ProxyLoss; readonly outgoingOnly?: boolean },
  ): void {
    const { loss, outgoingOnly = false } = options;
    for (const other of this.hosts) {
      if (other === host) continue;
      const bothDirections = { forward: { loss }, backward: { loss } };
      const ownLinkFaults = outgoingOnly
        ? { forward: { loss } }
        : bothDirections;
      const peerLinkFaults = outgoingOnly
        ? { backward: { loss } }
        : bothDirections;
      this.fault(`${host.name}>${other.name}`, ownLinkFaults);
      this.fault(`${other.name}>${host.name}`, peerLinkFaults);
    }
  }

  /** Ends the faults of all links. */
  heal(): void {
    this.driver.recordEvent("proxy", "heal");
    for (const name of Object.keys(this.proxy.records)) {
      this.proxy.link(name).heal();
    }
  }

  async kill(host: ClusterHost): Promise<void> {
    await host.process.kill();
  }

  /** Starts a killed host again; `loseDisk` deletes its data first. */
  async restart(
    host: ClusterHost,
    options: { readonly loseDisk?: boolean } = {},
  ): Promise<void> {
    if (options.loseDisk) {
      this.driver.recordEvent(host.name, "lose disk");
      await deleteDataFolder(join(this.driver.folder, host.name, "data"));
    }
    host.process = this.#startProcess(host.name, host.file);
  }
}

function kindOf(body: string): string {
  try {
    return JSON.parse(body).error.type;
  } catch {
    return "";
  }
}

async function isOk(url: string): Promise<boolean> {
  try {
    const answer = await request(url, { headersTimeout: 1_000 });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}
