import type { HostId, ReplicaId } from "rhubarbstage";
import { planSeatChange, type SeatView } from "../../src/seat_plan.ts";
import type { SeatStatus } from "../../src/types.ts";

function seat(
  name: string,
  changes: Partial<SeatStatus> = {},
): SeatStatus {
  return {
    replica: `r-${name}` as ReplicaId,
    host: name as HostId,
    role: "voter",
    durableIndex: 10,
    ...changes,
  };
}

function view(changes: Partial<SeatView> & { hosts: string[] }): SeatView {
  const { hosts, ...rest } = changes;
  return {
    seats: ["a", "b", "c"].map((name) => seat(name)),
    self: "r-a" as ReplicaId,
    targetVoterCount: 3,
    respondingReplicas: new Map(
      hosts.map((host) => [host as HostId, `r-${host}` as ReplicaId]),
    ),
    unresponsiveHosts: new Set(),
    commitIndex: 10,
    ...rest,
  };
}

test("changes no seat when all voters respond", () => {
  expect(planSeatChange(view({ hosts: ["a", "b", "c", "d"] })))
    .toBeUndefined();
});

test("adds voters up to the target, one learner at a time", () => {
  const largerTarget = view({
    hosts: ["a", "b", "c", "d", "e"],
    targetVoterCount: 5,
  });
  expect(planSeatChange(largerTarget)).toEqual({
    kind: "add_learner",
    seat: { host: "d", replica: "r-d" },
  });
  const seats = [
    ...largerTarget.seats,
    seat("d", { role: "learner", durableIndex: 3 }),
  ];
  expect(planSeatChange({ ...largerTarget, seats })).toBeUndefined();
  const caughtUp = [...largerTarget.seats, seat("d", { role: "learner" })];
  expect(planSeatChange({ ...largerTarget, seats: caughtUp })).toEqual({
    kind: "promote",
    replica: "r-d",
  });
});

test("immediately removes a replica that lost its disk", () => {
  const responding = new Map([
    ["a" as HostId, "r-a" as ReplicaId],
    ["b" as HostId, "r-b" as ReplicaId],
    ["c" as HostId, "r-new" as ReplicaId],
  ]);
  expect(planSeatChange(view({ hosts: [], respondingReplicas: responding })))
    .toEqual({
      kind: "remove",
      replica: "r-c",
    });
});

test("keeps an unresponsive voter until a learner has caught up", () => {
  const unresponsive = new Set(["c" as HostId]);
  const alone = view({ hosts: ["a", "b"], unresponsiveHosts: unresponsive });
  expect(planSeatChange(alone)).toBeUndefined();
  const replaced = view({
    hosts: ["a", "b", "d"],
    unresponsiveHosts: unresponsive,
  });
  expect(planSeatChange(replaced)).toEqual({
    kind: "add_learner",
    seat: { host: "d", replica: "r-d" },
  });
  const seats = [...replaced.seats, seat("d", { role: "learner" })];
  expect(planSeatChange({ ...replaced, seats })).toEqual({
    kind: "remove",
    replica: "r-c",
  });
});

test("never removes its own seat", () => {
  const unresponsive = new Set(["a" as HostId]);
  const responding = new Map([["a" as HostId, "r-other" as ReplicaId]]);
  expect(
    planSeatChange(
      view({
        hosts: [],
        respondingReplicas: responding,
        unresponsiveHosts: unresponsive,
      }),
    ),
  )
    .toBeUndefined();
});
