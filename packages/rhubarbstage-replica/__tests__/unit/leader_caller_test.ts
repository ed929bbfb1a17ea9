import { type GroupName, type HostId, RhubarbstageError } from "rhubarbstage";
import type { RequestOptions, Transport } from "@rhubarbstage/transport";
import { TransportError } from "@rhubarbstage/transport";
import { LeaderCaller } from "../../src/leader_caller.ts";

const hosts = ["a", "b", "c"] as HostId[];
const query = {
  kind: "status",
  group: "control" as GroupName,
} as const;

/** Creates a transport on which host `a` never answers and `b` leads. */
function createFrozenHostTransport(requestedHosts: HostId[]): Transport {
  return {
    host: "entry" as HostId,
    request: async (_type: unknown, options: RequestOptions<unknown>) => {
      const { to, timeout = 0 } = options;
      requestedHosts.push(to);
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

test("a call does not start with the host that timed out last", async () => {
  const requestedHosts: HostId[] = [];
  const transport = createFrozenHostTransport(requestedHosts);
  const caller = new LeaderCaller({ transport, hosts: () => hosts });
  await expect(caller.call(query, { timeout: 60 })).rejects.toMatchObject({
    kind: "no_quorum",
  });
  expect(requestedHosts).toEqual(["a"]);
  expect(await caller.call(query, { timeout: 60 })).toBe("answer");
  expect(requestedHosts).toEqual(["a", "b"]);
});

test("a short attempt timeout leaves time to call another host", async () => {
  const requestedHosts: HostId[] = [];
  const caller = new LeaderCaller({
    transport: createFrozenHostTransport(requestedHosts),
    hosts: () => hosts,
    attemptTimeout: 40,
  });
  expect(await caller.call(query, { timeout: 400 })).toBe("answer");
  expect(requestedHosts[0]).toBe("a");
});

// Guards against a host whose group has stopped being called for ever by all that
// knew it as the leader (review/3).
test("a call leaves a leader that answers with an internal error", async () => {
  const requestedHosts: HostId[] = [];
  let hasFailed = false;
  const transport = {
    host: "entry" as HostId,
    request: (_type: unknown, { to }: RequestOptions<unknown>) => {
      requestedHosts.push(to);
      if (to === hosts[0] && hasFailed) {
        return Promise.reject(new RhubarbstageError("internal"));
      }
      return Promise.resolve({ kind: "done", value: to });
    },
  } as unknown as Transport;
  const caller = new LeaderCaller({ transport, hosts: () => hosts });
  expect(await caller.call(query)).toBe("a");
  hasFailed = true;
  expect(await caller.call(query)).toBe("b");
  expect(await caller.call(query)).toBe("b");
  expect(requestedHosts).toEqual(["a", "a", "b", "b"]);
});
