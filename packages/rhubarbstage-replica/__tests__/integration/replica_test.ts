import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { delay } from "rhubarbstage";
import type { HostId } from "rhubarbstage";
import { PeerTransport } from "@rhubarbstage/transport";
import { GroupClient, Replica, type ReplicaOptions } from "../../src/mod.ts";
import {
  type Append,
  control,
  groups,
  type IdList,
  journal,
} from "./id_list.ts";

interface Node {
  readonly host: HostId;
  readonly transport: PeerTransport;
  readonly replica: Replica;
}

const token = "a token shared by all hosts";
const hosts = ["a", "b", "c"] as HostId[];
let root: string;
let nodes: Node[];

async function listen(host: HostId): Promise<PeerTransport> {
  const transport = await PeerTransport.listen({
    host,
    address: "127.0.0.1",
    port: 0,
    token,
    minBackoff: 10,
    maxBackoff: 50,
  });
  for (const node of nodes) {
    transport.setAddress(node.host, node.transport.address);
    node.transport.setAddress(host, transport.address);
  }
  return transport;
}

async function start(
  host: HostId,
  options: Partial<ReplicaOptions> = {},
): Promise<Node> {
  const transport = await listen(host);
  const replica = await Replica.open({
    dataFolder: join(root, host),
    transport,
    groups,
    tickInterval: 10,
    seed: hosts.indexOf(host) * 100 + 1,
    ...options,
  });
  const node = { host, transport, replica };
  nodes.push(node);
  return node;
}

async function stop(node: Node): Promise<void> {
  nodes = nodes.filter((other) => other !== node);
  await node.replica.close();
  await node.transport.close();
}

function group(node: Node) {
  return node.replica.group<IdList, Append, number>(control);
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let round = 0; round < 500 && !condition(); round += 1) await delay(10);
  expect(condition()).toBe(true);
}

async function proposeAll(node: Node, ids: readonly string[]): Promise<void> {
  await Promise.all(ids.map((id) => group(node).propose({ id })));
}

function ids(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, number) => `${prefix}${number}`);
}

beforeEach(async () => {
  root = mkdtempSync(join(tmpdir(), "replica-"));
  nodes = [];
  for (const host of hosts) await start(host);
});

afterEach(async () => {
  for (const node of [...nodes]) await stop(node);
  rmSync(root, { recursive: true });
});

