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
export { hashText } from "./hash.ts";
export { Reducer } from "./reducer.ts";
export { SeededRandom } from "./random.ts";
export { delay, every } from "./abort.ts";
export { readArrivedBytes } from "./event_loop.ts";
