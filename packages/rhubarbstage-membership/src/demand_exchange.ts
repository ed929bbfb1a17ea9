/**
 * Demand of customers over all hosts. Each customer has one aggregating host,
 * so that a host sends its demand to a few others and never to all.
 *
 * @module
 */

import type { CustomerId, HostId } from "rhubarbstage";
import { hashText } from "./neighbours.ts";

/** Demand of one customer, in the unit of the limits. */
export interface CustomerDemand {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
}

/** Demand as it is sent: customer, requests a second, tokens a second. */
export type DemandRow = readonly [CustomerId, number, number];

/** Time after which a host's report no longer counts, in milliseconds. */
const reportLifetime = 4_000;

/** Host that aggregates a customer's demand, or undefined when there is none. */
export function pickAggregator(
  customer: CustomerId,
  aggregators: readonly HostId[],
): HostId | undefined {
  let best: HostId | undefined;
  let bestRank = -1;
  for (const host of aggregators) {
    const rank = hashText(`${host}\n${customer}`);
    if (rank > bestRank) {
      best = host;
      bestRank = rank;
    }
  }
  return best;
}

/** Sums of the demand that hosts reported, on the aggregating host. */
export class DemandAggregate {
  #reports = new Map<
    CustomerId,
    Map<HostId, CustomerDemand & { at: number }>
  >();

  /** Takes a report and returns the totals of the customers in it. */
  report(from: HostId, rows: readonly DemandRow[], now: number): DemandRow[] {
    return rows.map(([customer, requestsPerSecond, tokensPerSecond]) => {
      const reports = this.#reports.get(customer) ?? new Map();
      this.#reports.set(customer, reports);
      reports.set(from, { requestsPerSecond, tokensPerSecond, at: now });
      return this.#sum(customer, now);
    });
  }

  /** Drops reports that are out of date. */
  expire(now: number): void {
    for (const [customer, reports] of this.#reports) {
      for (const [host, report] of reports) {
        if (now - report.at > reportLifetime) reports.delete(host);
      }
      if (reports.size === 0) this.#reports.delete(customer);
    }
  }

  /** Customers with a current report. */
  get size(): number {
    return this.#reports.size;
  }

  #sum(customer: CustomerId, now: number): DemandRow {
    let requests = 0;
    let tokens = 0;
    for (const report of this.#reports.get(customer)?.values() ?? []) {
      if (now - report.at > reportLifetime) continue;
      requests += report.requestsPerSecond;
      tokens += report.tokensPerSecond;
    }
    return [customer, requests, tokens];
  }
}
