/**
 * Gossip exchange: digests, wants and deltas of host logs, and load reports.
 *
 * @module
 */

import type { HostId, Incarnation } from "rhubarbstage";
import { quarantineMarkLimit } from "./constants.ts";
import {
  advanceHeartbeat,
  compareDigest,
  createLog,
  createWant,
  DeltaBuilder,
  entrySize,
  isUrgent,
  writeEntry,
} from "./host_logs.ts";
import {
  type Effects,
  isOutdated,
  refreshServer,
  removeServer,
  storeRecord,
} from "./server_records.ts";
import { type HostLog, isNewer, type MembershipState } from "./state.ts";
import type {
  Delta,
  DigestEntry,
  GossipMessage,
  LogValue,
  ServerRecord,
  SharedLoad,
  SharedQuarantineMark,
  Want,
} from "./types.ts";

/** Applies a gossip message and sends a reply when one is needed. */
export function handleGossip(
  state: MembershipState,
  event: { now: number; from: HostId; message: GossipMessage },
  effects: Effects,
): void {
  const { now, message } = event;
  for (const delta of message.deltas) applyDelta(state, delta, now, effects);
  for (const load of message.loads) applyLoad(state, load, now, effects);
  const reply = answerDigest(state, message, now);
  if (reply !== undefined) {
    effects.push({ type: "send", to: event.from, message: reply });
  }
}

/** Answers wants, sends entries the sender lacks and requests missing ones. */
function answerDigest(
  state: MembershipState,
  message: GossipMessage,
  now: number,
): GossipMessage | undefined {
  const builder = new DeltaBuilder();
  const wants: Want[] = [];
  for (const want of message.wants) builder.addDelta(state, want, now);
  for (const entry of message.digest) {
    handleDigestEntry(state, entry, { now, builder, wants });
  }
  if (builder.deltas.length === 0 && wants.length === 0) return undefined;
  return { digest: [], wants, deltas: builder.deltas, loads: [] };
}

function handleDigestEntry(
  state: MembershipState,
  entry: DigestEntry,
  reply: { now: number; builder: DeltaBuilder; wants: Want[] },
): void {
  const log = state.logs.get(entry.host);
  const comparison = compareDigest(log, entry);
  if (entry.host === state.self.host) supersedeIncarnation(log, entry);
  if (comparison === "newer" && entry.host !== state.self.host) {
    reply.wants.push(createWant(log, entry));
    return;
  }
  if (comparison === "older") {
    const { host, incarnation, version } = entry;
    reply.builder.addDelta(state, { host, incarnation, version }, reply.now);
    return;
  }
  if (log !== undefined) advanceHeartbeat(log, entry, reply.now);
}

/**
 * Raises the incarnation above that of an earlier process of this host whose
 * clock was ahead; otherwise peers would ignore this process as outdated.
 */
function supersedeIncarnation(
  log: HostLog | undefined,
  entry: DigestEntry,
): void {
  if (log === undefined || entry.incarnation <= log.incarnation) return;
  log.incarnation = entry.incarnation + 1 as Incarnation;
}

function applyDelta(
  state: MembershipState,
  delta: Delta,
  now: number,
  effects: Effects,
): void {
  const { digest } = delta;
  if (digest.host === state.self.host) return;
  const log = prepareLog(state, digest);
  if (log === undefined) return;
  // A delta for an earlier process of this host leaves a gap.
  if (delta.fromVersion > log.version) return;
  for (const { key, version, value } of delta.entries) {
    if (version <= log.version) continue;
    const size = entrySize(key, value);
    log.entries.set(key, { version, value, size, storedAt: now });
    log.version = version;
    if (isUrgent(value)) log.changedAt = now;
    applyValue(state, { host: digest.host, value, now }, effects);
  }
  if (!delta.complete) return;
  log.version = Math.max(log.version, digest.version);
  if (log.version !== digest.version) return;
  const isFirstHeartbeat = log.heartbeatAt === -Infinity;
  advanceHeartbeat(log, digest, now);
  if (!isFirstHeartbeat) return;
  // Records arrived before the heartbeat that makes their servers usable.
  for (const server of state.servers.values()) {
    if (server.owner !== digest.host) continue;
    refreshServer(state, server, { now, changed: false }, effects);
  }
}

/** Returns the log that a delta extends; a newer incarnation starts empty. */
function prepareLog(
  state: MembershipState,
  digest: DigestEntry,
): HostLog | undefined {
  const log = state.logs.get(digest.host);
  if (log !== undefined && log.incarnation > digest.incarnation) {
    return undefined;
  }
  if (log !== undefined && log.incarnation === digest.incarnation) return log;
  if (log !== undefined) preserveEvidence(state, log);
  const created = createLog(digest.host, digest.incarnation);
  state.logs.set(digest.host, created);
  return created;
}

/** Preserves the last heartbeat of a replaced process as evidence. */
function preserveEvidence(state: MembershipState, log: HostLog): void {
  for (const server of state.servers.values()) {
    if (server.owner !== log.host) continue;
    server.checkedAt = Math.max(server.checkedAt, log.heartbeatAt);
  }
}

function applyValue(
  state: MembershipState,
  change: { host: HostId; value: LogValue; now: number },
  effects: Effects,
): void {
  const { host, value, now } = change;
  switch (value.type) {
    case "host":
      effects.push({ type: "host_seen", record: value.record });
      break;
    case "marks":
      effects.push({ type: "marks_heard", marks: value.marks });
      break;
    case "request_limits":
      effects.push({ type: "request_limits_heard", limits: value.limits });
      break;
    case "part_marks":
      effects.push({ type: "part_marks_heard", marks: value.marks });
      break;
    case "revision":
    case "unreadable":
      break;
    case "server_gone":
      removeServer(state, { ...value, now }, effects);
      break;
    case "server":
      applyServerRecord(state, { record: value.record, host, now }, effects);
      break;
  }
}

function applyServerRecord(
  state: MembershipState,
  change: { record: ServerRecord; host: HostId; now: number },
  effects: Effects,
): void {
  const { record, host, now } = change;
  if (isOutdated(state, record)) return;
  const known = state.servers.get(record.id);
  const unchanged = known !== undefined && !isNewer(record, known.record);
  // Another host's copy must not change the owner of the record.
  if (unchanged && known.owner === state.self.host) return;
  storeRecord(state, { record, owner: host, now }, effects);
  const server = state.servers.get(record.id);
  if (server === undefined) return;
  refreshServer(state, server, { now, changed: !unchanged }, effects);
}

function applyLoad(
  state: MembershipState,
  shared: SharedLoad,
  now: number,
  effects: Effects,
): void {
  const server = state.servers.get(shared.id);
  if (server === undefined) return;
  if (server.record.incarnation !== shared.incarnation) return;
  const reportedAt = now - shared.age;
  if (reportedAt <= server.loadReportedAt) return;
  server.load = shared.load;
  server.loadReportedAt = reportedAt;
  refreshServer(state, server, { now, changed: true }, effects);
}

/** Writes the newest quarantine marks of this host to its log. */
export function publishQuarantineMarks(
  state: MembershipState,
  marks: readonly SharedQuarantineMark[],
  now: number,
): void {
  const newest = marks.slice(-quarantineMarkLimit);
  writeEntry(state, "marks", { type: "marks", marks: newest }, now);
}
