import type { GroupName, HostId } from "rhubarbstage";
import type { RequestOptions, Transport } from "@rhubarbstage/transport";
import { TransportError } from "@rhubarbstage/transport";
import { LeaderCaller } from "../../src/leader_caller.ts";

const hosts = ["a", "b", "c"] as HostId[];
const query = {
  kind: "status",
  group: "control" as GroupName,
} as const;

/** A transport on which host `a` is frozen and `b` leads. */
function frozenLeader(asked: HostId[]): Transport {
  return {
    host: "entry" as HostId,
    request: async (_type: unknown, options: RequestOptions<unknown>) => {
      const { to, timeout = 0 } = options;
      asked.push(to);
      if (to === hosts[0]) {
        await new Promise((resolve) => setTimeout(resolve, timeout));
        throw new TransportError("timeout", { peer: to, maybeDelivered: true });
      }
      return to === hosts[1]
        ? { kind: "done", value: "answer" }
        : { kind: "not_leader", leader: hosts[1] };
    },
  } as unknown as Transport;
}

test("a call does not start with the host that failed the last one", async () => {
  const asked: HostId[] = [];
  const transport = frozenLeader(asked);
  const caller = new LeaderCaller({ transport, hosts: () => hosts });
  await expect(caller.call(query, { timeout: 60 })).rejects.toMatchObject({
    kind: "no_quorum",
  });
  expect(asked).toEqual(["a"]);
  expect(await caller.call(query, { timeout: 60 })).toBe("answer");
  expect(asked).toEqual(["a", "b"]);
});

test("a short wait for each host leaves time for another one", async () => {
  const asked: HostId[] = [];
  const caller = new LeaderCaller({
    transport: frozenLeader(asked),
    hosts: () => hosts,
    attemptTimeout: 40,
  });
  expect(await caller.call(query, { timeout: 400 })).toBe("answer");
  expect(asked[0]).toBe("a");
});
