import fc from "fast-check";
import type { BackendServerId, HostId, Incarnation } from "rhubarbstage";
import { makeServer, Network } from "./network.ts";

const hostCount = 8;

function renewEvery(
  network: Network,
  host: (now: number) => number,
): (now: number) => void {
  return (now) => {
    if (now % 2_000 === 0) network.announce(host(now), makeServer("engine"));
  };
}

function countUsable(network: Network, id = "engine"): number {
  return network.hosts.filter((_, index) => network.isUsable(index, id)).length;
}

describe("MembershipReducer", () => {
  // Guards against hosts that never learn of a server announced elsewhere.
  test("spreads an announcement to all hosts within 3 s", () => {
    const network = new Network(hostCount);
    network.announce(0, makeServer("engine"));
    network.run(3_000, renewEvery(network, () => 0));
    expect(countUsable(network)).toBe(hostCount);
  });

  // Guards against knowing no server until a random gossip round.
  test("a restarted host learns of all servers when a link comes up", () => {
    const network = new Network(hostCount);
    network.announce(0, makeServer("engine"));
    network.run(4_000, renewEvery(network, () => 0));
    const restarted = "host-5" as HostId;
    network.start(restarted, 2);
    expect(network.isUsable(5, "engine")).toBe(false);
    const owner = "host-0" as HostId;
    const { now } = network;
    network.dispatch(restarted, { type: "linked", now, host: owner });
    network.dispatch(owner, { type: "linked", now, host: restarted });
    network.run(400);
    expect(network.isUsable(5, "engine")).toBe(true);
  });

  // Guards against new work for a leaving server (invariant 7 of
  // docs/invariants.md).
  test("stops new work on all hosts within 5 s of a leave", () => {
    const network = new Network(hostCount);
    network.announce(0, makeServer("engine"));
    network.run(4_000, renewEvery(network, () => 0));
    network.dispatch("host-5" as HostId, {
      type: "left",
      now: network.now,
      id: "engine" as BackendServerId,
      incarnation: 1 as Incarnation,
    });
    // A renewal in flight arrives after the leave.
    network.announce(3, makeServer("engine"));
    network.run(5_000);
    expect(countUsable(network)).toBe(0);
    const gone = network.member(1).effects.find((effect) =>
      effect.type === "server_gone"
    );
    expect(gone).toMatchObject({ crashed: false });
  });

  // Guards against sending to servers whose departure is unknown
  // (invariant 7 of docs/invariants.md).
  test("stops new work on an isolated host once its evidence has expired", () => {
    const network = new Network(hostCount);
    network.announce(0, makeServer("engine"));
    network.run(4_000, renewEvery(network, () => 0));
    network.isolate(5);
    network.run(5_500, renewEvery(network, () => 0));
    expect(network.isUsable(5, "engine")).toBe(false);
    expect(countUsable(network)).toBe(hostCount - 1);
  });

  // Guards against isolated hosts that needlessly stop serving.
  test("keeps a server on an isolated host while it answers checks", () => {
    const network = new Network(hostCount);
    const id = "engine" as BackendServerId;
    const incarnation = 1 as Incarnation;
    network.announce(0, makeServer("engine"));
    network.run(4_000, renewEvery(network, () => 0));
    network.isolate(5);
    network.answers.set(id, { incarnation, leaving: false });
    network.run(20_000, renewEvery(network, () => 0));
    expect(network.isUsable(5, "engine")).toBe(true);
    network.answers.set(id, { incarnation, leaving: true });
    network.run(5_000);
    expect(network.isUsable(5, "engine")).toBe(false);
  });

  // Guards against late announcements that restore a replaced process.
  test("does not restore an older incarnation from late announcements", () => {
    const network = new Network(hostCount);
    network.announce(0, makeServer("engine"));
    network.run(2_000);
    const newer = makeServer("engine", { incarnation: 2 as Incarnation });
    network.announce(1, newer);
    network.run(3_000, (now) => {
      if (now % 1_000 === 0) network.announce(1, newer);
      network.announce(2, makeServer("engine"));
    });
    for (let index = 0; index < hostCount; index += 1) {
      const { state } = network.member(index);
      const server = state.servers.get("engine" as BackendServerId);
      expect(server?.record.incarnation).toBe(2);
    }
  });

  // Guards against gossip that grows with the number of renewals when a load
  // balancer spreads them over all hosts.
  test("keeps one owner when renewals arrive at changing hosts", () => {
    const network = new Network(hostCount);
    network.announce(0, makeServer("engine"));
    network.run(4_000, renewEvery(network, () => 0));
    const versions = () =>
      network.hosts.map((_, index) =>
        network.member(index).state.logs.get(`host-${index}` as HostId)?.version
      );
    const before = versions();
    network.run(
      20_000,
      renewEvery(network, (now) => (now / 2_000) % hostCount),
    );
    expect(versions()).toEqual(before);
    expect(countUsable(network)).toBe(hostCount);
  });

  // Guards against gossip for every increment of the sequence, and for the time
  // left of a server that is about to be reclaimed.
  test.each([
    ["the sequence", () => ({})],
    ["the time left", (now: number) => ({ leavesIn: 60_000 - now })],
  ])("does not gossip a renewal that changes only %s", (_name, changes) => {
    const network = new Network(hostCount);
    let sequence = 0;
    const renew = (now: number) => {
      if (now % 2_000 !== 0) return;
      sequence += 1;
      const record = makeServer("engine", { sequence });
      network.announce(0, { ...record, ...changes(now) });
    };
    network.announce(0, makeServer("engine"));
    network.run(4_000, renew);
    const owner = network.ownerOf("engine");
    const log = network.member(owner).state.logs.get(`host-${owner}` as HostId);
    const before = log?.version;
    network.run(20_000, renew);
    expect(log?.version).toBe(before);
    expect(countUsable(network)).toBe(hostCount);
  });

  // Guards against the owner's heartbeats keeping it usable.
  test("drops a server that failed while its owner restarted", () => {
    const network = new Network(hostCount);
    network.announce(0, makeServer("engine"));
    network.run(4_000, renewEvery(network, () => 0));
    const owner = network.ownerOf("engine");
    network.start(`host-${owner}` as HostId, 2);
    network.run(8_000);
    expect(countUsable(network)).toBe(0);
  });

  // Guards against a server that left and is in use again after a restart.
  test.each(["its owner", "another host"])(
    "a server that left stays unused after a restart of %s",
    (restarted) => {
      const network = new Network(hostCount);
      network.announce(0, makeServer("engine"));
      network.run(4_000, renewEvery(network, () => 0));
      const owner = network.ownerOf("engine");
      leave(network, owner);
      network.run(2_000);
      expect(countUsable(network)).toBe(0);
      const index = restarted === "its owner" ? owner : (owner + 1) % hostCount;
      network.start(`host-${index}` as HostId, 2);
      network.run(30_000, () => expect(countUsable(network)).toBe(0));
    },
  );

  // Guards against a stale copy of a record that outlives the server's leave.
  test("a host that missed a leave does not bring the server back", () => {
    const network = new Network(hostCount);
    network.announce(0, makeServer("engine"));
    network.run(4_000, renewEvery(network, () => 0));
    const owner = network.ownerOf("engine");
    const isolated = (owner + 1) % hostCount;
    network.isolate(isolated);
    leave(network, owner);
    network.run(3_000);
    network.start(`host-${owner}` as HostId, 2);
    network.droppedPairs.clear();
    network.run(30_000, () => {
      const others = network.hosts.filter((_, index) =>
        index !== isolated && network.isUsable(index, "engine")
      );
      expect(others).toEqual([]);
    });
    expect(countUsable(network)).toBe(0);
  });

  // Guards against a restarted host that drops records which arrive before the
  // first heartbeat of their owner and never receives them again.
  test("learns of all servers again after a restart", () => {
    const count = 32;
    const servers = 300;
    const network = new Network(count);
    const renew = (now: number) => {
      if (now % 2_000 !== 0) return;
      for (let index = 0; index < servers; index += 1) {
        const host = network.ownerOf(`engine-${index}`);
        const record = makeServer(`engine-${index}`);
        network.announce(host < 0 ? index % count : host, record);
      }
    };
    network.run(30_000, renew);
    const restarted = [10, 20, 30];
    for (const host of restarted) network.start(`host-${host}` as HostId, 2);
    network.run(15_000, renew);
    const known = restarted.map((host) =>
      network.member(host).state.servers.size
    );
    expect(known).toEqual(restarted.map(() => servers));
  });

  // Guards against losing a server together with the host that owned it.
  test("moves a server to another owner when its owner fails", () => {
    const network = new Network(hostCount);
    network.announce(0, makeServer("engine"));
    network.run(4_000, renewEvery(network, () => 0));
    const owner = network.ownerOf("engine");
    network.member(owner).up = false;
    const survivor = (owner + 1) % hostCount;
    network.run(8_000, renewEvery(network, () => survivor));
    const usable = network.hosts.filter((_, index) =>
      index !== owner && network.isUsable(index, "engine")
    );
    expect(usable.length).toBe(hostCount - 1);
  });

  // Guards against staying unusable with the same incarnation.
  test("restores a paused server when it renews again", () => {
    const network = new Network(hostCount);
    network.announce(0, makeServer("engine"));
    network.run(4_000, renewEvery(network, () => 0));
    network.run(8_000);
    expect(countUsable(network)).toBe(0);
    network.run(6_000, renewEvery(network, () => 2));
    expect(countUsable(network)).toBe(hostCount);
  });

  // Guards against views that do not converge after random faults end.
  test("converges on all servers after random faults end", () => {
    const step = fc.record({
      action: fc.constantFrom("leave", "renew", "cut", "heal", "restart"),
      host: fc.integer({ min: 0, max: 5 }),
      server: fc.integer({ min: 0, max: 3 }),
    });
    const property = fc.property(
      fc.array(step, { maxLength: 25 }),
      fc.integer(),
      (steps, seed) => {
        const network = new Network(6, { seed });
        const serving = new Map<number, number>();
        steps.forEach(({ action, host, server }, index) => {
          const id = `engine-${server}` as BackendServerId;
          const name = `host-${host}` as HostId;
          const now = network.now;
          const incarnation = (serving.get(server) ?? index + 1) as Incarnation;
          if (action === "renew") {
            serving.set(server, incarnation);
            network.announce(host, makeServer(id, { incarnation }));
          }
          if (action === "leave" && serving.delete(server)) {
            network.dispatch(name, { type: "left", now, id, incarnation });
          }
          if (action === "cut") network.isolate(host);
          if (action === "heal") network.droppedPairs.clear();
          if (action === "restart") network.start(name, index + 2);
          network.run(700);
        });
        network.droppedPairs.clear();
        network.run(20_000, (now) => {
          if (now % 1_000 !== 0) return;
          for (const [server, incarnation] of serving) {
            const record = makeServer(`engine-${server}`, {
              incarnation: incarnation as Incarnation,
            });
            network.announce(server, record);
          }
        });
        for (let server = 0; server < 4; server += 1) {
          const expected = serving.has(server) ? 6 : 0;
          expect(countUsable(network, `engine-${server}`)).toBe(expected);
        }
      },
    );
    fc.assert(property, { numRuns: 60, seed: 20_261_204 });
  });
});

function leave(network: Network, owner: number): void {
  network.dispatch(`host-${owner}` as HostId, {
    type: "left",
    now: network.now,
    id: "engine" as BackendServerId,
    incarnation: 1 as Incarnation,
  });
}
