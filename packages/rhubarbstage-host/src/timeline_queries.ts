/**
 * Timeline queries on this host or across all live hosts.
 *
 * @module
 */

import type { HostId } from "rhubarbstage";
import type { TimelineAnswer, TimelineScope } from "@rhubarbstage/settings";
import {
  mergeTimelines,
  type Timeline,
  type TimelineEvent,
  type TimelineFilter,
} from "@rhubarbstage/telemetry";
import { requestType, type Transport } from "@rhubarbstage/transport";

/** Timeout of a query to another host, in milliseconds. */
const queryTimeout = 2_000;

const timelineRequest = requestType<TimelineFilter, readonly TimelineEvent[]>(
  "timeline",
);

/** Options of {@linkcode TimelineQueries}. */
export interface TimelineQueriesOptions {
  readonly host: HostId;
  readonly timeline: Timeline;
  readonly transport: Transport;
  /** Live hosts, from membership. */
  readonly hosts: () => readonly HostId[];
}

/** Answers timeline queries of operators and of other hosts. */
export class TimelineQueries {
  #options: TimelineQueriesOptions;

  constructor(options: TimelineQueriesOptions) {
    this.#options = options;
    const { timeline, transport } = options;
    transport.onRequest(timelineRequest, (filter) => timeline.query(filter));
  }

  /** Returns events of this host or of all live hosts, in causal order. */
  async query(
    filter: TimelineFilter,
    scope: TimelineScope,
  ): Promise<TimelineAnswer> {
    const { host, timeline, hosts } = this.#options;
    const own = timeline.query(filter);
    if (scope === "host") return { events: own, missing_hosts: [] };
    const others = hosts().filter((other) => other !== host);
    const answers = await Promise.all(
      others.map((other) => this.#queryHost(other, filter)),
    );
    const missingHosts = others.filter((_, index) =>
      answers[index] === undefined
    );
    const sources = [own, ...answers.map((events) => events ?? [])];
    return {
      events: mergeTimelines(sources, filter),
      missing_hosts: missingHosts,
    };
  }

  async #queryHost(
    to: HostId,
    filter: TimelineFilter,
  ): Promise<readonly TimelineEvent[] | undefined> {
    try {
      return await this.#options.transport.request(timelineRequest, {
        to,
        body: filter,
        timeout: queryTimeout,
      });
    } catch {
      return undefined;
    }
  }
}
