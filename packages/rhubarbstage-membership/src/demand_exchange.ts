/**
 * Aggregates demand over all hosts, by customer or model. Each subject has one
 * aggregating host, so that a host reports to a few others and never to all.
 *
 * @module
 */

import type { HostId } from "rhubarbstage";
import { hashText } from "rhubarbstage";

/** What demand is counted for, for example `customer/kiosks`. */
export type DemandSubject = string;

/** Two rates of one subject, each per second; the caller defines their units. */
export type DemandRates = readonly [number, number];

/** Wire form of the demand for one subject. */
export type DemandRow = readonly [DemandSubject, number, number];

/** Time after which a host's report no longer counts, in milliseconds. */
const reportLifetime = 4_000;

/**
 * Picks the host that aggregates a subject by rendezvous hashing; undefined
 * without hosts.
 */
export function pickAggregator(
  subject: DemandSubject,
  aggregators: readonly HostId[],
): HostId | undefined {
  let best: HostId | undefined;
  let bestRank = -1;
  for (const host of aggregators) {
    const rank = hashText(`${host}\n${subject}`);
    if (rank > bestRank) {
      best = host;
      bestRank = rank;
    }
  }
  return best;
}

/** Sums reported demand on the aggregating host. */
export class DemandAggregate {
  #reports = new Map<
    DemandSubject,
    Map<HostId, { readonly rates: DemandRates; readonly at: number }>
  >();

  /** Records a report and returns the totals of its subjects. */
  report(from: HostId, rows: readonly DemandRow[], now: number): DemandRow[] {
    return rows.map(([subject, first, second]) => {
      const reports = this.#reports.get(subject) ?? new Map();
      this.#reports.set(subject, reports);
      reports.set(from, { rates: [first, second], at: now });
      return this.#sum(subject, now);
    });
  }

  /** Drops outdated reports. */
  expire(now: number): void {
    for (const [subject, reports] of this.#reports) {
      for (const [host, report] of reports) {
        if (now - report.at > reportLifetime) reports.delete(host);
      }
      if (reports.size === 0) this.#reports.delete(subject);
    }
  }

  /** Number of subjects with reports not yet dropped by `expire`. */
  get size(): number {
    return this.#reports.size;
  }

  #sum(subject: DemandSubject, now: number): DemandRow {
    let first = 0;
    let second = 0;
    for (const { rates, at } of this.#reports.get(subject)?.values() ?? []) {
      if (now - at > reportLifetime) continue;
      first += rates[0];
      second += rates[1];
    }
    return [subject, first, second];
  }
}
