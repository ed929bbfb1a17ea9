/**
 * Messages between the processes of an experiment.
 *
 * @module
 */

import type { EngineRole, FleetSettings } from "@rhubarbstage/policy";

/** Routing policy of the hosts of a run. */
export type PolicyName = "naive" | "fleet";

/** Region and availability zone of a process. */
export interface Location {
  readonly region: string;
  readonly availabilityZone: string;
}

/** Options of a host process; the argument of `bench host`. */
export interface HostOptions extends Location {
  readonly port: number;
  readonly position: number;
  readonly policy: PolicyName;
  readonly seed: number;
  /** Origins of all hosts, including this one, ordered by position. */
  readonly hosts: readonly string[];
  readonly settings: Partial<FleetSettings>;
  /** Whether this host decides role changes. */
  readonly holdsRoleAuthority: boolean;
  /** Simulated round trip to another region, in milliseconds. */
  readonly regionRoundTrip: number;
}

/** A stream of requests of one customer. */
export interface RequestStream {
  readonly name: string;
  readonly customer: string;
  readonly kind: string;
  readonly priority: number;
  readonly share: number;
  readonly floorRequestsPerSecond: number;
  readonly firstTokenTarget: number;
  /** Time from arrival to deadline, in milliseconds. */
  readonly deadline: number;
  /** Requests per second at times in seconds, interpolated linearly. */
  readonly rate: readonly (readonly [second: number, rate: number])[];
  readonly promptTokens: readonly [least: number, most: number];
  readonly outputTokens: readonly [least: number, most: number];
  /** Largest output that the caller allows. */
  readonly outputTokenLimit: number;
  /** Fraction of requests with longer prompts and outputs, and the factor. */
  readonly stragglers: { readonly part: number; readonly factor: number };
  /** Plain service that is called instead of a model. */
  readonly service?: string;
}

/** Options of a caller process; the argument of `bench caller`. */
export interface CallerOptions {
  readonly hosts: readonly string[];
  readonly seed: number;
  /** Start of the arrivals in milliseconds since the Unix epoch. */
  readonly startAt: number;
  /** Duration of the arrivals in seconds. */
  readonly duration: number;
  /** Fraction of each stream's rate that this caller sends. */
  readonly part: number;
  readonly streams: readonly RequestStream[];
  /** File to which the result is written as JSON. */
  readonly resultFile: string;
}

/** Request of a caller to a host. */
export interface CallerRequest {
  readonly id: string;
  readonly stream: RequestStream;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Last line of a host's answer. */
export interface CallerRequestEnd {
  readonly end: "finished" | "failed";
  readonly kind?: string;
  readonly outcome?: string;
  /** Number of attempts that were sent to servers. */
  readonly attempts: number;
  readonly outputTokens: number;
  /** From arrival at the host to the first dispatch, in milliseconds. */
  readonly queueWait: number;
}

/** Result of one request, measured by the caller; times in milliseconds. */
export interface RequestRecord {
  readonly stream: string;
  readonly straggler: boolean;
  /** Intended arrival, relative to the start of the run. */
  readonly arrival: number;
  /** Time from the intended arrival; absent without a first token. */
  readonly firstToken?: number;
  readonly total: number;
  readonly end: "finished" | "refused" | "failed";
  readonly kind?: string;
  /** Whether the outcome is `not_run` although an attempt was sent. */
  readonly untrue: boolean;
  /** From arrival at the host to the first dispatch, in milliseconds. */
  readonly queueWait: number;
  readonly tokens: number;
}

/** Content of a caller's result file. */
export interface CallerResult {
  readonly records: readonly RequestRecord[];
}

/** Message between hosts. */
export type PeerMessage =
  | { readonly type: "announcement"; readonly body: unknown }
  | {
    readonly type: "demand";
    readonly position: number;
    readonly customers: readonly (readonly [
      customer: string,
      requestsPerSecond: number,
      tokensPerSecond: number,
    ])[];
    readonly models: readonly (readonly [
      model: string,
      promptTokensPerSecond: number,
      outputTokensPerSecond: number,
    ])[];
  }
  | { readonly type: "quarantine"; readonly marks: readonly unknown[] }
  | {
    readonly type: "drain";
    readonly server: string;
    readonly drained: boolean;
  };

/** Counters of a host since its start. */
export interface HostMetrics {
  readonly servers: number;
  /** Dispatches to each server per second since the first dispatch. */
  readonly dispatches: Readonly<Record<string, readonly number[]>>;
  /** Counts of noted policy events, cancellations, failures and orders. */
  readonly notes: Readonly<Record<string, number>>;
  readonly roleChanges: readonly {
    readonly server: string;
    readonly role: EngineRole;
    /** Milliseconds since the Unix epoch. */
    readonly at: number;
  }[];
  /** Milliseconds spent in the policy, and number of events it processed. */
  readonly policyTime: number;
  readonly policyEvents: number;
}
