/**
 * Entries, messages, events and effects of a replicated log.
 *
 * @module
 */

import type { HostId, ReplicaId } from "rhubarbstage";

/** A replica and the host on which it runs. */
export interface Seat {
  readonly replica: ReplicaId;
  readonly host: HostId;
}

/** Voters, and learners that receive the log without a vote. */
export interface Seats {
  readonly voters: readonly Seat[];
  readonly learners: readonly Seat[];
}

/** Position in the log. */
export interface Position {
  readonly index: number;
  readonly term: number;
}

/** One entry of the log. A new leader commits an `empty` one first. */
export type Entry =
  & Position
  & (
    | { readonly kind: "empty" }
    | { readonly kind: "command"; readonly data: Uint8Array }
    | { readonly kind: "seats"; readonly seats: Seats }
  );

/** Position and seats of a snapshot, without its data. */
export interface SnapshotHead extends Position {
  /** Seats as of the position. */
  readonly seats: Seats;
}

/** A snapshot with the encoded state of the state machine. */
export interface Snapshot extends SnapshotHead {
  readonly data: Uint8Array;
}

/** One step in a change of the seats. */
export type SeatChange =
  | { readonly kind: "add_learner"; readonly seat: Seat }
  | { readonly kind: "promote"; readonly replica: ReplicaId }
  | { readonly kind: "remove"; readonly replica: ReplicaId };

/** Requests a vote, or in a pre-vote whether a vote would be granted. */
export interface VoteRequest {
  readonly kind: "pre_vote" | "vote";
  readonly term: number;
  readonly last: Position;
}

/** Answers a {@linkcode VoteRequest}. */
export interface VoteAnswer {
  readonly kind: "pre_vote_answer" | "vote_answer";
  readonly term: number;
  readonly granted: boolean;
}

/** Entries that follow `previous`; without entries it is a heartbeat. */
export interface AppendRequest {
  readonly kind: "append";
  readonly term: number;
  readonly previous: Position;
  readonly entries: readonly Entry[];
  readonly commitIndex: number;
  /** Increases with each read round; the answer returns it. */
  readonly round: number;
}

/** Answers an {@linkcode AppendRequest} or a snapshot. */
export interface AppendAnswer {
  readonly kind: "append_answer";
  readonly term: number;
  readonly accepted: boolean;
  /**
   * Accepted: highest index that is durable and equal to the leader's log.
   * Refused: index from which the leader should retry.
   */
  readonly index: number;
  /** Refused: index of `previous` in the message that is answered. */
  readonly previousIndex: number;
  readonly round: number;
}

/** A snapshot for a replica whose next entries are compacted. */
export interface SnapshotMessage {
  readonly kind: "snapshot";
  readonly term: number;
  readonly snapshot: Snapshot;
}

/** Requests that the receiver start an election at once. */
export interface TimeoutNow {
  readonly kind: "timeout_now";
  readonly term: number;
}

/** Contents of a message. */
export type MessageBody =
  | VoteRequest
  | VoteAnswer
  | AppendRequest
  | AppendAnswer
  | SnapshotMessage
  | TimeoutNow;

/** A message between two replicas. */
export type Message = MessageBody & {
  readonly from: ReplicaId;
  readonly to: ReplicaId;
};

/**
 * Inputs of a replica. Tokens are chosen by the caller, except that of
 * `persisted`.
 */
export type ConsensusEvent =
  | { readonly kind: "tick" }
  | { readonly kind: "message"; readonly message: Message }
  | {
    readonly kind: "propose";
    readonly token: number;
    readonly commands: readonly Uint8Array[];
  }
  | { readonly kind: "read"; readonly token: number }
  | {
    readonly kind: "change_seats";
    readonly token: number;
    readonly change: SeatChange;
  }
  /** The effect with this token, and all earlier ones, are on disk. */
  | { readonly kind: "persisted"; readonly token: number }
  /** The snapshot of an earlier `save_snapshot` is on disk. */
  | {
    readonly kind: "snapshot_saved";
    readonly head: SnapshotHead;
    /** Applied entries until the next snapshot; unchanged by default. */
    readonly nextSnapshotEntries?: number;
  }
  /** A `send_snapshot` has ended, with or without success. */
  | {
    readonly kind: "snapshot_sent";
    readonly to: ReplicaId;
    readonly index: number;
    readonly delivered: boolean;
  }
  /** Transfers leadership to an up-to-date voter before a planned stop. */
  | { readonly kind: "transfer" };

/** Why a proposal, read or seat change is rejected; it then has no effect. */
export type RejectReason =
  | "not_leader"
  | "change_in_progress"
  | "not_caught_up"
  | "unknown_replica"
  | "already_seated"
  | "last_voter";

/**
 * Effects to perform; `persist` and `install_snapshot` must be performed in
 * order.
 */
export type ConsensusEffect =
  | {
    /** Entries replace everything in the log from the first one's index. */
    readonly kind: "persist";
    readonly token: number;
    readonly term: number;
    readonly vote: ReplicaId | undefined;
    readonly entries: readonly Entry[];
  }
  | { readonly kind: "send"; readonly message: Message }
  | { readonly kind: "apply"; readonly entries: readonly Entry[] }
  /** The command entries of a proposal occupy the log from `first` on. */
  | {
    readonly kind: "appended";
    readonly token: number;
    readonly first: Position;
  }
  /** The state may be read once `index` is applied. */
  | {
    readonly kind: "answer_read";
    readonly token: number;
    readonly index: number;
    readonly term: number;
  }
  | { readonly kind: "save_snapshot"; readonly head: SnapshotHead }
  | {
    readonly kind: "install_snapshot";
    readonly token: number;
    readonly snapshot: Snapshot;
  }
  /** Sends the newest saved snapshot as a `snapshot` message. */
  | {
    readonly kind: "send_snapshot";
    readonly to: ReplicaId;
    readonly term: number;
  }
  | {
    readonly kind: "reject";
    readonly token: number;
    readonly reason: RejectReason;
    readonly leader: ReplicaId | undefined;
  };

/** Role of a replica in the current term. */
export type Role = "follower" | "pre_candidate" | "candidate" | "leader";

/** State that a replica reads from its disk at the start. */
export interface DurableState {
  readonly term: number;
  readonly vote: ReplicaId | undefined;
  readonly snapshot: SnapshotHead | undefined;
  /** Position before the first entry. */
  readonly base: Position;
  readonly entries: readonly Entry[];
}

/** Options of {@linkcode Consensus}; times in ticks. */
export interface ConsensusOptions {
  readonly self: ReplicaId;
  readonly durable: DurableState;
  /** Seed of the election timeouts. */
  readonly seed: number;
  readonly heartbeatTicks?: number;
  /**
   * Timeouts exceed this and are at most twice it; the first after a start is
   * at most this.
   */
  readonly electionTicks?: number;
  /** Applied entries after which a snapshot is saved. */
  readonly snapshotEntries?: number;
  /** Entries kept before a snapshot's index for replicas that lag slightly. */
  readonly retainedEntries?: number;
}
