/**
 * Selection of the hosts that own the records of backend servers.
 *
 * @module
 */

import type { BackendServerId, HostId, Region } from "rhubarbstage";
import { registrarsPerRegion, registrarTimeout } from "./constants.ts";
import { hashText } from "rhubarbstage";
import { findHostRecord, type HostLog, type MembershipState } from "./state.ts";

function isRecent(state: MembershipState, log: HostLog, now: number): boolean {
  if (log.host === state.self.host) return true;
  return now - log.heartbeatAt <= registrarTimeout;
}

/** Selects the hosts with the smallest hashes in each region. */
export function selectRegistrars(
  state: MembershipState,
  now: number,
): Map<Region, HostId[]> {
  const byRegion = new Map<Region, HostLog[]>();
  for (const log of state.logs.values()) {
    const record = findHostRecord(state, log.host);
    if (record === undefined || record.registrar === false) continue;
    // Others' heartbeats are too rare for the registrar timeout.
    const isEligible = state.registrars.has(log.host)
      ? isRecent(state, log, now)
      : log.alive;
    if (!isEligible) continue;
    const ranked = byRegion.get(record.region) ?? [];
    ranked.push(log);
    byRegion.set(record.region, ranked);
  }
  const selected = new Map<Region, HostId[]>();
  for (const [region, ranked] of byRegion) {
    ranked.sort((left, right) => left.rank - right.rank);
    const hosts = ranked.slice(0, registrarsPerRegion).map(({ host }) => host);
    selected.set(region, hosts);
  }
  return selected;
}

/**
 * Picks by rendezvous hashing in the region, else in all regions, else this
 * host.
 */
export function pickRegistrar(
  state: MembershipState,
  server: { readonly id: BackendServerId; readonly region: Region },
): HostId {
  const regional = state.registrarsByRegion.get(server.region);
  const candidates = regional ?? [...state.registrars];
  let best = state.self.host;
  let bestRank = -1;
  for (const host of candidates) {
    const rank = hashText(`${host}\n${server.id}`);
    if (rank > bestRank) {
      best = host;
      bestRank = rank;
    }
  }
  return best;
}
