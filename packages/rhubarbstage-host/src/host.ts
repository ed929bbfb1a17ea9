/**
 * One host: its parts, their connections and its shutdown.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import {
  type Clock,
  delay,
  every,
  type Incarnation,
  type RhubarbstageError,
  SystemClock,
  toRhubarbstageError,
} from "rhubarbstage";
import {
  type Configuration,
  ConfigurationClient,
  EditClient,
  OrderExecutor,
} from "@rhubarbstage/control";
import { ClaimJournal } from "@rhubarbstage/control";
import { EngineClient } from "@rhubarbstage/engine";
import { Dispatcher, Gateway } from "@rhubarbstage/gateway";
import { type HostRecord, Membership } from "@rhubarbstage/membership";
import { ClaimRunner, RepeatableClient } from "@rhubarbstage/service";
import { loadTokens, type ProcessSettings } from "@rhubarbstage/settings";
import { createLogger, Metrics, Timeline } from "@rhubarbstage/telemetry";
import type { Transport } from "@rhubarbstage/transport";
import { BackendRegistry } from "./backend_registry.ts";
import { EngineOrderConnector } from "./engine_orders.ts";
import { HostCredentials } from "./host_credentials.ts";
import { HostEvents } from "./host_events.ts";
import { HostOperatorActions } from "./host_operator_actions.ts";
import { HostServiceCalls } from "./host_service_calls.ts";
import { HostSettingsSource } from "./host_settings_source.ts";
import { HostStatusReport } from "./host_status.ts";
import { HostTelemetry } from "./host_telemetry.ts";
import { Lifecycle } from "./lifecycle.ts";
import { openTransport } from "./links.ts";
import { TransportLink } from "./membership_link.ts";
import { OrderDesk } from "./order_desk.ts";
import { createPolicy } from "./host_policy.ts";
import { HostPolicyListener } from "./policy_listener.ts";
import { SeatOperations } from "./seat_operations.ts";
import { SettingsInForce } from "./settings_in_force.ts";
import { TimelineQueries } from "./timeline_queries.ts";
import { validateTree } from "./tree_conversion.ts";

/** Time between two reports of stragglers during shutdown, in milliseconds. */
const stragglerReportInterval = 10_000;
/** Time between two reports of wall time to the journal, in milliseconds. */
const journalTimeInterval = 300_000;
/** Time between two samples of control traffic, in milliseconds. */
const sampleInterval = 1_000;
