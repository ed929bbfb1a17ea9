/**
 * HTTP interface for callers, backend servers and operators, and the dispatcher
 * that drives the policy.
 *
 * @module
 */

export type {
  AnnouncementAnswer,
  EffectiveServiceSettings,
  EffectiveSettings,
  EventFields,
  MetricsText,
  ModelQuery,
  RequestRecord,
  SendService,
  ServiceAnswer,
  ServiceAttempt,
  ServiceCall,
  ServiceQuery,
} from "./ports.ts";
export {
  BackendServers,
  Credentials,
  GatewayTelemetry,
  OperatorActions,
  PolicyListener,
  Readiness,
  ServiceCalls,
  ServiceRouting,
  SettingsSource,
} from "./ports.ts";
export type { Generation, GenerationResult, PolicyInput } from "./types.ts";
export type {
  DispatcherOptions,
  DispatchOptions,
  RequestCounts,
} from "./dispatcher.ts";
export { Dispatcher } from "./dispatcher.ts";
export { GenerationSink } from "./sinks.ts";
export { CallerGone, errorBody, errorHeaders } from "./errors.ts";
export type { GatewayOptions, GatewayParts, ListenOptions } from "./gateway.ts";
export { Gateway } from "./gateway.ts";
