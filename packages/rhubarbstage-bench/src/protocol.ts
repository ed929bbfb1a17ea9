/**
 * What the processes of an experiment tell each other.
 *
 * @module
 */

import type { EngineRole, FleetSettings } from "@rhubarbstage/policy";

/** Which policy the hosts of a run use. */
export type PolicyName = "naive" | "fleet";

/** Place of a process. */
export interface Place {
  readonly region: string;
  readonly availabilityZone: string;
}

/** Options of a host process; the argument of `bench host`. */
export interface HostOptions extends Place {
  readonly port: number;
  readonly position: number;
  readonly policy: PolicyName;
  readonly seed: number;
  /** Origins of all hosts, this one included, in order of position. */
  readonly hosts: readonly string[];
  readonly settings: Partial<FleetSettings>;
  /** Whether this host decides on roles. */
  readonly holdsRoleAuthority: boolean;
  /** Round trip to another region, in milliseconds. */
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
  /** Requests a second at times in seconds; linear in between. */
  readonly rate: readonly (readonly [second: number, rate: number])[];
  readonly promptTokens: readonly [least: number, most: number];
  readonly outputTokens: readonly [least: number, most: number];
  /** Largest output that the caller allows. */
  readonly outputTokenLimit: number;
  /** Part of the requests that are longer, and by which factor. */
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
  /** Length of the arrivals in seconds. */
  readonly duration: number;
  /** Part of each stream's rate that this caller sends. */
  readonly part: number;
  readonly streams: readonly RequestStream[];
  /** File to which the result is written as JSON. */
  readonly resultFile: string;
}

/** One request as the caller sends it to a host. */
export interface RunRequest {
  readonly id: string;
  readonly stream: RequestStream;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Last line of a host's answer. */
export interface RunEnd {
  readonly end: "finished" | "failed";
  readonly kind?: string;
  readonly outcome?: string;
  /** Attempts that were sent to servers. */
  readonly attempts: number;
  readonly outputTokens: number;
  /** From arrival at the host to the first dispatch, in milliseconds. */
  readonly queueWait: number;
}

/** One request as the caller saw it; times in milliseconds. */
export interface RequestRecord {
  readonly stream: string;
  readonly straggler: boolean;
  /** Intended arrival since the start of the run. */
  readonly arrival: number;
  /** From the intended arrival; absent when there was none. */
  readonly firstToken?: number;
  readonly total: number;
  readonly end: "finished" | "refused" | "failed";
  readonly kind?: string;
  /** Whether the refusal says `not_run` although an attempt was sent. */
  readonly untrue: boolean;
  /** From arrival at the host to the first dispatch, in milliseconds. */
  readonly queueWait: number;
  readonly tokens: number;
}

/** Content of a caller's result file. */
export interface CallerResult {
  readonly records: readonly RequestRecord[];
}

/** What hosts send each other. */
export type PeerMessage =
  | { readonly type: "announcement"; readonly body: unknown }
  | {
    readonly type: "demand";
    readonly position: number;
    readonly customers: readonly (readonly [string, number, number])[];
    readonly models: readonly (readonly [string, number, number])[];
  }
  | { readonly type: "quarantine"; readonly marks: readonly unknown[] }
  | {
    readonly type: "drain";
    readonly server: string;
    readonly drained: boolean;
  };

/** What a host has done so far. */
export interface HostMetrics {
  readonly servers: number;
  /** Dispatches to each server in each second since the first one. */
  readonly dispatches: Readonly<Record<string, readonly number[]>>;
  readonly notes: Readonly<Record<string, number>>;
  readonly roleChanges: readonly {
    readonly server: string;
    readonly role: EngineRole;
    /** Milliseconds since the Unix epoch. */
    readonly at: number;
  }[];
  /** Milliseconds spent in the policy, and events that it took. */
  readonly policyTime: number;
  readonly policyEvents: number;
}
