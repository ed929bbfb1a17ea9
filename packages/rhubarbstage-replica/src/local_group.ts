/**
 * Replica of one group on a host with a data folder.
 *
 * @module
 */

import { RhubarbstageError, toRhubarbstageError } from "rhubarbstage";
import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import {
  allSeats,
  bootstrapPosition,
  Consensus,
  currentSeats,
  defaultSnapshotEntries,
  durableIndexOf,
  hasCommittedInTerm,
  isLearner,
  isVoter,
} from "@rhubarbstage/consensus";
import type {
  ConsensusEffect,
  ConsensusEvent,
  ConsensusState,
  DurableState,
  Entry,
  Message,
  Seats,
  Snapshot,
  SnapshotHead,
} from "@rhubarbstage/consensus";
import { isDiskRefusal } from "@rhubarbstage/storage";
import type {
  DurableLog,
  LoadedLog,
  SnapshotRecord,
} from "@rhubarbstage/storage";
import { decode, encode } from "@rhubarbstage/transport";
import type { Transport } from "@rhubarbstage/transport";
import { entryToRecord, recordToEntry } from "./codec.ts";
import { maxCommandBytes, maxPendingProposals } from "./constants.ts";
import type { ForwardedAnswer, ForwardedCall } from "./forward.ts";
import { GroupClient } from "./group_client.ts";
import { GroupReplica } from "./group_replica.ts";
import { Listeners } from "./listeners.ts";
import { PendingCalls } from "./pending_calls.ts";
import type { GroupCallOptions } from "./replicated_group.ts";
import type {
  AppliedCommand,
  GroupDefinition,
  GroupStatus,
  Leadership,
  Query,
} from "./types.ts";

/** Options of a {@linkcode LocalGroup}, set by the replica that runs it. */
export interface LocalGroupOptions<State, Command, Result> {
  readonly name: GroupName;
  readonly self: ReplicaId;
  readonly definition: GroupDefinition<State, Command, Result>;
  readonly log: DurableLog;
  readonly transport: Transport;
  readonly seed: number;
  readonly heartbeatTicks?: number;
  readonly electionTicks?: number;
  readonly snapshotEntries?: number;
  readonly send: (message: Message) => void;
  readonly sendSnapshot: (
    transfer: { to: ReplicaId; term: number; snapshot: SnapshotRecord },
  ) => Promise<boolean>;
  readonly onFailure: (error: Error) => void;
}

