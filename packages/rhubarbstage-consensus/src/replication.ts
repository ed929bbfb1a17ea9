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
import type { Transition } from "./transition.ts";
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

/** Starts tracking new seats and stops tracking removed ones. */
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

/** Sends missing entries to every seat, within its in-flight limit. */
export function broadcastAppends(transition: Transition): void {
  for (const replica of transition.state.progress.keys()) {
    sendAppends(transition, replica);
  }
}

/** Sends missing entries to one seat, within its in-flight limit. */
export function sendAppends(transition: Transition, to: ReplicaId): void {
  const { state } = transition;
  const progress = state.progress.get(to);
  if (progress === undefined || progress.mode === "snapshot") return;
  if (progress.nextIndex <= state.log.base.index) {
    progress.mode = "snapshot";
    transition.addEffect({ kind: "send_snapshot", to, term: state.term });
    return;
  }
  if (progress.mode === "probe") {
    if (progress.isProbing) return;
    progress.isProbing = true;
    sendAppend(transition, {
      to,
      from: progress.nextIndex,
      isHeartbeat: false,
    });
    return;
  }
  while (
    progress.nextIndex <= state.log.last.index &&
    progress.inflight.length < maxInflightAppends
  ) {
    const { nextIndex } = progress;
    const last = sendAppend(transition, {
      to,
      from: nextIndex,
      isHeartbeat: false,
    });
    progress.nextIndex = last + 1;
    progress.inflight.push(last);
  }
}

/**
 * Sends each seat a heartbeat, or in probe mode a probe even if one is
 * unanswered.
 */
export function broadcastHeartbeats(transition: Transition): void {
  const { state } = transition;
  for (const [to, progress] of state.progress) {
    progress.isProbing = false;
    const isCompacted = progress.nextIndex <= state.log.base.index;
    if (progress.mode === "probe" && !isCompacted) {
      sendAppends(transition, to);
      continue;
    }
    if (isCompacted) sendAppends(transition, to);
    // The position before the next entry is compacted; index 0 precedes every
    // log, so the receiver accepts the heartbeat.
    const from = isCompacted ? 1 : progress.nextIndex;
    sendAppend(transition, { to, from, isHeartbeat: true });
  }
}

/** Sends one message and returns the index of its last entry. */
function sendAppend(
  transition: Transition,
  options: { to: ReplicaId; from: number; isHeartbeat: boolean },
): number {
  const { term, log, commitIndex, round } = transition.state;
  const { to, from, isHeartbeat } = options;
  const entries = isHeartbeat ? [] : log.batch(from);
  const previous = { index: from - 1, term: log.term(from - 1) ?? 0 };
  transition.send(to, {
    kind: "append",
    term,
    previous,
    entries,
    commitIndex,
    round,
  });
  return entries.at(-1)?.index ?? from - 1;
}

