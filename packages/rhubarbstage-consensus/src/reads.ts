/**
 * Linearizable reads by a quorum round (ReadIndex).
 *
 * @module
 */

import { broadcastHeartbeats } from "./replication.ts";
import { quorumSize } from "./seats.ts";
import { currentSeats, hasCommittedInTerm } from "./state.ts";
import type { ConsensusState } from "./state.ts";
import type { Transition } from "./turn.ts";

/** Takes a read that waits for a quorum round which starts after it. */
export function startRead(turn: Transition, token: number): void {
  turn.state.reads.push({ token, index: undefined, round: 0 });
  scheduleReads(turn);
}

/**
 * Gives reads that have none an index and the next round. They wait while the
 * leader has not committed an entry of its term, because until then its commit
 * index may be behind that of an earlier leader.
 */
export function scheduleReads(turn: Transition): void {
  const { state } = turn;
  if (state.reads.length === 0 || !hasCommittedInTerm(state)) return;
  for (const read of state.reads) {
    if (read.index !== undefined) continue;
    read.index = state.commitIndex;
    read.round = state.round + 1;
  }
  if (state.confirmedRound === state.round) startNextReadRound(turn);
}

/** Starts the round that reads wait for, if any do. */
export function startNextReadRound(turn: Transition): void {
  const { state } = turn;
  if (!state.reads.some((read) => read.round > state.round)) return;
  state.round += 1;
  broadcastHeartbeats(turn);
  answerConfirmedReads(turn);
}

/** Answers reads whose round a quorum has answered. */
export function answerConfirmedReads(turn: Transition): void {
  const { state } = turn;
  const confirmed = quorumRound(state);
  if (confirmed <= state.confirmedRound) return;
  state.confirmedRound = confirmed;
  const { term } = state;
  for (const { token, index, round } of state.reads) {
    if (index === undefined || round > confirmed) continue;
    turn.addEffect({ kind: "answer_read", token, index, term });
  }
  state.reads = state.reads.filter((read) =>
    read.index === undefined || read.round > confirmed
  );
  startNextReadRound(turn);
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
