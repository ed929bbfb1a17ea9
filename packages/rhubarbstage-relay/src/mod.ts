/**
 * Transparent relay: any request, by a table of routes, under the policy.
 *
 * @module
 */

export type {
  AnswerLoad,
  AnswerTraits,
  AttemptTraits,
  CallerLimits,
  EngineState,
  EngineTraits,
  HeaderList,
  PromptExport,
  RelayService,
  RequestTraits,
  RoleOrder,
  Route,
  RouteKind,
  RouteTable,
  RouteTarget,
} from "./types.ts";
export type { OrderVerdict, ServerCall } from "./dialect.ts";
export { Dialect } from "./dialect.ts";
export { endToEndHeaders, headerPairs, headerValue } from "./headers.ts";
export { pickTarget, RouteIndex } from "./route_index.ts";
export type { ServerConnectionsOptions } from "./server_connections.ts";
export { refusesConnections, ServerConnections } from "./server_connections.ts";
export type { RelayOptions } from "./relay.ts";
export { Relay, relayStatus } from "./relay.ts";
export { RelayListener } from "./relay_listener.ts";
