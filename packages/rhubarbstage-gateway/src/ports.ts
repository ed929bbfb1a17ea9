/**
 * What the gateway needs from the other parts of a host.
 *
 * @module
 */

import type {
  Announcement,
  BackendServerAddress,
  CacheEvents,
  Departure,
} from "@rhubarbstage/engine";
import type {
  CustomerDemand,
  EngineRole,
  EngineWork,
  EngineWorkEnd,
  ModelDemand,
  QuarantineMark,
  WorkSettings,
} from "@rhubarbstage/policy";
import type {
  BackendsAnswer,
  BootstrapAnswer,
  BootstrapRequest,
  DrainAnswer,
  DrainRequest,
  EditAnswer,
  EditRequest,
  EffectiveAnswer,
  HistoryAnswer,
  OrderEndAnswer,
  OrderEndRequest,
  RepairAnswer,
  RepairRequest,
  SettingsPath,
  StatusAnswer,
  TimelineAnswer,
  TimelineScope,
  TreeAnswer,
} from "@rhubarbstage/settings";
import type { TimelineFilter } from "@rhubarbstage/telemetry";
import type {
  AttemptId,
  BackendServerId,
  CustomerId,
  ErrorKind,
  ModelName,
  RequestId,
  Revision,
  ServiceName,
  WorkKind,
} from "rhubarbstage";

/** Recognises callers, operators and backend servers by their secrets. */
export abstract class Credentials {
  /** Customer of an API key, or nothing if the key is unknown. */
  abstract customerOf(apiKey: string): CustomerId | undefined;
  /** Name of the operator with a token, or nothing if it is unknown. */
  abstract operatorOf(token: string): string | undefined;
  /** Whether a token belongs to backend servers. */
  abstract isBackendServer(token: string): boolean;
}

/** Settings in force for one request. */
export interface EffectiveSettings {
  /** Revision that the settings were read from. */
  readonly revision: Revision;
  /** Whether the host has lost confirmation of its revision. */
  readonly isolated: boolean;
  /** What an isolated host does with repeatable work. */
  readonly whenIsolated: "serve" | "refuse";
  /** Largest body in bytes; only the limit of the gateway holds without. */
  readonly bodyLimit?: number;
  readonly service: ServiceName;
  readonly kind: WorkKind;
  /** Time for the request, in milliseconds, unless the caller gives less. */
  readonly timeout: number;
  readonly work: WorkSettings;
}

/** Settings in force for one call to a plain service. */
export interface EffectiveServiceSettings extends EffectiveSettings {
  /** Whether calls to this route may run more than once. */
  readonly repeatable: boolean;
}

/** What settings of a generation depend on. */
export interface ModelQuery {
  readonly customer: CustomerId;
  readonly model: ModelName;
  /** Kind of work that the caller names. */
  readonly kind?: WorkKind;
}

/** What settings of a call to a plain service depend on. */
export interface ServiceQuery {
  readonly customer: CustomerId;
  readonly service: ServiceName;
  readonly method: string;
  /** Path below the service, with its leading slash and without the query. */
  readonly path: string;
  /** Kind of work that the caller names. */
  readonly kind?: WorkKind;
}

/** Reads the tree of settings that is in force on this host. */
export abstract class SettingsSource {
  /** Models that a customer may use. */
  abstract models(customer: CustomerId): readonly ModelName[];
  /** Settings of a generation, or nothing if the model is unknown. */
  abstract forModel(query: ModelQuery): EffectiveSettings | undefined;
  /** Settings of a service call, or nothing if the service is unknown. */
  abstract forService(
    query: ServiceQuery,
  ): EffectiveServiceSettings | undefined;
}

/** A call of a caller to a plain service. */
export interface ServiceCall {
  readonly request: RequestId;
  readonly customer: CustomerId;
  readonly service: ServiceName;
  readonly method: string;
  /** Path below the service with its leading slash and the query. */
  readonly path: string;
  /** Headers of the caller without credentials and hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
  readonly repeatable: boolean;
  readonly idempotencyKey?: string;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAt: number;
}

/** Answer to a call to a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
  /** Whether the answer is the kept one of an earlier request. */
  readonly replayed: boolean;
}

/** One attempt of a call on the server that the policy has selected. */
export interface ServiceAttempt {
  readonly attempt: AttemptId;
  readonly server: BackendServerAddress;
  /** Aborted when the answer is no longer wanted. */
  readonly signal: AbortSignal;
}

/** Sends a call once to one server. */
export type SendServiceAttempt = (
  attempt: ServiceAttempt,
) => Promise<ServiceResponse>;

/** Leads a call through the policy. */
export abstract class ServiceRouting {
  /**
   * Waits for the policy's selection and runs `send`. When `send` rejects with
   * an error whose outcome and repeatability allow it, the policy may run it
   * again on another server.
   *
   * @throws {RhubarbstageError} If the policy refuses the call or the last
   * attempt fails.
   */
  abstract run(send: SendServiceAttempt): Promise<ServiceResponse>;
}

