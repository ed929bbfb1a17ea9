/**
 * Load of all entry hosts by region, from the answers to the holder's polls.
 *
 * @module
 */

import type { HostId, Region, ServiceName } from "rhubarbstage";
import { maxPollsPerSecond } from "./constants.ts";
import type { RegionLoad } from "./scale_types.ts";
import type { HostPollOutcome, PolledHost, ServiceLoad } from "./types.ts";

/** Time without an answer until a host is unreachable, in milliseconds. */
const answerTimeout = 5_000;

interface HostLoad {
  readonly services: readonly ServiceLoad[] | undefined;
  readonly answeredAt: number;
}

/** Keeps the last load that each live host reported. */
export class FleetLoad {
  #hosts = new Map<HostId, HostLoad>();

  /** Records the outcome of a poll. */
  observe({ host, answer, endedAt }: HostPollOutcome): void {
    if (answer === undefined) return;
    const services = answer.serviceLoad;
    this.#hosts.set(host, { services, answeredAt: endedAt });
  }

  /** Forgets the hosts that are no longer alive. */
  prune(live: readonly PolledHost[]): void {
    const known = new Set(live.map(({ host }) => host));
    for (const host of this.#hosts.keys()) {
      if (!known.has(host)) this.#hosts.delete(host);
    }
  }

  /**
   * Returns the load of a service by region; empty before any host has answered.
   * The last load of a host that doesn't answer still counts.
   */
  regionLoads(
    service: ServiceName,
    options: { readonly live: readonly PolledHost[]; readonly now: number },
  ): RegionLoad[] {
    const { live, now } = options;
    // With many hosts, one round of polls takes longer.
    const timeout = Math.max(
      answerTimeout,
      2_000 * live.length / maxPollsPerSecond,
    );
    const regions = new Map<Region, RegionLoad>();
    let answered = 0;
    for (const { host, region } of live) {
      const known = this.#hosts.get(host);
      // The load of hosts of an older build is unknown.
      const isReachable = known?.services !== undefined &&
        now - known.answeredAt <= timeout;
      if (known?.services !== undefined) answered += 1;
      const load = known?.services?.find((own) => own.service === service);
      const sum = regions.get(region) ?? noLoad(region);
      regions.set(region, addLoad(sum, load, isReachable));
    }
    return answered === 0 ? [] : [...regions.values()];
  }
}

function noLoad(region: Region): RegionLoad {
  return {
    region,
    promptTime: 0,
    streamTime: 0,
    busyTime: 0,
    arrivals: 0,
    refusals: 0,
    hosts: 0,
    unreachableHosts: 0,
  };
}

function addLoad(
  sum: RegionLoad,
  load: ServiceLoad | undefined,
  isReachable: boolean,
): RegionLoad {
  return {
    region: sum.region,
    promptTime: sum.promptTime + readAmount(load?.promptTime),
    streamTime: sum.streamTime + readAmount(load?.streamTime),
    busyTime: sum.busyTime + readAmount(load?.busyTime),
    arrivals: sum.arrivals + readAmount(load?.arrivals),
    refusals: sum.refusals + readAmount(load?.refusals),
    hosts: sum.hosts + 1,
    unreachableHosts: sum.unreachableHosts + (isReachable ? 0 : 1),
  };
}

/** Answers of other hosts may hold anything. */
function readAmount(value: unknown): number {
  return typeof value === "number" && Number.isFinite(value) && value > 0
    ? value
    : 0;
}
