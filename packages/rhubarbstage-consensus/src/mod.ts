/**
 * Replicated log as a pure reducer with effects as data.
 *
 * @module
 */

export type {
  AppendAnswer,
  AppendRequest,
  ConsensusEffect,
  ConsensusEvent,
  ConsensusOptions,
  DurableState,
  Entry,
  Message,
  MessageBody,
  Position,
  RejectReason,
  Role,
  Seat,
  SeatChange,
  Seats,
  Snapshot,
  SnapshotHead,
  SnapshotMessage,
  TimeoutNow,
  VoteAnswer,
  VoteRequest,
} from "./types.ts";
export { Consensus } from "./consensus.ts";
export type { ConsensusState, Progress } from "./state.ts";
export { currentSeats, hasCommittedInTerm } from "./state.ts";
export { durableIndexOf } from "./replication.ts";
export { allSeats, isLearner, isVoter, noSeats, quorumSize } from "./seats.ts";
export { bootstrapPosition, defaultSnapshotEntries } from "./constants.ts";
