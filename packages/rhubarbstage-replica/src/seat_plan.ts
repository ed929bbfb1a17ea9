/**
 * Which seat of a group has to change next, as a pure function.
 *
 * @module
 */

import type { HostId, ReplicaId } from "rhubarbstage";
import type { Seat, SeatChange } from "@rhubarbstage/consensus";
import type { SeatStatus } from "./types.ts";

/** What the leader of a group sees. */
export interface SeatView {
  readonly seats: readonly SeatStatus[];
  /** Replica of the leader itself. */
  readonly self: ReplicaId;
  /** Voters that the group should have. */
  readonly targetVoterCount: number;
  /** Replicas of the hosts that answer now. */
  readonly respondingReplicas: ReadonlyMap<HostId, ReplicaId>;
  /** Hosts that have been silent for so long that their seat is given away. */
  readonly unresponsiveHosts: ReadonlySet<HostId>;
  readonly commitIndex: number;
}

/**
 * The next step towards a group of `target` voters on hosts that answer:
 *
 * 1. A voter whose host answers with another replica has lost its disk. It
 *    never votes again, so it goes before anything else.
 * 2. A silent voter goes only when a replica that has caught up can take its
 *    place, because it may come back with what it has on its disk.
 * 3. Learners are added, and promoted once they have what is committed.
 */
export function planSeatChange(view: SeatView): SeatChange | undefined {
  const voters = view.seats.filter(({ role }) => role === "voter");
  const lostDisk = view.seats.find((seat) => hasLostDisk(view, seat));
  if (lostDisk !== undefined && voters.length > 1) return remove(lostDisk);
  const caughtUp = view.seats.find((seat) => isCaughtUp(view, seat));
  const unresponsive = voters.find((seat) => isUnresponsive(view, seat));
  const needsVoter = voters.length < view.targetVoterCount;
  if (caughtUp !== undefined) {
    if (needsVoter) return { kind: "promote", replica: caughtUp.replica };
    if (unresponsive !== undefined) return remove(unresponsive);
  }
  const unresponsiveLearner = view.seats.find((seat) =>
    seat.role === "learner" && isUnresponsive(view, seat)
  );
  if (unresponsiveLearner !== undefined) return remove(unresponsiveLearner);
  if (!needsVoter && unresponsive === undefined) return undefined;
  const candidate = findCandidate(view);
  return candidate && { kind: "add_learner", seat: candidate };
}

function remove({ replica }: SeatStatus): SeatChange {
  return { kind: "remove", replica };
}

function hasLostDisk(view: SeatView, seat: SeatStatus): boolean {
  const replica = view.respondingReplicas.get(seat.host);
  return replica !== undefined && replica !== seat.replica &&
    seat.replica !== view.self;
}

function isUnresponsive(view: SeatView, seat: SeatStatus): boolean {
  return seat.replica !== view.self && view.unresponsiveHosts.has(seat.host);
}

function isCaughtUp(view: SeatView, seat: SeatStatus): boolean {
  return seat.role === "learner" && !view.unresponsiveHosts.has(seat.host) &&
    (seat.durableIndex ?? -1) >= view.commitIndex;
}

function findCandidate(view: SeatView): Seat | undefined {
  const seatedReplicas = new Set(view.seats.map(({ replica }) => replica));
  // One learner at a time keeps the load of snapshots low.
  if (view.seats.some(({ role }) => role === "learner")) return undefined;
  for (const [host, replica] of view.respondingReplicas) {
    if (!seatedReplicas.has(replica)) return { host, replica };
  }
  return undefined;
}
