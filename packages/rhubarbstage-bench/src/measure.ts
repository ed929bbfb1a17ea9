/**
 * Figures from the records of a run.
 *
 * @module
 */

import { build } from "hdr-histogram-js";
import type { RequestRecord } from "./protocol.ts";
import type { RunResult } from "./fleet_run.ts";

const longestLatency = 120_000_000;
const microsecondsPerMillisecond = 1_000;

/** Percentile of latencies in milliseconds; 0 when there are none. */
export function percentile(
  latencies: readonly number[],
  percent: number,
): number {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: longestLatency,
    numberOfSignificantValueDigits: 3,
  });
  for (const latency of latencies) {
    const value = Math.round(latency * microsecondsPerMillisecond);
    histogram.recordValue(Math.min(longestLatency, Math.max(1, value)));
  }
  if (latencies.length === 0) return 0;
  return histogram.getValueAtPercentile(percent) / microsecondsPerMillisecond;
}

/** Requests that arrived in a window of seconds. */
export function arrivedWithin(
  records: readonly RequestRecord[],
  [from, to]: readonly [number, number],
): RequestRecord[] {
  return records.filter(({ arrival }) =>
    arrival >= from * 1_000 && arrival < to * 1_000
  );
}

/** Requests that finished in a window of seconds, a second. */
export function completionRate(
  records: readonly RequestRecord[],
  [from, to]: readonly [number, number],
): number {
  const finished = records.filter(({ arrival, total, end }) => {
    const at = (arrival + total) / 1_000;
    return end === "finished" && at >= from && at < to;
  });
  return finished.length / (to - from);
}

/** Whether a request was answered with its first token in time. */
export function inTime(record: RequestRecord, target: number): boolean {
  return record.end === "finished" &&
    (record.firstToken ?? Infinity) <= target;
}

/** Part of some records for which a check holds; 1 when there are none. */
export function partOf(
  records: readonly RequestRecord[],
  check: (record: RequestRecord) => boolean,
): number {
  if (records.length === 0) return 1;
  return records.filter(check).length / records.length;
}

/** First-token latencies; a request without an answer counts as endless. */
export function firstTokens(records: readonly RequestRecord[]): number[] {
  return records.map(({ firstToken, end }) =>
    end === "finished" ? firstToken ?? Infinity : Infinity
  );
}

/** Total latencies; a request without an answer counts as endless. */
export function totals(records: readonly RequestRecord[]): number[] {
  return records.map(({ total, end }) => end === "finished" ? total : Infinity);
}

/** Dispatches of all hosts to each server, by second. */
export function dispatchesBySecond(
  result: RunResult,
): Readonly<Record<string, readonly number[]>> {
  const sums: Record<string, number[]> = {};
  for (const host of result.hosts) {
    for (const [server, counts] of Object.entries(host.dispatches)) {
      const sum = sums[server] ??= [];
      for (const [second, count] of counts.entries()) {
        while (sum.length <= second) sum.push(0);
        sum[second] = (sum[second] ?? 0) + count;
      }
    }
  }
  return sums;
}

/** Sums of the hosts' counts by name. */
export function noteCounts(result: RunResult): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const host of result.hosts) {
    for (const [name, count] of Object.entries(host.notes)) {
      sums[name] = (sums[name] ?? 0) + count;
    }
  }
  return sums;
}
