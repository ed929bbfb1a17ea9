/**
 * Measures replicas in one process over loopback sockets and real disks:
 * proposals per second and their latency, restart time, and traffic of idle
 * groups. Run with `node dist/replica_bench.cjs`.
 *
 * @module
 */

import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { build } from "hdr-histogram-js";
import { delay } from "rhubarbstage";
import type { GroupName, HostId } from "rhubarbstage";
import { GroupClient, Replica, StateMachine } from "@rhubarbstage/replica";
import type { GroupDefinition, GroupReplica } from "@rhubarbstage/replica";
import { PeerTransport } from "@rhubarbstage/transport";

/** Concurrency and duration of one measurement. */
interface Load {
  readonly callers: number;
  readonly milliseconds: number;
}

interface Change {
  readonly key: string;
  readonly value: string;
}

type State = Map<string, string>;

interface Node {
  readonly host: HostId;
  readonly transport: PeerTransport;
  readonly replica: Replica;
}

const token = "a token for measurements";
const hosts = ["a", "b", "c"] as HostId[];
const control = "control" as GroupName;
/** Bytes of the value in each change, about the size of a claim. */
const valueBytes = 200;
/** Number of keys; bounds the state while the log grows. */
const keyCount = 5_000;

class KeyValueStateMachine extends StateMachine<State, Change, number> {
  override initial(): State {
    return new Map();
  }

  override apply(state: State, change: Change): number {
    state.set(change.key, change.value);
    return state.size;
  }

  override snapshot(state: State): unknown {
    return state;
  }

  override restore(data: unknown): State {
    return data as State;
  }
}

const definition: GroupDefinition<State, Change, number> = {
  stateMachine: new KeyValueStateMachine(),
  queries: { size: (state) => state.size },
};

function createGroups(count: number): Map<GroupName, typeof definition> {
  const names = Array.from(
    { length: count },
    (_, number) => number === 0 ? control : `journal-${number - 1}`,
  );
  return new Map(names.map((name) => [name as GroupName, definition]));
}

function createChange(number: number): Change {
  return { key: `key ${number % keyCount}`, value: "v".repeat(valueBytes) };
}

async function listen(host: HostId): Promise<PeerTransport> {
  return await PeerTransport.listen({
    host,
    address: "127.0.0.1",
    port: 0,
    token,
  });
}

async function startNodes(root: string, groups: number): Promise<Node[]> {
  const nodes: Node[] = [];
  const transports = await Promise.all(hosts.map(listen));
  for (const transport of transports) {
    for (const other of transports) {
      if (other !== transport) transport.setAddress(other.host, other.address);
    }
    const { host } = transport;
    const dataFolder = join(root, host);
    const replica = await Replica.open({
      dataFolder,
      transport,
      groups: createGroups(groups),
    });
    nodes.push({ host, transport, replica });
  }
  return nodes;
}

async function stopNodes(nodes: readonly Node[]): Promise<void> {
  for (const { replica } of nodes) await replica.close();
  for (const { transport } of nodes) await transport.close();
}

/** Proposes with a fixed number of callers, each with one pending proposal. */
async function measureProposals(
  label: string,
  options: Load & { propose: (change: Change) => Promise<unknown> },
): Promise<void> {
  const { callers, milliseconds, propose } = options;
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const start = performance.now();
  const end = start + milliseconds;
  let next = 0;
  const caller = async () => {
    while (performance.now() < end) {
      next += 1;
      const from = performance.now();
      await propose(createChange(next));
      histogram.recordValue(Math.round((performance.now() - from) * 1_000));
    }
  };
  await Promise.all(Array.from({ length: callers }, caller));
  const seconds = (performance.now() - start) / 1_000;
  const percentileMilliseconds = (share: number) =>
    (histogram.getValueAtPercentile(share) / 1_000).toFixed(2);
  print(label, {
    callers,
    proposals_per_second: Math.round(histogram.totalCount / seconds),
    p50_ms: percentileMilliseconds(50),
    p99_ms: percentileMilliseconds(99),
  });
}

