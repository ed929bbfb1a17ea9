/**
 * One host that relays callers' requests, takes part in control, or both.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { createServer, type Server } from "node:http";
import {
  type Clock,
  delay,
  every,
  type HostId,
  type Incarnation,
  SystemClock,
} from "rhubarbstage";
import { DocumentClient, OrderExecutor } from "@rhubarbstage/control";
import { Dispatcher, PolicyListener } from "@rhubarbstage/gateway/dispatch";
import { EngineClient } from "@rhubarbstage/engine";
import {
  type HostRecord,
  Membership,
  type ServerRecord,
} from "@rhubarbstage/membership";
import {
  type EngineWork,
  type EngineWorkEnd,
  FleetPolicy,
  type FleetSettings,
} from "@rhubarbstage/policy";
import {
  type Dialect,
  Relay,
  RelayListener,
  type RelayService,
  type RouteTable,
  ServerConnections,
} from "@rhubarbstage/relay";
import { SeatKeeper } from "@rhubarbstage/replica";
import {
  createLogger,
  type Logger,
  Metrics,
  Timeline,
} from "@rhubarbstage/telemetry";
import { messageType, PeerTransport } from "@rhubarbstage/transport";
import { BackendRegistry } from "./backend_registry.ts";
import { ControlDesk } from "./control_desk.ts";
import { DemandReport } from "./demand_report.ts";
import { HostEvents } from "./host_events.ts";
import { HostTelemetry } from "./host_telemetry.ts";
import { TransportLink } from "./membership_link.ts";
import { OrderCoordinator } from "./order_coordinator.ts";
import type { RelayHostSettings } from "./relay_host_settings.ts";
import { RelayOrderConnector } from "./relay_orders.ts";
import { RelayReadiness } from "./relay_readiness.ts";
import { RoleAuthority } from "./role_authority.ts";
import { controlName, SeatOperations } from "./seat_operations.ts";
import { ServerChecks } from "./server_checks.ts";

/** Name of the document with the table of routes. */
const routesDocument = "routes";
/** Time between heartbeats of a link; a silent peer is lost after three. */
const linkHeartbeat = 700;
/** Longest wait before a lost host is dialled again, in milliseconds. */
const linkBackoff = 500;
/**
 * Oldest evidence on which a server gets work. Attempts name the process that
 * they are meant for and own failures tell of lost servers, so that a host that
 * is cut off from control goes on with what it knows.
 */
const evidenceLimit = 120_000;
/**
 * Longest wait for one control host, in milliseconds; several times the round
 * trip between regions, and a third of what a question for the routes may take.
 */
const controlAttemptTimeout = 450;
/** Time between two tries to form the system, in milliseconds. */
const bootstrapPause = 300;
/** Events that are kept in memory for the time line. */
const ringEvents = 2_000;
/** Time from the stop signal until the balancer sends no new connection. */
const shutdownNotice = 3_000;
/** Rest of the grace period in which the process ends by itself, in ms. */
const exitReserve = 700;
/** Part of the burst of repeats for retries; the rest is for hedges. */
const retryPart = 0.6;
const hedgePart = 0.2;

/**
 * Longest time from the intent of an order to its write, in milliseconds: a
 * few round trips between regions.
 */
const orderWriteWindow = 500;
/** Time between two messages about work on engines, in milliseconds. */
const workInterval = 10;
/** Time to export and import KV cache, without its transfer, in ms. */
const kvFixedCost = 6;
/**
 * Time to transfer the KV cache of one token, in milliseconds: 18 KB over
 * 370 Gbit/s take 0.0004 ms; the rest weighs the price of the path.
 */
const kvCostPerToken = 0.001;

/** Options of {@linkcode RelayHost.start}. */
export interface RelayHostOptions {
  readonly dialect: Dialect;
  /** Reads a table of routes from a published document. */
  readonly readTable: (content: unknown) => RouteTable;
}

interface Base {
  readonly settings: RelayHostSettings;
  readonly options: RelayHostOptions;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly timeline: Timeline;
  readonly events: HostEvents;
  readonly metrics: Metrics;
  readonly stopped: AbortController;
  readonly incarnation: Incarnation;
}

