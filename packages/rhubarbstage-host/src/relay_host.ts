/**
 * One host that relays callers' requests, takes part in control, or both.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import {
  delay,
  type HostId,
  type Incarnation,
  SystemClock,
} from "rhubarbstage";
import { DocumentClient } from "@rhubarbstage/control";
import { Dispatcher } from "@rhubarbstage/gateway/dispatch";
import { EngineClient } from "@rhubarbstage/engine";
import type { Membership, ServerRecord } from "@rhubarbstage/membership";
import { FleetPolicy, type FleetSettings } from "@rhubarbstage/policy";
import {
  Relay,
  RelayListener,
  type RelayService,
  ServerConnections,
} from "@rhubarbstage/relay";
import { createLogger, Metrics, Timeline } from "@rhubarbstage/telemetry";
import { PeerTransport } from "@rhubarbstage/transport";
import { BackendRegistry } from "./backend_registry.ts";
import type { ControlApi } from "./control_desk.ts";
import { DemandReport } from "./demand_report.ts";
import { HostEvents } from "./host_events.ts";
import { HostTelemetry } from "./host_telemetry.ts";
import { listenPlainText } from "./plain_listener.ts";
import { createControlApi, startControlSeat } from "./relay_control.ts";
import type { RelayHostSettings } from "./relay_host_settings.ts";
import { createMembership } from "./relay_membership.ts";
import type {
  RelayHostComponents,
  RelayHostContext,
  RelayHostOptions,
} from "./relay_parts.ts";
import { RelayReadiness } from "./relay_readiness.ts";
import { exchangeEngineWork, RelayPolicyListener } from "./relay_work.ts";
import { SeatOperations } from "./seat_operations.ts";
import { ServerHealthChecks } from "./server_checks.ts";

/** Name of the document with the table of routes. */
const routesDocument = "routes";
/** Time between heartbeats of a link; a silent peer is lost after three. */
const linkHeartbeat = 700;
/** Longest wait before a lost host is dialled again, in milliseconds. */
const linkBackoff = 500;
/**
 * Longest wait for one control host, in milliseconds; several times the round
 * trip between regions, and a third of what a question for the routes may take.
 */
const controlAttemptTimeout = 450;
/** Events that are kept in memory for the time line. */
const ringEvents = 2_000;
/** Time from the stop signal until the balancer sends no new connection. */
const shutdownNotice = 3_000;
/** Rest of the grace period in which the process ends by itself, in ms. */
const exitReserve = 700;
/** Part of the burst of repeats for retries; the rest is for hedges. */
const retryPart = 0.6;
const hedgePart = 0.2;

/** Time to export and import KV cache, without its transfer, in ms. */
const kvFixedCost = 6;
/**
 * Time to transfer the KV cache of one token, in milliseconds: 18 KB over
 * 370 Gbit/s take 0.0004 ms; the rest weighs the price of the path.
 */
const kvCostPerToken = 0.001;

/** A running relay host. */
export class RelayHost {
  /** Present on hosts with a seat for control. */
  readonly controlApi: ControlApi | undefined;
  readonly #parts: RelayHostComponents;
  readonly #listeners: { close(): Promise<void> }[] = [];

  private constructor(parts: RelayHostComponents) {
    this.#parts = parts;
    this.controlApi = createControlApi(parts);
  }

  /** Starts a host. Throws when an address is in use or the disk is damaged. */
  static async start(
    settings: RelayHostSettings,
    options: RelayHostOptions,
  ): Promise<RelayHost> {
    const parts = await createParts(createBase(settings, options));
    const host = new RelayHost(parts);
    await host.#listen();
    startParts(parts);
    parts.events.record("host_started", {
      label: settings.label,
      seat: settings.seat !== undefined,
      relays: settings.callers !== undefined,
    });
    return host;
  }

  /** Records an event of whoever runs the host. */
  recordEvent(
    event: string,
    fields: Record<string, string | number> = {},
  ): void {
    this.#parts.events.record(event, fields);
  }

