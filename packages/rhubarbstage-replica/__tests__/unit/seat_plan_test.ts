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

test("leaves complete seats alone", () => {
  expect(planSeatChange(view({ hosts: ["a", "b", "c", "d"] })))
    .toBeUndefined();
});

test("grows to the target one learner at a time", () => {
  const grown = view({ hosts: ["a", "b", "c", "d", "e"], targetVoterCount: 5 });
  expect(planSeatChange(grown)).toEqual({
    kind: "add_learner",
    seat: { host: "d", replica: "r-d" },
  });
  const seats = [
    ...grown.seats,
    seat("d", { role: "learner", durableIndex: 3 }),
  ];
  expect(planSeatChange({ ...grown, seats })).toBeUndefined();
  const caughtUp = [...grown.seats, seat("d", { role: "learner" })];
  expect(planSeatChange({ ...grown, seats: caughtUp })).toEqual({
    kind: "promote",
    replica: "r-d",
  });
});

test("removes the seat of a disk that was lost at once", () => {
  const present = new Map([
    ["a" as HostId, "r-a" as ReplicaId],
    ["b" as HostId, "r-b" as ReplicaId],
    ["c" as HostId, "r-new" as ReplicaId],
  ]);
  expect(planSeatChange(view({ hosts: [], respondingReplicas: present })))
    .toEqual({
      kind: "remove",
      replica: "r-c",
    });
});

test("keeps the seat of a silent host until another one has caught up", () => {
  const silent = new Set(["c" as HostId]);
  const alone = view({ hosts: ["a", "b"], unresponsiveHosts: silent });
  expect(planSeatChange(alone)).toBeUndefined();
  const replaced = view({ hosts: ["a", "b", "d"], unresponsiveHosts: silent });
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
  const silent = new Set(["a" as HostId]);
  const present = new Map([["a" as HostId, "r-other" as ReplicaId]]);
  expect(
    planSeatChange(
      view({
        hosts: [],
        respondingReplicas: present,
        unresponsiveHosts: silent,
      }),
    ),
  )
    .toBeUndefined();
});
