/**
 * What the controllers work with.
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
import type { OpenRequestTracker } from "./requests.ts";

/** Everything that the controllers share. */
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
  /** Time after which a caller that reads nothing counts as gone. */
  readonly callerStallTimeout: number;
}
