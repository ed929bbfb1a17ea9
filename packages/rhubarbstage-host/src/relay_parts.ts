/**
 * Components of a relay host.
 *
 * @module
 */

import type { DocumentClient } from "@rhubarbstage/control";
import type { PlatformCalls } from "@rhubarbstage/duties";
import type { Dispatcher } from "@rhubarbstage/gateway/dispatch";
import type { Membership } from "@rhubarbstage/membership";
import type {
  Dialect,
  PathMonitor,
  Relay,
  RouteTable,
  ServerConnections,
} from "@rhubarbstage/relay";
import type { Logger, Metrics, Timeline } from "@rhubarbstage/telemetry";
import type { PeerTransport } from "@rhubarbstage/transport";
import type {
  CallerConnections,
  Clock,
  Incarnation,
  MemoryBudget,
  ReadScheduler,
} from "rhubarbstage";
import type { BackendRegistry } from "./backend_registry.ts";
import type { ForwardingService } from "./forwarding_service.ts";
import type { HostLoad } from "./host_load.ts";
import type { HostUsage } from "./host_usage.ts";
import type { HostEvents } from "./host_events.ts";
import type { PlacementExchange } from "./placement_exchange.ts";
import type { RelayHostSettings } from "./relay_host_settings.ts";
import type { RelayPolicyEffectHandler } from "./relay_policy_effect_handler.ts";
import type { RelayReadiness } from "./relay_readiness.ts";
import type { ReplicatedGroups } from "./seat_operations.ts";

/** Options of `RelayHost.start`. */
export interface RelayHostOptions {
  readonly dialect: Dialect;
  /** Parses the route table in a published document. */
  readonly parseRouteTable: (content: unknown) => RouteTable;
  /** Calls to the platform; needed on control hosts with duties. */
  readonly platformCalls?: PlatformCalls;
}

/** State shared by all components of a relay host. */
export interface RelayHostContext {
  readonly settings: RelayHostSettings;
  readonly options: RelayHostOptions;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly timeline: Timeline;
  readonly events: HostEvents;
  readonly metrics: Metrics;
  readonly stopController: AbortController;
  readonly incarnation: Incarnation;
  /** Memory of everything that is held for callers and servers. */
  readonly budget: MemoryBudget;
  readonly scheduler: ReadScheduler;
  readonly callerConnections: CallerConnections;
}

/** Components of a running relay host. */
export interface RelayHostComponents extends RelayHostContext {
  readonly transport: PeerTransport;
  readonly seats: ReplicatedGroups;
  readonly membership: Membership;
  readonly registry: BackendRegistry;
  readonly dispatcher: Dispatcher;
  readonly effectHandler: RelayPolicyEffectHandler;
  readonly placement: PlacementExchange;
  readonly connections: ServerConnections;
  readonly paths: PathMonitor;
  readonly forwardingService: ForwardingService;
  readonly documents: DocumentClient;
  readonly relay: Relay;
  readonly readiness: RelayReadiness;
  readonly usage: HostUsage;
  readonly load: HostLoad;
}
