/**
 * Computes figures from the records of a run.
 *
 * @module
 */

import { build } from "hdr-histogram-js";
import type { RequestRecord } from "./protocol.ts";
import type { RunResult } from "./fleet_run.ts";

const maxLatencyMicroseconds = 120_000_000;
const microsecondsPerMillisecond = 1_000;

/**
 * Returns a percentile of latencies in milliseconds; 0 without latencies.
 * Latencies above 120 s, including infinite ones, count as 120 s.
 */
export function percentile(
  latencies: readonly number[],
  percent: number,
): number {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxLatencyMicroseconds,
    numberOfSignificantValueDigits: 3,
  });
  for (const latency of latencies) {
    const value = Math.round(latency * microsecondsPerMillisecond);
    histogram.recordValue(Math.min(maxLatencyMicroseconds, Math.max(1, value)));
  }
  if (latencies.length === 0) return 0;
  return histogram.getValueAtPercentile(percent) / microsecondsPerMillisecond;
}

/** Filters requests by arrival in a half-open window in seconds. */
export function arrivedWithin(
  records: readonly RequestRecord[],
  [from, to]: readonly [number, number],
): RequestRecord[] {
  return records.filter(({ arrival }) =>
    arrival >= from * 1_000 && arrival < to * 1_000
  );
}

/** Returns the finished requests per second in a window in seconds. */
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

/** Returns whether a request finished and met the first-token target. */
export function metFirstTokenTarget(
  record: RequestRecord,
  target: number,
): boolean {
  return record.end === "finished" &&
    (record.firstToken ?? Infinity) <= target;
}

/** Returns the fraction of records that pass a check; 1 without records. */
export function fractionOf(
  records: readonly RequestRecord[],
  check: (record: RequestRecord) => boolean,
): number {
  if (records.length === 0) return 1;
  return records.filter(check).length / records.length;
}

/** Returns times to first token; an unfinished request counts as infinite. */
export function firstTokenLatencies(
  records: readonly RequestRecord[],
): number[] {
  return records.map(({ firstToken, end }) =>
    end === "finished" ? firstToken ?? Infinity : Infinity
  );
}

/** Returns total latencies; an unfinished request counts as infinite. */
export function totalLatencies(records: readonly RequestRecord[]): number[] {
  return records.map(({ total, end }) => end === "finished" ? total : Infinity);
}

/** Sums the dispatches of all hosts to each server by second. */
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

/** Sums the event counts of all hosts by name. */
export function sumEventCounts(result: RunResult): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const host of result.hosts) {
    for (const [name, count] of Object.entries(host.notes)) {
      sums[name] = (sums[name] ?? 0) + count;
    }
  }
  return sums;
}
