/**
 * Replication of the log from a leader to the other seats.
 *
 * @module
 */

import type { ReplicaId } from "rhubarbstage";
import { maxInflightAppends } from "./constants.ts";
import { allSeats, isVoter, quorumSize } from "./seats.ts";
import { currentSeats } from "./state.ts";
import type { ConsensusState, Progress } from "./state.ts";
import type { Transition } from "./turn.ts";
import type { AppendAnswer, AppendRequest, Entry, Snapshot } from "./types.ts";

export function createProgress(nextIndex: number): Progress {
  return {
    nextIndex,
    matchIndex: 0,
    mode: "probe",
    inflight: [],
    isProbing: false,
    ticksSinceContact: 0,
    round: 0,
  };
}

/** Follows the seats in force: new ones get the log, removed ones do not. */
export function updateProgress(state: ConsensusState): void {
  const seats = allSeats(currentSeats(state));
  for (const { replica } of seats) {
    if (replica === state.self || state.progress.has(replica)) continue;
    state.progress.set(replica, createProgress(state.log.last.index + 1));
  }
  for (const replica of [...state.progress.keys()]) {
    const isSeated = seats.some((seat) => seat.replica === replica);
    if (!isSeated) state.progress.delete(replica);
  }
}

/** Sends what each seat lacks, as far as its window is open. */
export function broadcastAppends(turn: Transition): void {
  for (const replica of turn.state.progress.keys()) sendAppends(turn, replica);
}

/** Sends what one seat lacks, as far as its window is open. */
export function sendAppends(turn: Transition, to: ReplicaId): void {
  const { state } = turn;
  const progress = state.progress.get(to);
  if (progress === undefined || progress.mode === "snapshot") return;
  if (progress.nextIndex <= state.log.base.index) {
    progress.mode = "snapshot";
    turn.addEffect({ kind: "send_snapshot", to, term: state.term });
    return;
  }
  if (progress.mode === "probe") {
    if (progress.isProbing) return;
    progress.isProbing = true;
    sendAppend(turn, { to, from: progress.nextIndex, isHeartbeat: false });
    return;
  }
  while (
    progress.nextIndex <= state.log.last.index &&
    progress.inflight.length < maxInflightAppends
  ) {
    const { nextIndex } = progress;
    const last = sendAppend(turn, { to, from: nextIndex, isHeartbeat: false });
    progress.nextIndex = last + 1;
    progress.inflight.push(last);
  }
}

/** Tells every seat that the leader is alive; repeats an unanswered probe. */
export function broadcastHeartbeats(turn: Transition): void {
  const { state } = turn;
  for (const [to, progress] of state.progress) {
    progress.isProbing = false;
    const isCompacted = progress.nextIndex <= state.log.base.index;
    if (progress.mode === "probe" && !isCompacted) {
      sendAppends(turn, to);
      continue;
    }
    if (isCompacted) sendAppends(turn, to);
    // Without common entries left, the heartbeat follows the empty log.
    const from = isCompacted ? 1 : progress.nextIndex;
    sendAppend(turn, { to, from, isHeartbeat: true });
  }
}

/** Sends one message and returns the index of its last entry. */
function sendAppend(
  turn: Transition,
  options: { to: ReplicaId; from: number; isHeartbeat: boolean },
): number {
  const { term, log, commitIndex, round } = turn.state;
  const { to, from, isHeartbeat } = options;
  const entries = isHeartbeat ? [] : log.batch(from);
  const previous = { index: from - 1, term: log.term(from - 1) ?? 0 };
  turn.send(to, {
    kind: "append",
    term,
    previous,
    entries,
    commitIndex,
    round,
  });
  return entries.at(-1)?.index ?? from - 1;
}

/** Takes the entries of a leader into the own log. */
export function acceptAppend(
  turn: Transition,
  append: AppendRequest & { from: ReplicaId },
): void {
  const { state } = turn;
  const { previous, entries } = append;
  const answer = (accepted: boolean, index: number): void =>
    turn.sendWhenDurable(append.from, {
      kind: "append_answer",
      term: state.term,
      accepted,
      index,
      previousIndex: previous.index,
      round: append.round,
    });
  if (previous.index < state.commitIndex && entries.length === 0) {
    answer(true, state.commitIndex);
    return;
  }
  // Entries up to the commit index are the leader's own already.
  const isKnown = previous.index <= state.commitIndex ||
    state.log.term(previous.index) === previous.term;
  if (!isKnown) {
    answer(false, retryIndex(state, previous.index));
    return;
  }
  appendNew(turn, entries);
  const lastIndex = previous.index + entries.length;
  turn.commit(Math.min(append.commitIndex, lastIndex));
  answer(true, Math.max(lastIndex, state.commitIndex));
}