/** Appends a leader's entries to this replica's log. */
export function acceptAppend(
  transition: Transition,
  append: AppendRequest & { from: ReplicaId },
): void {
  const { state } = transition;
  const { previous, entries } = append;
  const answer = (accepted: boolean, index: number): void =>
    transition.sendWhenDurable(append.from, {
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
  // Entries up to the commit index already match the leader's log.
  const isPreviousMatched = previous.index <= state.commitIndex ||
    state.log.term(previous.index) === previous.term;
  if (!isPreviousMatched) {
    answer(false, retryIndex(state, previous.index));
    return;
  }
  appendNewEntries(transition, entries);
  const lastIndex = previous.index + entries.length;
  transition.commit(Math.min(append.commitIndex, lastIndex));
  answer(true, Math.max(lastIndex, state.commitIndex));
}

function appendNewEntries(
  transition: Transition,
  entries: readonly Entry[],
): void {
  const { log, commitIndex } = transition.state;
  const first = entries.findIndex((entry) =>
    entry.index > commitIndex && log.term(entry.index) !== entry.term
  );
  const from = entries[first];
  if (from === undefined) return;
  if (from.index <= log.last.index) transition.truncate(from.index);
  transition.append(entries.slice(first));
}

/**
 * Returns the next index to send: after this log, or the conflicting term's
 * first uncommitted one.
 */
function retryIndex(state: ConsensusState, conflictIndex: number): number {
  const { log, commitIndex } = state;
  if (conflictIndex > log.last.index) return log.last.index + 1;
  const term = log.term(conflictIndex);
  let index = conflictIndex;
  while (index - 1 > commitIndex && log.term(index - 1) === term) index -= 1;
  return index;
}

/** Replaces this replica's log with the leader's snapshot. */
export function acceptSnapshot(
  transition: Transition,
  message: { from: ReplicaId; snapshot: Snapshot },
): void {
  const { state } = transition;
  const { snapshot } = message;
  if (snapshot.index > state.commitIndex) {
    if (state.log.term(snapshot.index) === snapshot.term) {
      transition.commit(snapshot.index);
    } else {
      transition.installSnapshot(snapshot);
    }
  }
  transition.sendWhenDurable(message.from, {
    kind: "append_answer",
    term: state.term,
    accepted: true,
    index: state.commitIndex,
    previousIndex: snapshot.index,
    round: 0,
  });
}

/** Updates the progress of a seat from its answer. */
export function acceptAppendAnswer(
  transition: Transition,
  answer: AppendAnswer & { from: ReplicaId },
): void {
  const { state } = transition;
  const progress = state.progress.get(answer.from);
  if (progress === undefined) return;
  progress.ticksSinceContact = 0;
  progress.round = Math.max(progress.round, answer.round);
  if (answer.accepted) advance(state, { progress, index: answer.index });
  else backtrack(progress, answer);
  sendAppends(transition, answer.from);
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
    // A snapshot has arrived once the retained log can continue after it.
    if (progress.matchIndex < state.log.base.index) return;
  }
  progress.isProbing = false;
  progress.mode = "replicate";
}

/**
 * Moves back to where the logs may match. The match index is lowered too, so
 * that a replica whose torn log was truncated receives the missing entries
 * again.
 */
function backtrack(progress: Progress, answer: AppendAnswer): void {
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

/** Ends a snapshot transfer; the next heartbeat probes the seat. */
export function finishSnapshotTransfer(
  state: ConsensusState,
  transfer: { to: ReplicaId; index: number; delivered: boolean },
): void {
  const progress = state.progress.get(transfer.to);
  if (progress?.mode !== "snapshot") return;
  progress.mode = "probe";
  progress.isProbing = true;
  if (transfer.delivered) progress.nextIndex = transfer.index + 1;
}

/** Returns the highest index durable on a quorum; 0 if of an earlier term. */
export function committableIndex(state: ConsensusState): number {
  const seats = currentSeats(state);
  const durable = seats.voters
    .map(({ replica }) => durableIndexOf(state, replica))
    .sort((left, right) => right - left);
  const index = durable[quorumSize(seats) - 1] ?? 0;
  return state.log.term(index) === state.term ? index : 0;
}

/** Returns the highest index known to be durable on a replica. */
export function durableIndexOf(
  state: ConsensusState,
  replica: ReplicaId,
): number {
  if (replica === state.self) return state.durableIndex;
  return state.progress.get(replica)?.matchIndex ?? 0;
}

/** Reports whether a quorum answered within the minimum election timeout. */
export function hasQuorumContact(state: ConsensusState): boolean {
  const seats = currentSeats(state);
  const reachable = seats.voters.filter(({ replica }) =>
    replica === state.self ||
    (state.progress.get(replica)?.ticksSinceContact ?? Infinity) <=
      state.electionTicks
  );
  return reachable.length >= quorumSize(seats);
}

/** Reports whether the leader is still a voter; it may have removed itself. */
export function isSelfVoter(state: ConsensusState): boolean {
  return isVoter(currentSeats(state), state.self);
}
