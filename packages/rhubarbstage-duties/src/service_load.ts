/**
 * Load of each service at one entry host, as it answers polls with it.
 *
 * @module
 */

import { type Clock, type ServiceName, SystemClock } from "rhubarbstage";
import type { ServiceLoad } from "./types.ts";

/**
 * Time in which the weight of an event decays to 1/e, in milliseconds: bursts of
 * a second show, single requests hardly.
 */
const rateTimeConstant = 2_000;
/** Services that are counted; more are no configuration but a fault. */
const maxServices = 1_000;
/** Rate below which a service counts as unused. */
const minRate = 0.001;

/** Engine time that the policy measured for a service. */
export interface EngineDemand {
  /** Milliseconds a second. */
  readonly promptTime: number;
  /** Milliseconds a second. */
  readonly streamTime: number;
}

/** Options of a {@linkcode ServiceLoadMeter}. */
export interface ServiceLoadMeterOptions {
  readonly clock?: Clock;
}

interface ServiceCounters {
  readonly arrivals: DecayedRate;
  readonly refusals: DecayedRate;
  /** Integral of the running plain requests over time. */
  readonly busyTime: DecayedRate;
  running: number;
  changedAt: number;
}

/**
 * Measures the load of each service. Rates don't depend on who polls and how
 * often, so that two holders don't disturb each other.
 */
export class ServiceLoadMeter {
  readonly #clock: Clock;
  readonly #services = new Map<ServiceName, ServiceCounters>();
  #demand: ReadonlyMap<ServiceName, EngineDemand> = new Map();

  constructor({ clock = new SystemClock() }: ServiceLoadMeterOptions = {}) {
    this.#clock = clock;
  }

  /** Replaces the engine time that the policy measured by service. */
  setEngineDemand(demand: ReadonlyMap<ServiceName, EngineDemand>): void {
    this.#demand = demand;
  }

  /** Counts a request of a caller. */
  recordArrival(service: ServiceName): void {
    this.#countersOf(service)?.arrivals.add(1, this.#now());
  }

  /** Counts a request that was refused for lack of capacity. */
  recordRefusal(service: ServiceName): void {
    this.#countersOf(service)?.refusals.add(1, this.#now());
  }

  /**
   * Records that a server begins (1) or ends (-1) to run a plain request. Open
   * requests count while they run: those at a server that hangs never end.
   */
  recordRunning(service: ServiceName, change: 1 | -1): void {
    const counters = this.#countersOf(service);
    if (counters === undefined) return;
    this.#accumulate(counters);
    counters.running = Math.max(0, counters.running + change);
  }

  /** Returns the load of all services with any. */
  read(): ServiceLoad[] {
    const now = this.#now();
    const names = new Set([...this.#services.keys(), ...this.#demand.keys()]);
    return [...names].flatMap((service) => {
      const counters = this.#services.get(service);
      const demand = this.#demand.get(service);
      if (counters !== undefined) this.#accumulate(counters);
      const arrivals = counters?.arrivals.rate(now) ?? 0;
      const busyTime = counters?.busyTime.rate(now) ?? 0;
      const isIdle = arrivals < minRate && busyTime < minRate &&
        (demand?.promptTime ?? 0) + (demand?.streamTime ?? 0) < minRate;
      if (isIdle) {
        if (counters?.running === 0) this.#services.delete(service);
        return [];
      }
      return [{
        service,
        ...(demand === undefined ? { busyTime } : demand),
        arrivals,
        refusals: counters?.refusals.rate(now) ?? 0,
      }];
    });
  }

  #accumulate(counters: ServiceCounters): void {
    const now = this.#now();
    counters.busyTime.addOver(counters.running, {
      from: counters.changedAt,
      to: now,
    });
    counters.changedAt = now;
  }

  #countersOf(service: ServiceName): ServiceCounters | undefined {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    if (this.#services.size >= maxServices) return undefined;
    const counters: ServiceCounters = {
      arrivals: new DecayedRate(),
      refusals: new DecayedRate(),
      busyTime: new DecayedRate(),
      running: 0,
      changedAt: this.#now(),
    };
    this.#services.set(service, counters);
    return counters;
  }

  #now(): number {
    return this.#clock.monotonicMilliseconds();
  }
}

/** Exponentially decayed amount a second. */
class DecayedRate {
  #sum = 0;
  #at = 0;

  /** Adds an amount at one time. */
  add(amount: number, now: number): void {
    this.#decay(now);
    this.#sum += amount;
  }

  /** Adds a level that lasted for a time, in units of level x milliseconds. */
  addOver(
    level: number,
    { from, to }: { readonly from: number; readonly to: number },
  ): void {
    this.#decay(to);
    const decayed = 1 - Math.exp(-Math.max(0, to - from) / rateTimeConstant);
    this.#sum += level * rateTimeConstant * decayed;
  }

  /** Returns the amount a second. */
  rate(now: number): number {
    this.#decay(now);
    return this.#sum * 1_000 / rateTimeConstant;
  }

  #decay(now: number): void {
    const elapsed = Math.max(0, now - this.#at);
    this.#sum *= Math.exp(-elapsed / rateTimeConstant);
    this.#at = Math.max(this.#at, now);
  }
}
