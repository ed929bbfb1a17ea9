/**
 * Interfaces that the other parts of a host implement for the gateway.
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
  CostQuantity,
  CustomerDemand,
  EngineRole,
  EngineWorkEffect,
  ModelDemand,
  PartMark,
  QuarantineMark,
  RequestLimitReport,
  WorkFigures,
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

/** Authenticates callers, operators and backend servers by their secrets. */
export abstract class Credentials {
  /** Returns the customer of an API key, or nothing if it is unknown. */
  abstract customerOf(apiKey: string): CustomerId | undefined;
  /** Returns the operator's name for a token, or nothing if it is unknown. */
  abstract operatorOf(token: string): string | undefined;
  /** Returns whether a token belongs to backend servers. */
  abstract isBackendServer(token: string): boolean;
}

/** Settings in force for one request. */
export interface EffectiveSettings {
  /** Revision that the settings were read from. */
  readonly revision: Revision;
  /** Whether the host has lost confirmation of its revision. */
  readonly isolated: boolean;
  /** How an isolated host handles repeatable work. */
  readonly whenIsolated: "serve" | "refuse";
  /** Largest body in bytes; without it only the gateway's limit applies. */
  readonly bodyLimit?: number;
  readonly service: ServiceName;
  readonly kind: WorkKind;
  /** Limit for the request, in milliseconds; the caller may set a lower one. */
  readonly timeout: number;
  readonly work: WorkSettings;
}

/** Settings in force for one call to a plain service. */
export interface EffectiveServiceSettings extends EffectiveSettings {
  /** Whether calls to this route may run more than once. */
  readonly repeatable: boolean;
}

/** Parameters that select the settings of a generation. */
export interface ModelQuery {
  readonly customer: CustomerId;
  readonly model: ModelName;
  /** Kind of work that the caller names. */
  readonly kind?: WorkKind;
}

/** Parameters that select the settings of a call to a plain service. */
export interface ServiceQuery {
  readonly customer: CustomerId;
  readonly service: ServiceName;
  readonly method: string;
  /** Path below the service, with its leading slash and without the query. */
  readonly path: string;
  /** Kind of work that the caller names. */
  readonly kind?: WorkKind;
}

/** Reads the settings tree that is in force on this host. */
export abstract class SettingsSource {
  /** Returns the models that a customer may use. */
  abstract models(customer: CustomerId): readonly ModelName[];
  /** Returns a generation's settings, or nothing if the model is unknown. */
  abstract forModel(query: ModelQuery): EffectiveSettings | undefined;
  /** Returns a call's settings, or nothing if the service is unknown. */
  abstract forService(
    query: ServiceQuery,
  ): EffectiveServiceSettings | undefined;
}

/** A caller's call to a plain service. */
export interface ServiceCall {
  readonly request: RequestId;
  readonly customer: CustomerId;
  readonly service: ServiceName;
  readonly method: string;
  /** Path below the service with its leading slash and the query. */
  readonly path: string;
  /** The caller's headers without credentials and hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
  readonly repeatable: boolean;
  readonly idempotencyKey?: string;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAt: number;
}

/** Response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
  /** Whether this is the stored response of an earlier request. */
  readonly replayed: boolean;
}

/** One attempt of a call on a server that the policy has selected. */
export interface ServiceAttempt {
  readonly attempt: AttemptId;
  readonly server: BackendServerAddress;
  /** Aborted when the attempt is cancelled. */
  readonly signal: AbortSignal;
}

/** Sends a call once to one server. */
export type SendServiceAttempt = (
  attempt: ServiceAttempt,
) => Promise<ServiceResponse>;

/** Runs a call under the policy. */
export abstract class ServiceRouting {
  /**
   * Waits for the policy's selection and runs `send`. When `send` rejects, the
   * policy may run it again on another server if the error's outcome and the
   * call's repeatability allow it.
   *
   * @throws {RhubarbstageError} If the policy refuses the call or the last
   * attempt fails.
   */
  abstract run(send: SendServiceAttempt): Promise<ServiceResponse>;
}

/** Calls plain services; ensures at-most-once execution where required. */
export abstract class ServiceCalls {
  /**
   * Runs a call. A non-repeatable call is claimed before `routing.run` and
   * settled or released after it.
   *
   * @throws {RhubarbstageError} If it fails; the outcome states whether it may
   * have run.
   */
  abstract call(
    call: ServiceCall,
    routing: ServiceRouting,
  ): Promise<ServiceResponse>;
}