/** Runs the consensus reducer of one group and applies committed commands. */
export class LocalGroup<State, Command, Result>
  extends GroupReplica<State, Command, Result> {
  readonly name: GroupName;
  readonly #options: LocalGroupOptions<State, Command, Result>;
  readonly #log: DurableLog;
  readonly #client: GroupClient<Command, Result>;
  readonly #calls = new PendingCalls();
  readonly #appliedListeners = new Listeners<AppliedCommand<Command, Result>>();
  readonly #restoredListeners = new Listeners<void>();
  readonly #leadershipListeners = new Listeners<Leadership>();
  readonly #events: ConsensusEvent[] = [];
  #reducer: Consensus;
  #consensus: ConsensusState;
  #state: State;
  #leadership: Leadership;
  #isStepping = false;
  #isFlushScheduled = false;
  #stopError: RhubarbstageError | undefined;

  constructor(options: LocalGroupOptions<State, Command, Result>) {
    super();
    this.#options = options;
    this.name = options.name;
    this.#log = options.log;
    const loaded = options.log.consumeLoadedLog();
    this.#state = this.#restoreState(loaded.snapshot);
    this.#reducer = this.#createReducer(durableState(loaded));
    this.#consensus = this.#reducer.initial();
    this.#leadership = this.#readLeadership();
    this.#client = new GroupClient({
      transport: options.transport,
      group: options.name,
      hosts: () => this.#hostsToCall(),
      handleLocally: (call, signal) => this.handleCall(call, signal),
    });
  }

  override get state(): State {
    return this.#state;
  }

  override get appliedIndex(): number {
    return this.#consensus.appliedIndex;
  }

  /** Whether the group has no log entry and no term. */
  get isEmpty(): boolean {
    return this.#consensus.log.last.index === 0 && this.#consensus.term === 0;
  }

  override propose(
    command: Command,
    options: GroupCallOptions = {},
  ): Promise<Result> {
    return this.#client.propose(command, options);
  }

  override query<Answer>(
    name: string,
    argument: unknown,
    options: GroupCallOptions = {},
  ): Promise<Answer> {
    return this.#client.query<Answer>(name, argument, options);
  }

  override queryUncommitted<Answer>(
    name: string,
    argument: unknown,
    options: GroupCallOptions = {},
  ): Promise<readonly Answer[]> {
    return this.#client.queryUncommitted<Answer>(name, argument, options);
  }

  override leadership(): Leadership {
    return this.#leadership;
  }

  override async confirmLeadership(
    options: GroupCallOptions = {},
  ): Promise<number> {
    return await this.#calls.withTimeout(options, async (signal) => {
      const read = await this.#read(signal);
      if (read === undefined) throw new RhubarbstageError("no_quorum");
      return read.term;
    });
  }

  override onLeadership(
    listener: (leadership: Leadership) => void,
    options: { signal?: AbortSignal } = {},
  ): void {
    this.#leadershipListeners.add(listener, options);
  }

  override onApplied(
    listener: (applied: AppliedCommand<Command, Result>) => void,
    options: { signal?: AbortSignal; onRestored?: () => void } = {},
  ): void {
    this.#appliedListeners.add(listener, options);
    if (options.onRestored === undefined) return;
    this.#restoredListeners.add(options.onRestored, options);
  }

  /** Handles a call locally; all but `stored` require leadership. */
  async handleCall(
    call: ForwardedCall,
    signal: AbortSignal,
  ): Promise<ForwardedAnswer> {
    if (this.#stopError !== undefined) throw this.#stopError;
    if (call.kind === "stored") {
      const query = this.#findQuery(call.name);
      const value = query(this.#uncommittedState(), decode(call.argument));
      return { kind: "done", value: copy(value) };
    }
    if (this.#consensus.role !== "leader") return this.#notLeader();
    switch (call.kind) {
      case "propose":
        return await this.#propose(call.command, signal);
      case "query": {
        const query = this.#findQuery(call.name);
        if (await this.#read(signal) === undefined) return this.#notLeader();
        const value = query(this.#state, decode(call.argument));
        return { kind: "done", value: copy(value) };
      }
      case "status":
        if (await this.#read(signal) === undefined) return this.#notLeader();
        return { kind: "done", value: this.status() };
      case "change_seats": {
        const { change } = call;
        const token = this.#calls.nextToken();
        const answer = this.#calls.waitForSeatChange(token, signal);
        this.step({ kind: "change_seats", token, change });
        return await answer;
      }
    }
  }

  status(): GroupStatus {
    const state = this.#consensus;
    const seats = currentSeats(state);
    const isLeader = state.role === "leader";
    const { self } = this.#options;
    return {
      group: this.name,
      role: isVoter(seats, self)
        ? state.role === "pre_candidate" ? "candidate" : state.role
        : isLearner(seats, self)
        ? "learner"
        : "none",
      term: state.term,
      leader: this.#leadership.leader,
      commitIndex: state.commitIndex,
      appliedIndex: state.appliedIndex,
      lastIndex: state.log.last.index,
      snapshotIndex: state.snapshot.index,
      logBytes: this.#log.bytes,
      seats: allSeats(seats).map(({ replica, host }) => ({
        replica,
        host,
        role: isVoter(seats, replica) ? "voter" : "learner",
        durableIndex: isLeader || replica === self
          ? durableIndexOf(state, replica)
          : undefined,
      })),
    };
  }

  /** Returns the host of a replica, if it is among the current seats. */
  hostOf(replica: ReplicaId): HostId | undefined {
    return allSeats(currentSeats(this.#consensus))
      .find((seat) => seat.replica === replica)?.host;
  }

  /** Writes the first entry of a bootstrapped group; no-op if there is one. */
  async bootstrap(seats: Seats): Promise<void> {
    if (this.#consensus.log.last.index > 0) return;
    const entry: Entry = { kind: "seats", ...bootstrapPosition, seats };
    const hardState = { term: bootstrapPosition.term, vote: undefined };
    await this.#log.append(hardState, [entryToRecord(entry)]);
    this.#reducer = this.#createReducer({
      ...hardState,
      snapshot: undefined,
      base: { index: 0, term: 0 },
      entries: [entry],
    });
    this.#consensus = this.#reducer.initial();
  }

  /** Steps one tick, or up to `count` on a leader to catch up after a pause. */
  tick(count: number): void {
    const isLeader = this.#consensus.role === "leader";
    const ticks = isLeader
      ? Math.min(count, this.#consensus.electionTicks + 1)
      : 1;
    for (let tick = 0; tick < ticks; tick += 1) this.step({ kind: "tick" });
  }

  /** Processes an event; events raised meanwhile are queued behind it. */
  step(event: ConsensusEvent): void {
    if (this.#stopError !== undefined) return;
    this.#events.push(event);
    if (this.#isStepping) return;
    this.#isStepping = true;
    try {
      let next = this.#events.shift();
      while (next !== undefined && this.#stopError === undefined) {
        const effects = this.#reducer.reduce(this.#consensus, next);
        for (const effect of effects) this.#runEffect(effect);
        this.#updateLeadership();
        next = this.#events.shift();
      }
    } catch (thrown) {
      this.#fail(thrown);
    } finally {
      this.#isStepping = false;
    }
  }

  /** Transfers leadership, if this replica leads and a successor is ready. */
  transferLeadership(): void {
    this.step({ kind: "transfer" });
  }

  /**
   * Rejects pending calls with `no_quorum` (`may_have_run`), later ones with
   * `shutting_down`.
   */
  stop(): void {
    this.#stopWith(new RhubarbstageError("shutting_down"));
  }

  #findQuery(name: string): Query<State> {
    const query = this.#options.definition.queries?.[name];
    if (query !== undefined) return query;
    throw new RhubarbstageError("not_found", {
      message: `Group "${this.name}" has no query "${name}"`,
    });
  }

  /**
   * Returns the state as if all stored entries were committed. After a restart
   * the commit index is unknown until there is a leader.
   */
  #uncommittedState(): State {
    const { log, appliedIndex } = this.#consensus;
    const from = appliedIndex + 1;
    if (log.last.index < from) return this.#state;
    const { stateMachine } = this.#options.definition;
    const state = stateMachine.restore(
      copy(stateMachine.snapshot(this.#state)),
    );
    for (const entry of log.range(from, log.last.index)) {
      if (entry.kind !== "command") continue;
      stateMachine.apply(state, decode(entry.data) as Command, entry.index);
    }
    return state;
  }

  async #propose(
    command: Uint8Array,
    signal: AbortSignal,
  ): Promise<ForwardedAnswer> {
    if (command.length > maxCommandBytes) {
      throw new RhubarbstageError("body_too_large");
    }
    if (this.#calls.proposalCount >= maxPendingProposals) {
      throw new RhubarbstageError("overloaded", { retryAfterSeconds: 1 });
    }
    const answer = this.#calls.addProposal(command, signal);
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true;
      // Proposals of one turn of the event loop share a write.
      setImmediate(() => this.#flushProposals());
    }
    return await answer;
  }

  #flushProposals(): void {
    this.#isFlushScheduled = false;
    const batch = this.#calls.nextProposalBatch();
    if (batch === undefined) return;
    const { token, commands } = batch;
    this.step({ kind: "propose", token, commands });
  }

  /** Returns the term of a confirmed read, or undefined if not the leader. */
  async #read(
    signal: AbortSignal,
  ): Promise<{ term: number } | undefined> {
    if (this.#stopError !== undefined) throw this.#stopError;
    const token = this.#calls.nextToken();
    const answer = this.#calls.waitForRead(token, signal);
    this.step({ kind: "read", token });
    return await answer;
  }

  #runEffect(effect: ConsensusEffect): void {
    switch (effect.kind) {
      case "persist": {
        const { token, term, vote, entries } = effect;
        const records = entries.map(entryToRecord);
        const written = this.#log.append({ term, vote }, records);
        return this.#stepAfterWrite(
          written,
          () => ({ kind: "persisted", token }),
        );
      }
      case "send":
        return this.#options.send(effect.message);
      case "apply":
        for (const entry of effect.entries) this.#apply(entry);
        return;
      case "appended":
        return this.#calls.markAppended(effect.token, effect.first);
      case "answer_read":
        return this.#calls.resolveRead(effect.token, { term: effect.term });
      case "reject":
        return this.#rejectCall(effect);
      case "save_snapshot":
        return this.#saveSnapshot(effect.head);
      case "install_snapshot":
        return this.#installSnapshot(effect.token, effect.snapshot);
      case "send_snapshot":
        return void this.#sendSnapshot(effect);
    }
  }

  /** Steps an event after a durable write; a failure stops the group. */
  #stepAfterWrite(written: Promise<void>, next: () => ConsensusEvent): void {
    written.then(
      () => this.step(next()),
      (thrown) => this.#fail(thrown),
    );
  }

  #apply(entry: Entry): void {
    if (entry.kind !== "command") {
      this.#calls.resolveApplied(
        entry,
        () => ({ kind: "done", value: "committed" }),
      );
      return;
    }
    const { index, term } = entry;
    const { stateMachine } = this.#options.definition;
    const command = decode(entry.data) as Command;
    let result: Result | undefined;
    let error: RhubarbstageError | undefined;
    try {
      result = stateMachine.apply(this.#state, command, index);
    } catch (thrown) {
      error = toRhubarbstageError(thrown);
    }
    this.#calls.resolveApplied(entry, () => {
      if (error !== undefined) throw error;
      return { kind: "done", value: copy(result) };
    });
    this.#appliedListeners.emit({ index, term, command, result });
  }

  #rejectCall(effect: Extract<ConsensusEffect, { kind: "reject" }>): void {
    const { token, reason } = effect;
    if (this.#calls.isRead(token)) {
      return this.#calls.resolveRead(token, undefined);
    }
    const answer: ForwardedAnswer = reason === "not_leader"
      ? this.#notLeader()
      : { kind: "done", value: reason };
    this.#calls.resolveRejected(token, answer);
  }

  #saveSnapshot(head: SnapshotHead): void {
    const { stateMachine } = this.#options.definition;
    const data = encode(stateMachine.snapshot(this.#state));
    const compactTo = head.index - this.#consensus.retainedEntries;
    const nextEntries = this.#snapshotInterval(data.length);
    const saved = this.#log.saveSnapshot({ ...head, data }, { compactTo });
    this.#stepAfterWrite(
      saved,
      () => ({
        kind: "snapshot_saved",
        head,
        nextSnapshotEntries: nextEntries,
      }),
    );
  }

  /**
   * Returns the entries until the next snapshot; at their mean size, they fill
   * at least this one.
   */
  #snapshotInterval(snapshotBytes: number): number {
    const { log } = this.#consensus;
    const entries = log.last.index - log.base.index;
    const entryBytes = this.#log.bytes / Math.max(1, entries);
    const { snapshotEntries = defaultSnapshotEntries } = this.#options;
    return Math.max(snapshotEntries, Math.ceil(snapshotBytes / entryBytes));
  }

  #installSnapshot(token: number, snapshot: Snapshot): void {
    const { index, term, seats, data } = snapshot;
    const record = { index, term, seats, data };
    this.#state = this.#restoreState(record);
    this.#calls.rejectCoveredBySnapshot(index);
    const installed = this.#log.installSnapshot(record);
    this.#stepAfterWrite(installed, () => ({ kind: "persisted", token }));
    this.#restoredListeners.emit();
  }

  async #sendSnapshot(
    effect: { to: ReplicaId; term: number },
  ): Promise<void> {
    const { to, term } = effect;
    let index = 0;
    let delivered = false;
    try {
      const snapshot = await this.#log.readSnapshot();
      if (snapshot !== undefined) {
        index = snapshot.index;
        const transfer = { to, term, snapshot };
        delivered = await this.#options.sendSnapshot(transfer);
      }
    } catch (thrown) {
      if (!isDiskRefusal(thrown)) return this.#fail(thrown);
      // Sent again later, as if it had been lost on its way.
    }
    this.step({ kind: "snapshot_sent", to, index, delivered });
  }

  #restoreState(snapshot: SnapshotRecord | undefined): State {
    const { stateMachine } = this.#options.definition;
    if (snapshot === undefined) return stateMachine.initial();
    return stateMachine.restore(decode(snapshot.data));
  }

  #createReducer(durable: DurableState): Consensus {
    const { self, seed, heartbeatTicks, electionTicks, snapshotEntries } =
      this.#options;
    return new Consensus({
      self,
      durable,
      seed,
      ...(heartbeatTicks === undefined ? {} : { heartbeatTicks }),
      ...(electionTicks === undefined ? {} : { electionTicks }),
      ...(snapshotEntries === undefined ? {} : { snapshotEntries }),
    });
  }

  #hostsToCall(): readonly HostId[] {
    const localHost = this.#options.transport.host;
    const { leader } = this.#leadership;
    const voters = currentSeats(this.#consensus).voters.map((seat) =>
      seat.host
    );
    const first = leader === undefined ? [localHost] : [leader, localHost];
    return [...new Set([...first, ...voters])];
  }

  #notLeader(): ForwardedAnswer {
    const { leader } = this.#leadership;
    const localHost = this.#options.transport.host;
    return {
      kind: "not_leader",
      leader: leader === undefined || leader === localHost ? null : leader,
    };
  }

  #readLeadership(): Leadership {
    const state = this.#consensus;
    return {
      group: this.name,
      term: state.term,
      leader: state.leader === undefined
        ? undefined
        : this.hostOf(state.leader),
      isLeader: hasCommittedInTerm(state),
    };
  }

  #updateLeadership(): void {
    const next = this.#readLeadership();
    const { term, leader, isLeader } = this.#leadership;
    const isSame = next.term === term && next.leader === leader &&
      next.isLeader === isLeader;
    if (isSame) return;
    this.#leadership = next;
    this.#leadershipListeners.emit(next);
  }

  #fail(thrown: unknown): void {
    if (this.#stopError !== undefined) return;
    const error = thrown instanceof Error ? thrown : new Error(String(thrown));
    this.#stopWith(new RhubarbstageError("internal", { cause: error }));
    this.#options.onFailure(error);
  }

  #stopWith(error: RhubarbstageError): void {
    if (this.#stopError !== undefined) return;
    this.#stopError = error;
    this.#calls.rejectAll(
      new RhubarbstageError("no_quorum", {
        outcome: "may_have_run",
        cause: error,
      }),
    );
    const { group, term } = this.#leadership;
    this.#leadership = { group, term, leader: undefined, isLeader: false };
    this.#leadershipListeners.emit(this.#leadership);
  }
}

function durableState(loaded: LoadedLog): DurableState {
  const { hardState, snapshot, base, records } = loaded;
  return {
    ...hardState,
    snapshot: snapshot === undefined ? undefined : {
      index: snapshot.index,
      term: snapshot.term,
      seats: snapshot.seats as Seats,
    },
    base,
    entries: records.map(recordToEntry),
  };
}

/** Copies a result, because it must not share memory with the state. */
function copy(value: unknown): unknown {
  if (typeof value !== "object" || value === null) return value;
  return decode(encode(value));
}