  /** Takes the seeds of changed settings. */
  reload(settings: RelayHostSettings): void {
    const { transport, events } = this.#parts;
    for (const { host, peer } of settings.seeds) {
      if (host !== settings.host) transport.setAddress(host, peer);
    }
    events.record("settings_reloaded", { seeds: settings.seeds.length });
  }

  /** Stops without cutting a request that can end within the grace period. */
  async shutDown(): Promise<void> {
    const { settings, relay, readiness, events } = this.#parts;
    events.record("shutdown_started", { open: relay.openRequests.length });
    readiness.markNotReady();
    const endsAt = performance.now() + settings.gracePeriod - exitReserve;
    if (settings.callers !== undefined) {
      await delay(Math.min(shutdownNotice, settings.gracePeriod / 2));
      readiness.stopAcceptingWork();
      const rest = delay(Math.max(0, endsAt - performance.now()));
      await Promise.race([relay.waitUntilIdle(), rest]);
      for (const request of relay.openRequests) {
        events.record("request_outlasts_shutdown", { request });
      }
    }
    await this.#close();
  }

  async #listen(): Promise<void> {
    const { settings, relay, readiness, metrics, events } = this.#parts;
    if (settings.callers !== undefined) {
      const listener = new RelayListener(relay);
      this.#parts.readiness.onRouteTable = (table) =>
        listener.configure(table.limits);
      await listener.listen(settings.callers);
      this.#listeners.push(listener);
    }
    if (settings.readiness !== undefined) {
      const isReady = () => readiness.notReadyReason() === undefined;
      this.#listeners.push(
        await listenPlainText(settings.readiness, () => ({
          status: isReady() ? 200 : 503,
          body: readiness.notReadyReason() ?? "ready",
        })),
      );
    }
    if (settings.metrics === undefined) return;
    try {
      this.#listeners.push(
        await listenPlainText(settings.metrics, async () => ({
          status: 200,
          body: await metrics.render(),
        })),
      );
    } catch (thrown) {
      // A host without metrics still serves its callers.
      events.record("metrics_unavailable", { cause: String(thrown) });
    }
  }

  async #close(): Promise<void> {
    const { seats, transport, connections, events, stopController: stopped } =
      this.#parts;
    stopped.abort();
    await Promise.all(this.#listeners.map((listener) => listener.close()));
    await connections.close();
    await seats.close();
    await transport.close();
    events.record("host_stopped");
    await this.#parts.logger.close();
  }
}

function createBase(
  settings: RelayHostSettings,
  options: RelayHostOptions,
): RelayHostContext {
  const { host, label } = settings;
  const incarnation = Date.now() as Incarnation;
  const logger = createLogger({
    level: settings.logLevel,
    fields: { host: label },
  });
  const timeline = new Timeline({ host, incarnation, ringEvents });
  return {
    settings,
    options,
    clock: new SystemClock(),
    logger,
    timeline,
    events: new HostEvents({ logger, timeline }),
    metrics: new Metrics(),
    stopController: new AbortController(),
    incarnation,
  };
}