describe("Replica", () => {
  // Guards against calls that work only on the leader's host, and against a
  // read that misses a write completed before it.
  test("serves calls on every host and from a remote client", async () => {
    const [a, b, c] = nodes as [Node, Node, Node];
    await a.replica.bootstrap({ hosts });
    await proposeAll(b, ids("x", 20));
    await proposeAll(c, ids("y", 20));
    const transport = await listen("entry" as HostId);
    const client = new GroupClient<Append, number>({
      transport,
      group: control,
      hosts: () => [...hosts, "gone" as HostId],
    });
    expect(await client.propose({ id: "x3" })).toBeLessThanOrEqual(20);
    expect(await client.propose({ id: "z" })).toBe(41);
    for (const node of [a, b, c]) {
      expect(await group(node).query("count", null)).toBe(41);
    }
    expect(await client.query<number>("count", null)).toBe(41);
    await expect(client.query("nothing", null)).rejects.toMatchObject({
      kind: "not_found",
    });
    const leader = nodes.find((node) =>
      node.replica.leadership(control).isLeader
    ) as Node;
    const { term } = leader.replica.leadership(control);
    expect(await leader.replica.confirmLeadership(control)).toBe(term);
    const [other] = nodes.filter((node) => node !== leader) as [Node];
    await expect(other.replica.confirmLeadership(control)).rejects
      .toMatchObject({ kind: "no_quorum", outcome: "not_run" });
    await transport.close();
  });

  // Guards against commits lost by a stop or restart and calls that miss the
  // next leader.
  test("fails over, restarts from disk and catches up", async () => {
    await (nodes[0] as Node).replica.bootstrap({ hosts });
    await proposeAll(nodes[0] as Node, ids("x", 30));
    const findLeader = () =>
      nodes.find((node) => node.replica.leadership(control).isLeader);
    // An election may run at any moment; none leads until it has ended.
    await waitUntil(() => findLeader() !== undefined);
    const leader = findLeader() as Node;
    await stop(leader);
    const [survivor] = nodes as [Node];
    await proposeAll(survivor, ids("y", 30));
    await stop(nodes[1] as Node);
    await expect(
      group(survivor).propose({ id: "z" }, { timeout: 300 }),
    ).rejects.toMatchObject({ kind: "no_quorum" });
    const back = await start(leader.host);
    await proposeAll(back, ["z"]);
    expect(await group(back).query("count", null)).toBe(61);
    expect(group(back).state.ids.slice(0, 60).sort()).toEqual(
      [...ids("x", 30), ...ids("y", 30)].sort(),
    );
  });

  // Guards against two clusters that are formed from the same hosts.
  test("bootstraps once, with the grants of all hosts", async () => {
    const [a, b, c] = nodes as [Node, Node, Node];
    const results = await Promise.allSettled([
      a.replica.bootstrap({ hosts }),
      b.replica.bootstrap({ hosts }),
    ]);
    expect(results.map(({ status }) => status).sort()).toEqual([
      "fulfilled",
      "rejected",
    ]);
    const winner = results[0]?.status === "fulfilled" ? a : b;
    await winner.replica.bootstrap({ hosts });
    await expect(
      c.replica.bootstrap({ hosts: ["b", "c"] as HostId[] }),
    ).rejects.toMatchObject({ kind: "forbidden" });
    await stop(a);
    const again = await start("a" as HostId);
    await expect(
      again.replica.bootstrap({ hosts: ["a"] as HostId[] }),
    ).rejects.toMatchObject({ kind: "forbidden" });
  });

  // Guards against a repair that reports success while losing one more host
  // loses committed entries, and against a lost replica that keeps its vote.
  test("repairs a seat so that another loss loses no entry", async () => {
    const [a, b] = nodes as [Node, Node];
    await a.replica.bootstrap({ hosts });
    await proposeAll(a, ids("x", 200));
    const lost = nodes[2] as Node;
    const lostId = lost.replica.id;
    await stop(lost);
    rmSync(join(root, lost.host), { recursive: true });
    await proposeAll(a, ids("y", 50));
    const fresh = await start(lost.host);
    expect(fresh.replica.id).not.toBe(lostId);
    await delay(100);
    expect(fresh.replica.status().isSeated).toBe(false);
    await b.replica.repair({ lost: lostId, replacement: lost.host });
    const seats = b.replica.status().groups[0]?.seats ?? [];
    expect(seats.filter((seat) => seat.role === "voter").length).toBe(3);
    expect(seats.some((seat) => seat.replica === lostId)).toBe(false);
    expect(fresh.replica.status().isSeated).toBe(true);
    await stop(a);
    expect(await group(fresh).query("count", null)).toBe(250);
    await proposeAll(b, ["after"]);
    expect(fresh.replica.status().groups[1]?.group).toBe(journal);
  });

  // Guards against a replica that never catches up once its missing entries are
  // compacted.
  test("sends a snapshot to a lagging replica", async () => {
    for (const node of [...nodes]) await stop(node);
    for (const host of hosts) await start(host, { snapshotEntries: 200 });
    const [a, , c] = nodes as [Node, Node, Node];
    await a.replica.bootstrap({ hosts });
    await stop(c);
    for (let round = 0; round < 15; round += 1) {
      await proposeAll(a, ids(`${round}-`, 200));
    }
    const late = await start(c.host, { snapshotEntries: 200 });
    let restored = 0;
    group(late).onApplied(() => {}, { onRestored: () => restored += 1 });
    await waitUntil(() => group(late).state.ids.length === 3_000);
    expect(restored).toBeGreaterThan(0);
    await stop(late);
    const again = await start(c.host, { snapshotEntries: 200 });
    await waitUntil(() => group(again).state.ids.length === 3_000);
  });
});
