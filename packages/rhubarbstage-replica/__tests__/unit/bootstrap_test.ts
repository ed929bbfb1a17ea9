import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import { LocalNetwork } from "@rhubarbstage/transport";
import { Replica, StateMachine } from "../../src/mod.ts";
import { bootstrapRequest } from "../../src/bootstrap.ts";
import { consensusMessage, toWire } from "../../src/codec.ts";

class Nothing extends StateMachine<null, null, null> {
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

describe("Replica between grant and commit", () => {
  // Guards against a vote that is given before the first entry is written and
  // forgotten by it; it left replicas silent and could have been given twice.
  test("takes no part in elections", async () => {
    const root = mkdtempSync(join(tmpdir(), "bootstrap-"));
    const network = new LocalNetwork();
    const [first, second] = ["first", "second"] as [HostId, HostId];
    const other = network.join(first);
    const transport = network.join(second);
    const control = "control" as GroupName;
    const replica = await Replica.open({
      dataFolder: join(root, "data"),
      transport,
      groups: new Map([[control, { stateMachine: new Nothing() }]]),
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
    await replica.close();
    rmSync(root, { recursive: true });
  });
});
