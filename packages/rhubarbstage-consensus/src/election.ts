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
import type { Transition } from "./transition.ts";
import type { Position, VoteAnswer, VoteRequest } from "./types.ts";

/** Draws the next election timeout. */
export function resetElectionTimeout(state: ConsensusState): void {
  const { electionTicks, random } = state;
  state.ticksUntilElection = electionTicks + 1 + random.integer(electionTicks);
}

/** Requests pre-votes, which do not disturb a leader. */
export function startPreVote(transition: Transition): void {
  const { state } = transition;
  resetElectionTimeout(state);
  if (!isVoter(currentSeats(state), state.self)) return;
  state.role = "pre_candidate";
  state.leader = undefined;
  state.votes = new Map([[state.self, true]]);
  requestVotes(transition, { kind: "pre_vote", term: state.term + 1 });
  if (hasWon(state)) startElection(transition);
}

/**
 * Starts an election in a new term. The candidate's own vote counts once it is
 * durable.
 */
export function startElection(transition: Transition): void {
  const { state } = transition;
  resetElectionTimeout(state);
  if (!isVoter(currentSeats(state), state.self)) return;
  state.role = "candidate";
  state.leader = undefined;
  state.votes = new Map();
  transition.setTermAndVote(state.term + 1, state.self);
  requestVotes(transition, { kind: "vote", term: state.term });
}

function requestVotes(
  transition: Transition,
  request: { kind: "pre_vote" | "vote"; term: number },
): void {
  const { state } = transition;
  const { index, term } = state.log.last;
  for (const { replica } of currentSeats(state).voters) {
    if (replica === state.self) continue;
    transition.sendWhenDurable(replica, { ...request, last: { index, term } });
  }
}

/** Counts this replica's vote for itself once term and vote are durable. */
export function countOwnVote(transition: Transition): void {
  const { state } = transition;
  if (state.role !== "candidate" || state.votes.has(state.self)) return;
  if (state.durableWriteToken < state.termWriteToken) return;
  state.votes.set(state.self, true);
  if (hasWon(state)) becomeLeader(transition);
}

/** Answers a pre-vote; the state stays unchanged. */
export function answerPreVote(
  transition: Transition,
  request: VoteRequest & { from: ReplicaId },
): void {
  const { state } = transition;
  const hasLeader = state.role === "leader" ||
    (state.leader !== undefined &&
      state.ticksSinceLeaderContact < state.electionTicks);
  const granted = request.term > state.term && !hasLeader &&
    isUpToDate(state, request.last);
  transition.sendWhenDurable(request.from, {
    kind: "pre_vote_answer",
    term: granted ? request.term : state.term,
    granted,
  });
}

/** Answers a vote request in the current term. */
export function answerVote(
  transition: Transition,
  request: VoteRequest & { from: ReplicaId },
): void {
  const { state } = transition;
  const hasNoVoteOrLeader = state.vote === undefined &&
    state.leader === undefined;
  const granted = request.term === state.term &&
    (state.vote === request.from || hasNoVoteOrLeader) &&
    isUpToDate(state, request.last);
  if (granted && state.vote !== request.from) {
    transition.setTermAndVote(state.term, request.from);
    resetElectionTimeout(state);
  }
  transition.sendWhenDurable(request.from, {
    kind: "vote_answer",
    term: state.term,
    granted,
  });
}

/** Counts an answer to this replica's pre-vote or vote request. */
export function countVote(
  transition: Transition,
  answer: VoteAnswer & { from: ReplicaId },
): void {
  const { state } = transition;
  const isPreVote = answer.kind === "pre_vote_answer";
  if (state.role !== (isPreVote ? "pre_candidate" : "candidate")) return;
  const term = isPreVote && answer.granted ? state.term + 1 : state.term;
  if (answer.term !== term) return;
  state.votes.set(answer.from, answer.granted);
  if (!hasWon(state)) return;
  if (isPreVote) startElection(transition);
  else becomeLeader(transition);
}

function hasWon(state: ConsensusState): boolean {
  const seats = currentSeats(state);
  const granted = seats.voters.filter((seat) => state.votes.get(seat.replica));
  return granted.length >= quorumSize(seats);
}

/** Reports whether a log permits a vote: leaders need all committed entries. */
function isUpToDate(state: ConsensusState, last: Position): boolean {
  const own = state.log.last;
  return last.term > own.term ||
    (last.term === own.term && last.index >= own.index);
}

function becomeLeader(transition: Transition): void {
  const { state } = transition;
  const { term, log } = state;
  state.role = "leader";
  state.leader = state.self;
  state.progress = new Map();
  for (const { replica } of allSeats(currentSeats(state))) {
    if (replica === state.self) continue;
    state.progress.set(replica, createProgress(log.last.index + 1));
  }
  state.termStartIndex = log.last.index + 1;
  // Entries of earlier terms are committed only through one of the leader's own
  // term.
  transition.append([{ kind: "empty", index: state.termStartIndex, term }]);
  broadcastAppends(transition);
}

/** Becomes a follower in the current term or a later one. */
export function becomeFollower(
  transition: Transition,
  next: { term: number; leader?: ReplicaId },
): void {
  const { state } = transition;
  if (next.term > state.term) transition.setTermAndVote(next.term, undefined);
  const wasLeader = state.role === "leader";
  state.role = "follower";
  state.leader = next.leader;
  state.votes = new Map();
  if (!wasLeader) return;
  state.progress = new Map();
  state.ticksSinceLeaderContact = state.electionTicks;
  resetElectionTimeout(state);
  for (const { token } of state.reads) {
    transition.addEffect({
      kind: "reject",
      token,
      reason: "not_leader",
      leader: next.leader,
    });
  }
  state.reads = [];
}
