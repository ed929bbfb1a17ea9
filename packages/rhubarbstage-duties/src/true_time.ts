/**
 * True time as the median of the hosts' wall clocks.
 *
 * @module
 */

import type { HostId } from "rhubarbstage";

/**
 * Difference between true time and this host's monotonic time: the median over
 * all hosts, so that steps of a minority of the clocks change nothing.
 */
export class TrueTime {
  readonly #offsets = new Map<HostId, number>();
  #median: number | undefined;

  /**
   * Handles an answer with a host's wall time. Its offset is measured at the
   * middle of the round trip.
   */
  observe(
    host: HostId,
    answer: {
      readonly wallTime: number;
      readonly sentAt: number;
      readonly receivedAt: number;
    },
  ): void {
    const { wallTime, sentAt, receivedAt } = answer;
    this.#offsets.set(host, wallTime - (sentAt + receivedAt) / 2);
    this.#median = undefined;
  }

  /** Forgets the clocks of hosts that are not live. */
  retain(hosts: ReadonlySet<HostId>): void {
    for (const host of this.#offsets.keys()) {
      if (hosts.has(host)) continue;
      this.#offsets.delete(host);
      this.#median = undefined;
    }
  }

  /** Hosts whose clocks are known. */
  get count(): number {
    return this.#offsets.size;
  }

  /** Milliseconds to add to the monotonic time; undefined without a clock. */
  get offset(): number | undefined {
    if (this.#median !== undefined) return this.#median;
    const offsets = [...this.#offsets.values()].toSorted((a, b) => a - b);
    if (offsets.length === 0) return undefined;
    const middle = Math.floor(offsets.length / 2);
    const upper = offsets[middle] as number;
    const lower = offsets[Math.ceil(offsets.length / 2) - 1] as number;
    this.#median = (lower + upper) / 2;
    return this.#median;
  }
}
