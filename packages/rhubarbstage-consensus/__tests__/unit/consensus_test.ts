import type { ReplicaId } from "rhubarbstage";
import { currentSeats } from "../../src/mod.ts";
import { type Member, SimulatedGroup } from "./simulated_group.ts";

function elect(group: SimulatedGroup): Member {
  group.settle(30);
  return group.leader() as Member;
}

describe("Consensus", () => {
  // Guards against a vote that counts before it is on the candidate's disk.
  test("counts neither own votes nor answers before they are synced", () => {
    const group = new SimulatedGroup({ voters: 1 });
    const [member] = [...group.members.values()] as [Member];
    for (let tick = 0; tick < 20; tick += 1) {
      group.take(member, { kind: "tick" });
    }
    expect(member.state.role).toBe("candidate");
    group.flush();
    expect(member.state.role).toBe("leader");
    const write = group.write(member);
    expect(write.end).toBe(Infinity);
    group.flush();
    expect(write.end).not.toBe(Infinity);
  });

  // Guards against reads from a leader that was paused or cut off and replaced.
  test("a replaced leader answers no read and steps down", () => {
    const group = new SimulatedGroup({ voters: 3 });
    const old = elect(group);
    group.cut(old.seat.replica);
    const read = group.read(old);
    const ticks = old.state.electionTicks + 1;
    group.settle(ticks);
    expect(read.end).toBe(Infinity);
    expect(old.state.role).not.toBe("leader");
    group.settle(20);
    expect(group.leader()).not.toBe(old);
    expect(group.leader()).toBeDefined();
  });

  // Guards against a cut-off replica that forces an election when it returns.
  test("a returning replica does not disturb the leader", () => {
    const group = new SimulatedGroup({ voters: 3 });
    const leader = elect(group);
    const { term } = leader.state;
    const away = group.seats.find((seat) => seat !== leader.seat)?.replica;
    group.cut(away as ReplicaId);
    group.settle(60);
    group.heal();
    group.settle(20);
    expect(leader.state.role).toBe("leader");
    expect(leader.state.term).toBe(term);
  });

  // Guards against committing an entry of an old term by counting replicas,
  // which a later leader may still replace (figure 8 of the Raft paper).
  test("commits entries of earlier terms only through one of its own", () => {
    const group = new SimulatedGroup({ voters: 3 });
    const leader = elect(group);
    const { term, commitIndex } = leader.state;
    const follower = group.seats.find((seat) => seat !== leader.seat)?.replica;
    leader.state.term = term + 1;
    leader.state.termStartIndex = commitIndex + 2;
    group.take(leader, { kind: "persisted", token: 0 });
    leader.state.log.append([{
      kind: "empty",
      index: commitIndex + 1,
      term,
    }]);
    leader.state.durableIndex = commitIndex + 1;
    group.take(leader, {
      kind: "message",
      message: {
        kind: "append_answer",
        from: follower as ReplicaId,
        to: leader.seat.replica,
        term: term + 1,
        accepted: true,
        index: commitIndex + 1,
        previousIndex: commitIndex,
        round: 0,
      },
    });
    expect(leader.state.commitIndex).toBe(commitIndex);
  });

  // Guards against a promoted seat that lacks committed entries, and against
  // two voters that change at once, whose quorums need not overlap.
  test("changes one seat at a time and promotes durable learners only", () => {
    const group = new SimulatedGroup({ voters: 3, spares: 2 });
    const leader = elect(group);
    const [spare, other] = group.seats.slice(3) as [
      Member["seat"],
      Member["seat"],
    ];
    const { replica } = spare;
    const voters = () =>
      currentSeats(leader.state).voters.map((seat) => seat.replica);
    const change = (seat: Member["seat"]) =>
      leader.reducer.reduce(leader.state, {
        kind: "change_seats",
        token: 0,
        change: { kind: "add_learner", seat },
      }).find((effect) => effect.kind === "reject");
    group.take(leader, {
      kind: "change_seats",
      token: 0,
      change: { kind: "add_learner", seat: spare },
    });
    expect(change(other)).toMatchObject({ reason: "change_in_progress" });
    const promotion = {
      kind: "change_seats",
      token: 0,
      change: { kind: "promote", replica },
    } as const;
    group.cut(replica);
    group.settle(3);
    group.take(leader, promotion);
    expect(voters()).not.toContain(replica);
    group.heal();
    group.settle(10);
    group.take(leader, promotion);
    group.settle(5);
    expect(voters()).toContain(replica);
  });
});
