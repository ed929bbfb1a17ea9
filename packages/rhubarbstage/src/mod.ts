/**
 * Branded ids, error kinds, clocks and the reducer contract. Depends on nothing
 * but Node.js.
 *
 * @module
 */

export type {
  AttemptId,
  AvailabilityZone,
  BackendServerId,
  Brand,
  ClaimKey,
  CustomerId,
  EditId,
  FencingNumber,
  GroupName,
  HostId,
  Incarnation,
  ModelName,
  OrderId,
  Region,
  ReplicaId,
  RequestId,
  Revision,
  ServiceName,
  SoftwareVersion,
  WorkKind,
} from "./ids.ts";
export type { ErrorKind, ErrorKindDefinition, Outcome } from "./error_kinds.ts";
export { errorKinds, isErrorKind } from "./error_kinds.ts";
export type { ErrorDetails } from "./errors.ts";
export { RhubarbstageError, toRhubarbstageError } from "./errors.ts";
export type { Timestamp } from "./clock.ts";
export {
  Clock,
  compareTimestamps,
  HybridLogicalClock,
  ManualClock,
  SystemClock,
} from "./clock.ts";
export {
  AnswerStatusError,
  checkAnswerStatus,
  isAnswerStatus,
} from "./answer_status.ts";
export { hashText } from "./hash.ts";
export { Reducer } from "./reducer.ts";
export { SeededRandom } from "./random.ts";
export { delay, every } from "./abort.ts";
export { readArrivedBytes } from "./event_loop.ts";
export type { MemoryBudgetOptions, MemoryLease } from "./memory_budget.ts";
export { budgetForMemory, MemoryBudget } from "./memory_budget.ts";
export type { Refusal, RequestBodyOptions } from "./request_body.ts";
export {
  announcesBody,
  dropRequestBody,
  readRequestBody,
  refuseRequest,
} from "./request_body.ts";
export type { ReadSchedulerOptions } from "./read_scheduler.ts";
export { ReadScheduler } from "./read_scheduler.ts";
export type { CallerConnectionsOptions } from "./caller_connections.ts";
export {
  CallerConnections,
  connectionsForDescriptors,
} from "./caller_connections.ts";
