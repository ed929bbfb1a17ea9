/**
 * Membership of a relay host.
 *
 * @module
 */

import type { Dispatcher } from "@rhubarbstage/gateway/dispatch";
import {
  type HostRecord,
  Membership,
  type ServerRecord,
} from "@rhubarbstage/membership";
import type { PeerTransport } from "@rhubarbstage/transport";
import type { BackendRegistry } from "./backend_registry.ts";
import type { DemandReport } from "./demand_report.ts";
import { TransportLink } from "./membership_link.ts";
import type { RelayHostSettings } from "./relay_host_settings.ts";
import type { Base } from "./relay_parts.ts";

/**
 * Oldest evidence on which a server gets work. Attempts name the process that
 * they are meant for and own failures tell of lost servers, so that a host that
 * is cut off from control goes on with what it knows.
 */
const evidenceLimit = 120_000;

/** Creates membership; it tells registry and policy of what it hears. */
export function createMembership(
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
