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
import { TransportLink } from "./membership_transport.ts";
import type { RelayHostSettings } from "./relay_host_settings.ts";
import type { RelayHostContext } from "./relay_parts.ts";

/**
 * Oldest evidence on which a server gets work. Attempts name the process that
 * they are meant for and own failures tell of lost servers, so that a host that
 * is cut off from control goes on with what it knows.
 */
const evidenceLimit = 120_000;

/** Creates membership; it tells registry and policy of what it hears. */
export function createMembership(
  base: RelayHostContext,
  parts: {
    readonly transport: PeerTransport;
    readonly registry: BackendRegistry;
    readonly dispatcher: Dispatcher;
    readonly demand: DemandReport;
  },
): Membership {
  const { settings, incarnation, stopController: stopped, clock, events } =
    base;
  const { transport, registry, dispatcher, demand } = parts;
  const self = selfRecord(settings);
  const membership: Membership = new Membership({
    self,
    incarnation,
    seeds: settings.seeds
      .filter(({ host }) => host !== settings.host)
      .map((seed) => seedRecord(settings, seed)),
    transport: new TransportLink(transport),
    listener: {
      serverUpdated: (record, { load, usable }) => {
        if (registry.recordOf(record.id) === undefined) {
          events.record("server_joined", {
            server: record.id,
            address: record.address,
            role: record.role,
            zone: record.availabilityZone,
          });
        }
        loseOthersAt(registry, record);
        registry.updateServer({ record, load, usable });
      },
      serverGone: (id, gone) => {
        events.record("server_gone", { server: id, crashed: gone.crashed });
        registry.removeServer(id, gone);
      },
      hostUpdated: (record) => {
        if (record.host === settings.host) return;
        const [address = "", port] = record.peerAddress.split(":");
        transport.setAddress(record.host, { address, port: Number(port) });
      },
      hostGone: (host) => events.record("host_gone", { peer: host }),
      quarantineMarksReceived: (marks) =>
        dispatcher.notify({ type: "quarantine_reported", marks }),
      totalDemandUpdated: (totals) => {
        const hosts = membership.listLiveHosts()
          .filter(({ servesCallers }) => servesCallers !== false)
          .map(({ host }) => host);
        dispatcher.notify({
          type: "demand_reported",
          ...demand.toEvent(totals, hosts),
        });
      },
    },
    checkServer: () => Promise.reject(new Error("Servers are checked by use")),
    demand: () => demand.rates(),
    maxEvidenceAge: evidenceLimit,
    recheckAge: evidenceLimit,
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
    registry.removeServer(other.id, { crashed: true });
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
