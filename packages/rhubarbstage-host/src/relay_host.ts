/**
 * A host that relays callers' requests, has a control seat, or both.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { setMaxListeners } from "node:events";
import {
  budgetForMemory,
  CallerConnections,
  connectionsForDescriptors,
  delay,
  type HostId,
  type Incarnation,
  MemoryBudget,
  ReadScheduler,
  SystemClock,
} from "rhubarbstage";
import { DocumentClient } from "@rhubarbstage/control";
import { Dispatcher } from "@rhubarbstage/gateway/dispatch";
import { EngineClient } from "@rhubarbstage/engine";
import type { Membership, ServerRecord } from "@rhubarbstage/membership";
import { FleetPolicy, type FleetSettings } from "@rhubarbstage/policy";
import {
  refusesConnections,
  Relay,
  RelayListener,
  type RelayService,
} from "@rhubarbstage/relay";
import { createLogger, Metrics, Timeline } from "@rhubarbstage/telemetry";
import { PeerTransport } from "@rhubarbstage/transport";
import { AnswerOriginExchange } from "./answer_origin_exchange.ts";
import { BackendRegistry } from "./backend_registry.ts";
import type { ControlApi } from "./control_api.ts";
import { createServerPaths } from "./relay_server_paths.ts";
import { DemandReport } from "./demand_report.ts";
import { HostEvents } from "./host_events.ts";
import { HostLoad } from "./host_load.ts";
import { HostUsage } from "./host_usage.ts";
import { HostTelemetry } from "./host_telemetry.ts";
import { listenPlainText } from "./plain_listener.ts";
import { createControlApi, startControlSeat } from "./relay_control.ts";
import type { RelayHostSettings } from "./relay_host_settings.ts";
import { PartMarksFile } from "./part_marks_file.ts";
import { PlacementExchange } from "./placement_exchange.ts";
import { createMembership } from "./relay_membership.ts";
import type {
  RelayHostComponents,
  RelayHostContext,
  RelayHostOptions,
} from "./relay_parts.ts";
import { RelayPolicyEffectHandler } from "./relay_policy_effect_handler.ts";
import { RelayReadiness } from "./relay_readiness.ts";
import { ReplicatedGroups } from "./seat_operations.ts";
import { ServerHealthChecks } from "./server_checks.ts";

/** Name of the document that contains the route table. */
const routesDocument = "routes";
/** Heartbeat interval of a link, in ms; a peer is lost after three misses. */
const linkHeartbeatInterval = 700;
/** Maximum backoff before a lost host is dialled again, in milliseconds. */
const maxLinkBackoff = 500;
/**
 * Timeout of a call to one control host, in milliseconds: several round trips
 * between regions, and short enough to try three hosts within the 1,500 ms of a
 * poll for the routes.
 */
const controlAttemptTimeout = 450;
/** Capacity of the in-memory timeline, in events. */
const ringEvents = 2_000;
/**
 * Maximum time, in ms, to accept requests while the load balancer notices the
 * stop.
 */
const maxShutdownNotice = 3_000;
/**
 * Part of the grace period before its end in which no attempt is started, since
 * it might not end in time.
 */
const lastAttemptShare = 1 / 3;
/** Part of the grace period reserved for the process to exit, in ms. */
const exitReserve = 700;
/** Share of the retry budget for retries. */
const retryBudgetShare = 0.6;
/** Share of the retry budget for hedged and moved requests. */
const hedgeBudgetShare = 0.2;

/** Timeout of the check of a lost server, in milliseconds. */
const checkTimeout = 800;

/** Time to export and import KV cache, without its transfer, in ms. */
const kvFixedCost = 6;
/**
 * Time to transfer the KV cache of one token, in milliseconds: 18 KB over
 * 370 Gbit/s take 0.0004 ms; the rest allows for network overhead.
 */
const kvCostPerToken = 0.001;

/** A running relay host. */
export class RelayHost {
  /** Present on hosts with a seat in the control group. */
  readonly controlApi: ControlApi | undefined;
  readonly #components: RelayHostComponents;
  readonly #listeners: { close(): Promise<void> }[] = [];

  private constructor(components: RelayHostComponents) {
    this.#components = components;
    this.controlApi = createControlApi(components);
  }

