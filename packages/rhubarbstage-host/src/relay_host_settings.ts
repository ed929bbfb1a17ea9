/**
 * Settings of a host that relays or takes part in control. Times are
 * milliseconds.
 *
 * @module
 */

import type { AvailabilityZone, HostId, Region } from "rhubarbstage";
import type { Endpoint, LogLevel } from "@rhubarbstage/settings";

/** Bounds on what all hosts together repeat. */
export interface RetryBudgetSettings {
  /** Repeats for each first try. */
  readonly ratio: number;
  /** Repeats beyond the ratio in each window. */
  readonly burst: number;
}

/** What a host needs to take part in control. */
export interface SeatSettings {
  /** Folder of the durable state. */
  readonly dataFolder: string;
  /** Whether the whole system starts for the first time. */
  readonly bootstrap: boolean;
}

/** Settings of one relay host, read at its start. */
export interface RelayHostSettings {
  readonly host: HostId;
  /** Name for people; several hosts may bear it one after the other. */
  readonly label: string;
  readonly cluster: string;
  readonly region: Region;
  readonly availabilityZone: AvailabilityZone;
  readonly peer: Endpoint;
  /** Secret that hosts share; see `docs/platform.md`. */
  readonly peerToken: string;
  /** Hosts to join through. Some may be gone. */
  readonly seeds: readonly { readonly host: HostId; readonly peer: Endpoint }[];
  /** Where callers connect; absent on hosts that do not relay. */
  readonly callers?: Endpoint;
  /** Where the load balancer asks whether the host takes callers. */
  readonly readiness?: Endpoint;
  /** Address at which servers and operators reach this host, if they do. */
  readonly control?: Endpoint;
  /** Address of the metrics. */
  readonly metrics?: Endpoint;
  readonly seat?: SeatSettings;
  /** Hosts with a disk that may be lost at once. */
  readonly toleratedDiskLosses: number;
  readonly retryBudget: RetryBudgetSettings;
  /** Time from the stop signal to the forced end. */
  readonly gracePeriod: number;
  /** Time in which two hosts may not both give orders to one engine. */
  readonly orderLease: number;
  readonly logLevel: LogLevel;
}
