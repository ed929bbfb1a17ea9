/**
 * Membership, policy and calls to backend servers.
 *
 * @module
 */

import {
  ClaimJournal,
  type HostProcess,
  OrderExecutor,
} from "@rhubarbstage/control";
import { EngineClient } from "@rhubarbstage/engine";
import { Dispatcher } from "@rhubarbstage/gateway";
import { type HostRecord, Membership } from "@rhubarbstage/membership";
import { FleetPolicy } from "@rhubarbstage/policy";
import { ClaimRunner, RepeatableClient } from "@rhubarbstage/service";
import type { PeerHost, ProcessSettings } from "@rhubarbstage/settings";
import { BackendRegistry } from "./backend_registry.ts";
import { DemandReport } from "./demand_report.ts";
import { EngineOrderConnector } from "./engine_orders.ts";
import type { HostContext } from "./host_context.ts";
import { HostPolicyEffectHandler } from "./host_policy_effect_handler.ts";
import { HostTelemetry } from "./host_telemetry.ts";
import { PeerMembershipTransport } from "./membership_transport.ts";
import { OrderCoordinator } from "./order_coordinator.ts";
import type { Replication } from "./replication.ts";

/** Timeout of a request for an engine's load, in milliseconds. */
const loadTimeout = 2_000;

/** Components that serve requests. */
export interface ServingComponents {
  readonly backends: BackendRegistry;
  readonly dispatcher: Dispatcher;
  readonly membership: Membership;
  readonly journal: ClaimJournal;
  readonly claims: ClaimRunner;
  readonly repeatable: RepeatableClient;
  readonly engines: EngineClient;
  readonly orders: OrderCoordinator;
  readonly telemetry: HostTelemetry;
}

/** Creates and connects the components that serve requests; starts none. */
export function createServingComponents(
  context: HostContext,
  replication: Replication,
  options: { readonly sample: () => void },
): ServingComponents {
  const { process, clock, events, metrics, settings, tokens } = context;
  const backends = new BackendRegistry({ settings });
  const engines = new EngineClient({ token: tokens.backendServers[0]?.value });
  const telemetry = new HostTelemetry({
    metrics,
    events,
    sample: options.sample,
  });
  const demand = new DemandReport({ host: process.host });
  const orders = createOrderCoordinator(context, replication, {
    backends,
    engines,
  });
  const effectHandler = new HostPolicyEffectHandler({
    orders,
    demand,
    metrics,
  });
  const dispatcher = new Dispatcher({
    policy: new FleetPolicy({
      region: process.region,
      seed: context.incarnation % 2 ** 32,
    }),
    engines,
    backendServers: backends,
    effectHandler,
    telemetry,
    clock,
  });
  const membership = createMembership(context, replication, {
    backends,
    demand,
    dispatcher,
    engines,
    orders,
  });
  effectHandler.membership = membership;
  backends.connect({ membership, dispatcher });
  const journal = new ClaimJournal({
    groups: replication.seats.journals,
    claimer: hostProcessOf(context),
  });
  const claims = createClaimRunner(context, journal, membership);
  return {
    backends,
    dispatcher,
    membership,
    journal,
    claims,
    repeatable: new RepeatableClient(),
    engines,
    orders,
    telemetry,
  };
}

function hostProcessOf(context: HostContext): HostProcess {
  const { process, incarnation } = context;
  return { host: process.host, incarnation };
}

function createOrderCoordinator(
  context: HostContext,
  replication: Replication,
  parts: Pick<ServingComponents, "backends" | "engines">,
): OrderCoordinator {
  const { events, settings, tokens } = context;
  const { backends, engines } = parts;
  const { seats } = replication;
  const isLeader = () => seats.controlSeat?.leadership().isLeader ?? false;
  const executor = new OrderExecutor({
    group: seats.control,
    connector: new EngineOrderConnector({
      token: tokens.backendServers[0]?.value,
    }),
    sender: hostProcessOf(context),
    isLeader,
    signal: context.stopController.signal,
  });
  return new OrderCoordinator({
    executor,
    backends,
    events,
    isLeader,
    maxUnavailableEngines: ({ region, models: [model] }) => {
      if (model === undefined || !settings.ready) return 0;
      const service = settings.tree.serviceOfModel(region, model);
      return service?.pool.maxUnavailableEngines ?? 0;
    },
    readLoad: async ({ backendServer: id, address: url }) => {
      const signal = AbortSignal.timeout(loadTimeout);
      return (await engines.status({ id, url }, { signal })).load;
    },
  });
}

