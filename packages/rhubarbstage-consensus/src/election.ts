/**
 * Elections: pre-vote, vote, and stepping down.
 *
 * @module
 */

import type { ReplicaId } from "rhubarbstage";
import { broadcastAppends, createProgress } from "./replication.ts";
import { allSeats, isVoter, quorumSize } from "./seats.ts";
import { currentSeats } from "./state.ts";
import type { ConsensusState } from "./state.ts";
import type { Transition } from "./turn.ts";
import type { Position, VoteAnswer, VoteRequest } from "./types.ts";

/** Draws the next wait for a leader. */
export function resetElectionTimeout(state: ConsensusState): void {
  const { electionTicks, random } = state;
  state.ticksUntilElection = electionTicks + 1 + random.integer(electionTicks);
}

/** Asks whether an election could be won, without disturbing a leader. */
export function startPreVote(turn: Transition): void {
  const { state } = turn;
  resetElectionTimeout(state);
  if (!isVoter(currentSeats(state), state.self)) return;
  state.role = "pre_candidate";
  state.leader = undefined;
  state.votes = new Map([[state.self, true]]);
  requestVotes(turn, { kind: "pre_vote", term: state.term + 1 });
  if (hasWon(state)) startElection(turn);
}

/** Starts a term as its candidate. The own vote counts once it is durable. */
export function startElection(turn: Transition): void {
  const { state } = turn;
  resetElectionTimeout(state);
  if (!isVoter(currentSeats(state), state.self)) return;
  state.role = "candidate";
  state.leader = undefined;
  state.votes = new Map();
  turn.setTermAndVote(state.term + 1, state.self);
  requestVotes(turn, { kind: "vote", term: state.term });
}

function requestVotes(
  turn: Transition,
  request: { kind: "pre_vote" | "vote"; term: number },
): void {
  const { state } = turn;
  const { index, term } = state.log.last;
  for (const { replica } of currentSeats(state).voters) {
    if (replica === state.self) continue;
    turn.sendWhenDurable(replica, { ...request, last: { index, term } });
  }
}

/** Counts the own vote after the term and the vote have become durable. */
export function countOwnVote(turn: Transition): void {
  const { state } = turn;
  if (state.role !== "candidate" || state.votes.has(state.self)) return;
  if (state.durableToken < state.termToken) return;
  state.votes.set(state.self, true);
  if (hasWon(state)) becomeLeader(turn);
}

/** Decides on a pre-vote. It changes nothing but the answer. */
export function answerPreVote(
  turn: Transition,
  request: VoteRequest & { from: ReplicaId },
): void {
  const { state } = turn;
  const hasLeader = state.role === "leader" ||
    (state.leader !== undefined &&
      state.ticksSinceLeaderContact < state.electionTicks);
  const granted = request.term > state.term && !hasLeader &&
    isUpToDate(state, request.last);
  turn.sendWhenDurable(request.from, {
    kind: "pre_vote_answer",
    term: granted ? request.term : state.term,
    granted,
  });
}

/** Decides on a vote in the current term. */
export function answerVote(
  turn: Transition,
  request: VoteRequest & { from: ReplicaId },
): void {
  const { state } = turn;
  const isFree = state.vote === undefined && state.leader === undefined;
  const granted = request.term === state.term &&
    (state.vote === request.from || isFree) &&
    isUpToDate(state, request.last);
  if (granted && state.vote !== request.from) {
    turn.setTermAndVote(state.term, request.from);
    resetElectionTimeout(state);
  }
  turn.sendWhenDurable(request.from, {
    kind: "vote_answer",
    term: state.term,
    granted,
  });
}

/** Counts an answer to the own pre-vote or vote. */
export function countVote(
  turn: Transition,
  answer: VoteAnswer & { from: ReplicaId },
): void {
  const { state } = turn;
  const isPreVote = answer.kind === "pre_vote_answer";
  if (state.role !== (isPreVote ? "pre_candidate" : "candidate")) return;
  const term = isPreVote && answer.granted ? state.term + 1 : state.term;
  if (answer.term !== term) return;
  state.votes.set(answer.from, answer.granted);
  if (!hasWon(state)) return;
  if (isPreVote) startElection(turn);
  else becomeLeader(turn);
}

function hasWon(state: ConsensusState): boolean {
  const seats = currentSeats(state);
  const granted = seats.voters.filter((seat) => state.votes.get(seat.replica));
  return granted.length >= quorumSize(seats);
}

/** Whether a candidate's log holds everything that may be committed here. */
function isUpToDate(state: ConsensusState, last: Position): boolean {
  const own = state.log.last;
  return last.term > own.term ||
    (last.term === own.term && last.index >= own.index);
}

function becomeLeader(turn: Transition): void {
  const { state } = turn;
  const { term, log } = state;
  state.role = "leader";
  state.leader = state.self;
  state.progress = new Map();
  for (const { replica } of allSeats(currentSeats(state))) {
    if (replica === state.self) continue;
    state.progress.set(replica, createProgress(log.last.index + 1));
  }
  state.termStartIndex = log.last.index + 1;
  // Entries of earlier terms are committed only through one of the own term.
  turn.append([{ kind: "empty", index: state.termStartIndex, term }]);
  broadcastAppends(turn);
}

/** Follows in a term, the current one or a later one. */
export function becomeFollower(
  turn: Transition,
  follow: { term: number; leader?: ReplicaId },
): void {
  const { state } = turn;
  if (follow.term > state.term) turn.setTermAndVote(follow.term, undefined);
  const wasLeader = state.role === "leader";
  state.role = "follower";
  state.leader = follow.leader;
  state.votes = new Map();
  if (!wasLeader) return;
  state.progress = new Map();
  state.ticksSinceLeaderContact = state.electionTicks;
  resetElectionTimeout(state);
  for (const { token } of state.reads) {
    turn.addEffect({
      kind: "reject",
      token,
      reason: "not_leader",
      leader: follow.leader,
    });
  }
  state.reads = [];
}
