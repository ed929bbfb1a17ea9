/**
 * Status of this host, and of other hosts and backend servers in its membership
 * view, for operators.
 *
 * @module
 */

import type { Incarnation, ServiceName } from "rhubarbstage";
import type { OrderIntent } from "@rhubarbstage/control";
import type { RequestCounts } from "@rhubarbstage/gateway";
import type {
  HostRecord,
  Membership,
  ServerView,
} from "@rhubarbstage/membership";
import type {
  BackendStatus,
  Endpoint,
  GroupStatus,
  HostStatus,
  ProcessSettings,
  StatusAnswer,
} from "@rhubarbstage/settings";
import { backendStateOf } from "./backend_state.ts";
import type { BackendRegistry } from "./backend_registry.ts";
import type { Lifecycle } from "./lifecycle.ts";
import type { ReplicatedGroups } from "./seat_operations.ts";
import type { ActiveSettings } from "./active_settings.ts";

/** Options of {@linkcode HostStatusReport}. */
export interface HostStatusReportOptions {
  readonly process: ProcessSettings;
  readonly incarnation: Incarnation;
  readonly version: string;
  readonly settings: ActiveSettings;
  readonly lifecycle: Lifecycle;
  readonly membership: Membership;
  readonly backends: BackendRegistry;
  readonly seats: ReplicatedGroups;
  /** Running and queued requests by service. */
  readonly countRequests: () => ReadonlyMap<ServiceName, RequestCounts>;
}

/** Builds the status answers of the operator interface. */
export class HostStatusReport {
  #options: HostStatusReportOptions;

  constructor(options: HostStatusReportOptions) {
    this.#options = options;
  }

  /** Status of this host, its groups and the hosts that it knows. */
  report(): StatusAnswer {
    const { process, incarnation, version, settings } = this.#options;
    const { lifecycle, seats, countRequests } = this.#options;
    const requests = [...countRequests().values()];
    const reason = lifecycle.notReadyReason();
    return {
      host: process.host,
      cluster: process.cluster,
      version,
      region: process.region,
      availability_zone: process.availabilityZone,
      incarnation,
      ready: reason === undefined,
      ...(reason === undefined ? {} : { not_ready_reason: reason }),
      shutting_down: lifecycle.shuttingDown,
      isolated: settings.isolated,
      ...(settings.ready
        ? {
          revision: settings.configuration.revision,
          confirmation_age_ms: Math.round(settings.confirmationAge),
        }
        : {}),
      running_requests: sum(requests.map(({ running }) => running)),
      queued_requests: sum(requests.map(({ queued }) => queued)),
      bootstrapped: seats.isBootstrapped,
      ...(seats.replicaId === undefined ? {} : { replica: seats.replicaId }),
      groups: this.groups(),
      hosts: this.#hosts(),
    };
  }

  /** Replicated groups with a seat on this host. */
  groups(): readonly GroupStatus[] {
    return this.#options.seats.status().map((group) => ({
      group: group.group,
      term: group.term,
      ...(group.leader === undefined ? {} : { leader: group.leader }),
      commit_index: group.commitIndex,
      seats: group.seats.map((seat) => ({
        host: seat.host,
        replica: seat.replica,
        voter: seat.role === "voter",
        durable_index: seat.durableIndex ?? 0,
      })),
    }));
  }

  /** Backend servers with their open orders, sorted by id. */
  backends(openOrders: readonly OrderIntent[]): readonly BackendStatus[] {
    const orders = new Map(
      openOrders.map((intent) => [intent.backendServer, intent]),
    );
    return this.#options.membership.listServers()
      .map((server) => this.#backend(server, orders.get(server.record.id)))
      .sort((left, right) => left.server < right.server ? -1 : 1);
  }

  #backend(
    server: ServerView,
    order: OrderIntent | undefined,
  ): BackendStatus {
    const { record, load, evidenceAge } = server;
    const state = backendStateOf(server, this.#options.backends);
    return {
      server: record.id,
      incarnation: record.incarnation,
      address: record.address,
      region: record.region,
      availability_zone: record.availabilityZone,
      models: record.models,
      services: record.services,
      role: record.role,
      state,
      honours_fencing: record.honoursFencing,
      evidence_age_ms: Math.round(evidenceAge),
      running_requests: load?.runningRequests ?? 0,
      queued_requests: load?.queuedRequests ?? 0,
      ...(order === undefined ? {} : {
        order: {
          order_id: order.orderId,
          kind: order.kind,
          fencing_number: order.fencingNumber,
        },
      }),
    };
  }

  #hosts(): readonly HostStatus[] {
    return this.#options.membership.listKnownHosts().map((known) => ({
      host: known.record.host,
      region: known.record.region,
      availability_zone: known.record.availabilityZone,
      incarnation: known.incarnation,
      alive: known.alive,
      ...(known.revision === undefined ? {} : { revision: known.revision }),
      replica: known.record.replica,
      http: parseEndpoint(known.record),
    }));
  }
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

function parseEndpoint(record: HostRecord): Endpoint {
  const { hostname, port } = new URL(record.httpAddress);
  return { address: hostname, port: Number(port) };
}