function createClaimRunner(
  context: HostContext,
  journal: ClaimJournal,
  membership: Membership,
): ClaimRunner {
  const { clock, events, settings } = context;
  return new ClaimRunner({
    journal,
    claimer: hostProcessOf(context),
    clock,
    isolated: () => settings.isolated,
    newestIncarnation: (host) => membership.newestIncarnation(host),
    onEvent: ({ event, ...fields }) => events.record(event, fields),
  });
}

function createMembership(
  context: HostContext,
  replication: Replication,
  parts:
    & Pick<ServingComponents, "backends" | "dispatcher" | "engines" | "orders">
    & {
      readonly demand: DemandReport;
    },
): Membership {
  const { process, incarnation, clock, stopController: controller } = context;
  const { backends, demand, dispatcher, engines, orders } = parts;
  const { transport } = replication;
  const membership: Membership = new Membership({
    self: createLocalRecord(process),
    incarnation,
    seeds: process.peers.map(createSeedRecord),
    transport: new PeerMembershipTransport(transport),
    listener: {
      serverUpdated: (record, { load, usable }) => {
        backends.updateServer({ record, load, usable });
        void orders.endStaleOrders(record);
      },
      serverGone: (id, gone) => backends.removeServer(id, gone),
      hostUpdated: (record) => updatePeerAddress(transport, process, record),
      quarantineMarksReceived: (marks) =>
        dispatcher.notify({ type: "quarantine_reported", marks }),
      requestLimitsReceived: (limits) =>
        dispatcher.notify({ type: "request_limits_reported", limits }),
      partMarksReceived: (marks) =>
        dispatcher.notify({ type: "part_marks_reported", marks }),
      cacheChanged: (change) => backends.applyCacheChange(change),
      totalDemandUpdated: (totals) => {
        const hosts = membership.listLiveHosts().map(({ host }) => host);
        dispatcher.notify({
          type: "demand_reported",
          ...demand.toEvent(totals, hosts),
        });
      },
    },
    checkServer: async (address, { signal }) => {
      const status = await engines.status(
        { id: "" as never, url: address },
        { signal },
      );
      const leaving = status.state === "leaving";
      return { incarnation: status.incarnation, leaving };
    },
    demand: () => demand.rates(),
    signal: controller.signal,
    clock,
  });
  return membership;
}

function createLocalRecord(process: ProcessSettings): HostRecord {
  const { http, peer } = process;
  const scheme = process.tls === undefined ? "http" : "https";
  return {
    host: process.host,
    region: process.region,
    availabilityZone: process.availabilityZone,
    peerAddress: `${peer.advertise.address}:${peer.advertise.port}`,
    httpAddress: `${scheme}://${http.advertise.address}:${http.advertise.port}`,
    replica: process.dataFolder !== undefined,
  };
}

function createSeedRecord(peer: PeerHost): HostRecord {
  return {
    host: peer.host,
    region: peer.region,
    availabilityZone: peer.availabilityZone,
    peerAddress: `${peer.address}:${peer.port}`,
    // Placeholder until gossip delivers the host's own record.
    httpAddress: `http://${peer.address}:${peer.port}`,
    replica: peer.replica,
  };
}

function updatePeerAddress(
  transport: Replication["transport"],
  process: ProcessSettings,
  record: HostRecord,
): void {
  // Configured addresses take precedence, as an operator may
  // route links through a proxy.
  const configured = process.peers.some(({ host }) => host === record.host);
  if (configured || record.host === process.host) return;
  const [address = "", port] = record.peerAddress.split(":");
  transport.setAddress(record.host, { address, port: Number(port) });
}
