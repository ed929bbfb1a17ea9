/**
 * Part of a relay host in control: its seat, orders and operators' calls.
 *
 * @module
 */

import { delay } from "rhubarbstage";
import { OrderExecutor } from "@rhubarbstage/control";
import { SeatReconciler } from "@rhubarbstage/replica";
import { ControlApi } from "./control_desk.ts";
import { OrderCoordinator } from "./order_coordinator.ts";
import { RelayOrderConnector } from "./relay_orders.ts";
import type { RelayHostComponents } from "./relay_parts.ts";
import { RoleAuthority } from "./role_authority.ts";
import { controlGroupName } from "./seat_operations.ts";

/** Time between two tries to form the system, in milliseconds. */
const bootstrapPause = 300;
/**
 * Longest time from the intent of an order to its write, in milliseconds: a
 * few round trips between regions.
 */
const orderWriteWindow = 500;

/** Answers servers and operators, on hosts with a seat. */
export function createControlApi(
  parts: RelayHostComponents,
): ControlApi | undefined {
  const { settings, seats, documents, membership, events } = parts;
  const { replica } = seats;
  if (settings.seat === undefined || replica === undefined) return undefined;
  const safeVoters = 2 * settings.toleratedDiskLosses + 1;
  return new ControlApi({
    documents,
    membership,
    replica,
    requiredVoters: safeVoters,
    events,
  });
}

/** Takes part in control, on hosts with a seat. */
export function startControlSeat(parts: RelayHostComponents): void {
  const {
    settings,
    seats,
    transport,
    membership,
    events,
    stopController: stopped,
  } = parts;
  const { replica } = seats;
  const { seat } = settings;
  if (replica === undefined || seat === undefined) return;
  const { signal } = stopped;
  const authority = createRoleAuthority(parts);
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
  if (seat.bootstrap) void formSystem(parts);
}

/** Lets the leader of control order engines to change their roles. */
function createRoleAuthority(parts: RelayHostComponents): RoleAuthority {
  const {
    settings,
    seats,
    registry,
    events,
    stopController: stopped,
    listener,
  } = parts;
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
    isLeader: leads,
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
    activationDelay: settings.orderLease + orderWriteWindow,
    signal,
    onChange: (held) => {
      events.record("role_authority", { held: held ? "yes" : "no" });
      parts.dispatcher.notify({ type: "role_authority_changed", held });
    },
  });
}

/** Forms the system if this host is the first of the seeds. */
async function formSystem(parts: RelayHostComponents): Promise<void> {
  const { settings, seats, events, stopController: stopped } = parts;
  const hosts = settings.seeds.map(({ host }) => host).toSorted();
  if (hosts[0] !== settings.host) return;
  while (!stopped.signal.aborted && !seats.isBootstrapped) {
    try {
      await seats.replica?.bootstrap({ hosts, timeout: 1_000 });
      events.record("system_formed", { seats: hosts.length });
    } catch (thrown) {
      const cause = thrown instanceof Error ? thrown.message : String(thrown);
      events.record("system_not_formed", { cause });
      await delay(bootstrapPause);
    }
  }
}
