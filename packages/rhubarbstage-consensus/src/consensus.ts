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
import { Transition } from "./turn.ts";
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
    const turn = new Transition(state);
    handle(turn, event);
    return turn.finish();
  }
}

function handle(turn: Transition, event: ConsensusEvent): void {
  switch (event.kind) {
    case "tick":
      return tick(turn);
    case "message":
      return receive(turn, event.message);
    case "propose":
      return propose(turn, event);
    case "read":
      if (turn.state.role === "leader") return startRead(turn, event.token);
      return reject(turn, { token: event.token, reason: "not_leader" });
    case "change_seats":
      return proposeSeats(turn, event);
    case "persisted":
      return takePersisted(turn, event.token);
    case "snapshot_saved":
      turn.state.snapshotEntries = event.nextSnapshotEntries ??
        turn.state.snapshotEntries;
      return compact(turn.state, event.head);
    case "snapshot_sent":
      return finishSnapshotTransfer(turn.state, event);
    case "transfer":
      return transfer(turn);
  }
}

function tick(turn: Transition): void {
  const { state } = turn;
  state.ticks += 1;
  if (state.role === "leader") return tickLeader(turn);
  state.ticksSinceLeaderContact += 1;
  state.ticksUntilElection -= 1;
  if (state.ticksUntilElection <= 0) startPreVote(turn);
}

function tickLeader(turn: Transition): void {
  const { state } = turn;
  for (const progress of state.progress.values()) {
    progress.ticksSinceContact += 1;
  }
  if (!hasQuorumContact(state)) {
    return becomeFollower(turn, { term: state.term });
  }
  // Groups that tick together send their heartbeats in one message.
  if (state.ticks % state.heartbeatTicks !== 0) return;
  // A lost round must not hold up the reads that wait for the next one.
  const { round } = state;
  startNextReadRound(turn);
  if (state.round === round) broadcastHeartbeats(turn);
}

function receive(turn: Transition, message: Message): void {
  const { state } = turn;
  if (message.to !== state.self) return;
  if (message.kind === "pre_vote") return answerPreVote(turn, message);
  const isGrantedPreVote = message.kind === "pre_vote_answer" &&
    message.granted;
  if (message.term > state.term && !isGrantedPreVote) {
    becomeFollower(turn, { term: message.term });
  }
  if (message.term < state.term) return refuseOldTerm(turn, message);
  switch (message.kind) {
    case "vote":
      return answerVote(turn, message);
    case "pre_vote_answer":
    case "vote_answer":
      return countVote(turn, message);
    case "append":
      followLeader(turn, message.from);
      return acceptAppend(turn, message);
    case "snapshot":
      followLeader(turn, message.from);
      return acceptSnapshot(turn, message);
    case "append_answer":
      if (state.role !== "leader") return;
      acceptAppendAnswer(turn, message);
      commitDurable(turn);
      return answerConfirmedReads(turn);
    case "timeout_now":
      if (state.role === "follower") startElection(turn);
  }
}

/** Tells a leader or candidate of an old term which term it missed. */
function refuseOldTerm(turn: Transition, message: Message): void {
  const { term } = turn.state;
  if (message.kind === "vote") {
    turn.sendWhenDurable(message.from, {
      kind: "vote_answer",
      term,
      granted: false,
    });
  }
  if (message.kind !== "append" && message.kind !== "snapshot") return;
  turn.sendWhenDurable(message.from, {
    kind: "append_answer",
    term,
    accepted: false,
    index: 0,
    previousIndex: 0,
    round: 0,
  });
}

function followLeader(turn: Transition, leader: ReplicaId): void {
  const { state } = turn;
  if (state.role !== "follower" || state.leader !== leader) {
    becomeFollower(turn, { term: state.term, leader });
  }
  state.ticksSinceLeaderContact = 0;
  resetElectionTimeout(state);
}

function propose(
  turn: Transition,
  proposal: { token: number; commands: readonly Uint8Array[] },
): void {
  const { state } = turn;
  const { token, commands } = proposal;
  if (state.role !== "leader") {
    return reject(turn, { token, reason: "not_leader" });
  }
  const { term, log } = state;
  const first = { index: log.last.index + 1, term };
  turn.append(commands.map((data, offset): Entry => ({
    kind: "command",
    index: first.index + offset,
    term,
    data,
  })));
  turn.addEffect({ kind: "appended", token, first });
  broadcastAppends(turn);
}

function proposeSeats(
  turn: Transition,
  proposal: { token: number; change: SeatChange },
): void {
  const { state } = turn;
  const { token, change } = proposal;
  const reason = refuseSeatChange(state, change);
  if (reason !== undefined) return reject(turn, { token, reason });
  const seats = changeSeats(currentSeats(state), change);
  if (typeof seats === "string") return reject(turn, { token, reason: seats });
  const { term } = state;
  const index = state.log.last.index + 1;
  turn.append([{ kind: "seats", index, term, seats }]);
  updateProgress(state);
  turn.addEffect({ kind: "appended", token, first: { index, term } });
  broadcastAppends(turn);
}

/**
 * Only one change may be uncommitted, and only after an entry of the own term
 * is committed; otherwise two leaders could count disjoint quorums.
 */
function refuseSeatChange(
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
  turn: Transition,
  refused: { token: number; reason: RejectReason },
): void {
  turn.addEffect({ kind: "reject", ...refused, leader: turn.state.leader });
}

function takePersisted(turn: Transition, token: number): void {
  const { state } = turn;
  state.durableToken = Math.max(state.durableToken, token);
  for (const pending of state.pendingPersists) {
    if (pending.token > token) continue;
    state.durableIndex = Math.max(state.durableIndex, pending.lastIndex);
  }
  state.pendingPersists = state.pendingPersists.filter((pending) =>
    pending.token > token
  );
  const free = state.deferredMessages.filter((held) => held.token <= token);
  state.deferredMessages = state.deferredMessages.filter((held) =>
    held.token > token
  );
  for (const { message } of free) turn.addEffect({ kind: "send", message });
  countOwnVote(turn);
  commitDurable(turn);
}

/** Commits what is durable on a quorum. */
function commitDurable(turn: Transition): void {
  const { state } = turn;
  if (state.role !== "leader") return;
  turn.commit(committableIndex(state));
  if (!isSelfVoter(state) && !hasUncommittedSeatChange(state)) {
    return becomeFollower(turn, { term: state.term });
  }
  scheduleReads(turn);
}

function compact(state: ConsensusState, head: SnapshotHead): void {
  state.isSavingSnapshot = false;
  if (head.index <= state.snapshot.index) return;
  state.snapshot = { index: head.index, term: head.term };
  state.log.compact(head.index - state.retainedEntries);
  const current = state.seatsHistory.findLastIndex((item) =>
    item.index <= head.index
  );
  state.seatsHistory = state.seatsHistory.slice(Math.max(0, current));
}

function transfer(turn: Transition): void {
  const { state } = turn;
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
  turn.send(successor, { kind: "timeout_now", term: state.term });
}
