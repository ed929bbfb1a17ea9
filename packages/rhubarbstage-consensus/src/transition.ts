/**
 * Processing of one event: its state changes and effects.
 *
 * @module
 */

import type { ReplicaId } from "rhubarbstage";
import type { ConsensusState } from "./state.ts";
import { seatsAt } from "./state.ts";
import type {
  ConsensusEffect,
  Entry,
  Message,
  MessageBody,
  Position,
  Snapshot,
} from "./types.ts";

/** Collects the state changes and effects of one event. */
export class Transition {
  readonly state: ConsensusState;
  readonly #effects: ConsensusEffect[] = [];
  readonly #messagesAfterPersist: Message[] = [];
  #isTermChanged = false;
  #firstChangedIndex: number | undefined;

  constructor(state: ConsensusState) {
    this.state = state;
  }

  addEffect(effect: ConsensusEffect): void {
    this.#effects.push(effect);
  }

  /**
   * Sends a message that commits this replica to something, such as a vote or
   * an accepted entry, once all earlier changes are durable.
   */
  sendWhenDurable(to: ReplicaId, body: MessageBody): void {
    this.#messagesAfterPersist.push({ ...body, from: this.state.self, to });
  }

  /** Sends a message at once, even while earlier changes are not durable. */
  send(to: ReplicaId, body: MessageBody): void {
    const message = { ...body, from: this.state.self, to };
    this.addEffect({ kind: "send", message });
  }

  setTermAndVote(term: number, vote: ReplicaId | undefined): void {
    this.state.term = term;
    this.state.vote = vote;
    this.#isTermChanged = true;
  }

  append(entries: readonly Entry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    const { log, seatsHistory } = this.state;
    log.append(entries);
    this.#firstChangedIndex ??= first.index;
    for (const entry of entries) {
      if (entry.kind !== "seats") continue;
      seatsHistory.push({ index: entry.index, seats: entry.seats });
    }
  }

  /** Removes the entries from an index on, which a later leader replaces. */
  truncate(from: number): void {
    const { state } = this;
    if (from <= state.commitIndex) {
      throw new Error(
        `Cannot replace entry ${from}: entries up to ${state.commitIndex} ` +
          `are committed`,
      );
    }
    state.log.truncate(from);
    state.seatsHistory = state.seatsHistory.filter((item) => item.index < from);
    lowerDurableIndex(state, from - 1);
  }

  /** Commits and applies the entries up to an index. */
  commit(index: number): void {
    const { state } = this;
    if (index <= state.commitIndex) return;
    const entries = state.log.range(state.appliedIndex + 1, index);
    state.commitIndex = index;
    state.appliedIndex = index;
    this.addEffect({ kind: "apply", entries });
  }

  /** Replaces log and state by a snapshot. */
  installSnapshot(snapshot: Snapshot): void {
    const { state } = this;
    const { index, term, seats } = snapshot;
    this.#persist();
    state.log.reset({ index, term });
    state.commitIndex = index;
    state.appliedIndex = index;
    state.snapshot = { index, term };
    state.seatsHistory = [{ index, seats }];
    lowerDurableIndex(state, 0);
    state.lastWriteToken += 1;
    const token = state.lastWriteToken;
    state.pendingPersists.push({ token, lastIndex: index });
    this.addEffect({ kind: "install_snapshot", token, snapshot });
  }

  /** Persists remaining changes and returns the event's effects. */
  finish(): readonly ConsensusEffect[] {
    this.#persist();
    // A snapshot must not reach the disk before the entries that it covers.
    this.#saveSnapshotWhenDue();
    const { state } = this;
    for (const message of this.#messagesAfterPersist) {
      if (state.durableWriteToken === state.lastWriteToken) {
        this.addEffect({ kind: "send", message });
      } else {
        state.deferredMessages.push({ token: state.lastWriteToken, message });
      }
    }
    return this.#effects;
  }

  #persist(): void {
    const { state } = this;
    const first = this.#firstChangedIndex;
    if (!this.#isTermChanged && first === undefined) return;
    state.lastWriteToken += 1;
    const token = state.lastWriteToken;
    if (this.#isTermChanged) state.termWriteToken = token;
    const { last } = state.log;
    state.pendingPersists.push({ token, lastIndex: last.index });
    this.addEffect({
      kind: "persist",
      token,
      term: state.term,
      vote: state.vote,
      entries: first === undefined ? [] : state.log.range(first, last.index),
    });
    this.#isTermChanged = false;
    this.#firstChangedIndex = undefined;
  }

  #saveSnapshotWhenDue(): void {
    const { state } = this;
    const appliedSinceSnapshot = state.appliedIndex - state.snapshot.index;
    if (
      state.isSavingSnapshot || appliedSinceSnapshot < state.snapshotEntries
    ) return;
    state.isSavingSnapshot = true;
    const position: Position = {
      index: state.appliedIndex,
      term: state.log.term(state.appliedIndex) as number,
    };
    const seats = seatsAt(state, state.appliedIndex);
    this.addEffect({ kind: "save_snapshot", head: { ...position, seats } });
  }
}

/** Stops counting entries past an index as durable after a truncation. */
function lowerDurableIndex(state: ConsensusState, index: number): void {
  state.durableIndex = Math.min(state.durableIndex, index);
  state.pendingPersists = state.pendingPersists.map((pending) => ({
    token: pending.token,
    lastIndex: Math.min(pending.lastIndex, index),
  }));
}
