/**
 * Records of backend servers: announcements, departures and direct checks.
 *
 * @module
 */

import type { BackendServerId, HostId, Incarnation } from "rhubarbstage";
import { ownLog, writeEntry } from "./host_logs.ts";
import { pickRegistrar } from "./registrars.ts";
import {
  isAlive,
  isNewer,
  isUsable,
  type MembershipState,
  serverKey,
  type TrackedServer,
} from "./state.ts";
import type { MembershipEffect, ServerLoad, ServerRecord } from "./types.ts";

/** Accumulates the effects of one event. */
export type Effects = MembershipEffect[];

/** Applies an announcement or renewal, or forwards it to the record's owner. */
export function handleAnnouncement(
  state: MembershipState,
  event: {
    now: number;
    record: ServerRecord;
    load?: ServerLoad;
    forwarded?: boolean;
    takeOver?: boolean;
  },
  effects: Effects,
): void {
  const { now, load } = event;
  const known = state.servers.get(event.record.id);
  const record = assignTakeoverNumber(state, event);
  if (isOutdated(state, record)) return;
  const unchanged = known !== undefined && !isNewer(record, known.record);
  const owner = selectOwner(state, record, unchanged ? known : undefined);
  if (owner !== state.self.host && !event.forwarded && !event.takeOver) {
    // One owner handles all renewals; otherwise a load balancer in front of the
    // hosts would turn each renewal into a change that gossip has to spread.
    const forwarded = event.record;
    effects.push({ type: "forward", to: owner, record: forwarded, load });
    return;
  }
  if (!unchanged) {
    writeEntry(state, serverKey(record.id), { type: "server", record }, now);
    storeRecord(state, { record, owner: state.self.host, now }, effects);
  }
  const server = state.servers.get(record.id);
  if (server === undefined) return;
  server.renewedAt = now;
  if (load !== undefined) {
    server.load = load;
    server.loadReportedAt = now;
  }
  refreshServer(state, server, { now, changed: true }, effects);
}

/** Returns a record's current owner if it is a registrar, else its registrar. */
function selectOwner(
  state: MembershipState,
  record: ServerRecord,
  known: TrackedServer | undefined,
): HostId {
  const owner = known?.owner;
  if (owner !== undefined && state.registrars.has(owner)) return owner;
  return pickRegistrar(state, record);
}

/**
 * Assigns the takeover number of an announced record: that of the known record,
 * or the next one when the owner is gone or the record had expired.
 */
function assignTakeoverNumber(
  state: MembershipState,
  event: {
    now: number;
    record: ServerRecord;
    forwarded?: boolean;
    takeOver?: boolean;
  },
): ServerRecord {
  const { record, now } = event;
  const known = state.servers.get(record.id);
  if (known !== undefined && hasSameContent(known.record, record)) {
    const owner = state.logs.get(known.owner);
    const ownerAlive = owner !== undefined && isAlive(state, owner, now);
    const isOwnRecord = known.owner === state.self.host;
    const isRelayed = event.forwarded === true || event.takeOver === true;
    const takesOver = !isOwnRecord && (isRelayed || !ownerAlive);
    const takeover = known.record.takeover + (takesOver ? 1 : 0);
    return { ...known.record, takeover };
  }
  const removal = state.removals.get(record.id);
  if (removal !== undefined && isSameAnnouncement(removal, record)) {
    return { ...record, takeover: removal.takeover + 1 };
  }
  return record;
}

/**
 * Whether records differ at most in sequence, takeover number and the time left.
 * A server may change these with each renewal, which gossip must not spread as a
 * change.
 */
function hasSameContent(left: ServerRecord, right: ServerRecord): boolean {
  return serializeContent(left) === serializeContent(right);
}

function serializeContent(record: ServerRecord): string {
  const {
    sequence: _sequence,
    takeover: _takeover,
    leavesIn: _leavesIn,
    ...content
  } = record;
  return JSON.stringify(Object.entries(content).sort());
}

function isSameAnnouncement(
  left: { incarnation: Incarnation; sequence: number },
  right: { incarnation: Incarnation; sequence: number },
): boolean {
  return left.incarnation === right.incarnation &&
    left.sequence === right.sequence;
}

