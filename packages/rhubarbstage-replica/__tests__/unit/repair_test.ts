import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import { LocalNetwork } from "@rhubarbstage/transport";
import type { ForwardedCall } from "../../src/forward.ts";
import type { LeaderCaller } from "../../src/leader_caller.ts";
import { replicaIdRequest, runRepair } from "../../src/repair.ts";
import type { GroupStatus, SeatStatus } from "../../src/types.ts";

const group = "control" as GroupName;
const [localHost, replacementHost] = ["own", "taker"] as [HostId, HostId];
const lost = "lost" as ReplicaId;

function seat(replica: string, durableIndex: number): SeatStatus {
  const host = replica as HostId;
  return { replica: replica as ReplicaId, host, role: "voter", durableIndex };
}

describe("runRepair", () => {
  // Guards against a repair that reports success while one voter lacks entries
  // on disk, so that losing another host loses an entry.
  test("waits until every voter is durable at the commit index", async () => {
    const network = new LocalNetwork();
    const transport = network.addHost(localHost);
    network.addHost(replacementHost).onRequest(
      replicaIdRequest,
      () => "d" as ReplicaId,
    );
    const behind = { ...seat("b", 5) };
    const rounds: (readonly SeatStatus[])[] = [
      [seat("a", 9), behind, seat("lost", 0)],
      [seat("a", 9), behind, seat("lost", 0), {
        ...seat("d", 9),
        role: "learner",
      }],
      [seat("a", 9), behind, seat("lost", 0), seat("d", 9)],
      [seat("a", 10), behind, seat("d", 10)],
      [seat("a", 12), seat("b", 9), seat("d", 12)],
      [seat("a", 12), seat("b", 10), seat("d", 12)],
    ];
    const changes: string[] = [];
    let round = 0;
    const call = (item: ForwardedCall): Promise<unknown> => {
      if (item.kind === "change_seats") changes.push(item.change.kind);
      if (item.kind !== "status") return Promise.resolve("committed");
      const seats = rounds[round] as readonly SeatStatus[];
      const commitIndex = seats[0]?.durableIndex ?? 0;
      round += 1;
      return Promise.resolve({ seats, commitIndex } as GroupStatus);
    };
    await runRepair({
      transport,
      callers: new Map([[group, { call } as unknown as LeaderCaller]]),
      replica: "a" as ReplicaId,
      lost,
      replacement: replacementHost,
    });
    expect(changes).toEqual(["add_learner", "promote", "remove"]);
    expect(round).toBe(rounds.length);
  });
});
