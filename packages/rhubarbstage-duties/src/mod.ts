/**
 * Duties that one host holds at a time: usage reports and scaling.
 *
 * @module
 */

export type {
  Duty,
  DutyContext,
  DutyWork,
  HostPoll,
  HostPollAnswer,
  HostPollOutcome,
  PlatformCallResult,
  PolledHost,
  ServerOrder,
  ServiceLoad,
  UsageBucket,
  UsageReport,
} from "./types.ts";
export { DutyHolder, DutyTerm, HostPolls, PlatformCalls } from "./types.ts";
export { callTimeout } from "./constants.ts";
export type {
  KindCounts,
  ObservedServer,
  RegionLoad,
  ScaleDecision,
  ScaledZone,
  ScaleObservation,
  ScaleReason,
  ServerKind,
  ServiceScaling,
} from "./scale_types.ts";
export { ScalePlanner } from "./scale_planner.ts";
