import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import { LocalNetwork } from "@rhubarbstage/transport";
import { Replica, StateMachine } from "../../src/mod.ts";
import { bootstrapRequest } from "../../src/bootstrap.ts";
import { consensusMessage, toWire } from "../../src/codec.ts";

class NoopMachine extends StateMachine<null, null, null> {
  override initial(): null {
    return null;
  }

  override apply(): null {
    return null;
  }

  override snapshot(): null {
    return null;
  }

  override restore(): null {
    return null;
  }
}

const control = "control" as GroupName;
const groups = new Map([[control, { stateMachine: new NoopMachine() }]]);
let root: string;

beforeEach(() => {
  root = mkdtempSync(join(tmpdir(), "replica-"));
});

afterEach(() => rmSync(root, { recursive: true }));

describe("Replica.confirmLeadership", () => {
  // Guards against a partitioned leader that acts on its role before stepping
  // down.
  test("throws no_quorum on a partitioned leader", async () => {
    const network = new LocalNetwork();
    const hosts = ["a", "b", "c"] as HostId[];
    const replicas = await Promise.all(hosts.map((host) =>
      Replica.open({
        dataFolder: join(root, host),
        transport: network.addHost(host),
        groups,
        heartbeatTicks: 1,
        seed: hosts.indexOf(host),
      })
    ));
    const [first] = replicas as [Replica];
    await first.bootstrap({ hosts });
    await first.group(control).propose(null);
    const leader = replicas.find((replica) =>
      replica.leadership(control).isLeader
    ) as Replica;
    const { host } = leader.status();
    const { term } = leader.leadership(control);
    expect(await leader.confirmLeadership(control)).toBe(term);
    for (const other of hosts.filter((other) => other !== host)) {
      network.partition(host, other);
    }
    await expect(leader.confirmLeadership(control, { timeout: 200 }))
      .rejects.toMatchObject({ kind: "no_quorum" });
    expect(leader.leadership(control).isLeader).toBe(true);
    network.heal();
    for (const replica of replicas) await replica.close();
  });
});

describe("Replica between grant and commit", () => {
  // Guards against a second grant, and a vote lost by the write of the first
  // entry; it made replicas stop answering and could be cast twice.
  test("drops votes and refuses other grants", async () => {
    const network = new LocalNetwork();
    const [first, second] = ["first", "second"] as [HostId, HostId];
    const other = network.addHost(first);
    const transport = network.addHost(second);
    const replica = await Replica.open({
      dataFolder: join(root, "data"),
      transport,
      groups,
    });
    const grant = { bootstrap: "x", hosts: [first, second] };
    const body = { kind: "grant", grant } as const;
    const granted = await other.request(bootstrapRequest, { to: second, body });
    expect(granted).toBe(replica.id);
    const last = { index: 1, term: 1 };
    const vote = { kind: "vote", term: 2, last } as const;
    const batch = ["r" as ReplicaId, replica.id, [
      toWire(control, vote),
    ]] as const;
    other.send(consensusMessage, { to: second, body: batch });
    await other.request(bootstrapRequest, { to: second, body });
    expect(replica.status().groups[0]?.term).toBe(0);
    const another = {
      kind: "grant",
      grant: { ...grant, bootstrap: "y" },
    } as const;
    await expect(other.request(bootstrapRequest, { to: second, body: another }))
      .rejects.toMatchObject({ kind: "forbidden" });
    await replica.close();
  });
});
