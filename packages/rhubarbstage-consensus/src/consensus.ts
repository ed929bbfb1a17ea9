/**
 * The replicated log as a pure reducer.
 *
 * @module
 */

import { Reducer } from "rhubarbstage";
import type { ReplicaId } from "rhubarbstage";
import {
  answerPreVote,
  answerVote,
  becomeFollower,
  countOwnVote,
  countVote,
  resetElectionTimeout,
  startElection,
  startPreVote,
} from "./election.ts";
import {
  answerConfirmedReads,
  scheduleReads,
  startNextReadRound,
  startRead,
} from "./reads.ts";
import {
  acceptAppend,
  acceptAppendAnswer,
  acceptSnapshot,
  broadcastAppends,
  broadcastHeartbeats,
  committableIndex,
  finishSnapshotTransfer,
  hasQuorumContact,
  isSelfVoter,
  updateProgress,
} from "./replication.ts";
import { changeSeats, isVoter } from "./seats.ts";
import {
  currentSeats,
  hasCommittedInTerm,
  hasUncommittedSeatChange,
  isCaughtUp,
  restoreState,
} from "./state.ts";
import type { ConsensusState } from "./state.ts";
import { Transition } from "./transition.ts";
import type {
  ConsensusEffect,
  ConsensusEvent,
  ConsensusOptions,
  Entry,
  Message,
  RejectReason,
  SeatChange,
  SnapshotHead,
} from "./types.ts";

/**
 * Raft with pre-vote, check-quorum, ReadIndex, learners and changes of one
 * voter at a time. Time is ticks and randomness is seeded. A vote, a term and
 * an entry count only after the `persisted` event of the effect that wrote them.
 */