async function runProposals(root: string): Promise<void> {
  const nodes = await startNodes(root, 1);
  const [first] = nodes as [Node];
  await first.replica.bootstrap({ hosts });
  await first.replica.group(control).query("size", null);
  const leader = nodes.find(({ replica }) =>
    replica.leadership(control).isLeader
  ) as Node;
  const group: GroupReplica<State, Change, number> = leader.replica.group(
    control,
  );
  const propose = (item: Change) => group.propose(item);
  for (const callers of [1, 16, 256, 1_024]) {
    const load = { callers, milliseconds: 2_000 };
    await measureProposals("leader", { ...load, propose });
  }
  const transport = await listen("entry" as HostId);
  for (const node of nodes) {
    transport.setAddress(node.host, node.transport.address);
  }
  const client = new GroupClient<Change, number>({
    transport,
    group: control,
    hosts: () => hosts,
  });
  for (const callers of [1, 256]) {
    await measureProposals("client", {
      callers,
      milliseconds: 2_000,
      propose: (item) => client.propose(item),
    });
  }
  await transport.close();
  await stopNodes(nodes);
}

/** Measures proposals to eight journals at once, from the first host. */
async function runJournals(root: string): Promise<void> {
  const journals = 8;
  const nodes = await startNodes(root, journals + 1);
  const [first] = nodes as [Node];
  await first.replica.bootstrap({ hosts });
  const names = [...createGroups(journals + 1).keys()].slice(1);
  const groups = names.map((name) =>
    first.replica.group<State, Change, number>(name)
  );
  await Promise.all(groups.map((group) => group.query("size", null)));
  let next = 0;
  await measureProposals("journals", {
    callers: 256,
    milliseconds: 2_000,
    propose: (item) => {
      next += 1;
      const group = groups[next % journals];
      return (group as GroupReplica<State, Change, number>).propose(item);
    },
  });
  await stopNodes(nodes);
}

/** Measures the time from opening all replicas to the first answered read. */
async function runRestart(root: string, changes: number): Promise<void> {
  const nodes = await startNodes(root, 1);
  const [first] = nodes as [Node];
  await first.replica.bootstrap({ hosts });
  const group: GroupReplica<State, Change, number> = first.replica.group(
    control,
  );
  for (let from = 0; from < changes; from += 500) {
    const batch = Array.from(
      { length: 500 },
      (_, step) => createChange(from + step),
    );
    await Promise.all(batch.map((item) => group.propose(item)));
  }
  await stopNodes(nodes);
  const start = performance.now();
  const reopenedNodes = await startNodes(root, 1);
  const opened = performance.now();
  const [restarted] = reopenedNodes as [Node];
  const size = await restarted.replica.group(control).query("size", null);
  const answered = performance.now();
  const status = restarted.replica.status().groups[0];
  print("restart", {
    changes,
    open_all_ms: Math.round(opened - start),
    first_read_ms: Math.round(answered - start),
    log_bytes: status?.logBytes ?? 0,
    snapshot_index: status?.snapshotIndex ?? 0,
    keys: Number(size),
  });
  await stopNodes(reopenedNodes);
}

/** Measures the bytes that all three hosts send without proposals. */
async function runIdle(root: string, groups: number): Promise<void> {
  const nodes = await startNodes(root, groups);
  const [first] = nodes as [Node];
  await first.replica.bootstrap({ hosts });
  await delay(3_000);
  const sent = () =>
    nodes.reduce(
      (sum, { transport }) => sum + transport.counters().sentBytes,
      0,
    );
  const before = sent();
  const cpu = process.cpuUsage();
  const start = performance.now();
  await delay(5_000);
  const seconds = (performance.now() - start) / 1_000;
  const usedCpu = process.cpuUsage(cpu);
  const bytes = (sent() - before) / seconds;
  print("idle", {
    groups,
    bytes_per_second_all_hosts: Math.round(bytes),
    bytes_per_group_and_second: Math.round(bytes / groups),
    cpu_percent_all_hosts: ((usedCpu.user + usedCpu.system) / seconds / 10_000)
      .toFixed(1),
  });
  await stopNodes(nodes);
}

function print(label: string, figures: Record<string, number | string>): void {
  const pairs = Object.entries(figures).map(([key, value]) =>
    `${key}=${value}`
  );
  console.log(`${label} ${pairs.join(" ")}`);
}

async function withTemporaryFolder(
  run: (root: string) => Promise<void>,
): Promise<void> {
  const root = mkdtempSync(join(tmpdir(), "replica-bench-"));
  try {
    await run(root);
  } finally {
    rmSync(root, { recursive: true });
  }
}

async function main(): Promise<void> {
  await withTemporaryFolder(runProposals);
  await withTemporaryFolder(runJournals);
  for (const changes of [10_000, 50_000]) {
    await withTemporaryFolder((root) => runRestart(root, changes));
  }
  for (const groups of [1, 17]) {
    await withTemporaryFolder((root) => runIdle(root, groups));
  }
}

main().catch((error) => {
  console.error(error);
  process.exitCode = 1;
});
