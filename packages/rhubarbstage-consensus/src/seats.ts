/**
 * Pure functions over the seats of a group.
 *
 * @module
 */

import type { ReplicaId } from "rhubarbstage";
import type { RejectReason, Seat, SeatChange, Seats } from "./types.ts";

/** A group without seats, as on a host that is not bootstrapped. */
export const noSeats: Seats = { voters: [], learners: [] };

/** Returns the number of voters that form a quorum. */
export function quorumSize(seats: Seats): number {
  return Math.floor(seats.voters.length / 2) + 1;
}

export function isVoter(seats: Seats, replica: ReplicaId): boolean {
  return seats.voters.some((seat) => seat.replica === replica);
}

export function isLearner(seats: Seats, replica: ReplicaId): boolean {
  return seats.learners.some((seat) => seat.replica === replica);
}

/** Returns all seats, voters first. */
export function allSeats(seats: Seats): readonly Seat[] {
  return [...seats.voters, ...seats.learners];
}

/**
 * Returns the seats after one step, or why the step is not possible. Only one
 * voter is added or removed at a time, so that the quorums before and after
 * always overlap.
 */
export function changeSeats(
  seats: Seats,
  change: SeatChange,
): Seats | RejectReason {
  switch (change.kind) {
    case "add_learner":
      return addLearner(seats, change.seat);
    case "promote":
      return promote(seats, change.replica);
    case "remove":
      return remove(seats, change.replica);
  }
}

function addLearner(seats: Seats, seat: Seat): Seats | RejectReason {
  const isSeated = allSeats(seats).some((other) =>
    other.replica === seat.replica
  );
  if (isSeated) return "already_seated";
  return { voters: seats.voters, learners: [...seats.learners, seat] };
}

function promote(seats: Seats, replica: ReplicaId): Seats | RejectReason {
  if (isVoter(seats, replica)) return "already_seated";
  const seat = seats.learners.find((other) => other.replica === replica);
  if (seat === undefined) return "unknown_replica";
  return {
    voters: [...seats.voters, seat],
    learners: seats.learners.filter((other) => other !== seat),
  };
}

function remove(seats: Seats, replica: ReplicaId): Seats | RejectReason {
  const isSeated = allSeats(seats).some((seat) => seat.replica === replica);
  if (!isSeated) return "unknown_replica";
  const voters = seats.voters.filter((seat) => seat.replica !== replica);
  if (voters.length === 0) return "last_voter";
  return {
    voters,
    learners: seats.learners.filter((seat) => seat.replica !== replica),
  };
}
