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
import { PeerMembershipTransport } from "./membership_transport.ts";
import type { RelayHostSettings } from "./relay_host_settings.ts";
import type { RelayHostContext } from "./relay_parts.ts";

/**
 * Maximum time since the last sign that a server runs (its evidence age) for it
 * to get work, in ms.
 * A host cut off from control keeps using its servers: attempts name their
 * target process, and failed ones reveal lost servers.
 */
const maxEvidenceAge = 120_000;

/** Creates membership and passes its updates to the registry and the policy. */
export function createMembership(
  context: RelayHostContext,
  parts: {
    readonly transport: PeerTransport;
    readonly registry: BackendRegistry;
    readonly dispatcher: Dispatcher;
    readonly demand: DemandReport;
  },
): Membership {
  const { settings, incarnation, stopController, clock, events } = context;
  const { transport, registry, dispatcher, demand } = parts;
  const self = createLocalRecord(settings);
  const membership: Membership = new Membership({
    self,
    incarnation,
    seeds: settings.seeds
      .filter(({ host }) => host !== settings.host)
      .map((seed) => createSeedRecord(settings, seed)),
    transport: new PeerMembershipTransport(transport),
    listener: {
      serverUpdated: (record, { load, usable }) => {
        if (registry.recordOf(record.id) === undefined) {
          events.record("server_joined", {
            server: record.id,
            address: record.address,
            role: record.role,
            software_version: record.softwareVersion ?? "",
            zone: record.availabilityZone,
          });
        }
        removeOtherServersAt(registry, record);
        registry.updateServer({ record, load, usable });
      },
      serverGone: (id, options) => {
        events.record("server_gone", { server: id, crashed: options.crashed });
        const address = registry.recordOf(id)?.address;
        registry.removeServer(id, options);
        restoreServersAt(address, { membership, registry });
      },
      hostUpdated: (record) => {
        if (record.host === settings.host) return;
        const [address = "", port] = record.peerAddress.split(":");
        transport.setAddress(record.host, { address, port: Number(port) });
      },
      hostGone: (host) => events.record("host_gone", { peer: host }),
      quarantineMarksReceived: (marks) =>
        dispatcher.notify({ type: "quarantine_reported", marks }),
      requestLimitsReceived: (limits) =>
        dispatcher.notify({ type: "request_limits_reported", limits }),
      partMarksReceived: (marks) =>
        dispatcher.notify({ type: "part_marks_reported", marks }),
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
    checkServer: () =>
      Promise.reject(
        new Error("Servers are checked by requests, not by membership"),
      ),
    demand: () => demand.rates(),
    maxEvidenceAge,
    recheckAge: maxEvidenceAge,
    signal: stopController.signal,
    clock,
  });
  return membership;
}

/** Removes other servers at an address: it belongs to the newest process. */
function removeOtherServersAt(
  registry: BackendRegistry,
  record: ServerRecord,
): void {
  for (const other of registry.records()) {
    if (other.id === record.id || other.address !== record.address) continue;
    if (other.incarnation > record.incarnation) continue;
    registry.removeServer(other.id, { crashed: true });
  }
}

/**
 * Restores servers that lost their address to another one, which is gone. If the
 * address is not theirs any more, requests to them are refused as misdirected.
 */
function restoreServersAt(
  address: string | undefined,
  parts: {
    readonly membership: Membership;
    readonly registry: BackendRegistry;
  },
): void {
  const { membership, registry } = parts;
  for (const { record, load, usable } of membership.listServers()) {
    const isKnown = registry.recordOf(record.id) !== undefined;
    if (isKnown || record.address !== address) continue;
    registry.updateServer({ record, usable, ...(load && { load }) });
  }
}

function createLocalRecord(settings: RelayHostSettings): HostRecord {
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

/** Creates the record assumed for a seed until gossip delivers its own. */
function createSeedRecord(
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