async function createParts(
  base: RelayHostContext,
): Promise<RelayHostComponents> {
  const { settings, events, incarnation } = base;
  const transport = await PeerTransport.listen({
    host: settings.host,
    incarnation,
    ...settings.peer,
    token: settings.peerToken,
    peers: new Map(
      settings.seeds
        .filter(({ host }) => host !== settings.host)
        .map(({ host, peer }) => [host, peer]),
    ),
    heartbeatInterval: linkHeartbeat,
    maxBackoff: linkBackoff,
    clock: base.timeline.clock,
  });
  transport.onLink(({ kind, peer, reason }) => {
    events.record(`link_${kind}`, { peer: peer.host, reason });
    if (kind === "up") membership.handleLinkUp(peer.host);
  }, { signal: base.stopController.signal });
  const seats = await SeatOperations.open({
    process: {
      cluster: settings.cluster,
      region: settings.region,
      peers: [],
      journalGroups: 0,
      ...(settings.seat === undefined
        ? {}
        : { dataFolder: settings.seat.dataFolder }),
    },
    transport,
    replicaHosts: () => replicaHosts(settings, membership),
    attemptTimeout: controlAttemptTimeout,
    onFailure: ({ group, error }) =>
      events.record("group_failed", { group, error: error.message }, "error"),
  });
  const serving = createServing(base);
  const { registry, dispatcher, demand } = serving;
  const membership: Membership = createMembership(base, {
    transport,
    registry,
    dispatcher,
    demand,
  });
  serving.link(membership);
  registry.connect({ membership, dispatcher });
  const documents = new DocumentClient({
    group: seats.control,
    name: routesDocument,
  });
  const readiness = new RelayReadiness();
  const connections = createConnections({
    registry,
    membership,
    relay: () => relay,
  });
  const checks = createChecks(base, {
    registry,
    connections,
    relay: () => relay,
  });
  serving.serviceOf = (record) =>
    relay.routeTable?.services.find(({ name }) =>
      name as string === poolOf(record)
    );
  const relay: Relay = new Relay({
    dispatcher,
    dialect: base.options.dialect,
    connections,
    telemetry: serving.telemetry,
    readiness,
    retryRatio: settings.retryBudget.ratio * retryPart,
    onLoad: (server, load) =>
      registry.updateLoad(server, {
        runningRequests: load.running,
        queuedRequests: load.queued,
        cacheTokensUsed: 0,
        cacheTokensTotal: 0,
      }),
    onServerUnreachable: (server) => checks.start(server),
    onWrongServer: (server) =>
      registry.removeServer(server, { crashed: false }),
  });
  exchangeEngineWork(base, {
    transport,
    membership,
    dispatcher,
    listener: serving.listener,
  });
  return {
    ...base,
    transport,
    seats,
    membership,
    registry,
    dispatcher,
    listener: serving.listener,
    connections,
    documents,
    relay,
    readiness,
  };
}

/** Name of the service that a server runs. */
function poolOf(record: ServerRecord): string | undefined {
  return record.models[0] ?? record.services[0];
}

/** Hosts that may have seats: those that gossip knows, and the seeds. */
function replicaHosts(
  settings: RelayHostSettings,
  membership: Membership,
): readonly HostId[] {
  const known = membership.listLiveHosts()
    .filter(({ replica }) => replica)
    .toSorted((left, right) =>
      Number(right.region === settings.region) -
      Number(left.region === settings.region)
    )
    .map(({ host }) => host);
  return [...new Set([...known, ...settings.seeds.map(({ host }) => host)])];
}

interface ServingParts {
  /** Service of a server in the table in force; set with the relay. */
  serviceOf: (record: ServerRecord) => RelayService | undefined;
  readonly listener: RelayPolicyListener;
  readonly registry: BackendRegistry;
  readonly demand: DemandReport;
  readonly telemetry: HostTelemetry;
  readonly dispatcher: Dispatcher;
  readonly link: (membership: Membership) => void;
}

function createServing(base: RelayHostContext): ServingParts {
  const { settings, metrics, events, clock } = base;
  const registry: BackendRegistry = new BackendRegistry({
    cacheTokensOf: (record): number | undefined =>
      serving.serviceOf(record)?.engine?.cacheTokens,
  });
  const demand = new DemandReport({ host: settings.host });
  const listener = new RelayPolicyListener(demand);
  const telemetry = new HostTelemetry({ metrics, events, sample: () => {} });
  const policy = new FleetPolicy({
    region: settings.region,
    seed: randomBytes(4).readUInt32BE(),
    settings: policySettings(settings),
  });
  const dispatcher = new Dispatcher({
    policy,
    // Relayed requests never go through the client of engines.
    engines: new EngineClient({}),
    backendServers: registry,
    effectHandler: listener,
    telemetry,
    clock,
  });
  const serving: ServingParts = {
    serviceOf: () => undefined,
    listener,
    registry,
    demand,
    telemetry,
    dispatcher,
    link: (membership: Membership) => {
      listener.membership = membership;
    },
  };
  return serving;
}

