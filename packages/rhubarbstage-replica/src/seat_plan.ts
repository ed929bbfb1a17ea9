/**
 * Plans the next seat change of a group, as a pure function.
 *
 * @module
 */

import type { HostId, ReplicaId } from "rhubarbstage";
import type { Seat, SeatChange } from "@rhubarbstage/consensus";
import type { SeatStatus } from "./types.ts";

/** State of a group and its hosts as known to the leader. */
export interface SeatView {
  readonly seats: readonly SeatStatus[];
  /** Replica of the leader itself. */
  readonly self: ReplicaId;
  /** Target number of voters. */
  readonly targetVoterCount: number;
  /** Replica ids of the hosts that answered the last request. */
  readonly respondingReplicas: ReadonlyMap<HostId, ReplicaId>;
  /** Hosts without an answer for so long that their seat may be replaced. */
  readonly unresponsiveHosts: ReadonlySet<HostId>;
  readonly commitIndex: number;
}

/**
 * Returns the next step towards `targetVoterCount` responsive voters:
 *
 * 1. A replica whose host answers with another replica id has lost its disk. It
 *    never votes again, so it is removed first.
 * 2. An unresponsive voter is removed only when a caught-up replica can replace
 *    it, because it may return with the entries on its disk.
 * 3. An unresponsive learner is removed.
 * 4. One learner at a time is added, and promoted once it has all committed
 *    entries.
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
  // One learner at a time limits the load of snapshot transfers.
  if (view.seats.some(({ role }) => role === "learner")) return undefined;
  for (const [host, replica] of view.respondingReplicas) {
    if (!seatedReplicas.has(replica)) return { host, replica };
  }
  return undefined;
}
