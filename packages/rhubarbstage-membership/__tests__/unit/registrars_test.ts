import type { HostId, Incarnation } from "rhubarbstage";
import { MembershipReducer } from "../../src/mod.ts";
import type { HostRecord, MembershipState } from "../../src/mod.ts";
import { makeHost, makeServer } from "./network.ts";

interface Peer {
  readonly reducer: MembershipReducer;
  readonly state: MembershipState;
  readonly record: HostRecord;
}

function startPeer(
  record: HostRecord,
  options: { incarnation?: number; seeds?: readonly HostRecord[] } = {},
): Peer {
  const reducer = new MembershipReducer({
    self: record,
    incarnation: (options.incarnation ?? 100) as Incarnation,
    seeds: options.seeds ?? [],
  });
  return { reducer, state: reducer.initial(), record };
}

/** Runs gossip rounds and delivers all messages between the peers. */
function exchange(peers: readonly Peer[], now: number, rounds = 6): void {
  for (let round = 0; round < rounds; round += 1) {
    const at = now + round * 500;
    for (const peer of peers) {
      deliver(
        peers,
        peer,
        peer.reducer.reduce(peer.state, {
          type: "tick",
          now: at,
        }),
        at,
      );
    }
  }
}

function deliver(
  peers: readonly Peer[],
  from: Peer,
  effects: ReturnType<MembershipReducer["reduce"]>,
  now: number,
): void {
  for (const effect of effects) {
    if (effect.type !== "send") continue;
    const to = peers.find(({ record }) => record.host === effect.to);
    if (to === undefined) continue;
    const answers = to.reducer.reduce(to.state, {
      type: "received",
      now,
      from: from.record.host,
      message: effect.message,
    });
    deliver(peers, to, answers, now);
  }
}

const control = { ...makeHost("control"), registrar: true };
const entry = { ...makeHost("entry"), registrar: false };

test("selects only hosts that accept announcements as registrars", () => {
  const peers = [
    startPeer(control, { seeds: [entry] }),
    startPeer(entry, { seeds: [control] }),
  ];
  exchange(peers, 0);
  for (const { state } of peers) {
    expect([...state.registrars]).toEqual(["control"]);
  }
});

test("sends a change to all live hosts before the next round", () => {
  const others = Array.from(
    { length: 12 },
    (_, index) => ({ ...makeHost(`entry-${index}`), registrar: false }),
  );
  const owner = startPeer(control, { seeds: others });
  const peers = [
    owner,
    ...others.map((record) => startPeer(record, { seeds: [control] })),
  ];
  exchange(peers, 0);
  const effects = owner.reducer.reduce(owner.state, {
    type: "announced",
    now: 3_000,
    record: makeServer("s1"),
  });
  deliver(peers, owner, effects, 3_000);
  const informed = peers.filter(({ state }) =>
    state.servers.has(makeServer("s1").id)
  );
  expect(informed).toHaveLength(peers.length);
});

test("raises the incarnation above an earlier one after the clock went back", () => {
  const earlier = startPeer(entry, { incarnation: 9_000, seeds: [control] });
  const other = startPeer(control, { seeds: [entry] });
  exchange([earlier, other], 0);
  const restarted = startPeer(entry, { incarnation: 50, seeds: [control] });
  exchange([restarted, other], 4_000);
  expect(restarted.state.logs.get(entry.host)?.incarnation).toBe(9_001);
  expect(other.state.logs.get("entry" as HostId)?.incarnation).toBe(9_001);
  expect(other.state.logs.get("entry" as HostId)?.alive).toBe(true);
});

test("keeps a server usable on old evidence within a raised maxEvidenceAge", () => {
  const longAgeReducer = new MembershipReducer({
    self: entry,
    incarnation: 1 as Incarnation,
    maxEvidenceAge: 120_000,
    recheckAge: 120_000,
  });
  const owner = startPeer(control, { seeds: [entry] });
  const peer: Peer = {
    reducer: longAgeReducer,
    state: longAgeReducer.initial(),
    record: entry,
  };
  exchange([owner, peer], 0);
  const effects = owner.reducer.reduce(owner.state, {
    type: "announced",
    now: 3_000,
    record: makeServer("s1"),
  });
  deliver([owner, peer], owner, effects, 3_000);
  exchange([owner, peer], 3_500, 2);
  longAgeReducer.reduce(peer.state, { type: "tick", now: 60_000 });
  expect(peer.state.servers.get(makeServer("s1").id)?.usable).toBe(true);
});
