import { type ChildProcess, fork } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { delay } from "rhubarbstage";
import type { HostId } from "rhubarbstage";
import { freePorts } from "@rhubarbstage/test-support";
import type { Leadership } from "../../src/mod.ts";
import type { ProcessCall } from "./replica_process.ts";

const program = join(process.cwd(), "dist", "replica_process.cjs");
const hosts = ["a", "b", "c"] as HostId[];
let root: string;
let ports: Record<string, number>;
let nodes: Map<HostId, Node>;

/** One replica process. */
class Node {
  readonly child: ChildProcess;
  readonly #waiting = new Map<
    number,
    { resolve: (value: unknown) => void; reject: (error: Error) => void }
  >();
  readonly ready: Promise<unknown>;
  readonly exited: Promise<number | null>;
  errors = "";
  #lastId = 0;

  constructor(host: HostId) {
    const settings = {
      host,
      dataFolder: join(root, host),
      token: "a token shared by all hosts",
      ports,
    };
    this.child = fork(program, [JSON.stringify(settings)], {
      stdio: ["ignore", "ignore", "pipe", "ipc"],
      execArgv: [],
    });
    this.child.stderr?.on("data", (data) => this.errors += String(data));
    this.exited = new Promise((resolve) => this.child.on("exit", resolve));
    void this.exited.then(() => {
      for (const { reject } of this.#waiting.values()) {
        reject(new Error("exited"));
      }
    });
    this.ready = new Promise((resolve) => {
      this.child.on("message", (message) => {
        const { id, value, error } = message as {
          id?: number;
          value?: unknown;
          error?: string;
        };
        if (id === undefined) return resolve(undefined);
        const waiting = this.#waiting.get(id);
        this.#waiting.delete(id);
        if (error === undefined) waiting?.resolve(value);
        else waiting?.reject(new Error(error));
      });
    });
  }

  call<Value>(call: ProcessCall): Promise<Value> {
    this.#lastId += 1;
    const id = this.#lastId;
    if (!this.child.connected) return Promise.reject(new Error("exited"));
    return new Promise((resolve, reject) => {
      this.#waiting.set(id, {
        resolve: resolve as (value: unknown) => void,
        reject,
      });
      this.child.send({ id, call }, () => {});
    });
  }

  async kill(): Promise<void> {
    this.child.kill("SIGKILL");
    await this.exited;
  }
}

async function start(host: HostId): Promise<Node> {
  const node = new Node(host);
  nodes.set(host, node);
  await Promise.race([node.ready, node.exited]);
  return node;
}

/** Waits until a host other than `except` reports that it leads. */
async function findLeader(except?: HostId): Promise<[HostId, Leadership]> {
  for (let round = 0; round < 200; round += 1) {
    for (const [host, node] of nodes) {
      if (host === except) continue;
      const leadership = await node.call<Leadership>({ kind: "leadership" });
      if (leadership.isLeader) return [host, leadership];
    }
    await delay(25);
  }
  throw new Error("No leader was elected");
}

beforeEach(async () => {
  root = mkdtempSync(join(tmpdir(), "replica-process-"));
  nodes = new Map();
  const free = await freePorts(hosts.length);
  ports = Object.fromEntries(
    hosts.map((host, position) => [host, free[position] as number]),
  );
  await Promise.all(hosts.map(start));
  await (nodes.get("a" as HostId) as Node).call({ kind: "bootstrap", hosts });
});

afterEach(async () => {
  for (const node of nodes.values()) await node.kill();
  rmSync(root, { recursive: true });
});

describe("Replica processes", () => {
  // Guards against answered writes that are lost when the leader is killed.
  test("lose no answered write when the leader is killed", async () => {
    const answered: string[] = [];
    let next = 0;
    const write = async (node: Node) => {
      next += 1;
      const id = `w${next}`;
      await node.call({ kind: "propose", id }).then(
        () => answered.push(id),
        () => {},
      );
    };
    for (let round = 0; round < 2; round += 1) {
      const [leader] = await findLeader();
      const others = hosts.filter((host) => host !== leader);
      const writes: Promise<void>[] = [];
      for (let count = 0; count < 60; count += 1) {
        for (const node of nodes.values()) writes.push(write(node));
        await delay(1);
        if (count !== 30) continue;
        await (nodes.get(leader) as Node).kill();
        nodes.delete(leader);
      }
      await Promise.all(writes);
      const [survivor] = others as [HostId];
      const ids = await (nodes.get(survivor) as Node).call<string[]>({
        kind: "ids",
      });
      expect(ids).toEqual(expect.arrayContaining(answered));
      expect(new Set(ids).size).toBe(ids.length);
      const back = await start(leader);
      expect(await back.call<string[]>({ kind: "ids" })).toEqual(ids);
    }
    expect(answered.length).toBeGreaterThan(100);
  });

  // Guards against a leader that acts or answers after a pause in which another
  // was elected.
  test("a resumed leader does not act on stale leadership", async () => {
    const [paused, { term }] = await findLeader();
    const node = nodes.get(paused) as Node;
    node.child.kill("SIGSTOP");
    const confirmed = node.call<number>({ kind: "confirm" });
    const read = node.call<string[]>({ kind: "ids" });
    const [next, leadership] = await findLeader(paused);
    expect(leadership.term).toBeGreaterThan(term);
    await (nodes.get(next) as Node).call({ kind: "propose", id: "new" });
    node.child.kill("SIGCONT");
    const outcome = await confirmed.catch((error: Error) => error.message);
    expect(outcome).toBe("no_quorum");
    expect(await read).toContain("new");
  });

  // Guards against a replica that starts from a damaged log.
  test("a flipped bit in the log stops the replica with an error", async () => {
    const [leader] = await findLeader();
    const client = nodes.get(leader) as Node;
    for (let count = 0; count < 20; count += 1) {
      await client.call({ kind: "propose", id: `w${count}` });
    }
    const damaged = hosts.find((host) => host !== leader) as HostId;
    await (nodes.get(damaged) as Node).kill();
    const file = join(root, damaged, "groups", "control", "log");
    const bytes = readFileSync(file);
    bytes[bytes.length >> 1] = (bytes[bytes.length >> 1] as number) ^ 1;
    writeFileSync(file, bytes);
    const broken = await start(damaged);
    expect(await broken.exited).toBe(1);
    expect(broken.errors).toMatch(/"control\/log" is corrupt at byte \d+/);
    nodes.delete(damaged);
    await client.call({ kind: "propose", id: "after" });
  });
});