  /** Starts a host. Throws when an address is in use or the disk is damaged. */
  static async start(
    settings: RelayHostSettings,
    options: RelayHostOptions,
  ): Promise<RelayHost> {
    const components = await createComponents(createContext(settings, options));
    const host = new RelayHost(components);
    await host.#listen();
    startComponents(components);
    components.events.record("host_started", {
      label: settings.label,
      seat: settings.seat !== undefined,
      relays: settings.callers !== undefined,
    });
    return host;
  }

  /** Memory of the process for callers and servers. */
  get budget(): MemoryBudget {
    return this.#components.budget;
  }

  /** Shares the event loop among bodies that arrive. */
  get scheduler(): ReadScheduler {
    return this.#components.scheduler;
  }

  /** Records an event of the process that runs the host. */
  recordEvent(
    event: string,
    fields: Record<string, string | number> = {},
  ): void {
    this.#components.events.record(event, fields);
  }

  /** Applies changed seed addresses; ignores all other changes. */
  reload(settings: RelayHostSettings): void {
    const { transport, events } = this.#components;
    for (const { host, peer } of settings.seeds) {
      if (host !== settings.host) transport.setAddress(host, peer);
    }
    events.record("settings_reloaded", { seeds: settings.seeds.length });
  }

  /**
   * Stops after open requests have ended or the grace period is over, which
   * began at `startedAt`, a monotonic time in milliseconds.
   */
  async shutDown(
    { startedAt = performance.now() }: { readonly startedAt?: number } = {},
  ): Promise<void> {
    const { settings, relay, readiness, dispatcher, events } = this.#components;
    const { forwardingService } = this.#components;
    events.record("shutdown_started", { open: relay.openRequests.length });
    readiness.markNotReady();
    const deadline = startedAt + settings.gracePeriod - exitReserve;
    if (settings.callers !== undefined) {
      await delay(Math.min(maxShutdownNotice, settings.gracePeriod / 2));
    }
    readiness.stopAcceptingWork();
    const idle = Promise.all([
      relay.waitUntilIdle(),
      forwardingService.waitUntilIdle(),
    ]);
    const waitUntil = (time: number) =>
      Promise.race([idle, delay(Math.max(0, time - performance.now()))]);
    await waitUntil(deadline - settings.gracePeriod * lastAttemptShare);
    dispatcher.drain();
    await waitUntil(deadline);
    for (const request of relay.openRequests) {
      events.record("request_outlasts_shutdown", { request });
    }
    dispatcher.endAll();
    await this.#close();
  }

