/**
 * Dependencies of the controllers.
 *
 * @module
 */

import type { AccessControl } from "./access.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type {
  BackendServers,
  GatewayTelemetry,
  OperatorActions,
  Readiness,
  ServiceCalls,
  SettingsSource,
} from "./ports.ts";
import type { OpenRequestTracker } from "./open_request_tracker.ts";

/** Objects shared by all controllers. */
export interface GatewayContext {
  readonly access: AccessControl;
  readonly dispatcher: Dispatcher;
  readonly settings: SettingsSource;
  readonly services: ServiceCalls;
  readonly backendServers: BackendServers;
  readonly operators: OperatorActions;
  readonly telemetry: GatewayTelemetry;
  readonly readiness: Readiness;
  readonly requests: OpenRequestTracker;
  /** Time until a caller that reads nothing is disconnected, in ms. */
  readonly callerStallTimeout: number;
}