/** Settings of the policy for servers that other hosts use as well. */
function policySettings(settings: RelayHostSettings): Partial<FleetSettings> {
  const { burst } = settings.retryBudget;
  return {
    retryBurst: burst * retryPart,
    hedgeBurst: burst * hedgePart,
    hedgeRatio: settings.retryBudget.ratio * hedgePart,
    // Engines batch continuously, so that long work blocks no slot of others.
    longCostFactor: 1e6,
    shareEngineState: true,
    kvFixedCost,
    kvCostPerToken,
    // A request that is given up is answered at once.
    quarantinePropagationTime: 0,
    quarantinePeriod: 30_000,
  };
}

function createConnections(
  parts: {
    readonly registry: BackendRegistry;
    readonly membership: Membership;
    readonly relay: () => Relay;
  },
): ServerConnections {
  const { registry, membership, relay } = parts;
  return new ServerConnections({
    maxConnections: (server) => {
      const record = registry.recordOf(server);
      const name = record === undefined ? undefined : poolOf(record);
      const service = relay().routeTable?.services
        .find((candidate) => candidate.name as string === name);
      return service?.maxConnections ?? 0;
    },
    hosts: () =>
      membership.listLiveHosts()
        .filter(({ servesCallers }) => servesCallers !== false).length,
  });
}

function createChecks(
  base: RelayHostContext,
  parts: {
    readonly registry: BackendRegistry;
    readonly connections: ServerConnections;
    readonly relay: () => Relay;
  },
): ServerHealthChecks {
  const { dialect } = base.options;
  const { registry, connections, relay } = parts;
  return new ServerHealthChecks({
    signal: base.stopController.signal,
    isKnown: (server) => registry.recordOf(server) !== undefined,
    onRecovered: (server) => {
      base.events.record("server_answers", { server });
      registry.refreshServer(server);
    },
    check: async (server, signal) => {
      const record = registry.recordOf(server);
      if (record === undefined) return false;
      const name = poolOf(record);
      const path = relay().routeTable?.services
        .find((candidate) => candidate.name as string === name)?.healthPath;
      if (path === undefined) return false;
      const answer = await connections.send(
        { id: server, url: record.address },
        {
          method: "GET",
          path,
          headers: dialect.attemptHeaders([], {
            server,
            timeLeft: 1_000,
            step: "run",
          }),
          body: undefined,
        },
        { signal },
      );
      for await (const _piece of answer.body);
      return answer.status === 200;
    },
  });
}

function startParts(parts: RelayHostComponents): void {
  const {
    settings,
    documents,
    events,
    stopController: stopped,
    readiness,
    relay,
  } = parts;
  const { signal } = stopped;
  parts.membership.start();
  parts.dispatcher.start({ signal });
  if (settings.callers !== undefined) {
    documents.follow({
      signal,
      // A majority of the voters; a new leader is chosen from among them.
      requiredCopies: settings.toleratedDiskLosses + 1,
      onDocument: ({ version, content }) => {
        const table = parts.options.parseRouteTable(content);
        relay.setRouteTable(table);
        readiness.setRouteTable(table);
        // Services tell what their engines can do.
        parts.registry.refresh();
        events.record("revision_in_force", {
          version,
          routes: table.routes.length,
        });
      },
      onFailure: (error) =>
        events.record("configuration_unconfirmed", {
          age: Math.round(documents.confirmationAge),
          cause: error instanceof Error ? error.message : String(error),
        }, "warn"),
    });
  }
  if (settings.seat !== undefined) startControlSeat(parts);
}
