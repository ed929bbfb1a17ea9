/**
 * Components of a host that depend on its process settings only.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
import { type Clock, type Incarnation, SystemClock } from "rhubarbstage";
import {
  loadTokens,
  type ProcessSettings,
  type Token,
} from "@rhubarbstage/settings";
import {
  createLogger,
  type Logger,
  Metrics,
  Timeline,
} from "@rhubarbstage/telemetry";
import { HostEvents } from "./host_events.ts";
import { Lifecycle } from "./lifecycle.ts";
import { ActiveSettings } from "./active_settings.ts";

/** Tokens of hosts, operators and backend servers. */
export interface HostTokens {
  readonly peer: readonly Token[];
  readonly operators: readonly Token[];
  readonly backendServers: readonly Token[];
}

/** Process-wide components used by all other host components. */
export interface HostContext {
  readonly process: ProcessSettings;
  readonly version: string;
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly tokens: HostTokens;
  readonly logger: Logger;
  readonly timeline: Timeline;
  readonly events: HostEvents;
  readonly metrics: Metrics;
  readonly settings: ActiveSettings;
  readonly lifecycle: Lifecycle;
  /** Aborted at the end of shutdown to stop timers and background work. */
  readonly stopController: AbortController;
}

/** Reads the token files and opens the log and the timeline. */
export async function openHostContext(
  process: ProcessSettings,
  options: { readonly version: string },
): Promise<HostContext> {
  const { host, log, region } = process;
  const incarnation = Date.now() as Incarnation;
  const tokens = await loadHostTokens(process);
  const logger = createLogger({ ...log, fields: { host } });
  const timeline = new Timeline({ ...process.timeline, host, incarnation });
  const settings = new ActiveSettings({ region });
  return {
    process,
    version: options.version,
    incarnation,
    clock: new SystemClock(),
    tokens,
    logger,
    timeline,
    events: new HostEvents({ logger, timeline }),
    metrics: new Metrics(),
    settings,
    lifecycle: new Lifecycle(settings),
    stopController: createStopController(),
  };
}

async function loadHostTokens(process: ProcessSettings): Promise<HostTokens> {
  const { peer, operators, backendServers } = process.tokenFiles;
  return {
    peer: await loadTokens(peer),
    operators: await loadTokens(operators),
    backendServers: await loadTokens(backendServers),
  };
}

function createStopController(): AbortController {
  const controller = new AbortController();
  // Each component adds a listener; Node.js warns of a leak above 10.
  setMaxListeners(0, controller.signal);
  return controller;
}