interface Parts extends Base {
  readonly transport: PeerTransport;
  readonly seats: SeatOperations;
  readonly membership: Membership;
  readonly registry: BackendRegistry;
  readonly dispatcher: Dispatcher;
  readonly listener: RelayPolicyListener;
  readonly connections: ServerConnections;
  readonly documents: DocumentClient;
  readonly relay: Relay;
  readonly readiness: RelayReadiness;
}

/** A running relay host. */
export class RelayHost {
  /** Present on hosts with a seat for control. */
  readonly desk: ControlDesk | undefined;
  readonly #parts: Parts;
  readonly #listeners: { close(): Promise<void> }[] = [];

  private constructor(parts: Parts) {
    this.#parts = parts;
    this.desk = createDesk(parts);
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
    parts.events.note("host_started", {
      label: settings.label,
      seat: settings.seat !== undefined,
      relays: settings.callers !== undefined,
    });
    return host;
  }

  /** Records an event of whoever runs the host. */
  note(event: string, fields: Record<string, string | number> = {}): void {
    this.#parts.events.note(event, fields);
  }

  /** Takes the seeds of changed settings. */
  reload(settings: RelayHostSettings): void {
    const { transport, events } = this.#parts;
    for (const { host, peer } of settings.seeds) {
      if (host !== settings.host) transport.setAddress(host, peer);
    }
    events.note("settings_reloaded", { seeds: settings.seeds.length });
  }

  /** Stops without cutting a request that can end within the grace period. */
  async shutDown(): Promise<void> {
    const { settings, relay, readiness, events } = this.#parts;
    events.note("shutdown_started", { open: relay.openRequests.length });
    readiness.leave();
    const endsAt = performance.now() + settings.gracePeriod - exitReserve;
    if (settings.callers !== undefined) {
      await delay(Math.min(shutdownNotice, settings.gracePeriod / 2));
      readiness.refuse();
      const rest = delay(Math.max(0, endsAt - performance.now()));
      await Promise.race([relay.idle(), rest]);
      for (const request of relay.openRequests) {
        events.note("request_outlasts_shutdown", { request });
      }
    }
    await this.#close();
  }

  async #listen(): Promise<void> {
    const { settings, relay, readiness, metrics, events } = this.#parts;
    if (settings.callers !== undefined) {
      const listener = new RelayListener(relay);
      this.#parts.readiness.onTable = (table) =>
        listener.configure(table.limits);
      await listener.listen(settings.callers);
      this.#listeners.push(listener);
    }
    if (settings.readiness !== undefined) {
      const isReady = () => readiness.notReadyReason() === undefined;
      this.#listeners.push(
        await listenPlain(settings.readiness, () => ({
          status: isReady() ? 200 : 503,
          body: readiness.notReadyReason() ?? "ready",
        })),
      );
    }
    if (settings.metrics === undefined) return;
    try {
      this.#listeners.push(
        await listenPlain(settings.metrics, async () => ({
          status: 200,
          body: await metrics.render(),
        })),
      );
    } catch (thrown) {
      // A host without metrics still serves its callers.
      events.note("metrics_unavailable", { cause: String(thrown) });
    }
  }

  async #close(): Promise<void> {
    const { seats, transport, connections, events, stopped } = this.#parts;
    stopped.abort();
    await Promise.all(this.#listeners.map((listener) => listener.close()));
    await connections.close();
    await seats.close();
    await transport.close();
    events.note("host_stopped");
    await this.#parts.logger.close();
  }
}

function createBase(
  settings: RelayHostSettings,
  options: RelayHostOptions,
): Base {
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
    stopped: new AbortController(),
    incarnation,
  };
}