  async #listen(): Promise<void> {
    const { settings, relay, readiness, metrics, events } = this.#components;
    if (settings.callers !== undefined) {
      const listener = new RelayListener(relay, {
        connections: this.#components.callerConnections,
      });
      this.#components.readiness.onRouteTable = (table) =>
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
    const { seats, transport, connections, events, stopController } =
      this.#components;
    stopController.abort();
    await Promise.all(this.#listeners.map((listener) => listener.close()));
    await connections.close();
    await seats.close();
    await transport.close();
    events.record("host_stopped");
    await this.#components.logger.close();
  }
}

function createContext(
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
  const { memoryBytes, maxDescriptors } = settings;
  const budget = new MemoryBudget(
    memoryBytes === undefined
      ? {}
      : { limitBytes: budgetForMemory(memoryBytes) },
  );
  const { chunksPerTurn, maxWaitingHeaders } = settings;
  const scheduler = new ReadScheduler(
    chunksPerTurn === undefined ? {} : { chunksPerTurn },
  );
  const callerConnections = new CallerConnections({
    scheduler,
    ...(maxWaitingHeaders === undefined ? {} : { maxWaitingHeaders }),
    ...(maxDescriptors === undefined
      ? {}
      : { maxConnections: connectionsForDescriptors(maxDescriptors) }),
  });
  const metrics = new Metrics();
  metrics.addMemory({ budget, connections: callerConnections });
  metrics.addReads(scheduler);
  return {
    budget,
    scheduler,
    callerConnections,
    settings,
    options,
    clock: new SystemClock(),
    logger,
    timeline,
    events: new HostEvents({ logger, timeline }),
    metrics,
    stopController: createStopController(),
    incarnation,
  };
}

/** All components of the host listen to one signal. */
function createStopController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

async function createComponents(
  context: RelayHostContext,
): Promise<RelayHostComponents> {
  const { settings, events, incarnation } = context;
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
    heartbeatInterval: linkHeartbeatInterval,
    maxBackoff: maxLinkBackoff,
    clock: context.timeline.clock,
  });
  transport.onLink(({ kind, peer, reason }) => {
    events.record(`link_${kind}`, { peer: peer.host, reason });
    if (kind === "up") membership.handleLinkUp(peer.host);
  }, { signal: context.stopController.signal });
  const seats = await ReplicatedGroups.open({
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
    disk: events.diskEvents(),
  });
  const serving = createServing(context);
  const { registry, dispatcher, demand } = serving;
  const membership: Membership = createMembership(context, {
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
  const { connections, paths, forwarding, forwardingService, probes } =
    createServerPaths(context, {
      transport,
      registry,
      membership,
      readiness,
      serviceOf: (record) => serving.serviceOf(record),
    });
  const checks = new ServerHealthChecks({
    signal: context.stopController.signal,
    isKnown: (server) => registry.recordOf(server) !== undefined,
    onRecovered: (server) => {
      events.record("server_answers", { server });
      registry.refreshServer(server);
    },
    check: async (server) => {
      if (!paths.isDirect(server)) return await forwarding.reaches(server);
      const { result, isHealthy } = await probes.probe(server, {
        timeout: checkTimeout,
      });
      paths.recordProbe(server, result);
      return isHealthy;
    },
  });
  serving.serviceOf = (record) =>
    relay.routeTable?.services.find(({ name }) =>
      name as string === serviceNameOf(record)
    );
  const usage = new HostUsage({ incarnation, clock: context.clock, transport });
  const load = new HostLoad({ clock: context.clock });
  usage.serviceLoad = () => load.read();
  serving.effectHandler.load = load;
  const relay: Relay = new Relay({
    dispatcher,
    dialect: context.options.dialect,
    connections,
    telemetry: serving.telemetry,
    readiness,
    onBegun: ({ customer }, change) => usage.record(customer, change),
    onRequestBegun: (work) => load.recordBegun(work),
    onRequestEnded: (work, error) => load.recordEnded(work, error),
    retryRatio: settings.retryBudget.ratio * retryBudgetShare,
    budget: context.budget,
    scheduler: context.scheduler,
    onLoad: (server, load) =>
      registry.updateLoad(server, {
        runningRequests: load.running,
        queuedRequests: load.queued,
        cacheTokensUsed: 0,
        cacheTokensTotal: 0,
        ...(load.pace === undefined ? {} : { pace: load.pace }),
      }),
    onServerUnreachable: (server) => checks.start(server),
    onWrongServer: (server) =>
      registry.removeServer(server, { crashed: false }),
    confirmServerEnded: async ({ id, url }) => {
      const isRefused = !paths.isDirect(id) || await refusesConnections(url);
      // A host that is cut off must not take its own cut for the server's end.
      return isRefused && !await forwarding.reaches(id);
    },
    origins: new AnswerOriginExchange({
      host: settings.host,
      region: settings.region,
      transport,
      membership,
      seeds: settings.seeds.map(({ host }) => host),
      softwareVersionsOf: (service) =>
        new Set(
          registry.records()
            .filter((record) => serviceNameOf(record) === service as string)
            .map(({ softwareVersion }) => softwareVersion),
        ),
      signal: context.stopController.signal,
    }),
  });
  const placement = new PlacementExchange({
    host: settings.host,
    region: settings.region,
    transport,
    membership,
    dispatcher,
    signal: context.stopController.signal,
    onHostChange: (host) => events.record("placement_host", { peer: host }),
  });
  serving.effectHandler.placement = placement;
  return {
    ...context,
    transport,
    seats,
    membership,
    registry,
    dispatcher,
    effectHandler: serving.effectHandler,
    placement,
    connections,
    paths,
    forwardingService,
    documents,
    relay,
    readiness,
    usage,
    load,
  };
}

/** Returns the name of the service that a server runs. */
function serviceNameOf(record: ServerRecord): string | undefined {
  return record.models[0] ?? record.services[0];
}

/** Returns possible seat hosts: live replicas, own region first, then seeds. */
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

interface RelayServingComponents {
  /** Finds a server's service in the active route table; set with the relay. */
  serviceOf: (record: ServerRecord) => RelayService | undefined;
  readonly effectHandler: RelayPolicyEffectHandler;
  readonly registry: BackendRegistry;
  readonly demand: DemandReport;
  readonly telemetry: HostTelemetry;
  readonly dispatcher: Dispatcher;
  readonly link: (membership: Membership) => void;
}

function createServing(context: RelayHostContext): RelayServingComponents {
  const { settings, metrics, events, clock } = context;
  const registry: BackendRegistry = new BackendRegistry({
    cacheTokensOf: (record): number | undefined =>
      serving.serviceOf(record)?.engine?.cacheTokens,
  });
  const demand = new DemandReport({
    host: settings.host,
    models: () => new Set(registry.records().flatMap(({ models }) => models)),
  });
  const effectHandler = new RelayPolicyEffectHandler(demand);
  const telemetry = new HostTelemetry({ metrics, events, sample: () => {} });
  const policy = new FleetPolicy({
    region: settings.region,
    availabilityZone: settings.availabilityZone,
    seed: randomBytes(4).readUInt32BE(),
    settings: policySettings(settings),
  });
  const dispatcher = new Dispatcher({
    policy,
    // Relayed requests never use the engine client.
    engines: new EngineClient({}),
    backendServers: registry,
    effectHandler,
    telemetry,
    clock,
  });
  const serving: RelayServingComponents = {
    serviceOf: () => undefined,
    effectHandler,
    registry,
    demand,
    telemetry,
    dispatcher,
    link: (membership: Membership) => {
      effectHandler.membership = membership;
    },
  };
  return serving;
}

/** Returns policy settings for servers that other hosts use as well. */
function policySettings(settings: RelayHostSettings): Partial<FleetSettings> {
  const { burst } = settings.retryBudget;
  return {
    retryBurst: burst * retryBudgetShare,
    hedgeBurst: burst * hedgeBudgetShare,
    hedgeRatio: settings.retryBudget.ratio * hedgeBudgetShare,
    // Engines batch continuously, so a long request blocks no others.
    longCostFactor: 1e6,
    shareEngineState: true,
    routeByRemainingWork: settings.routeByRemainingWork ?? false,
    // An engine that gets an order refuses the work that it has queued.
    rolesFollowDemand: false,
    customersCompete: settings.customersCompete ?? false,
    shareComputeTime: settings.duties?.duties.includes("scaling") ?? false,
    kvFixedCost,
    kvCostPerToken,
    // A request that crashed servers is refused without waiting until its
    // quarantine marks have reached the other hosts.
    quarantinePropagationTime: 0,
    quarantinePeriod: 30_000,
  };
}

function startComponents(components: RelayHostComponents): void {
  const {
    settings,
    documents,
    events,
    stopController,
    readiness,
    relay,
    usage,
    load,
  } = components;
  const { signal } = stopController;
  components.membership.start();
  components.dispatcher.start({ signal });
  components.placement.start();
  components.paths.start();
  // Hosts without callers place work, which depends on the engines' services.
  documents.follow({
    signal,
    // A majority of the voters, so every later leader has the document.
    requiredCopies: settings.toleratedDiskLosses + 1,
    onDocument: ({ version, content }) => {
      const table = components.options.parseRouteTable(content);
      relay.setRouteTable(table);
      readiness.setRouteTable(table);
      usage.setRouteTable(table);
      load.setRouteTable(table);
      components.registry.refresh();
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
  if (settings.seat === undefined) return;
  void restorePartMarks(components, settings.seat.dataFolder);
  startControlSeat(components);
}

/** Restores the evidence about prompt parts, and keeps it from now on. */
async function restorePartMarks(
  { dispatcher, effectHandler, events }: RelayHostComponents,
  dataFolder: string,
): Promise<void> {
  const file = new PartMarksFile({
    dataFolder,
    disk: events.diskEvents(),
    onFailure: (error) =>
      events.record("part_marks_unavailable", { cause: String(error) }, "warn"),
  });
  const marks = await file.read();
  if (marks.length > 0) {
    dispatcher.notify({ type: "part_marks_reported", marks });
  }
  effectHandler.partMarksFile = file;
}
