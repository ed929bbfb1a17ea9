/**
 * Control seat of a relay host, with its orders and the operators' interface.
 *
 * @module
 */

import { delay } from "rhubarbstage";
import { OrderExecutor } from "@rhubarbstage/control";
import { SeatReconciler } from "@rhubarbstage/replica";
import { ControlApi } from "./control_api.ts";
import { OrderCoordinator } from "./order_coordinator.ts";
import { startDuties } from "./relay_duties.ts";
import { RelayOrderConnector } from "./relay_orders.ts";
import type { RelayHostComponents } from "./relay_parts.ts";
import { startScaling } from "./relay_scaling.ts";
import { RoleAuthority } from "./role_authority.ts";
import { controlGroupName } from "./seat_operations.ts";

/** Delay before a failed bootstrap is retried, in milliseconds. */
const bootstrapRetryInterval = 300;
/**
 * Maximum time from proposing an order's intent to sending the order, in
 * milliseconds: a few round trips between regions.
 */
const orderWriteWindow = 500;

/** Creates the interface for servers and operators, on hosts with a seat. */
export function createControlApi(
  components: RelayHostComponents,
): ControlApi | undefined {
  const { settings, seats, documents, membership, events } = components;
  const { replica } = seats;
  if (settings.seat === undefined || replica === undefined) return undefined;
  const voterCount = 2 * settings.toleratedDiskLosses + 1;
  return new ControlApi({
    documents,
    membership,
    replica,
    requiredVoters: voterCount,
    events,
  });
}

/** Starts seat reconciliation and order sending, on hosts with a seat. */
export function startControlSeat(components: RelayHostComponents): void {
  const {
    settings,
    seats,
    transport,
    membership,
    events,
    stopController,
  } = components;
  const { replica } = seats;
  const { seat } = settings;
  if (replica === undefined || seat === undefined) return;
  const { signal } = stopController;
  const authority = startOrderCoordination(components);
  replica.onLeadership(controlGroupName, ({ term, leader, isLeader }) => {
    events.record("leadership", { term, leader, leads: isLeader });
    authority.updateLeadership(isLeader);
  }, { signal });
  new SeatReconciler({
    replica,
    transport,
    groups: [controlGroupName],
    targetVoterCount: 2 * settings.toleratedDiskLosses + 1,
    hosts: () =>
      membership.listLiveHosts()
        .filter((record) => record.replica)
        .map(({ host }) => host),
    signal,
    onEvent: (event, fields) => events.record(event, fields),
  }).start();
  const duties = startDuties(components);
  if (duties !== undefined && settings.duties?.duties.includes("scaling")) {
    startScaling(components, duties);
  }
  if (seat.bootstrap) void bootstrapSystem(components);
}

/** Starts the order coordinator and returns the authority over roles. */
function startOrderCoordination(
  components: RelayHostComponents,
): RoleAuthority {
  const {
    settings,
    seats,
    registry,
    events,
    stopController,
    effectHandler,
  } = components;
  const { signal } = stopController;
  const isLeader = () => seats.controlSeat?.leadership().isLeader ?? false;
  const executor = new OrderExecutor({
    group: seats.control,
    connector: new RelayOrderConnector({
      dialect: components.options.dialect,
      connections: components.connections,
      holder: settings.host,
      incarnationOf: (server) => registry.recordOf(server)?.incarnation,
    }),
    sender: { host: settings.host, incarnation: components.incarnation },
    isLeader,
    signal,
    writeWindow: orderWriteWindow,
  });
  const orders = new OrderCoordinator({
    executor,
    backends: registry,
    events,
    isLeader,
    enginesDrainThemselves: true,
    maxUnavailableEngines: () => Infinity,
    readLoad: () =>
      Promise.reject(
        new Error("readLoad is not supported: the engines drain themselves"),
      ),
  });
  orders.start({ signal });
  effectHandler.orders = orders;
  return new RoleAuthority({
    activationDelay: settings.orderHandoverDelay + orderWriteWindow,
    signal,
    onChange: (held) => {
      events.record("role_authority", { held: held ? "yes" : "no" });
      components.dispatcher.notify({ type: "role_authority_changed", held });
    },
  });
}

/** Bootstraps the system, with retries, only on the first seed by id. */
async function bootstrapSystem(components: RelayHostComponents): Promise<void> {
  const { settings, seats, events, stopController } = components;
  const hosts = settings.seeds.map(({ host }) => host).toSorted();
  if (hosts[0] !== settings.host) return;
  while (!stopController.signal.aborted && !seats.isBootstrapped) {
    try {
      await seats.replica?.bootstrap({ hosts, timeout: 1_000 });
      events.record("system_formed", { seats: hosts.length });
    } catch (thrown) {
      const cause = thrown instanceof Error ? thrown.message : String(thrown);
      events.record("system_not_formed", { cause });
      await delay(bootstrapRetryInterval);
    }
  }
}
