/**
 * Usage of the customers at one host, and its answers to the holder's polls.
 *
 * @module
 */

import {
  answerPolls,
  type CustomersSince,
  type HostPoll,
  type HostPollAnswer,
  type ServiceLoad,
  UsageRecorder,
} from "@rhubarbstage/duties";
import type { RouteTable } from "@rhubarbstage/relay";
import type { Transport } from "@rhubarbstage/transport";
import type { Clock, CustomerId, Incarnation } from "rhubarbstage";

/**
 * Maximum time from the commit of a route table until a control host has read
 * it, in milliseconds: two polls and a round trip between regions.
 */
const maxReadDelay = 2_000;

/** Route table as far as usage needs it. */
type CustomerTable = RouteTable & {
  readonly customers?: readonly { readonly name: CustomerId }[];
};

/** Options of {@linkcode HostUsage}. */
export interface HostUsageOptions {
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly transport: Transport;
}

/** Records begun requests of known customers. */
export class HostUsage {
  /** Measures the load by service; set where servers are ordered. */
  serviceLoad: (() => readonly ServiceLoad[]) | undefined;
  readonly #clock: Clock;
  readonly #recorder: UsageRecorder;
  #customers: ReadonlySet<CustomerId> = new Set();
  #customersSince: CustomersSince = "unknown";
  /** Monotonic time at which a publication was applied on this host. */
  #publishedAt = -Infinity;

  constructor(options: HostUsageOptions) {
    this.#clock = options.clock;
    this.#recorder = new UsageRecorder(options);
    answerPolls(options.transport, (poll) => this.answer(poll));
  }

  /** When the configuration with customers came into force on this host. */
  get customersSince(): CustomersSince {
    return this.#customersSince;
  }

  /**
   * Handles a publication that this host's replica has applied. Reports begin
   * with the window after it, not with the one after the table was read.
   */
  handlePublication(): void {
    this.#publishedAt = this.#clock.monotonicMilliseconds();
  }

  setRouteTable({ customers }: CustomerTable): void {
    this.#customers = new Set(customers?.map(({ name }) => name));
    if (customers === undefined) this.#customersSince = "none";
    else if (typeof this.#customersSince === "string") {
      const now = this.#clock.monotonicMilliseconds();
      const isRecent = now - this.#publishedAt <= maxReadDelay;
      this.#customersSince = isRecent ? this.#publishedAt : now;
    }
  }

  /**
   * Counts a request that a server began to run, or takes it back. Requests
   * without a customer, such as those on public routes, are not counted.
   */
  record(customer: CustomerId, change: 1 | -1): void {
    if (this.#customers.has(customer)) this.#recorder.record(customer, change);
  }

  /** Answers a poll of the holder. */
  answer(poll: HostPoll): HostPollAnswer {
    const answer = this.#recorder.answer(poll);
    const { serviceLoad } = this;
    return serviceLoad === undefined
      ? answer
      : { ...answer, serviceLoad: serviceLoad() };
  }
}
