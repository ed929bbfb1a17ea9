/**
 * Periodic gossip round and immediate propagation of changes.
 *
 * @module
 */

import {
  directPushLimit,
  loadLifetime,
  maxChecksPerRound,
  peerSelectionInterval,
  removalRetention,
  renewTimeout,
  tombstoneRetention,
} from "./constants.ts";
import type { HostId } from "rhubarbstage";
import { buildDigest, DeltaBuilder, ownLog, writeEntry } from "./host_logs.ts";
import { pickGossipTargets, selectNeighbours } from "./neighbours.ts";
import { selectRegistrars } from "./registrars.ts";
import { type Effects, refreshServer, removeServer } from "./server_records.ts";
import {
  isAlive,
  type MembershipState,
  newestEvidenceAt,
  serverKey,
} from "./state.ts";
import type { GossipMessage } from "./types.ts";

/** Runs one round: expiry, peer selection, direct checks and gossip. */
export function tick(
  state: MembershipState,
  now: number,
  effects: Effects,
): void {
  const log = ownLog(state);
  log.heartbeat += 1;
  log.heartbeatAt = now;
  expireServers(state, now, effects);
  refreshHosts(state, now, effects);
  selectPeers(state, now);
  dropExpiredState(state, now);
  startChecks(state, now, effects);
  const message = buildRoundMessage(state, now);
  for (const to of pickGossipTargets(state, now)) {
    effects.push({ type: "send", to, message });
  }
}

/** Gossips immediately with a host whose link has come up. */
export function gossipWithLinkedHost(
  state: MembershipState,
  event: { readonly host: HostId; readonly now: number },
  effects: Effects,
): void {
  const { host: to, now } = event;
  effects.push({ type: "send", to, message: buildRoundMessage(state, now) });
}

/**
 * Sends the newest changes of the local log before the next round: to all live
 * hosts up to `directPushLimit`, else to the neighbours. Later rounds repair lost
 * messages.
 */
export function pushChanges(
  state: MembershipState,
  now: number,
  effects: Effects,
): void {
  state.urgentChange = false;
  const log = ownLog(state);
  const from = state.pushedVersion;
  state.pushedVersion = log.version;
  const builder = new DeltaBuilder();
  const { host, incarnation } = log;
  builder.addDelta(state, { host, incarnation, version: from }, now);
  if (builder.deltas.length === 0) return;
  const { deltas } = builder;
  const message = { digest: [], wants: [], deltas, loads: [] };
  for (const to of pushTargets(state, now)) {
    effects.push({ type: "send", to, message });
  }
}

function pushTargets(state: MembershipState, now: number): HostId[] {
  const liveHosts: HostId[] = [];
  for (const log of state.logs.values()) {
    if (log.host !== state.self.host && isAlive(state, log, now)) {
      liveHosts.push(log.host);
    }
  }
  return liveHosts.length <= directPushLimit
    ? liveHosts
    : [...state.neighbours];
}

/**
 * Selects peers less often than every round, because the selection scans all
 * hosts.
 */
function selectPeers(state: MembershipState, now: number): void {
  const isCurrent = now - state.peersSelectedAt < peerSelectionInterval;
  if (isCurrent && state.neighbours.length > 0) return;
  state.peersSelectedAt = now;
  state.registrarsByRegion = selectRegistrars(state, now);
  state.registrars = new Set([...state.registrarsByRegion.values()].flat());
  state.neighbours = selectNeighbours(state, now).map(({ host }) => host);
}

function buildRoundMessage(
  state: MembershipState,
  now: number,
): GossipMessage {
  const builder = new DeltaBuilder();
  const recent = [...state.servers.values()]
    .filter(({ loadReportedAt: reportedAt }) =>
      now - reportedAt <= loadLifetime
    )
    .sort((left, right) => right.loadReportedAt - left.loadReportedAt);
  for (const server of recent) {
    if (server.load === undefined) continue;
    const fits = builder.addLoad({
      id: server.record.id,
      incarnation: server.record.incarnation,
      load: server.load,
      age: Math.round(now - server.loadReportedAt),
    });
    if (!fits) break;
  }
  const digest = buildDigest(state, now);
  return { digest, wants: [], deltas: [], loads: builder.loads };
}

function expireServers(
  state: MembershipState,
  now: number,
  effects: Effects,
): void {
  for (const server of [...state.servers.values()]) {
    const owned = server.owner === state.self.host;
    if (owned && now - newestEvidenceAt(state, server) > renewTimeout) {
      const { id, incarnation, sequence, takeover } = server.record;
      const removal = { id, incarnation, sequence, takeover, left: false };
      writeEntry(
        state,
        serverKey(id),
        { type: "server_gone", ...removal },
        now,
      );
      removeServer(state, { ...removal, now }, effects);
      continue;
    }
    refreshServer(state, server, { now, changed: false }, effects);
  }
}

function refreshHosts(
  state: MembershipState,
  now: number,
  effects: Effects,
): void {
  for (const log of state.logs.values()) {
    const alive = isAlive(state, log, now);
    if (log.alive && !alive) {
      effects.push({ type: "host_gone", host: log.host });
    }
    log.alive = alive;
  }
}

/** Drops state past its retention time, to bound memory. */
function dropExpiredState(state: MembershipState, now: number): void {
  for (const [id, removal] of state.removals) {
    if (now - removal.at > removalRetention) state.removals.delete(id);
  }
  for (const [id, server] of state.servers) {
    // A record may arrive before the first heartbeat of its owner.
    const lastSeenAt = Math.max(
      newestEvidenceAt(state, server),
      server.learnedAt,
    );
    const unseenFor = now - lastSeenAt;
    if (!server.usable && unseenFor > removalRetention) {
      state.servers.delete(id);
    }
  }
  for (const [host, log] of state.logs) {
    const isExpired = host !== state.self.host &&
      now - log.heartbeatAt > removalRetention;
    if (isExpired && log.heartbeatAt !== -Infinity) state.logs.delete(host);
  }
  const log = ownLog(state);
  for (const [key, entry] of log.entries) {
    const isTombstone = entry.value.type === "server_gone";
    if (isTombstone && now - entry.storedAt > tombstoneRetention) {
      log.entries.delete(key);
    }
  }
}

function startChecks(
  state: MembershipState,
  now: number,
  effects: Effects,
): void {
  let started = 0;
  for (const server of state.servers.values()) {
    if (started >= maxChecksPerRound) return;
    const stale = now - newestEvidenceAt(state, server) > state.recheckAge;
    const checkPending = now - server.checkStartedAt < state.recheckAge;
    if (!stale || checkPending || server.record.leaving) continue;
    server.checkStartedAt = now;
    started += 1;
    const { id, address } = server.record;
    effects.push({ type: "check", id, address });
  }
}
