/** Queries over the stored entries of replicas without a leader. */

import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { HostId } from "rhubarbstage";
import { LocalNetwork } from "@rhubarbstage/transport";
import { GroupClient, Replica } from "../../src/mod.ts";
import { type Append, control, groups } from "../integration/id_list.ts";

const hosts = ["a", "b", "c"] as HostId[];
let root: string;
let network: LocalNetwork;

beforeEach(() => {
  root = mkdtempSync(join(tmpdir(), "stored-"));
  network = new LocalNetwork();
});

afterEach(() => rmSync(root, { recursive: true }));

function open(host: HostId): Promise<Replica> {
  return Replica.open({
    dataFolder: join(root, host),
    transport: network.addHost(host),
    groups,
    seed: hosts.indexOf(host),
  });
}

function createClient() {
  return new GroupClient<Append, number>({
    transport: network.addHost("entry" as HostId),
    group: control,
    hosts: () => hosts,
    attemptTimeout: 200,
  });
}

test("a replica without a leader answers from its log", async () => {
  const replicas = await Promise.all(hosts.map(open));
  const [first] = replicas as [Replica];
  await first.bootstrap({ hosts });
  const group = first.group<unknown, Append, number>(control);
  for (const id of ["x", "y"]) await group.propose({ id });
  for (const replica of replicas) await replica.close();
  network = new LocalNetwork();
  const alone = await open(hosts[0] as HostId);
  const client = createClient();
  const answers = await client.queryUncommitted<string[]>("ids", {});
  expect(answers).toEqual([["x", "y"]]);
  await expect(client.query("ids", {}, { timeout: 100 })).rejects
    .toMatchObject({ kind: "no_quorum" });
  // The query must not change the applied state.
  expect(alone.group<{ ids: string[] }, Append, number>(control).state.ids)
    .toEqual([]);
  await alone.close();
});

test("each replica answers from its own log", async () => {
  const replicas = await Promise.all(hosts.map(open));
  const [first] = replicas as [Replica];
  await first.bootstrap({ hosts });
  await first.group<unknown, Append, number>(control).propose({ id: "x" });
  const answers = await createClient().queryUncommitted<number>("count", {});
  expect(answers.length).toBe(3);
  expect(answers.filter((count) => count === 1).length)
    .toBeGreaterThanOrEqual(2);
  for (const replica of replicas) await replica.close();
});
