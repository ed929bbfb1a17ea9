import type { ReplicaId } from "rhubarbstage";
import { currentSeats } from "../../src/mod.ts";
import { type Member, SimulatedGroup } from "./simulated_group.ts";

function elect(group: SimulatedGroup): Member {
  group.runRounds(30);
  return group.leader() as Member;
}

describe("Consensus", () => {
  // Guards against a vote or an entry that counts before it is on disk.
  test("counts own votes and entries only after they are synced", () => {
    const group = new SimulatedGroup({ voters: 1 });
    const [member] = [...group.members.values()] as [Member];
    for (let tick = 0; tick < 20; tick += 1) {
      group.dispatch(member, { kind: "tick" });
    }
    expect(member.state.role).toBe("candidate");
    group.flush();
    expect(member.state.role).toBe("leader");
    const write = group.write(member);
    expect(write.end).toBe(Infinity);
    group.flush();
    expect(write.end).not.toBe(Infinity);
  });

  // Guards against stale reads from a leader that was paused or partitioned and
  // replaced.
  test("a partitioned leader answers no read and steps down", () => {
    const group = new SimulatedGroup({ voters: 3 });
    const old = elect(group);
    group.cut(old.seat.replica);
    const read = group.read(old);
    const ticks = old.state.electionTicks + 1;
    group.runRounds(ticks);
    expect(read.end).toBe(Infinity);
    expect(old.state.role).not.toBe("leader");
    group.runRounds(20);
    expect(group.leader()).not.toBe(old);
    expect(group.leader()).toBeDefined();
  });

  // Guards against a partitioned replica that forces an election on its return.
  test("a returning replica does not disturb the leader", () => {
    const group = new SimulatedGroup({ voters: 3 });
    const leader = elect(group);
    const { term } = leader.state;
    const partitioned = group.seats.find((seat) => seat !== leader.seat)
      ?.replica;
    group.cut(partitioned as ReplicaId);
    group.runRounds(60);
    group.heal();
    group.runRounds(20);
    expect(leader.state.role).toBe("leader");
    expect(leader.state.term).toBe(term);
  });

  // Guards against committing an entry of an old term by counting replicas,
  // which a later leader may still replace (figure 8 of the Raft paper).
  test("commits entries of earlier terms only through an entry of its own term", () => {
    const group = new SimulatedGroup({ voters: 3 });
    const leader = elect(group);
    const { term, commitIndex } = leader.state;
    const follower = group.seats.find((seat) => seat !== leader.seat)?.replica;
    leader.state.term = term + 1;
    leader.state.termStartIndex = commitIndex + 2;
    group.dispatch(leader, { kind: "persisted", token: 0 });
    leader.state.log.append([{
      kind: "empty",
      index: commitIndex + 1,
      term,
    }]);
    leader.state.durableIndex = commitIndex + 1;
    group.dispatch(leader, {
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
  test("changes one seat at a time and promotes only caught-up learners", () => {
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
    group.dispatch(leader, {
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
    group.runRounds(3);
    group.dispatch(leader, promotion);
    expect(voters()).not.toContain(replica);
    group.heal();
    group.runRounds(10);
    group.dispatch(leader, promotion);
    group.runRounds(5);
    expect(voters()).toContain(replica);
  });
});
