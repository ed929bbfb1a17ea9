/**
 * Transparent HTTP relay with a route table, scheduled by the policy.
 *
 * @module
 */

export type {
  AttemptMetadata,
  CallerIdentity,
  CallerLimits,
  EngineCapabilities,
  EngineState,
  HeaderList,
  PromptExport,
  RelayCustomer,
  RelayService,
  ReportedLoad,
  RequestMetadata,
  ResponseMetadata,
  RoleOrder,
  Route,
  RouteKind,
  RouteTable,
  RouteTarget,
  ServerScaling,
} from "./types.ts";
export type { OrderOutcome, ServerCall } from "./dialect.ts";
export type {
  BegunStream,
  SoftwareVersions,
  StreamOrigin,
} from "./answer_origins.ts";
export { AnswerOrigins, StreamTable } from "./answer_origins.ts";
export type { ExchangeRequest, ExchangeResponse } from "./exchange.ts";
export { ExchangeError, readWhole } from "./exchange.ts";
export { ForwardingHosts, NoForwardingHostError } from "./forwarding.ts";
export type { ProbeResult } from "./path_reducer.ts";
export { PathReducer } from "./path_reducer.ts";
export { PathMonitor } from "./path_monitor.ts";
export { probeTimeout } from "./constants.ts";
export { Dialect } from "./dialect.ts";
export {
  endToEndHeaders,
  headerPairs,
  headerValue,
  unambiguousHeaderValue,
} from "./headers.ts";
export { CustomerKeys, findCustomerProblem } from "./customer_keys.ts";
export { pickTarget, RouteIndex } from "./route_index.ts";
export type {
  ServerConnectionsOptions,
  ServerPaths,
} from "./server_connections.ts";
export { refusesConnections, ServerConnections } from "./server_connections.ts";
export type { RelayOptions } from "./relay.ts";
export { Relay, statusForError } from "./relay.ts";
export { RelayListener } from "./relay_listener.ts";
