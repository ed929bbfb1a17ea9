/**
 * Membership state and pure queries on it.
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

/** Local copy of one host's versioned key-value state, its log. */
export interface HostLog {
  readonly host: HostId;
  incarnation: Incarnation;
  heartbeat: number;
  /** Time of the heartbeat, estimated from the ages in messages. */
  heartbeatAt: number;
  /** All entries up to this version are present or superseded. */
  version: number;
  readonly entries: Map<string, LogEntry>;
  /** Time of the last urgent change. */
  changedAt: number;
  /** Hash of the host's id, by which registrars are selected. */
  readonly rank: number;
  /** Whether the host was alive in the last round. */
  alive: boolean;
}

/** Latest record, load and evidence of one backend server. */
export interface TrackedServer {
  record: ServerRecord;
  load?: ServerLoad;
  /** Time of the load report. */
  loadReportedAt: number;
  /** Host that owns the record and whose heartbeats are evidence for it. */
  owner: HostId;
  /** Time at which this host stored the record. */
  readonly learnedAt: number;
  /**
   * Start of the newest answered check, or last heartbeat of the owner's
   * earlier process.
   */
  checkedAt: number;
  /** Time of the last renewal at this host, if it owns the record. */
  renewedAt: number;
  usable: boolean;
  /** Start of the unanswered direct check; prevents overlapping checks. */
  checkStartedAt: number;
}

/** Removal of a server that left or failed; only newer records restore it. */
export interface ServerRemoval extends RecordVersion {
  readonly left: boolean;
  readonly at: number;
}

/** State of membership on one host. */
export interface MembershipState {
  readonly self: HostRecord;
  readonly incarnation: Incarnation;
  readonly logs: Map<HostId, HostLog>;
  readonly servers: Map<BackendServerId, TrackedServer>;
  readonly removals: Map<BackendServerId, ServerRemoval>;
  /** Maximum evidence age for new work, in milliseconds. */
  readonly maxEvidenceAge: number;
  /** Evidence age that triggers a direct check, in milliseconds. */
  readonly recheckAge: number;
  /** Whether the local log has changes to send before the next round. */
  urgentChange: boolean;
  /** Version of the local log up to which changes were pushed. */
  pushedVersion: number;
  /** Configured hosts with which gossip starts. */
  readonly seeds: readonly HostRecord[];
  readonly random: SeededRandom;
  /** Hosts that own server records, by region. */
  registrarsByRegion: ReadonlyMap<Region, readonly HostId[]>;
  /** All registrars. */
  registrars: ReadonlySet<HostId>;
  /** Hosts that this host gossips with. */
  neighbours: readonly HostId[];
  /** Time of the last selection of neighbours and registrars. */
  peersSelectedAt: number;
  /** Position of the rotating digest slice. */
  sliceStart: number;
}

/** Version that orders the records of one server. */
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

/** Returns the time of the newest evidence that a server accepts work. */
export function newestEvidenceAt(
  state: MembershipState,
  server: TrackedServer,
): number {
  if (server.owner === state.self.host) {
    return Math.max(server.renewedAt, server.checkedAt);
  }
  const log = state.logs.get(server.owner);
  if (log === undefined || !listsServer(log, server)) return server.checkedAt;
  return Math.max(log.heartbeatAt, server.checkedAt);
}

/**
 * Whether a host's log lists the current process of a server. The log of a
 * restarted host is empty until the server renews there.
 */
function listsServer(log: HostLog, server: TrackedServer): boolean {
  const value = log.entries.get(serverKey(server.record.id))?.value;
  return value?.type === "server" &&
    value.record.incarnation === server.record.incarnation;
}

/**
 * Whether a server is not leaving and has recent evidence; ignores its state.
 */
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

/** Returns the record of a host from its log or the seeds. */
export function findHostRecord(
  state: MembershipState,
  host: HostId,
): HostRecord | undefined {
  const value = state.logs.get(host)?.entries.get("host")?.value;
  if (value?.type === "host") return value.record;
  return state.seeds.find((seed) => seed.host === host);
}

/** Returns the digest entry of a log at the time `now`. */
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
