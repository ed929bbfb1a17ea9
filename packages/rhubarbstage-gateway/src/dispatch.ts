/**
 * Exports the dispatcher without the HTTP interface, for hosts that serve
 * callers through another interface.
 *
 * @module
 */

export {
  BackendServers,
  type CostPrediction,
  GatewayTelemetry,
  PolicyEffectHandler,
  Readiness,
} from "./ports.ts";
export type {
  AnnouncementResponse,
  CustomerRequestRecord,
  EventFields,
  MetricsText,
  RequestRecord,
} from "./ports.ts";
export type { PolicyInput } from "./types.ts";
export type { DispatcherOptions, DispatchOptions } from "./dispatcher.ts";
export { Dispatcher } from "./dispatcher.ts";
export type { Attempt, DispatchEffect, RunContext } from "./run.ts";
export { RequestRun } from "./run.ts";
export { waitForResponseClose } from "./caller_connection.ts";
export { CallerDisconnectedError } from "./errors.ts";
export { OpenRequestTracker } from "./open_request_tracker.ts";