/** Whether a record is older than the server's known record or removal. */
export function isOutdated(
  state: MembershipState,
  record: ServerRecord,
): boolean {
  const known = state.servers.get(record.id);
  if (known !== undefined && isNewer(known.record, record)) return true;
  const removal = state.removals.get(record.id);
  if (removal === undefined) return false;
  // A renewal in flight when its server left must not restore the server.
  if (removal.left) return record.incarnation <= removal.incarnation;
  return !isNewer(record, removal);
}

/** Stores a record as the current one of its server. */
export function storeRecord(
  state: MembershipState,
  change: { record: ServerRecord; owner: HostId; now: number },
  effects: Effects,
): void {
  const { record, owner, now } = change;
  const known = state.servers.get(record.id);
  const replaced = known !== undefined &&
    known.record.incarnation < record.incarnation;
  if (replaced) {
    const crashed = !known.record.leaving;
    effects.push({ type: "server_gone", id: record.id, crashed });
  }
  const retained = replaced ? undefined : known;
  if (owner !== state.self.host) {
    ownLog(state).entries.delete(serverKey(record.id));
  }
  state.removals.delete(record.id);
  state.servers.set(record.id, {
    record,
    owner,
    learnedAt: now,
    load: retained?.load,
    loadReportedAt: retained?.loadReportedAt ?? -Infinity,
    checkedAt: retained?.checkedAt ?? -Infinity,
    renewedAt: owner === state.self.host ? now : -Infinity,
    usable: retained?.usable ?? false,
    checkStartedAt: -Infinity,
  });
}

/** Reports a server that has changed or become usable or unusable. */
export function refreshServer(
  state: MembershipState,
  server: TrackedServer,
  options: { now: number; changed: boolean },
  effects: Effects,
): void {
  const usable = isUsable(state, server, options.now);
  if (!options.changed && usable === server.usable) return;
  server.usable = usable;
  effects.push({
    type: "server_seen",
    record: server.record,
    load: server.load,
    usable,
  });
}

/** Handles a server's notice that it leaves. */
export function handleDeparture(
  state: MembershipState,
  event: { now: number; id: BackendServerId; incarnation: Incarnation },
  effects: Effects,
): void {
  const { id, incarnation, now } = event;
  const known = state.servers.get(id);
  if (known !== undefined && known.record.incarnation > incarnation) return;
  const sequence = (known?.record.sequence ?? 0) + 1;
  const removal = { incarnation, sequence, takeover: 0, left: true };
  writeEntry(
    state,
    serverKey(id),
    { type: "server_gone", id, ...removal },
    now,
  );
  removeServer(state, { id, ...removal, now }, effects);
}

/** Removes a server unless a newer record or removal of it is known. */
export function removeServer(
  state: MembershipState,
  change: {
    id: BackendServerId;
    incarnation: Incarnation;
    sequence: number;
    takeover: number;
    left: boolean;
    now: number;
  },
  effects: Effects,
): void {
  const { id, incarnation, sequence, takeover, left, now } = change;
  const known = state.servers.get(id);
  if (known !== undefined && isNewer(known.record, change)) return;
  const earlier = state.removals.get(id);
  if (earlier !== undefined && isNewer(earlier, change)) return;
  const removal = { incarnation, sequence, takeover, left, at: now };
  state.removals.set(id, removal);
  if (known === undefined) return;
  state.servers.delete(id);
  const crashed = !left && !known.record.leaving;
  effects.push({ type: "server_gone", id, crashed });
}

/** Handles a server's answer to a direct check. */
export function handleCheckAnswer(
  state: MembershipState,
  event: {
    now: number;
    id: BackendServerId;
    startedAt: number;
    incarnation: Incarnation;
    leaving: boolean;
  },
  effects: Effects,
): void {
  const server = state.servers.get(event.id);
  if (server === undefined) return;
  server.checkStartedAt = -Infinity;
  if (server.record.incarnation !== event.incarnation) return;
  if (event.leaving) {
    const { id, now } = event;
    handleDeparture(
      state,
      { id, now, incarnation: event.incarnation },
      effects,
    );
    return;
  }
  server.checkedAt = Math.max(server.checkedAt, event.startedAt);
  refreshServer(state, server, { now: event.now, changed: false }, effects);
}
