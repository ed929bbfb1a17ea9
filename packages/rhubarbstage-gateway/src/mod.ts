/**
 * HTTP interface for callers, backend servers and operators, and the dispatcher
 * that drives the policy.
 *
 * @module
 */

export type {
  AnnouncementResponse,
  CustomerRequestRecord,
  EffectiveServiceSettings,
  EffectiveSettings,
  EventFields,
  MetricsText,
  ModelQuery,
  RequestRecord,
  SendServiceAttempt,
  ServiceAttempt,
  ServiceCall,
  ServiceQuery,
  ServiceResponse,
} from "./ports.ts";
export {
  BackendServers,
  Credentials,
  GatewayTelemetry,
  OperatorActions,
  PolicyEffectHandler,
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
export { CallerDisconnectedError, errorBody, errorHeaders } from "./errors.ts";
export type {
  GatewayDependencies,
  GatewayOptions,
  ListenOptions,
} from "./gateway.ts";
export { Gateway } from "./gateway.ts";