function appendNew(turn: Transition, entries: readonly Entry[]): void {
  const { log, commitIndex } = turn.state;
  const first = entries.findIndex((entry) =>
    entry.index > commitIndex && log.term(entry.index) !== entry.term
  );
  const from = entries[first];
  if (from === undefined) return;
  if (from.index <= log.last.index) turn.truncate(from.index);
  turn.append(entries.slice(first));
}

/** Where the logs may meet: the end, or the start of the conflicting term. */
function retryIndex(state: ConsensusState, conflictIndex: number): number {
  const { log, commitIndex } = state;
  if (conflictIndex > log.last.index) return log.last.index + 1;
  const term = log.term(conflictIndex);
  let index = conflictIndex;
  while (index - 1 > commitIndex && log.term(index - 1) === term) index -= 1;
  return index;
}

/** Takes a snapshot of the leader in place of the own log. */
export function acceptSnapshot(
  turn: Transition,
  message: { from: ReplicaId; snapshot: Snapshot },
): void {
  const { state } = turn;
  const { snapshot } = message;
  if (snapshot.index > state.commitIndex) {
    if (state.log.term(snapshot.index) === snapshot.term) {
      turn.commit(snapshot.index);
    } else {
      turn.installSnapshot(snapshot);
    }
  }
  turn.sendWhenDurable(message.from, {
    kind: "append_answer",
    term: state.term,
    accepted: true,
    index: state.commitIndex,
    previousIndex: snapshot.index,
    round: 0,
  });
}

/** Takes the answer of a seat into its progress. */
export function acceptAppendAnswer(
  turn: Transition,
  answer: AppendAnswer & { from: ReplicaId },
): void {
  const { state } = turn;
  const progress = state.progress.get(answer.from);
  if (progress === undefined) return;
  progress.ticksSinceContact = 0;
  progress.round = Math.max(progress.round, answer.round);
  if (answer.accepted) advance(state, { progress, index: answer.index });
  else retreat(progress, answer);
  sendAppends(turn, answer.from);
}

function advance(
  state: ConsensusState,
  accepted: { progress: Progress; index: number },
): void {
  const { progress, index } = accepted;
  progress.matchIndex = Math.max(progress.matchIndex, index);
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  progress.inflight = progress.inflight.filter((last) => last > index);
  if (progress.mode === "snapshot") {
    // The snapshot or a later one has arrived when the log can follow it.
    if (progress.matchIndex < state.log.base.index) return;
  }
  progress.isProbing = false;
  progress.mode = "replicate";
}

/**
 * Goes back to where the logs may meet. The match index follows, so that a
 * replica whose torn log was truncated is sent the missing entries again.
 */
function retreat(progress: Progress, answer: AppendAnswer): void {
  if (progress.mode === "snapshot") return;
  if (answer.index > answer.previousIndex) return;
  progress.mode = "probe";
  progress.isProbing = false;
  progress.inflight = [];
  progress.nextIndex = Math.max(1, answer.index);
  progress.matchIndex = Math.min(
    progress.matchIndex,
    progress.nextIndex - 1,
  );
}

/** A snapshot transfer ended; the seat is probed at the next heartbeat. */
export function finishSnapshotTransfer(
  state: ConsensusState,
  sent: { to: ReplicaId; index: number; delivered: boolean },
): void {
  const progress = state.progress.get(sent.to);
  if (progress?.mode !== "snapshot") return;
  progress.mode = "probe";
  progress.isProbing = true;
  if (sent.delivered) progress.nextIndex = sent.index + 1;
}

/** Highest index that is durable on a quorum, of the leader's own term. */
export function committableIndex(state: ConsensusState): number {
  const seats = currentSeats(state);
  const durable = seats.voters
    .map(({ replica }) => durableIndexOf(state, replica))
    .sort((left, right) => right - left);
  const index = durable[quorumSize(seats) - 1] ?? 0;
  return state.log.term(index) === state.term ? index : 0;
}

/** Highest index known durable at a replica. */
export function durableIndexOf(
  state: ConsensusState,
  replica: ReplicaId,
): number {
  if (replica === state.self) return state.durableIndex;
  return state.progress.get(replica)?.matchIndex ?? 0;
}

/** Whether a quorum was heard within one election timeout. */
export function hasQuorumContact(state: ConsensusState): boolean {
  const seats = currentSeats(state);
  const heard = seats.voters.filter(({ replica }) =>
    replica === state.self ||
    (state.progress.get(replica)?.ticksSinceContact ?? Infinity) <=
      state.electionTicks
  );
  return heard.length >= quorumSize(seats);
}

/** Whether the leader still has a vote; one that removed itself does not. */
export function isSelfVoter(state: ConsensusState): boolean {
  return isVoter(currentSeats(state), state.self);
}
