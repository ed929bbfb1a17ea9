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
import type { HostContext } from "./foundation.ts";
import { HostPolicyListener } from "./host_policy_listener.ts";
import { HostTelemetry } from "./host_telemetry.ts";
import { TransportLink } from "./membership_link.ts";
import { OrderCoordinator } from "./order_coordinator.ts";
import type { Replication } from "./replication.ts";

/** Time that an engine has to report its load, in milliseconds. */
const loadTimeout = 2_000;

/** Parts that serve requests. */
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

/** Connects the parts that serve requests; nothing runs yet. */
export function createServingComponents(
  foundation: HostContext,
  replication: Replication,
  options: { readonly sample: () => void },
): ServingComponents {
  const { process, clock, events, metrics, settings, tokens } = foundation;
  const backends = new BackendRegistry({ settings });
  const engines = new EngineClient({ token: tokens.backendServers[0]?.value });
  const telemetry = new HostTelemetry({
    metrics,
    events,
    sample: options.sample,
  });
  const demand = new DemandReport({ host: process.host });
  const orders = createOrderCoordinator(foundation, replication, {
    backends,
    engines,
  });
  const listener = new HostPolicyListener({ orders, demand, metrics });
  const dispatcher = new Dispatcher({
    policy: new FleetPolicy({
      region: process.region,
      seed: foundation.incarnation % 2 ** 32,
    }),
    engines,
    backendServers: backends,
    effectHandler: listener,
    telemetry,
    clock,
  });
  const membership = createMembership(foundation, replication, {
    backends,
    demand,
    dispatcher,
    engines,
    orders,
  });
  listener.membership = membership;
  backends.connect({ membership, dispatcher });
  const journal = new ClaimJournal({
    groups: replication.seats.journals,
    claimer: senderOf(foundation),
  });
  const claims = createClaimRunner(foundation, journal, membership);
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

function senderOf(foundation: HostContext): HostProcess {
  const { process, incarnation } = foundation;
  return { host: process.host, incarnation };
}

function createOrderCoordinator(
  foundation: HostContext,
  replication: Replication,
  parts: Pick<ServingComponents, "backends" | "engines">,
): OrderCoordinator {
  const { events, settings, tokens } = foundation;
  const { backends, engines } = parts;
  const { seats } = replication;
  const leads = () => seats.controlSeat?.leadership().isLeader ?? false;
  const executor = new OrderExecutor({
    group: seats.control,
    connector: new EngineOrderConnector({
      token: tokens.backendServers[0]?.value,
    }),
    sender: senderOf(foundation),
    isLeader: leads,
    signal: foundation.stopController.signal,
  });
  return new OrderCoordinator({
    executor,
    backends,
    events,
    leads,
    maxEnginesAway: ({ region, models: [model] }) => {
      if (model === undefined || !settings.ready) return 0;
      const service = settings.tree.serviceOfModel(region, model);
      return service?.pool.maxEnginesAway ?? 0;
    },
    readLoad: async ({ backendServer: id, address: url }) => {
      const signal = AbortSignal.timeout(loadTimeout);
      return (await engines.status({ id, url }, { signal })).load;
    },
  });
}

function createClaimRunner(
  foundation: HostContext,
  journal: ClaimJournal,
  membership: Membership,
): ClaimRunner {
  const { clock, events, settings } = foundation;
  return new ClaimRunner({
    journal,
    claimer: senderOf(foundation),
    clock,
    isolated: () => settings.isolated,
    newestIncarnation: (host) => membership.newestIncarnation(host),
    onEvent: ({ event, ...fields }) => events.record(event, fields),
  });
}

function createMembership(
  foundation: HostContext,
  replication: Replication,
  parts:
    & Pick<ServingComponents, "backends" | "dispatcher" | "engines" | "orders">
    & {
      readonly demand: DemandReport;
    },
): Membership {
  const { process, incarnation, clock, stopController: stopped } = foundation;
  const { backends, demand, dispatcher, engines, orders } = parts;
  const { transport } = replication;
  const membership: Membership = new Membership({
    self: selfRecord(process),
    incarnation,
    seeds: process.peers.map(seedRecord),
    transport: new TransportLink(transport),
    listener: {
      serverUpdated: (record, { load, usable }) => {
        backends.updateServer({ record, load, usable });
        void orders.endStaleOrders(record);
      },
      serverGone: (id, gone) => backends.removeServer(id, gone),
      hostUpdated: (record) => learnAddress(transport, process, record),
      quarantineMarksReceived: (marks) =>
        dispatcher.notify({ type: "quarantine_reported", marks }),
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
    signal: stopped.signal,
    clock,
  });
  return membership;
}

function selfRecord(process: ProcessSettings): HostRecord {
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

function seedRecord(peer: PeerHost): HostRecord {
  return {
    host: peer.host,
    region: peer.region,
    availabilityZone: peer.availabilityZone,
    peerAddress: `${peer.address}:${peer.port}`,
    // Gossip replaces the record as soon as the host is heard.
    httpAddress: `http://${peer.address}:${peer.port}`,
    replica: peer.replica,
  };
}

function learnAddress(
  transport: Replication["transport"],
  process: ProcessSettings,
  record: HostRecord,
): void {
  // Addresses in the process settings win, because an operator may send links
  // through a relay.
  const configured = process.peers.some(({ host }) => host === record.host);
  if (configured || record.host === process.host) return;
  const [address = "", port] = record.peerAddress.split(":");
  transport.setAddress(record.host, { address, port: Number(port) });
}