async function createParts(base: Base): Promise<Parts> {
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
    events.note(`link_${kind}`, { peer: peer.host, reason });
    if (kind === "up") membership.greet(peer.host);
  }, { signal: base.stopped.signal });
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
      events.note("group_failed", { group, error: error.message }, "error"),
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
    relay.table?.services.find(({ name }) => name as string === poolOf(record));
  const relay: Relay = new Relay({
    dispatcher,
    dialect: base.options.dialect,
    connections,
    telemetry: serving.telemetry,
    readiness,
    backendServers: registry,
    retryRatio: settings.retries.ratio * retryPart,
    onLoad: (server, load) =>
      registry.takeLoad(server, {
        runningRequests: load.running,
        queuedRequests: load.queued,
        cacheTokensUsed: 0,
        cacheTokensTotal: 0,
      }),
    onLost: (server) => checks.start(server),
    onWrongServer: (server) => registry.lose(server, { crashed: false }),
  });
  shareWork(base, {
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
  const known = membership.listHosts()
    .filter(({ replica }) => replica)
    .toSorted((left, right) =>
      Number(right.region === settings.region) -
      Number(left.region === settings.region)
    )
    .map(({ host }) => host);
  return [...new Set([...known, ...settings.seeds.map(({ host }) => host)])];
}

/** Carries out the effects of the policy that concern other hosts. */
class RelayPolicyListener extends PolicyListener {
  readonly #demand: DemandReport;
  membership: Membership | undefined;
  /** Present on hosts that may lead control. */
  orders: OrderCoordinator | undefined;
  readonly #work: (EngineWork | EngineWorkEnd)[] = [];

  constructor(demand: DemandReport) {
    super();
    this.#demand = demand;
  }

  override setRole(
    ...change: Parameters<PolicyListener["setRole"]>
  ): void {
    void this.orders?.setRole(...change);
  }

  override announceWork(work: EngineWork | EngineWorkEnd): void {
    this.#work.push(work);
  }

  /** Work since the last call, for other hosts. */
  takeWork(): readonly (EngineWork | EngineWorkEnd)[] {
    return this.#work.splice(0);
  }

  override publishQuarantine(
    marks: Parameters<PolicyListener["publishQuarantine"]>[0],
  ): void {
    this.membership?.publishMarks(marks);
  }

  override publishDemand(
    ...demand: Parameters<PolicyListener["publishDemand"]>
  ): void {
    this.#demand.publish(...demand);
  }
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

function createServing(base: Base): ServingParts {
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
    listener,
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

const workMessage = messageType<readonly (EngineWork | EngineWorkEnd)[]>(
  "engine_work",
);

/** Exchanges what hosts send to engines, so that all know their queues. */
function shareWork(
  base: Base,
  parts: {
    readonly transport: PeerTransport;
    readonly membership: Membership;
    readonly dispatcher: Dispatcher;
    readonly listener: RelayPolicyListener;
  },
): void {
  const { transport, membership, dispatcher, listener } = parts;
  transport.onMessage(workMessage, (works) => {
    for (const work of works) {
      dispatcher.notify(
        "ended" in work
          ? { type: "work_ended", end: work }
          : { type: "work_announced", work },
      );
    }
  });
  every(workInterval, () => {
    const body = listener.takeWork();
    if (body.length === 0) return;
    for (const { host, servesCallers } of membership.listHosts()) {
      if (servesCallers === false || host === base.settings.host) continue;
      transport.send(workMessage, { to: host, body });
    }
  }, { signal: base.stopped.signal });
}

/** Settings of the policy for servers that other hosts use as well. */
function policySettings(settings: RelayHostSettings): Partial<FleetSettings> {
  const { burst } = settings.retries;
  return {
    retryBurst: burst * retryPart,
    hedgeBurst: burst * hedgePart,
    hedgeRatio: settings.retries.ratio * hedgePart,
    // Engines batch continuously, so that long work blocks no slot of others.
    longCostFactor: 1e6,
    sharedEngines: true,
    kvFixedCost,
    kvCostPerToken,
    // A request that is given up is answered at once.
    quarantineSpread: 0,
    quarantinePeriod: 30_000,
  };
}

function createMembership(
  base: Base,
  parts: {
    readonly transport: PeerTransport;
    readonly registry: BackendRegistry;
    readonly dispatcher: Dispatcher;
    readonly demand: DemandReport;
  },
): Membership {
  const { settings, incarnation, stopped, clock, events } = base;
  const { transport, registry, dispatcher, demand } = parts;
  const self = selfRecord(settings);
  const membership: Membership = new Membership({
    self,
    incarnation,
    seeds: settings.seeds
      .filter(({ host }) => host !== settings.host)
      .map((seed) => seedRecord(settings, seed)),
    link: new TransportLink(transport),
    listener: {
      serverSeen: (record, { load, usable }) => {
        if (registry.recordOf(record.id) === undefined) {
          events.note("server_joined", {
            server: record.id,
            address: record.address,
            role: record.role,
            zone: record.availabilityZone,
          });
        }
        loseOthersAt(registry, record);
        registry.see({ record, load, usable });
      },
      serverGone: (id, gone) => {
        events.note("server_gone", { server: id, crashed: gone.crashed });
        registry.lose(id, gone);
      },
      hostSeen: (record) => {
        if (record.host === settings.host) return;
        const [address = "", port] = record.peerAddress.split(":");
        transport.setAddress(record.host, { address, port: Number(port) });
      },
      hostGone: (host) => events.note("host_gone", { peer: host }),
      marksHeard: (marks) =>
        dispatcher.notify({ type: "quarantine_reported", marks }),
      demandHeard: (totals) => {
        const hosts = membership.listHosts()
          .filter(({ servesCallers }) => servesCallers !== false)
          .map(({ host }) => host);
        dispatcher.notify({
          type: "demand_reported",
          ...demand.toEvent(totals, hosts),
        });
      },
    },
    check: () => Promise.reject(new Error("Servers are checked by use")),
    demand: () => demand.rates(),
    evidenceLimit,
    probeAge: evidenceLimit,
    signal: stopped.signal,
    clock,
  });
  return membership;
}

/** An address belongs to the process that started last. */
function loseOthersAt(registry: BackendRegistry, record: ServerRecord): void {
  for (const other of registry.records()) {
    if (other.id === record.id || other.address !== record.address) continue;
    if (other.incarnation > record.incarnation) continue;
    registry.lose(other.id, { crashed: true });
  }
}

function selfRecord(settings: RelayHostSettings): HostRecord {
  const { host, region, availabilityZone, peer, control } = settings;
  return {
    host,
    region,
    availabilityZone,
    peerAddress: `${peer.address}:${peer.port}`,
    httpAddress: control === undefined
      ? ""
      : `${control.address}:${control.port}`,
    replica: settings.seat !== undefined,
    registrar: control !== undefined,
    servesCallers: settings.callers !== undefined,
  };
}

/** A seed as it is assumed until gossip brings its own record. */
function seedRecord(
  settings: RelayHostSettings,
  seed: RelayHostSettings["seeds"][number],
): HostRecord {
  const { region, availabilityZone } = settings;
  return {
    host: seed.host,
    region,
    availabilityZone,
    peerAddress: `${seed.peer.address}:${seed.peer.port}`,
    httpAddress: "",
    replica: true,
    registrar: true,
    servesCallers: false,
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
      const service = relay().table?.services
        .find((candidate) => candidate.name as string === name);
      return service?.maxConnections ?? 0;
    },
    hosts: () =>
      membership.listHosts()
        .filter(({ servesCallers }) => servesCallers !== false).length,
  });
}

function createChecks(
  base: Base,
  parts: {
    readonly registry: BackendRegistry;
    readonly connections: ServerConnections;
    readonly relay: () => Relay;
  },
): ServerChecks {
  const { dialect } = base.options;
  const { registry, connections, relay } = parts;
  return new ServerChecks({
    signal: base.stopped.signal,
    isKnown: (server) => registry.recordOf(server) !== undefined,
    onAnswer: (server) => {
      base.events.note("server_answers", { server });
      registry.confirm(server);
    },
    check: async (server, signal) => {
      const record = registry.recordOf(server);
      if (record === undefined) return false;
      const name = poolOf(record);
      const path = relay().table?.services
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

function createDesk(parts: Parts): ControlDesk | undefined {
  const { settings, seats, documents, membership, events } = parts;
  const { replica } = seats;
  if (settings.seat === undefined || replica === undefined) return undefined;
  const safeVoters = 2 * settings.tolerance + 1;
  return new ControlDesk({
    documents,
    membership,
    replica,
    safeVoters,
    events,
  });
}

function startParts(parts: Parts): void {
  const { settings, documents, events, stopped, readiness, relay } = parts;
  const { signal } = stopped;
  parts.membership.start();
  parts.dispatcher.start({ signal });
  if (settings.callers !== undefined) {
    documents.follow({
      signal,
      // A majority of the voters; a new leader is chosen from among them.
      copies: settings.tolerance + 1,
      onDocument: ({ version, content }) => {
        const table = parts.options.readTable(content);
        relay.take(table);
        readiness.take(table);
        // Services tell what their engines can do.
        parts.registry.refresh();
        events.note("revision_in_force", {
          version,
          routes: table.routes.length,
        });
      },
      onFailure: (error) =>
        events.note("configuration_unconfirmed", {
          age: Math.round(documents.confirmationAge),
          cause: error instanceof Error ? error.message : String(error),
        }, "warn"),
    });
  }
  if (settings.seat !== undefined) startSeat(parts);
}

function startSeat(parts: Parts): void {
  const { settings, seats, transport, membership, events, stopped } = parts;
  const { replica } = seats;
  const { seat } = settings;
  if (replica === undefined || seat === undefined) return;
  const { signal } = stopped;
  const authority = createRoleAuthority(parts);
  replica.onLeadership(controlName, ({ term, leader, isLeader }) => {
    events.note("leadership", { term, leader, leads: isLeader });
    authority.lead(isLeader);
  }, { signal });
  new SeatKeeper({
    replica,
    transport,
    groups: [controlName],
    target: 2 * settings.tolerance + 1,
    hosts: () =>
      membership.listHosts()
        .filter((record) => record.replica)
        .map(({ host }) => host),
    signal,
    onNote: (event, fields) => events.note(event, fields),
  }).start();
  if (seat.bootstrap) void formSystem(parts);
}

/** Lets the leader of control order engines to change their roles. */
function createRoleAuthority(parts: Parts): RoleAuthority {
  const { settings, seats, registry, events, stopped, listener } = parts;
  const { signal } = stopped;
  const leads = () => seats.controlSeat?.leadership().isLeader ?? false;
  const executor = new OrderExecutor({
    group: seats.control,
    connector: new RelayOrderConnector({
      dialect: parts.options.dialect,
      connections: parts.connections,
      holder: settings.host,
      incarnationOf: (server) => registry.recordOf(server)?.incarnation,
    }),
    sender: { host: settings.host, incarnation: parts.incarnation },
    leads,
    signal,
    writeWindow: orderWriteWindow,
  });
  const orders = new OrderCoordinator({
    executor,
    backends: registry,
    events,
    leads,
    enginesDrainThemselves: true,
    maxEnginesAway: () => Infinity,
    readLoad: () => Promise.reject(new Error("Engines drain themselves")),
  });
  orders.start({ signal });
  listener.orders = orders;
  return new RoleAuthority({
    settleTime: settings.orderLease + orderWriteWindow,
    signal,
    onChange: (held) => {
      events.note("role_authority", { held: held ? "yes" : "no" });
      parts.dispatcher.notify({ type: "role_authority_changed", held });
    },
  });
}

/** Forms the system if this host is the first of the seeds. */
async function formSystem(parts: Parts): Promise<void> {
  const { settings, seats, events, stopped } = parts;
  const hosts = settings.seeds.map(({ host }) => host).toSorted();
  if (hosts[0] !== settings.host) return;
  while (!stopped.signal.aborted && !seats.isBootstrapped) {
    try {
      await seats.replica?.bootstrap({ hosts, timeout: 1_000 });
      events.note("system_formed", { seats: hosts.length });
    } catch (thrown) {
      const cause = thrown instanceof Error ? thrown.message : String(thrown);
      events.note("system_not_formed", { cause });
      await delay(bootstrapPause);
    }
  }
}

async function listenPlain(
  endpoint: { readonly address: string; readonly port: number },
  answer: () =>
    | { status: number; body: string }
    | Promise<{ status: number; body: string }>,
): Promise<{ close(): Promise<void> }> {
  const server: Server = createServer(async (_request, response) => {
    const { status, body } = await answer();
    response.writeHead(status, { "content-type": "text/plain" }).end(body);
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(endpoint.port, endpoint.address, resolve);
  });
  return {
    close: () =>
      new Promise((resolve) => {
        server.closeAllConnections();
        server.close(() => resolve());
      }),
  };
}
