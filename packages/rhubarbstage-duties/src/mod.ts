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
export type {
  DutyLeaseOptions,
  LeaseClockOptions,
  TimeReading,
} from "./lease.ts";
export { DutyLease, LeaseClock } from "./lease.ts";
export type {
  DutyEvent,
  DutyLeaderOptions,
  LeaderSeat,
} from "./duty_leader.ts";
export { DutyLeader } from "./duty_leader.ts";
export type { HostPollerOptions } from "./host_poller.ts";
export { answerPolls, HostPoller } from "./host_poller.ts";
export type { UsageRecorderOptions } from "./usage_recorder.ts";
export { UsageRecorder } from "./usage_recorder.ts";
export { TrueTime } from "./true_time.ts";
export type { UsageWindowsOptions } from "./usage_windows.ts";
export { UsageWindows } from "./usage_windows.ts";
export type { CustomersSince, UsageReporterOptions } from "./usage_reporter.ts";
export { UsageReporter } from "./usage_reporter.ts";
export type {
  ScaleControllerOptions,
  ScaledService,
} from "./scale_controller.ts";
export { ScaleController, ScaledFleet } from "./scale_controller.ts";
export type { EngineDemand, ServiceLoadMeterOptions } from "./service_load.ts";
export { ServiceLoadMeter } from "./service_load.ts";
