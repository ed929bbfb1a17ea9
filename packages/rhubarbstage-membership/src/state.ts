/**
 * State of membership and the pure questions about it.
 *
 * @module
 */

import type {
  BackendServerId,
  HostId,
  Incarnation,
  Region,
} from "rhubarbstage";
import { SeededRandom } from "rhubarbstage";
import { hostTimeout, registrarTimeout } from "./constants.ts";
import type {
  DigestEntry,
  HostRecord,
  LogValue,
  ServerLoad,
  ServerRecord,
} from "./types.ts";

/** One entry of a host's log. */
export interface LogEntry {
  readonly version: number;
  readonly value: LogValue;
  /** Encoded size in bytes, for the byte budget. */
  readonly size: number;
  readonly storedAt: number;
}

/** The log of one host, as far as this host has it. */
export interface HostLog {
  readonly host: HostId;
  incarnation: Incarnation;
  heartbeat: number;
  /** Time of the heartbeat, as far as ages in messages tell. */
  heartbeatAt: number;
  /** All entries up to this version are known or superseded. */
  version: number;
  readonly entries: Map<string, LogEntry>;
  /** Time of the last change that other hosts have to hear of soon. */
  changedAt: number;
  /** Hash of the host's name, by which registrars are chosen. */
  readonly rank: number;
  /** Whether the host counts as alive. */
  alive: boolean;
}

/** What is known of one backend server. */
export interface TrackedServer {
  record: ServerRecord;
  load?: ServerLoad;
  /** Time for which the load was reported. */
  loadReportedAt: number;
  /** Host whose heartbeats vouch for the record. */
  owner: HostId;
  /** When this host learned of the record. */
  readonly learnedAt: number;
  /** Last direct evidence that the server takes work. */
  checkedAt: number;
  /** Time of the last renewal at this host, if it owns the record. */
  renewedAt: number;
  usable: boolean;
  /** Set until the check is answered, so that checks do not pile up. */
  checkStartedAt: number;
}

/** A server that left or vanished; older records of it are ignored. */
export interface Departure extends RecordVersion {
  readonly left: boolean;
  readonly at: number;
}

/** State of membership on one host. */
export interface MembershipState {
  readonly self: HostRecord;
  readonly incarnation: Incarnation;
  readonly logs: Map<HostId, HostLog>;
  readonly servers: Map<BackendServerId, TrackedServer>;
  readonly departures: Map<BackendServerId, Departure>;
  /** Oldest evidence on which a server gets new work, in milliseconds. */
  readonly maxEvidenceAge: number;
  /** Evidence older than this is renewed by a direct check, in ms. */
  readonly recheckAge: number;
  /** Entries that other hosts have to hear of before the next round. */
  urgentChange: boolean;
  /** Version of the own log up to which changes were pushed. */
  pushedVersion: number;
  /** Hosts that gossip starts from before it has heard of others. */
  readonly seeds: readonly HostRecord[];
  readonly random: SeededRandom;
  /** Hosts that own server records, by region. */
  registrarsByRegion: ReadonlyMap<Region, readonly HostId[]>;
  /** All registrars. */
  registrars: ReadonlySet<HostId>;
  /** Hosts that this host gossips with. */
  neighbours: readonly HostId[];
  /** Time of the last choice of neighbours and registrars. */
  peersSelectedAt: number;
  /** Position of the rotating digest slice. */
  sliceStart: number;
}

/** What orders the records of one server. */
export interface RecordVersion {
  readonly incarnation: Incarnation;
  readonly sequence: number;
  readonly takeover: number;
}

/** Whether `left` is newer: by incarnation, sequence, then takeover. */
export function isNewer(left: RecordVersion, right: RecordVersion): boolean {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation > right.incarnation;
  }
  if (left.sequence !== right.sequence) return left.sequence > right.sequence;
  return left.takeover > right.takeover;
}

/** Key of a server's entry in a host's log. */
export function serverKey(id: BackendServerId): string {
  return `server:${id}`;
}

/** Time of the newest evidence that a server takes work. */
export function newestEvidenceAt(
  state: MembershipState,
  server: TrackedServer,
): number {
  if (server.owner === state.self.host) {
    return Math.max(server.renewedAt, server.checkedAt);
  }
  const log = state.logs.get(server.owner);
  if (log === undefined || !vouchesFor(log, server)) return server.checkedAt;
  return Math.max(log.heartbeatAt, server.checkedAt);
}

/**
 * Whether a host's heartbeats speak for a server. After a restart the host's
 * log is empty: it has not heard from the server yet.
 */
function vouchesFor(log: HostLog, server: TrackedServer): boolean {
  const value = log.entries.get(serverKey(server.record.id))?.value;
  return value?.type === "server" &&
    value.record.incarnation === server.record.incarnation;
}

/** Whether a server may get new work. */
export function isUsable(
  state: MembershipState,
  server: TrackedServer,
  now: number,
): boolean {
  if (server.record.leaving) return false;
  return now - newestEvidenceAt(state, server) <= state.maxEvidenceAge;
}

/** Whether a host's heartbeat is recent. */
export function isAlive(
  state: MembershipState,
  log: HostLog,
  now: number,
): boolean {
  if (log.host === state.self.host) return true;
  const registrar = state.registrars.has(log.host);
  const timeout = registrar ? registrarTimeout : hostTimeout;
  return now - log.heartbeatAt <= timeout;
}

/** Record of a host, from its log or the seeds. */
export function findHostRecord(
  state: MembershipState,
  host: HostId,
): HostRecord | undefined {
  const value = state.logs.get(host)?.entries.get("host")?.value;
  if (value?.type === "host") return value.record;
  return state.seeds.find((seed) => seed.host === host);
}

/** Digest entry of a log at a time. */
export function toDigestEntry(
  state: MembershipState,
  log: HostLog,
  now: number,
): DigestEntry {
  const own = log.host === state.self.host;
  return {
    host: log.host,
    incarnation: log.incarnation,
    heartbeat: log.heartbeat,
    version: log.version,
    age: own ? 0 : Math.max(0, Math.round(now - log.heartbeatAt)),
  };
}
