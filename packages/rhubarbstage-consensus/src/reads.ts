/**
 * Linearizable reads by a quorum round (ReadIndex).
 *
 * @module
 */

import { broadcastHeartbeats } from "./replication.ts";
import { quorumSize } from "./seats.ts";
import { currentSeats, hasCommittedInTerm } from "./state.ts";
import type { ConsensusState } from "./state.ts";
import type { Transition } from "./transition.ts";

/** Queues a read for a quorum round that starts after it. */
export function startRead(transition: Transition, token: number): void {
  transition.state.reads.push({ token, index: undefined, round: 0 });
  scheduleReads(transition);
}

/**
 * Assigns an index and the next round to reads that have none. They wait while
 * the leader has not committed an entry of its term, because until then its
 * commit index may be behind that of an earlier leader.
 */
export function scheduleReads(transition: Transition): void {
  const { state } = transition;
  if (state.reads.length === 0 || !hasCommittedInTerm(state)) return;
  for (const read of state.reads) {
    if (read.index !== undefined) continue;
    read.index = state.commitIndex;
    read.round = state.round + 1;
  }
  if (state.confirmedRound === state.round) startNextReadRound(transition);
}

/** Starts the next quorum round if any read waits for it. */
export function startNextReadRound(transition: Transition): void {
  const { state } = transition;
  if (!state.reads.some((read) => read.round > state.round)) return;
  state.round += 1;
  broadcastHeartbeats(transition);
  answerConfirmedReads(transition);
}

/** Answers reads whose round a quorum has answered. */
export function answerConfirmedReads(transition: Transition): void {
  const { state } = transition;
  const confirmed = quorumRound(state);
  if (confirmed <= state.confirmedRound) return;
  state.confirmedRound = confirmed;
  const { term } = state;
  for (const { token, index, round } of state.reads) {
    if (index === undefined || round > confirmed) continue;
    transition.addEffect({ kind: "answer_read", token, index, term });
  }
  state.reads = state.reads.filter((read) =>
    read.index === undefined || read.round > confirmed
  );
  startNextReadRound(transition);
}

function quorumRound(state: ConsensusState): number {
  const seats = currentSeats(state);
  const rounds = seats.voters
    .map(({ replica }) =>
      replica === state.self
        ? state.round
        : state.progress.get(replica)?.round ?? 0
    )
    .sort((left, right) => right - left);
  return rounds[quorumSize(seats) - 1] ?? 0;
}
