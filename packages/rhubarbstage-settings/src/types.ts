/**
 * Types of process settings, of the settings tree and of effective settings.
 * Files and the tree use snake_case keys; everything else uses camelCase.
 *
 * @module
 */

import type {
  AvailabilityZone,
  CustomerId,
  EditId,
  HostId,
  ModelName,
  Region,
  Revision,
  ServiceName,
  WorkKind,
} from "rhubarbstage";

/** An IP address and a port. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** Address that a host listens on and address that others connect to. */
export interface ListenAddresses {
  readonly listen: Endpoint;
  /** Defaults to `listen`. */
  readonly advertise: Endpoint;
}

/** Another host in the settings of this host. */
export interface PeerHost extends Endpoint {
  readonly host: HostId;
  readonly region: Region;
  readonly availabilityZone: AvailabilityZone;
  /** Whether the host has a data folder and may have seats. */
  readonly replica: boolean;
}

/** Files with tokens; see `loadTokens`. */
export interface TokenFiles {
  readonly peer: string;
  readonly operators: string;
  readonly backendServers: string;
}

/** Files with the certificate, its key and the authority of other hosts. */
export interface TlsFiles {
  readonly certificate: string;
  readonly key: string;
  readonly authority?: string;
}

/** Level of a log line, from most to least severe. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Level and destination of log lines. */
export interface LogSettings {
  readonly level: LogLevel;
  /** Standard output when absent. */
  readonly file?: string;
}

/** Storage of the timeline of events. */
export interface TimelineSettings {
  /** Without a file, events are only kept in the in-memory ring. */
  readonly file?: string;
  /** Size at which the file is rotated, in bytes. */
  readonly maxBytes: number;
  /** Files that are kept, the current one included. */
  readonly maxFiles: number;
  /** Events in the ring for live queries. */
  readonly ringEvents: number;
}

/** Settings of one process, read once at its start. */
export interface ProcessSettings {
  readonly host: HostId;
  /** Name that all hosts of one system share. */
  readonly cluster: string;
  readonly region: Region;
  readonly availabilityZone: AvailabilityZone;
  readonly http: ListenAddresses;
  readonly peer: ListenAddresses;
  /** Present on hosts that keep durable state. */
  readonly dataFolder?: string;
  /**
   * Other hosts, without this one: all replicas, and some or all hosts without
   * a data folder.
   */
  readonly peers: readonly PeerHost[];
  readonly tokenFiles: TokenFiles;
  readonly tls?: TlsFiles;
  readonly log: LogSettings;
  readonly timeline: TimelineSettings;
  /** Time from failing `/readyz` to refusing requests, in milliseconds. */
  readonly shutdownNotice: number;
  /** Number of journal groups; the same on all hosts of a system. */
  readonly journalGroups: number;
}

/** How a host treats repeatable work while its configuration is unconfirmed. */
export type WhenIsolated = "serve" | "refuse";

/** A limit in the tree. */
export type Limit = number | "unlimited";

/** Settings that every branch may set, as written in the tree. */
export interface BranchFields {
  readonly priority?: number;
  readonly share?: number;
  readonly requests_per_second?: Limit;
  readonly tokens_per_second?: Limit;
  readonly floor_requests_per_second?: number;
  readonly first_token_target_ms?: number;
  readonly retry_ratio?: number;
  readonly deadline_ms?: number;
  readonly body_limit_bytes?: number;
  readonly when_isolated?: WhenIsolated;
}

/** Pool settings, on fleet, region and service branches. */
export interface PoolFields {
  /** Minimum number of engines able to prefill, including mixed ones. */
  readonly prefill_floor?: number;
  /** Minimum number of engines able to decode, including mixed ones. */
  readonly decode_floor?: number;
  readonly max_engines_away?: number;
}

/** Whether model engines or plain servers answer a service's requests. */
export type ServiceType = "model" | "plain";

/** A route of a plain service, as written in the tree. */
export interface RouteFields {
  /** An HTTP method or `*`. */
  readonly method: string;
  /** Such as `/accounts/{account}/top-ups`; a last `**` matches the rest. */
  readonly path: string;
  readonly repeatable: boolean;
  /** Kind of work; defaults to `default`. */
  readonly kind?: string;
}