export class Consensus
  extends Reducer<ConsensusState, ConsensusEvent, ConsensusEffect> {
  readonly #options: ConsensusOptions;

  constructor(options: ConsensusOptions) {
    super();
    this.#options = options;
  }

  override initial(): ConsensusState {
    return restoreState(this.#options);
  }

  override reduce(
    state: ConsensusState,
    event: ConsensusEvent,
  ): readonly ConsensusEffect[] {
    const transition = new Transition(state);
    handleEvent(transition, event);
    return transition.finish();
  }
}

function handleEvent(transition: Transition, event: ConsensusEvent): void {
  switch (event.kind) {
    case "tick":
      return tick(transition);
    case "message":
      return receive(transition, event.message);
    case "propose":
      return propose(transition, event);
    case "read":
      if (transition.state.role === "leader") {
        return startRead(transition, event.token);
      }
      return reject(transition, { token: event.token, reason: "not_leader" });
    case "change_seats":
      return proposeSeatChange(transition, event);
    case "persisted":
      return handlePersisted(transition, event.token);
    case "snapshot_saved":
      transition.state.snapshotEntries = event.nextSnapshotEntries ??
        transition.state.snapshotEntries;
      return compactLog(transition.state, event.head);
    case "snapshot_sent":
      return finishSnapshotTransfer(transition.state, event);
    case "transfer":
      return transferLeadership(transition);
  }
}

function tick(transition: Transition): void {
  const { state } = transition;
  state.ticks += 1;
  if (state.role === "leader") return tickLeader(transition);
  state.ticksSinceLeaderContact += 1;
  state.ticksUntilElection -= 1;
  if (state.ticksUntilElection <= 0) startPreVote(transition);
}

function tickLeader(transition: Transition): void {
  const { state } = transition;
  for (const progress of state.progress.values()) {
    progress.ticksSinceContact += 1;
  }
  if (!hasQuorumContact(state)) {
    return becomeFollower(transition, { term: state.term });
  }
  // Due by tick count rather than by time since the election, so that groups
  // that tick together send their heartbeats in one batch.
  if (state.ticks % state.heartbeatTicks !== 0) return;
  // A lost round must not delay the reads that wait for the next one.
  const { round } = state;
  startNextReadRound(transition);
  if (state.round === round) broadcastHeartbeats(transition);
}

function receive(transition: Transition, message: Message): void {
  const { state } = transition;
  if (message.to !== state.self) return;
  if (message.kind === "pre_vote") return answerPreVote(transition, message);
  const isGrantedPreVote = message.kind === "pre_vote_answer" &&
    message.granted;
  if (message.term > state.term && !isGrantedPreVote) {
    becomeFollower(transition, { term: message.term });
  }
  if (message.term < state.term) return rejectStaleTerm(transition, message);
  switch (message.kind) {
    case "vote":
      return answerVote(transition, message);
    case "pre_vote_answer":
    case "vote_answer":
      return countVote(transition, message);
    case "append":
      followLeader(transition, message.from);
      return acceptAppend(transition, message);
    case "snapshot":
      followLeader(transition, message.from);
      return acceptSnapshot(transition, message);
    case "append_answer":
      if (state.role !== "leader") return;
      acceptAppendAnswer(transition, message);
      commitDurable(transition);
      return answerConfirmedReads(transition);
    case "timeout_now":
      if (state.role === "follower") startElection(transition);
  }
}

/** Returns the current term to a leader or candidate of an old term. */
function rejectStaleTerm(transition: Transition, message: Message): void {
  const { term } = transition.state;
  if (message.kind === "vote") {
    transition.sendWhenDurable(message.from, {
      kind: "vote_answer",
      term,
      granted: false,
    });
  }
  if (message.kind !== "append" && message.kind !== "snapshot") return;
  transition.sendWhenDurable(message.from, {
    kind: "append_answer",
    term,
    accepted: false,
    index: 0,
    previousIndex: 0,
    round: 0,
  });
}

function followLeader(transition: Transition, leader: ReplicaId): void {
  const { state } = transition;
  if (state.role !== "follower" || state.leader !== leader) {
    becomeFollower(transition, { term: state.term, leader });
  }
  state.ticksSinceLeaderContact = 0;
  resetElectionTimeout(state);
}

function propose(
  transition: Transition,
  proposal: { token: number; commands: readonly Uint8Array[] },
): void {
  const { state } = transition;
  const { token, commands } = proposal;
  if (state.role !== "leader") {
    return reject(transition, { token, reason: "not_leader" });
  }
  const { term, log } = state;
  const first = { index: log.last.index + 1, term };
  transition.append(commands.map((data, offset): Entry => ({
    kind: "command",
    index: first.index + offset,
    term,
    data,
  })));
  transition.addEffect({ kind: "appended", token, first });
  broadcastAppends(transition);
}

function proposeSeatChange(
  transition: Transition,
  proposal: { token: number; change: SeatChange },
): void {
  const { state } = transition;
  const { token, change } = proposal;
  const reason = seatChangeRejection(state, change);
  if (reason !== undefined) return reject(transition, { token, reason });
  const seats = changeSeats(currentSeats(state), change);
  if (typeof seats === "string") {
    return reject(transition, { token, reason: seats });
  }
  const { term } = state;
  const index = state.log.last.index + 1;
  transition.append([{ kind: "seats", index, term, seats }]);
  updateProgress(state);
  transition.addEffect({ kind: "appended", token, first: { index, term } });
  broadcastAppends(transition);
}

/**
 * Returns the reason to reject a seat change. With a second uncommitted change,
 * or before the term's first commit, two leaders could count disjoint quorums.
 */
function seatChangeRejection(
  state: ConsensusState,
  change: SeatChange,
): RejectReason | undefined {
  if (state.role !== "leader") return "not_leader";
  if (hasUncommittedSeatChange(state) || !hasCommittedInTerm(state)) {
    return "change_in_progress";
  }
  if (change.kind !== "promote") return undefined;
  return isCaughtUp(state, change.replica) ? undefined : "not_caught_up";
}

function reject(
  transition: Transition,
  rejection: { token: number; reason: RejectReason },
): void {
  transition.addEffect({
    kind: "reject",
    ...rejection,
    leader: transition.state.leader,
  });
}

function handlePersisted(transition: Transition, token: number): void {
  const { state } = transition;
  state.durableWriteToken = Math.max(state.durableWriteToken, token);
  for (const pending of state.pendingPersists) {
    if (pending.token > token) continue;
    state.durableIndex = Math.max(state.durableIndex, pending.lastIndex);
  }
  state.pendingPersists = state.pendingPersists.filter((pending) =>
    pending.token > token
  );
  const released = state.deferredMessages.filter((deferred) =>
    deferred.token <= token
  );
  state.deferredMessages = state.deferredMessages.filter((deferred) =>
    deferred.token > token
  );
  for (const { message } of released) {
    transition.addEffect({ kind: "send", message });
  }
  countOwnVote(transition);
  commitDurable(transition);
}

/** Commits quorum-durable entries; steps down once removed. */
function commitDurable(transition: Transition): void {
  const { state } = transition;
  if (state.role !== "leader") return;
  transition.commit(committableIndex(state));
  if (!isSelfVoter(state) && !hasUncommittedSeatChange(state)) {
    return becomeFollower(transition, { term: state.term });
  }
  scheduleReads(transition);
}

function compactLog(state: ConsensusState, head: SnapshotHead): void {
  state.isSavingSnapshot = false;
  if (head.index <= state.snapshot.index) return;
  state.snapshot = { index: head.index, term: head.term };
  state.log.compact(head.index - state.retainedEntries);
  const current = state.seatsHistory.findLastIndex((item) =>
    item.index <= head.index
  );
  state.seatsHistory = state.seatsHistory.slice(Math.max(0, current));
}

function transferLeadership(transition: Transition): void {
  const { state } = transition;
  if (state.role !== "leader") return;
  const seats = currentSeats(state);
  const successors = [...state.progress]
    .filter(([replica]) => isVoter(seats, replica))
    .filter(([, progress]) => progress.matchIndex === state.log.last.index)
    .sort(([, left], [, right]) =>
      left.ticksSinceContact - right.ticksSinceContact
    );
  const successor = successors[0]?.[0];
  if (successor === undefined) return;
  transition.send(successor, { kind: "timeout_now", term: state.term });
}
