/**
 * State of one replica of a replicated log.
 *
 * @module
 */

import { SeededRandom } from "rhubarbstage";
import type { ReplicaId } from "rhubarbstage";
import {
  defaultElectionTicks,
  defaultHeartbeatTicks,
  defaultRetainedEntries,
  defaultSnapshotEntries,
} from "./constants.ts";
import { MemoryLog } from "./memory_log.ts";
import { noSeats } from "./seats.ts";
import type {
  ConsensusOptions,
  Entry,
  Message,
  Position,
  Role,
  Seats,
  SnapshotHead,
} from "./types.ts";

/** The leader's view of another replica's replication progress. */
export interface Progress {
  nextIndex: number;
  /** Highest index known to be durable on the replica. */
  matchIndex: number;
  /**
   * `probe` sends one message at a time until the logs match, `replicate`
   * pipelines messages, `snapshot` waits for a snapshot to arrive.
   */
  mode: "probe" | "replicate" | "snapshot";
  /** Last indexes of unanswered messages with entries. */
  inflight: number[];
  /** Whether a probe is unanswered; each heartbeat clears it. */
  isProbing: boolean;
  ticksSinceContact: number;
  /** Highest round that was answered in this term. */
  round: number;
}

/** A read that waits for its quorum round, or for the term's first commit. */
export interface PendingRead {
  readonly token: number;
  /** Undefined until the leader has committed an entry of its term. */
  index: number | undefined;
  round: number;
}

/** Effect that is not on disk yet. */
export interface PendingPersist {
  readonly token: number;
  /** Durable index of the log once it is done; lowered by truncation. */
  lastIndex: number;
}

/** Seats as of an entry of the log. */
export interface IndexedSeats {
  readonly index: number;
  readonly seats: Seats;
}

/** State of one replica; changed in place by the reducer only. */
export interface ConsensusState {
  readonly self: ReplicaId;
  readonly heartbeatTicks: number;
  readonly electionTicks: number;
  snapshotEntries: number;
  readonly retainedEntries: number;
  readonly random: SeededRandom;
  role: Role;
  term: number;
  vote: ReplicaId | undefined;
  leader: ReplicaId | undefined;
  readonly log: MemoryLog;
  commitIndex: number;
  appliedIndex: number;
  snapshot: Position;
  isSavingSnapshot: boolean;
  /** Seats by log index, oldest first; the last one is in force. */
  seatsHistory: IndexedSeats[];
  ticksSinceLeaderContact: number;
  ticksUntilElection: number;
  /** Ticks since the start of the process. */
  ticks: number;
  votes: Map<ReplicaId, boolean>;
  progress: Map<ReplicaId, Progress>;
  /** Index of the empty entry of the leader's term, while leading. */
  termStartIndex: number;
  /** Quorum rounds started since the start of the process. */
  round: number;
  confirmedRound: number;
  reads: PendingRead[];
  lastWriteToken: number;
  /** Token of the last effect that changed term or vote. */
  termWriteToken: number;
  durableWriteToken: number;
  durableIndex: number;
  pendingPersists: PendingPersist[];
  /** Messages to send once the write with a token is durable. */
  deferredMessages: { token: number; message: Message }[];
}

/** Restores the state of a replica from its disk. */
export function restoreState(options: ConsensusOptions): ConsensusState {
  const { durable } = options;
  const electionTicks = options.electionTicks ?? defaultElectionTicks;
  const random = new SeededRandom(options.seed);
  const snapshotIndex = durable.snapshot?.index ?? 0;
  const log = new MemoryLog(durable.base, durable.entries);
  return {
    self: options.self,
    heartbeatTicks: options.heartbeatTicks ?? defaultHeartbeatTicks,
    electionTicks,
    snapshotEntries: options.snapshotEntries ?? defaultSnapshotEntries,
    retainedEntries: options.retainedEntries ?? defaultRetainedEntries,
    random,
    role: "follower",
    term: durable.term,
    vote: durable.vote,
    leader: undefined,
    log,
    commitIndex: snapshotIndex,
    appliedIndex: snapshotIndex,
    snapshot: durable.snapshot ?? { index: 0, term: 0 },
    isSavingSnapshot: false,
    seatsHistory: restoreSeats(durable.snapshot, durable.entries),
    // No leader is known after a restart, which must not delay an election.
    ticksSinceLeaderContact: electionTicks,
    ticksUntilElection: 1 + random.integer(electionTicks),
    ticks: 0,
    votes: new Map(),
    progress: new Map(),
    termStartIndex: 0,
    round: 0,
    confirmedRound: 0,
    reads: [],
    lastWriteToken: 0,
    termWriteToken: 0,
    durableWriteToken: 0,
    durableIndex: log.last.index,
    pendingPersists: [],
    deferredMessages: [],
  };
}

function restoreSeats(
  snapshot: SnapshotHead | undefined,
  entries: readonly Entry[],
): IndexedSeats[] {
  const history: IndexedSeats[] = [
    { index: snapshot?.index ?? 0, seats: snapshot?.seats ?? noSeats },
  ];
  for (const entry of entries) {
    if (entry.kind !== "seats" || entry.index <= (snapshot?.index ?? 0)) {
      continue;
    }
    history.push({ index: entry.index, seats: entry.seats });
  }
  return history;
}

/** Returns the seats of the last seats entry, committed or not. */
export function currentSeats(state: ConsensusState): Seats {
  return (state.seatsHistory.at(-1) as IndexedSeats).seats;
}

/** Returns the seats as of an applied index. */
export function seatsAt(state: ConsensusState, index: number): Seats {
  const past = state.seatsHistory.findLast((item) => item.index <= index);
  return past?.seats ?? noSeats;
}

/** Reports whether the log contains an uncommitted seats entry. */
export function hasUncommittedSeatChange(state: ConsensusState): boolean {
  return (state.seatsHistory.at(-1) as IndexedSeats).index > state.commitIndex;
}

/** Reports whether a leader has committed an entry of its own term. */
export function hasCommittedInTerm(state: ConsensusState): boolean {
  return state.role === "leader" && state.commitIndex >= state.termStartIndex;
}

/** Reports whether a replica is known to have every committed entry. */
export function isCaughtUp(state: ConsensusState, replica: ReplicaId): boolean {
  const progress = state.progress.get(replica);
  return progress !== undefined && progress.matchIndex >= state.commitIndex;
}
