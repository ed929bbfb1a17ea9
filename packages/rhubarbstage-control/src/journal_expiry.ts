/**
 * Time, expiry and limits of a journal group.
 *
 * @module
 */

import type { ClaimKey } from "rhubarbstage";
import { setBounded } from "./bounded.ts";
import {
  expiryBucketWidth,
  expiryChecksPerCommand,
  reportedHostLimit,
} from "./constants.ts";
import {
  bytesOfAnswer,
  type ClaimRecord,
  expiryBucketOf,
  expiryTime,
  type JournalState,
} from "./journal_state.ts";
import type { HostProcess } from "./types.ts";

/**
 * Advances the journal's time to the second latest wall time that hosts
 * reported, so that one wrong clock expires no claim early. With reports from
 * one host only, time does not advance and nothing expires.
 */
export function advanceTime(
  state: JournalState,
  report: { readonly claimer: HostProcess; readonly now: number },
): void {
  const { host } = report.claimer;
  const latest = Math.max(report.now, state.reports.get(host) ?? 0);
  state.reports.delete(host);
  setBounded(state.reports, [host, latest], reportedHostLimit);
  if (report.now <= state.time) return;
  state.time = Math.max(state.time, secondLatest(state.reports.values()));
}

function secondLatest(times: Iterable<number>): number {
  let first = 0;
  let second = 0;
  for (const time of times) {
    if (time > first) [first, second] = [time, first];
    else if (time > second) second = time;
  }
  return second;
}

/** Stores a record and schedules the check for its expiry. */
export function putRecord(
  state: JournalState,
  entry: readonly [ClaimKey, ClaimRecord],
): void {
  const [key, record] = entry;
  dropAnswer(state, key);
  state.claims.set(key, record);
  if (record.type === "settled") {
    state.answers.set(key, true);
    state.answerBytes += bytesOfAnswer(record.answer);
  }
  const bucket = Math.max(
    expiryBucketOf(expiryTime(record)),
    state.sweptBucket + 1,
  );
  const keys = state.due.get(bucket);
  if (keys === undefined) state.due.set(bucket, [key]);
  else keys.push(key);
}

function dropAnswer(state: JournalState, key: ClaimKey): void {
  const record = state.claims.get(key);
  if (record?.type !== "settled") return;
  state.answers.delete(key);
  state.answerBytes -= bytesOfAnswer(record.answer);
}

/**
 * Drops the oldest answers above the limit in bytes; their claims stay settled.
 */
export function trimAnswers(state: JournalState, limit: number): void {
  while (state.answerBytes > limit) {
    const key = state.answers.keys().next().value as ClaimKey;
    expireAnswer(state, key);
  }
}

function expireAnswer(state: JournalState, key: ClaimKey): void {
  const record = state.claims.get(key);
  if (record?.type !== "settled") return;
  const { answer: _answer, ...rest } = record;
  putRecord(state, [key, { ...rest, type: "expired" }]);
}

/** Expires due claims; checks at most `expiryChecksPerCommand` keys. */
export function expireClaims(state: JournalState): void {
  const current = Math.floor(state.time / expiryBucketWidth);
  if (current <= state.sweptBucket) return;
  const passed = [...state.due.keys()]
    .filter((bucket) => bucket <= current)
    .sort((left, right) => left - right);
  let budget = expiryChecksPerCommand;
  for (const bucket of passed) {
    const keys = state.due.get(bucket) as ClaimKey[];
    while (keys.length > 0) {
      if (budget === 0) return;
      budget -= 1;
      expireClaim(state, keys.pop() as ClaimKey);
    }
    state.due.delete(bucket);
  }
  state.sweptBucket = current;
}

function expireClaim(state: JournalState, key: ClaimKey): void {
  const record = state.claims.get(key);
  if (record === undefined || expiryTime(record) > state.time) return;
  if (record.type === "settled") expireAnswer(state, key);
  else if (record.type === "open") {
    putRecord(state, [key, { ...record, type: "unknown" }]);
  } else state.claims.delete(key);
}
