/**
 * Host logs: writes to the local log, comparison of digests, and deltas within
 * the byte budget.
 *
 * @module
 */

import { pack } from "msgpackr";
import type { HostId, Incarnation } from "rhubarbstage";
import {
  changedLogLimit,
  changeLifetime,
  deltaByteBudget,
  digestSliceLimit,
  initialDeltaByteBudget,
  maxLoadsPerMessage,
} from "./constants.ts";
import { hashText } from "rhubarbstage";
import {
  type HostLog,
  type LogEntry,
  type MembershipState,
  toDigestEntry,
} from "./state.ts";
import type {
  Delta,
  DigestEntry,
  LogValue,
  SharedLoad,
  Want,
} from "./types.ts";

/** Encoded size of a digest entry in bytes, rounded up. */
const digestEntrySize = 48;

/** Creates an empty log for a host. */
export function createLog(host: HostId, incarnation: Incarnation): HostLog {
  return {
    host,
    incarnation,
    heartbeat: 0,
    heartbeatAt: -Infinity,
    version: 0,
    entries: new Map(),
    changedAt: -Infinity,
    rank: hashText(host),
    alive: false,
  };
}

/** Returns the log that this host writes. */
export function ownLog(state: MembershipState): HostLog {
  const log = state.logs.get(state.self.host);
  if (log === undefined) {
    throw new Error(`Log of the local host "${state.self.host}" is missing`);
  }
  return log;
}

/** Encoded size of an entry in bytes, for the byte budget. */
export function entrySize(key: string, value: LogValue): number {
  return pack(value).length + key.length;
}

/** Writes an entry to the local log under the next version. */
export function writeEntry(
  state: MembershipState,
  key: string,
  value: LogValue,
  now: number,
): void {
  const log = ownLog(state);
  log.version += 1;
  if (isUrgent(value)) {
    log.changedAt = now;
    state.urgentChange = true;
  }
  log.entries.set(key, {
    version: log.version,
    value,
    size: entrySize(key, value),
    storedAt: now,
  });
}

/** Whether an entry is sent before the next round. */
export function isUrgent(value: LogValue): boolean {
  return value.type !== "revision";
}

/**
 * Builds the digest of one message: the registrars, the hosts with recent
 * changes and a rotating slice of the others.
 */
export function buildDigest(
  state: MembershipState,
  now: number,
): DigestEntry[] {
  const selected: HostLog[] = [ownLog(state)];
  const others: HostLog[] = [];
  let changedCount = 0;
  for (const log of state.logs.values()) {
    if (log.host === state.self.host || log.heartbeatAt === -Infinity) continue;
    const changed = now - log.changedAt <= changeLifetime &&
      changedCount < changedLogLimit;
    if (changed) changedCount += 1;
    if (changed || state.registrars.has(log.host)) selected.push(log);
    else others.push(log);
  }
  selected.push(...nextDigestSlice(state, others));
  return selected.map((log) => toDigestEntry(state, log, now));
}

function nextDigestSlice(
  state: MembershipState,
  others: readonly HostLog[],
): readonly HostLog[] {
  if (others.length <= digestSliceLimit) return others;
  const start = state.sliceStart % others.length;
  state.sliceStart = start + digestSliceLimit;
  const slice = others.slice(start, start + digestSliceLimit);
  return [...slice, ...others.slice(0, digestSliceLimit - slice.length)];
}

/** Order of a received digest entry relative to the local copy of the log. */
export type DigestComparison = "older" | "same" | "newer";

/** Compares a received digest entry with the local copy of the log. */
export function compareDigest(
  log: HostLog | undefined,
  entry: DigestEntry,
): DigestComparison {
  if (log === undefined || entry.incarnation > log.incarnation) return "newer";
  if (entry.incarnation < log.incarnation) return "older";
  if (entry.version !== log.version) {
    return entry.version > log.version ? "newer" : "older";
  }
  return entry.heartbeat < log.heartbeat ? "older" : "same";
}

/** Requests the entries missing from the local copy of a newer log. */
export function createWant(log: HostLog | undefined, entry: DigestEntry): Want {
  const sameIncarnation = log !== undefined &&
    log.incarnation === entry.incarnation;
  return {
    host: entry.host,
    incarnation: entry.incarnation,
    version: sameIncarnation ? log.version : 0,
  };
}

/** Collects deltas and load reports up to the limits of one message. */
export class DeltaBuilder {
  readonly deltas: Delta[] = [];
  readonly loads: SharedLoad[] = [];
  #remainingBytes = deltaByteBudget;
  #remainingInitialBytes = initialDeltaByteBudget;

  /** Adds the wanted entries that fit the byte budget. */
  addDelta(state: MembershipState, want: Want, now: number): void {
    const log = state.logs.get(want.host);
    if (log === undefined || log.incarnation < want.incarnation) return;
    const from = log.incarnation === want.incarnation ? want.version : 0;
    this.#remainingBytes -= digestEntrySize;
    if (this.#remainingBytes <= 0) return;
    const missing = [...log.entries]
      .filter(([, entry]) => entry.version > from)
      .sort(([, left], [, right]) => left.version - right.version);
    const fitting = this.#selectFitting(missing, from === 0);
    this.deltas.push({
      digest: toDigestEntry(state, log, now),
      fromVersion: from,
      entries: fitting.map(([key, entry]) => ({
        key,
        version: entry.version,
        value: entry.value,
      })),
      complete: fitting.length === missing.length,
    });
  }

  /** Adds a load report; returns false when the message is full. */
  addLoad(load: SharedLoad): boolean {
    if (this.loads.length >= maxLoadsPerMessage) return false;
    this.loads.push(load);
    return true;
  }

  #selectFitting(
    missing: readonly [string, LogEntry][],
    isInitial: boolean,
  ): [string, LogEntry][] {
    const fitting: [string, LogEntry][] = [];
    for (const pair of missing) {
      const { size } = pair[1];
      const remaining = isInitial
        ? this.#remainingInitialBytes
        : this.#remainingBytes;
      // The first always fits: a large entry must not block the log.
      const isFirstEntry = fitting.length === 0 && this.deltas.length === 0;
      if (size > remaining && !isFirstEntry) break;
      if (isInitial) this.#remainingInitialBytes -= size;
      else this.#remainingBytes -= size;
      fitting.push(pair);
    }
    return fitting;
  }
}

/**
 * Advances the heartbeat of a log. A heartbeat is evidence only up to the log
 * version it was sent with, so callers pass it only for logs that are complete up
 * to that version.
 */
export function advanceHeartbeat(
  log: HostLog,
  entry: DigestEntry,
  now: number,
): void {
  if (entry.heartbeat < log.heartbeat) return;
  log.heartbeat = entry.heartbeat;
  log.heartbeatAt = Math.max(log.heartbeatAt, now - entry.age);
}
