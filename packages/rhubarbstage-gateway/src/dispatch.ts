/**
 * The dispatcher and its runs without the HTTP interface, for hosts that serve
 * callers in another way.
 *
 * @module
 */

export {
  BackendServers,
  GatewayTelemetry,
  PolicyListener,
  Readiness,
} from "./ports.ts";
export type {
  AnnouncementAnswer,
  EventFields,
  MetricsText,
  RequestRecord,
} from "./ports.ts";
export type { PolicyInput } from "./types.ts";
export type { DispatcherOptions, DispatchOptions } from "./dispatcher.ts";
export { Dispatcher } from "./dispatcher.ts";
export type { Attempt, DispatchEffect, RunContext } from "./run.ts";
export { Run } from "./run.ts";
export { CallerGone } from "./errors.ts";
export { RequestRegister } from "./requests.ts";
