/**
 * Settings of a host that relays or has a seat in the control group. Times are
 * in milliseconds.
 *
 * @module
 */

import type { AvailabilityZone, HostId, Region } from "rhubarbstage";
import type { Duty } from "@rhubarbstage/duties";
import type { Endpoint, LogLevel } from "@rhubarbstage/settings";

/** Limits on the retries and hedges of all hosts together. */
export interface RetryBudgetSettings {
  /** Retries and hedges per first attempt. */
  readonly ratio: number;
  /** Retries and hedges beyond the ratio in each window. */
  readonly burst: number;
}

/** Settings of a host's seat in the control group. */
export interface SeatSettings {
  /** Folder of the persistent state. */
  readonly dataFolder: string;
  /** Whether the whole system starts for the first time. */
  readonly bootstrap: boolean;
}

/** Settings of the duties that one control host holds at a time. */
export interface DutySettings {
  readonly duties: readonly Duty[];
  /** Time between the calls of two holders of a duty. */
  readonly leaseTime: number;
  /** Length of the windows of usage reports. */
  readonly usageWindow: number;
}

/** Settings of one relay host, read when it starts. */
export interface RelayHostSettings {
  readonly host: HostId;
  /** Display name; successive hosts may use the same one. */
  readonly label: string;
  readonly cluster: string;
  readonly region: Region;
  readonly availabilityZone: AvailabilityZone;
  readonly peer: Endpoint;
  /** Secret shared by all hosts; see `docs/platform.md`. */
  readonly peerToken: string;
  /** Hosts to join through; some may be unreachable. */
  readonly seeds: readonly { readonly host: HostId; readonly peer: Endpoint }[];
  /** Address for callers; absent on hosts that do not relay. */
  readonly callers?: Endpoint;
  /** Address of the readiness check for the load balancer. */
  readonly readiness?: Endpoint;
  /** Address for servers and operators; absent on hosts that serve neither. */
  readonly control?: Endpoint;
  /** Address of the metrics endpoint. */
  readonly metrics?: Endpoint;
  readonly seat?: SeatSettings;
  /** Maximum number of hosts that may lose their disks at once. */
  readonly toleratedDiskLosses: number;
  readonly retryBudget: RetryBudgetSettings;
  /**
   * Whether servers are chosen by likely cost and remaining work. If absent, it
   * begins when a server first states its pace.
   */
  readonly routeByRemainingWork?: boolean;
  /** Time from the stop signal until the process is killed. */
  readonly gracePeriod: number;
  /** Minimum time from a leader's last order to the next leader's first one. */
  readonly orderHandoverDelay: number;
  /** Absent where the platform takes no calls. */
  readonly duties?: DutySettings;
  /** Whether customers compete for the slots of engines; defaults to false. */
  readonly customersCompete?: boolean;
  readonly logLevel: LogLevel;
  /** Memory that the process may use, in bytes; unlimited if absent. */
  readonly memoryBytes?: number;
  /** Descriptors that the process may open; unlimited if absent. */
  readonly maxDescriptors?: number;
  /** Chunks of bodies in one turn of the event loop before reads are deferred. */
  readonly chunksPerTurn?: number;
  /** Header names and values that waiting pipelined requests keep together. */
  readonly maxWaitingHeaders?: number;
}