/** Calls plain services; keeps to at-most-once execution where it is needed. */
export abstract class ServiceCalls {
  /**
   * Runs one call. A call that is not repeatable is claimed before
   * `routing.run` and settled or released after it.
   *
   * @throws {RhubarbstageError} With an outcome that is true.
   */
  abstract call(
    call: ServiceCall,
    routing: ServiceRouting,
  ): Promise<ServiceResponse>;
}

/** What a backend server learns from its announcement. */
export interface AnnouncementResponse {
  /** Time until the next renewal, in milliseconds. */
  readonly renewAfter: number;
  /** Origin of the host that the next renewals should be sent to. */
  readonly renewAt?: string;
}

/** Takes announcements and knows where backend servers are reached. */
export abstract class BackendServers {
  abstract handleAnnouncement(announcement: Announcement): AnnouncementResponse;
  abstract handleDeparture(departure: Departure): void;
  abstract applyCacheEvents(events: CacheEvents): void;
  /** Address of a backend server, or nothing if it is unknown. */
  abstract addressOf(server: BackendServerId): BackendServerAddress | undefined;

  /** Whether a backend server takes new work, as far as is known now. */
  takesNewWork(server: BackendServerId): boolean {
    return this.addressOf(server) !== undefined;
  }
}

/**
 * What operators read and do; paths and shapes are those of the operator
 * interface in `@rhubarbstage/settings`. All methods throw errors of the closed
 * list.
 */
export abstract class OperatorActions {
  abstract tree(): Promise<TreeAnswer>;
  abstract effective(path: SettingsPath): EffectiveAnswer;
  abstract edit(request: EditRequest, operator: string): Promise<EditAnswer>;
  abstract history(limit: number): Promise<HistoryAnswer>;
  abstract status(): StatusAnswer;
  abstract backends(): Promise<BackendsAnswer>;
  abstract drain(request: DrainRequest, operator: string): Promise<DrainAnswer>;
  abstract timeline(
    filter: TimelineFilter,
    scope: TimelineScope,
  ): Promise<TimelineAnswer>;
  abstract bootstrap(
    request: BootstrapRequest,
    operator: string,
  ): Promise<BootstrapAnswer>;
  abstract repair(request: RepairRequest): Promise<RepairAnswer>;
  abstract endOrder(request: OrderEndRequest): Promise<OrderEndAnswer>;
}

/** One request that has ended. */
export interface RequestRecord {
  readonly request: RequestId;
  readonly route: "chat" | "text" | "service";
  /** Absent when the request was refused before its service was known. */
  readonly service?: ServiceName;
  readonly customer: CustomerId;
  readonly revision: Revision;
  /** Error kind, or `ok`, or `caller_gone`. */
  readonly result: ErrorKind | "ok" | "caller_gone";
  /** Time since arrival, in milliseconds. */
  readonly duration: number;
  readonly outputTokens: number;
  readonly attempts: number;
}

/** Text of the metrics endpoint. */
export interface MetricsText {
  readonly contentType: string;
  readonly text: string;
}

/** Field values of an event. */
export type EventFields = Readonly<Record<string, string | number | boolean>>;

/** Takes events of the time line and measurements. */
export abstract class GatewayTelemetry {
  abstract recordEvent(event: string, fields: EventFields): void;
  abstract recordRequestEnd(record: RequestRecord): void;
  /** Time from arrival to the first token, in milliseconds. */
  abstract recordTimeToFirstToken(
    service: ServiceName,
    milliseconds: number,
  ): void;
  /** Mean time between tokens over `tokens` tokens, in milliseconds. */
  abstract recordInterTokenLatency(
    service: ServiceName,
    milliseconds: number,
    tokens: number,
  ): void;
  abstract metrics(): Promise<MetricsText>;
}

/** Whether the host takes work. */
export abstract class Readiness {
  /** Reason why the load balancer should send nothing, or nothing. */
  abstract notReadyReason(): string | undefined;
  /** Whether new work is accepted; otherwise it is refused. */
  abstract acceptsWork(): boolean;
}

/** Carries out the effects of the policy that the dispatcher does not. */
export abstract class PolicyEffectHandler {
  abstract setRole(server: BackendServerId, role: EngineRole): void;
  /** Tells other hosts what this host has sent to an engine, and its end. */
  abstract announceWork(work: EngineWork | EngineWorkEnd): void;
  abstract publishQuarantine(marks: readonly QuarantineMark[]): void;
  /** Demand that this host sees, for exchange with other hosts. */
  abstract publishDemand(
    own: ReadonlyMap<CustomerId, CustomerDemand>,
    ownModels: ReadonlyMap<ModelName, ModelDemand>,
  ): void;
}