/** Response to a backend server's announcement. */
export interface AnnouncementResponse {
  /** Time until the next renewal, in milliseconds. */
  readonly renewAfter: number;
  /** Origin of the host that the next renewals should be sent to. */
  readonly renewAt?: string;
}

/** Processes announcements and resolves addresses of backend servers. */
export abstract class BackendServers {
  abstract handleAnnouncement(announcement: Announcement): AnnouncementResponse;
  abstract handleDeparture(departure: Departure): void;
  abstract applyCacheEvents(events: CacheEvents): void;
  /** Returns the address of a backend server, or nothing if it is unknown. */
  abstract addressOf(server: BackendServerId): BackendServerAddress | undefined;

  /** Returns whether a backend server is known to accept new work. */
  acceptsNewWork(server: BackendServerId): boolean {
    return this.addressOf(server) !== undefined;
  }
}

/**
 * Implements the operator interface; `@rhubarbstage/settings` defines its paths
 * and types. All methods throw only {@linkcode RhubarbstageError}.
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

/** Record of a request that has ended. */
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

/** Response of the metrics endpoint. */
export interface MetricsText {
  readonly contentType: string;
  readonly text: string;
}

/** Field values of an event. */
export type EventFields = Readonly<Record<string, string | number | boolean>>;

/** End of a relayed request of a customer that was identified by its key. */
export interface CustomerRequestRecord {
  readonly customer: CustomerId;
  /** Whether it was refused without being run. */
  readonly isRefused: boolean;
  /** Whether its answer began after the target of its route. */
  readonly isLate: boolean;
}

/** Records timeline events and metrics. */
export abstract class GatewayTelemetry {
  abstract recordEvent(event: string, fields: EventFields): void;
  abstract recordRequestEnd(record: RequestRecord): void;
  /** Records the time from arrival to the first token, in milliseconds. */
  abstract recordTimeToFirstToken(
    service: ServiceName,
    milliseconds: number,
  ): void;
  /** Records the mean time between tokens, in milliseconds, over `tokens`. */
  abstract recordInterTokenLatency(
    service: ServiceName,
    milliseconds: number,
    tokens: number,
  ): void;
  /** Records a predicted and the actual cost of a request. */
  recordCostPrediction(_prediction: CostPrediction): void {}
  /** Counts an ended request of a customer; by default it is not counted. */
  recordCustomerRequest(_record: CustomerRequestRecord): void {}
  abstract metrics(): Promise<MetricsText>;
}

/** Predicted and actual cost of a request, in the unit of the quantity. */
export interface CostPrediction {
  readonly quantity: CostQuantity;
  readonly expected: number;
  readonly actual: number;
  /** Decile of the predicted distribution with the actual cost, from 1. */
  readonly decile: number;
}

/** Reports whether the host accepts work. */
export abstract class Readiness {
  /** Returns why the load balancer should send no requests, or nothing. */
  abstract notReadyReason(): string | undefined;
  /** Returns whether new work is accepted; otherwise it is refused. */
  abstract acceptsWork(): boolean;
}

/** Executes the policy effects that the dispatcher does not execute itself. */
export abstract class PolicyEffectHandler {
  abstract setRole(server: BackendServerId, role: EngineRole): void;
  /**
   * Exchanges work on engines with the host that places the region's work.
   * `placement_received` or `placement_unanswered` must follow each query.
   */
  abstract shareEngineWork(effect: EngineWorkEffect): void;
  abstract publishQuarantine(marks: readonly QuarantineMark[]): void;
  /** Publishes the request limits of servers that this host has noticed. */
  abstract publishRequestLimits(limits: readonly RequestLimitReport[]): void;
  /** Publishes this host's evidence about prompt parts that crash servers. */
  abstract publishPartMarks(marks: readonly PartMark[]): void;
  /** Publishes this host's demand and observations to the other hosts. */
  abstract publishDemand(
    localDemand: ReadonlyMap<CustomerId, CustomerDemand>,
    localModelDemand: ReadonlyMap<ModelName, ModelDemand>,
    figures?: WorkFigures,
  ): void;
}