/** A kind of work of a customer. */
export type KindBranch = BranchFields;

/** A customer. */
export interface CustomerBranch extends BranchFields {
  /** SHA-256 hashes of the customer's API keys, in hexadecimal. */
  readonly api_key_hashes?: readonly string[];
  readonly kinds?: Readonly<Record<string, KindBranch>>;
}

/** A service. */
export interface ServiceBranch extends BranchFields, PoolFields {
  readonly type?: ServiceType;
  readonly models?: readonly string[];
  readonly routes?: readonly RouteFields[];
  readonly customers?: Readonly<Record<string, CustomerBranch>>;
}

/** A region. */
export interface RegionBranch extends BranchFields, PoolFields {
  readonly services?: Readonly<Record<string, ServiceBranch>>;
}

/**
 * The whole tree as plain data; its root is the fleet branch. The name `*`
 * matches every name of its level.
 */
export interface TreeDocument extends BranchFields, PoolFields {
  readonly regions?: Readonly<Record<string, RegionBranch>>;
}

/** Branch names that apply to a request. */
export interface SettingsPath {
  readonly region: Region;
  readonly service: ServiceName;
  readonly customer: CustomerId;
  readonly kind: WorkKind;
}

/**
 * Settings in force for one path. Has the fields of the policy's
 * `WorkSettings`, so that it can be passed in its place.
 */
export interface EffectiveSettings {
  /** Purchased priority; larger is served first. */
  readonly priority: number;
  /** Weight among customers of the same priority. */
  readonly share: number;
  /** Requests per second over all hosts, or infinity. */
  readonly requestsPerSecond: number;
  /** Prompt and generated tokens per second over all hosts, or infinity. */
  readonly tokensPerSecond: number;
  /** Requests per second guaranteed whatever the load from other customers. */
  readonly floorRequestsPerSecond: number;
  /** Target for the first token, in milliseconds. */
  readonly firstTokenTarget: number;
  /** Retries allowed per first attempt, for example 0.1. */
  readonly retryRatio: number;
  /** Longest time to the end of the answer, in milliseconds. */
  readonly deadline: number;
  /** Largest request body, in bytes. */
  readonly bodyLimit: number;
  readonly whenIsolated: WhenIsolated;
}

/** A setting in force and the branch that sets it. */
export interface ExplainedSetting {
  /** Name as written in the tree. */
  readonly name: string;
  readonly value: unknown;
  /** Path of the branch, `fleet` for the root, `default` when none sets it. */
  readonly from: string;
}

/** Limits on planned changes to the engines of one service. */
export interface PoolSettings {
  readonly prefillFloor: number;
  readonly decodeFloor: number;
  /** Maximum engines that planned changes may make unavailable at once. */
  readonly maxUnavailableEngines: number;
}

/** A route of a plain service. */
export interface Route {
  readonly method: string;
  readonly path: string;
  readonly repeatable: boolean;
  readonly kind: WorkKind;
}

/** A service in one region. */
export interface ServiceSettings {
  readonly service: ServiceName;
  readonly type: ServiceType;
  readonly models: readonly ModelName[];
  readonly routes: readonly Route[];
  readonly pool: PoolSettings;
}

/** One change of the tree. Paths are segments joined by `/`. */
export type TreeOperation =
  | { readonly path: string; readonly set: unknown }
  | { readonly path: string; readonly remove: true };

/** A change that takes effect as a whole or not at all. */
export interface TreeEdit {
  /** The same in each resend, so that the edit takes effect once. */
  readonly editId: EditId;
  /** Revision that the change was made against. */
  readonly expectedRevision: Revision;
  readonly operations: readonly TreeOperation[];
}

/** One difference between two trees. */
export interface TreeDifference {
  readonly path: string;
  /** Value on the left; absent when the path is new. */
  readonly before?: unknown;
  /** Value on the right; absent when the path is gone. */
  readonly after?: unknown;
}
