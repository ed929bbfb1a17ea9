/**
 * Logs of hosts: writing the own one, comparing digests, building and applying
 * deltas within the byte budget.
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
  firstDeltaByteBudget,
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

/** Bytes that a digest entry adds to a message, rounded up. */
const digestEntrySize = 48;

/** Adds an empty log for a host. */
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

/** The log that this host writes. */
export function ownLog(state: MembershipState): HostLog {
  const log = state.logs.get(state.self.host);
  if (log === undefined) throw new Error("Own log is missing");
  return log;
}

/** Encoded size of an entry in bytes, for the byte budget. */
export function entrySize(key: string, value: LogValue): number {
  return pack(value).length + key.length;
}

/** Writes an entry of the own log under the next version. */
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

/** Whether other hosts have to hear of an entry soon. */
export function isUrgent(value: LogValue): boolean {
  return value.type !== "revision";
}

/**
 * Digest for one message: the registrars, the hosts with recent changes and a rotating
 * slice of the others.
 */
export function buildDigest(
  state: MembershipState,
  now: number,
): DigestEntry[] {
  const chosen: HostLog[] = [ownLog(state)];
  const others: HostLog[] = [];
  let changedCount = 0;
  for (const log of state.logs.values()) {
    if (log.host === state.self.host || log.heartbeatAt === -Infinity) continue;
    const changed = now - log.changedAt <= changeLifetime &&
      changedCount < changedLogLimit;
    if (changed) changedCount += 1;
    if (changed || state.registrars.has(log.host)) chosen.push(log);
    else others.push(log);
  }
  chosen.push(...takeSlice(state, others));
  return chosen.map((log) => toDigestEntry(state, log, now));
}

function takeSlice(
  state: MembershipState,
  others: readonly HostLog[],
): readonly HostLog[] {
  if (others.length <= digestSliceLimit) return others;
  const start = state.sliceStart % others.length;
  state.sliceStart = start + digestSliceLimit;
  const slice = others.slice(start, start + digestSliceLimit);
  return [...slice, ...others.slice(0, digestSliceLimit - slice.length)];
}

/** What a received digest entry asks of the receiver. */
export type DigestComparison = "older" | "same" | "newer";

/** Compares a received digest entry with the own copy of the log. */
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

/** What to ask for, given a digest entry that is newer than the own copy. */
export function toWant(log: HostLog | undefined, entry: DigestEntry): Want {
  const known = log !== undefined && log.incarnation === entry.incarnation;
  return {
    host: entry.host,
    incarnation: entry.incarnation,
    version: known ? log.version : 0,
  };
}

/** Collects deltas and loads up to the limits of one message. */
export class DeltaBuilder {
  readonly deltas: Delta[] = [];
  readonly loads: SharedLoad[] = [];
  #left = deltaByteBudget;
  #firstLeft = firstDeltaByteBudget;

  /** Adds what a want asks for, as far as the budget reaches. */
  addDelta(state: MembershipState, want: Want, now: number): void {
    const log = state.logs.get(want.host);
    if (log === undefined || log.incarnation < want.incarnation) return;
    const from = log.incarnation === want.incarnation ? want.version : 0;
    this.#left -= digestEntrySize;
    if (this.#left <= 0) return;
    const missing = [...log.entries]
      .filter(([, entry]) => entry.version > from)
      .sort(([, left], [, right]) => left.version - right.version);
    const fitting = this.#takeFitting(missing, from === 0);
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

  /** Adds a load unless the message has as many as it may. */
  addLoad(load: SharedLoad): boolean {
    if (this.loads.length >= maxLoadsPerMessage) return false;
    this.loads.push(load);
    return true;
  }

  #takeFitting(
    missing: readonly [string, LogEntry][],
    isFirst: boolean,
  ): [string, LogEntry][] {
    const fitting: [string, LogEntry][] = [];
    for (const pair of missing) {
      const { size } = pair[1];
      const left = isFirst ? this.#firstLeft : this.#left;
      // One entry always passes, so that an entry larger than the rest of the
      // budget cannot block the log for ever.
      const alone = fitting.length === 0 && this.deltas.length === 0;
      if (size > left && !alone) break;
      if (isFirst) this.#firstLeft -= size;
      else this.#left -= size;
      fitting.push(pair);
    }
    return fitting;
  }
}

/**
 * Takes a heartbeat into account. It vouches for the log only up to the version
 * that it was made with, so the caller passes only heartbeats of logs that are
 * known up to that version.
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
