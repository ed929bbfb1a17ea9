/**
 * Types of duties, calls to the platform and polls of entry hosts.
 *
 * @module
 */

import type {
  AvailabilityZone,
  Clock,
  CustomerId,
  FencingNumber,
  HostId,
  Incarnation,
  Region,
  ServiceName,
} from "rhubarbstage";

/** A group of platform calls that only one host makes at a time. */
export type Duty = "usage_report" | "scaling";

/**
 * Time during which this host holds a duty under one fencing token. A host that
 * takes the duty again gets a new term.
 */
export abstract class DutyTerm {
  abstract readonly duty: Duty;
  /** Fencing token: log index of the command that took the duty. */
  abstract readonly fence: FencingNumber;
  /** Aborted when the term has ended; a term never resumes. */
  abstract readonly signal: AbortSignal;
  /**
   * Monotonic time at which this host knew that it had taken the duty, in
   * milliseconds. Calls may be made only a lease time later.
   */
  readonly takenAt: number = 0;
  /**
   * Whether a call may be written now. Reads the clock on each call, so that a
   * process that was frozen notices before its next write.
   */
  abstract mayAct(): boolean;
}

/** Work done during a term; it ends when the signal of the term is aborted. */
export type DutyWork = (term: DutyTerm) => void | Promise<void>;

/** Source of terms on a host that may become the holder. */
export abstract class DutyHolder {
  /**
   * Runs the work in each term of the duty in which this host may act. Errors
   * of the work are reported and don't end the term. Stops with the signal.
   */
  abstract whenHeld(
    duty: Duty,
    work: DutyWork,
    options: { readonly signal: AbortSignal },
  ): void;
}

/** Requests that servers began to run in one window. */
export interface UsageReport {
  /** Number of the window: its start in the epoch by the window's length. */
  readonly window: number;
  readonly counts: ReadonlyMap<CustomerId, number>;
}

/** Desired number of servers of one service, zone and kind. */
export interface ServerOrder {
  readonly service: ServiceName;
  readonly availabilityZone: AvailabilityZone;
  /** Desired number of servers, not a difference. */
  readonly count: number;
  /** Whether the number is that of spot servers. */
  readonly spot: boolean;
}

/** Result of one call to the platform. */
export type PlatformCallResult =
  | { readonly type: "accepted" }
  /** The platform has no such servers now (orders only). */
  | { readonly type: "unavailable" }
  /** Too many calls; the call had no effect. */
  | { readonly type: "throttled"; readonly retryDelay?: number }
  /** The platform refused the call; a repeat would be refused too. */
  | { readonly type: "rejected"; readonly message: string }
  /** It is unknown whether the call had an effect; only repeat it exactly. */
  | { readonly type: "unclear"; readonly message: string }
  /** No byte was written: the term has ended or the rate limit is reached. */
  | { readonly type: "not_sent"; readonly message: string };

/**
 * Calls to the platform. Implementations check `term.mayAct()` directly before
 * the write, abort calls after {@linkcode callTimeout} milliseconds, keep within
 * the platform's rate limit over all duties and never throw or retry.
 */
export abstract class PlatformCalls {
  abstract reportUsage(
    report: UsageReport,
    term: DutyTerm,
  ): Promise<PlatformCallResult>;

  abstract orderServers(
    order: ServerOrder,
    term: DutyTerm,
  ): Promise<PlatformCallResult>;
}

/**
 * Load of one service at one entry host. Rates are averages over the time since
 * the previous poll by the same holder.
 */
export interface ServiceLoad {
  readonly service: ServiceName;
  /** Engine time of prompts, in milliseconds a second; engines only. */
  readonly promptTime?: number;
  /** Sum of the time of streams, in milliseconds a second; engines only. */
  readonly streamTime?: number;
  /** Run time of requests, in milliseconds a second; plain services only. */
  readonly busyTime?: number;
  /** Requests that arrived, a second. */
  readonly arrivals: number;
  /** Requests refused for lack of capacity, a second. */
  readonly refusals: number;
}

/** Begun requests by customer in one interval of the host's monotonic clock. */
export interface UsageBucket {
  /** Consecutive number; the same number always has the same counts. */
  readonly number: number;
  /** Milliseconds between the bucket's end and the answer. */
  readonly age: number;
  readonly counts: readonly (readonly [CustomerId, number])[];
}

/** Request of the holder to an entry host. */
export interface HostPoll {
  /** Process whose buckets the holder has; absent at the first poll. */
  readonly incarnation?: Incarnation;
  /** Last bucket number that the holder has from that process. */
  readonly after?: number;
}

/** Answer of an entry host. */
export interface HostPollAnswer {
  readonly incarnation: Incarnation;
  /** The host's wall time in milliseconds. */
  readonly wallTime: number;
  /** Width of the buckets in milliseconds. */
  readonly bucketWidth: number;
  /** Number of the last closed bucket, sent or empty; -1 before the first. */
  readonly last: number;
  /** Milliseconds between the end of the last closed bucket and the answer. */
  readonly lastAge: number;
  /** Buckets with requests after the polled number, oldest first. */
  readonly buckets: readonly UsageBucket[];
  /** Load by service; absent on hosts that measure none. */
  readonly serviceLoad?: readonly ServiceLoad[];
}

/** Entry host as the holder knows it from the membership. */
export interface PolledHost {
  readonly host: HostId;
  readonly region: Region;
}

/** Outcome of one poll, as listeners of {@linkcode HostPolls} get it. */
export interface HostPollOutcome extends PolledHost {
  /** Monotonic time at which the poll was sent, in milliseconds. */
  readonly sentAt: number;
  /** Monotonic time at which it ended, in milliseconds. */
  readonly endedAt: number;
  /** Absent when the host did not answer. */
  readonly answer?: HostPollAnswer;
}

/** Polls of the entry hosts by the holder, at most once for all duties. */
export abstract class HostPolls {
  /** Calls the listener with each outcome until the signal is aborted. */
  abstract onOutcome(
    listener: (outcome: HostPollOutcome) => void,
    options: { readonly signal: AbortSignal },
  ): void;

  /** Live entry hosts at this moment. */
  abstract hosts(): readonly PolledHost[];
}

/** Parts that the work of a duty is built on. */
export interface DutyContext {
  readonly holder: DutyHolder;
  readonly calls: PlatformCalls;
  readonly polls: HostPolls;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}
