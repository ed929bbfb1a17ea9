/**
 * Events and effects of the policy. All times are in milliseconds on the
 * monotonic clock of the host that runs the policy.
 *
 * @module
 */

import type {
  AttemptId,
  AvailabilityZone,
  BackendServerId,
  CustomerId,
  ErrorKind,
  HostId,
  Incarnation,
  ModelName,
  Outcome,
  Region,
  RequestId,
  ServiceName,
  SoftwareVersion,
  WorkKind,
} from "rhubarbstage";
import type { EngineWorkId } from "./engine_queue.ts";
import type { FleetSettings } from "./fleet_settings.ts";

/** Role of a model engine in its pool. */
export type EngineRole = "prefill" | "decode" | "mixed";

/** Effective settings of one request, read from the settings tree. */
export interface WorkSettings {
  /** Priority the customer paid for; larger is served first. Defaults to 0. */
  readonly priority: number;
  /** Weight among customers of the same priority. */
  readonly share: number;
  /** Limit in requests per second over all hosts, or infinity. */
  readonly requestsPerSecond: number;
  /**
   * Limit in prompt and output tokens per second over all hosts, or infinity.
   */
  readonly tokensPerSecond: number;
  /** Requests per second guaranteed whatever the load from other customers. */
  readonly floorRequestsPerSecond: number;
  /** Target time to first token, in milliseconds. */
  readonly firstTokenTarget: number;
  /** Retries allowed per first attempt, for example 0.1. */
  readonly retryRatio: number;
}

/** Segment of a prompt that other prompts may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Where an answer began. It goes on only at servers of the same software
 * version, because servers do not check what they continue.
 */
export interface AnswerOrigin {
  /** Absent if the server that began it names none. */
  readonly softwareVersion?: SoftwareVersion;
}

/** Request as seen by the policy. */
export interface Work {
  readonly request: RequestId;
  readonly customer: CustomerId;
  /**
   * Name under which retry budget, limits and learned estimates are kept;
   * defaults to the customer. Set where they belong to the service, so that they
   * are not split by its customers.
   */
  readonly budgetScope?: CustomerId;
  readonly service: ServiceName;
  readonly kind: WorkKind;
  /** Absent for plain services. */
  readonly model?: ModelName;
  /** Estimated prompt length in tokens. */
  readonly promptTokens: number;
  /** Maximum output that the caller allows, in tokens. */
  readonly outputTokenLimit: number;
  /** Caller's estimate of the output in tokens, if provided. */
  readonly expectedOutputTokens?: number;
  /** Hashes of the prompt's prefixes, one for each block of 1,000 tokens. */
  readonly prefixHashes: readonly string[];
  /**
   * Parts of the prompt in order, if the caller names them; the last one is
   * unique to the request.
   */
  readonly promptParts?: readonly PromptPart[];
  /** Hash of customer and body; the same when the request is sent again. */
  readonly fingerprint: string;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Whether the stream may be cancelled and resumed elsewhere. */
  readonly resumable: boolean;
  /** Present if the request takes up an answer that has begun. */
  readonly answerOrigin?: AnswerOrigin;
  /**
   * Whether it is cancelled, even while running, at the caller's disconnect or
   * the deadline. Defaults to `repeatable`: other work runs to completion to
   * settle the claim on its idempotency key.
   */
  readonly cancellable?: boolean;
  /** Maximum number of servers it may be started on; unlimited when absent. */
  readonly maxAttempts?: number;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /**
   * Milliseconds after arrival at which the caller disconnects unless the answer
   * has begun; if absent, only the deadline applies.
   */
  readonly firstTokenTimeout?: number;
  /** Rank in engine queues, 0 first, while its target can still be met. */
  readonly rank?: number;
  /** Longest pause between tokens that the caller accepts, in milliseconds. */
  readonly tokenGapTarget?: number;
  readonly settings: WorkSettings;
}

/** Returns the name under which budgets and estimates of work are kept. */
export function budgetScopeOf(work: Work): CustomerId {
  return work.budgetScope ?? work.customer;
}

/**
 * Returns the time until which the caller waits for the answer to begin, in
 * milliseconds on the clock of `arrivedAt`.
 */
export function startDeadlineOf(work: Work): number {
  const { arrivedAt, deadlineAt, firstTokenTimeout = Infinity } = work;
  return Math.min(deadlineAt, arrivedAt + firstTokenTimeout);
}

/** Whether running work may be cancelled at caller disconnect or deadline. */
export function isCancellable(work: Work): boolean {
  return work.cancellable ?? work.repeatable;
}

/** Returns the parts of the prompt that other requests may have as well. */
export function sharedPartsOf({ promptParts = [] }: Work): PromptPart[] {
  return promptParts.slice(0, -1);
}

/** Load report of a backend server; may be seconds old when read. */
export interface BackendServerLoad {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  /** KV cache in use and in total, in tokens. */
  readonly cacheTokensUsed: number;
  readonly cacheTokensTotal: number;
  /** Time of work on the server at this moment, relative to its usual time. */
  readonly pace?: number;
}

/**
 * Figures about routes, as sums and counts of recent observations
 * that may be added up over hosts.
 */
export type WorkFigures = ReadonlyMap<
  string,
  readonly [sum: number, count: number]
>;

/** Description of a backend server, with its last load report. */
export interface BackendServer {
  readonly id: BackendServerId;
  readonly incarnation: Incarnation;
  readonly region: Region;
  readonly availabilityZone: AvailabilityZone;
  /** Models that an engine serves; empty for plain services. */
  readonly models: readonly ModelName[];
  /** Plain services that the server runs; empty for engines. */
  readonly services: readonly ServiceName[];
  readonly role: EngineRole;
  /** Absent if the server names none. */
  readonly softwareVersion?: SoftwareVersion;
  /** Requests that the server can run concurrently. */
  readonly capacity: number;
  /** KV cache capacity of an engine, in tokens, if known. */
  readonly cacheTokens?: number;
  /** False for leaving and drained servers. */
  readonly acceptsNewWork: boolean;
  readonly load?: BackendServerLoad;
}

/** Demand of one customer, in the same units as its limits. */
export interface CustomerDemand {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
}

/**
 * Offered load of one model. Counts whole prompts, or only the tokens estimated
 * to be uncached when hosts share engine state.
 */
export interface ModelDemand {
  readonly promptTokensPerSecond: number;
  readonly outputTokensPerSecond: number;
  /** Engine time of the prompts, in milliseconds per second, if measured. */
  readonly promptTimePerSecond?: number;
  /**
   * Time for which the prompts occupy engines, in milliseconds per second. Known
   * to the host that measured it and not gossiped.
   */
  readonly computeTimePerSecond?: number;
  /** Duration of the streams, in milliseconds per second, if measured. */
  readonly streamTimePerSecond?: number;
}

/** Part of a request in the crash of a server. */
export interface CrashEvidence {
  /** Identifies the crash on all hosts: the server and its process. */
  readonly id: string;
  /** Whether an answer to the request had begun, there or elsewhere. */
  readonly hasAnswered: boolean;
}

/** Mark on a request fingerprint suspected of crashing servers. */
export interface QuarantineMark {
  readonly fingerprint: string;
  /** Servers that crashed while running the request; 0 clears the mark. */
  readonly crashes: number;
  /** Whether the request is refused. */
  readonly blocked: boolean;
  /** Age of the mark at sending time, in milliseconds. */
  readonly age: number;
  /** The latest crash; absent from hosts of earlier software versions. */
  readonly crash?: CrashEvidence;
  /** Whether one of its crashes was explained by another request. */
  readonly spared?: boolean;
}

/** Request limit of a server that one host has noticed. */
export interface RequestLimitReport {
  readonly server: BackendServerId;
  readonly incarnation: Incarnation;
  /** Requests a second for all hosts together; absent once it has ended. */
  readonly limit?: number;
  /** Age at sending time, in milliseconds. */
  readonly age: number;
}

/** What a server says of itself in an answer. */
export interface ServerNotice {
  /** Whether it will end and wants no new work. */
  readonly isLeaving: boolean;
  /** Time for which it wants no request from this host, in milliseconds. */
  readonly pause?: number;
}

/** Evidence of one host that a prompt part crashes servers. */
export interface PartMark {
  readonly part: string;
  /** Whether an answer with the part has ever begun. */
  readonly sound: boolean;
  readonly crashes: readonly PartCrash[];
}

/** A crash of a server on which a request with the part had not begun. */
export interface PartCrash {
  /** Names the server process. */
  readonly crash: string;
  /** Age at sending time, in milliseconds. */
  readonly age: number;
  /** Whether an answer with the part has begun since. */
  readonly cleared: boolean;
}

/** Work that one host has sent to an engine. */
export interface EngineWork {
  readonly server: BackendServerId;
  readonly id: EngineWorkId;
  /** Expected prefill; 0 with an imported KV cache or a fully cached prompt. */
  readonly milliseconds: number;
  /** Whether the engine generates the answer. */
  readonly answers: boolean;
  /** Rank in the engine's queue, 0 first. */
  readonly rank: number;
  /** Parts of the prompt that the engine will have cached. */
  readonly parts: readonly PromptPart[];
  /** Tokens of the prompt to be computed, if the engine computes it. */
  readonly uncachedTokens?: number;
}

/**
 * End of announced work: the prompt is computed and cached on the engine, the
 * work was abandoned before that, or the answer has ended.
 */
export interface EngineWorkEnd {
  readonly server: BackendServerId;
  readonly id: EngineWorkId;
  readonly ended: "computed" | "dropped" | "answered";
  /** Parts that the engine will not have cached after a dropped prompt. */
  readonly parts?: readonly PromptPart[];
  readonly observed?: ObservedSpeed;
  /** Pace that the server stated just before the end of the prompt. */
  readonly pace?: number;
}

/** Speeds measured by the host that received an answer, in milliseconds. */
export interface ObservedSpeed {
  /** Time from the computed prompt to the first token. */
  readonly fixedTime?: number;
  /** Mean time between two tokens. */
  readonly tokenInterval?: number;
}

/** Question to the host that places the work of a region: which engines? */
export interface PlacementQuery {
  readonly request: RequestId;
  readonly model: ModelName;
  readonly promptTokens: number;
  /** Expected output in tokens. */
  readonly outputTokens: number;
  readonly parts: readonly PromptPart[];
  /** Rank in engine queues, 0 first, while its target can still be met. */
  readonly rank: number;
  /** Milliseconds since the request arrived. */
  readonly waited: number;
  readonly firstTokenTarget: number;
  /**
   * Milliseconds after arrival at which the caller leaves unless the answer has
   * begun.
   */
  readonly startTimeout: number;
  readonly tokenGapTarget?: number;
  /** Servers on which the request has failed. */
  readonly excludedServers: readonly BackendServerId[];
  /** Whether the request may have crashed a server. */
  readonly suspect: boolean;
  /** Present if the answer has begun. */
  readonly answerOrigin?: AnswerOrigin;
  /** Availability zone of the asking host, if distance within regions counts. */
  readonly zone?: AvailabilityZone;
  /**
   * Customer of the request, if callers are identified: the request competes with
   * those of others. Absent from hosts of earlier software versions, as are the
   * following fields.
   */
  readonly customer?: CustomerId;
  /** Weight of the customer. */
  readonly share?: number;
  readonly kind?: WorkKind;
  /** Milliseconds until the request's deadline. */
  readonly timeLeft?: number;
  /** Whether the request was placed before. */
  readonly isRetry?: boolean;
}

/** Engine work of a placement; the asking host knows rank and parts. */
export type PlacedWork = Omit<EngineWork, "rank" | "parts">;

/** Answer to a placement query. Times in milliseconds. */
export type Placement =
  | {
    readonly type: "placed";
    /** Engine that generates the answer. */
    readonly server: BackendServerId;
    /** Engine that computes the prompt first and exports its KV cache. */
    readonly prefillServer?: BackendServerId;
    readonly rank: number;
    readonly uncachedTokens: number;
    readonly expectedWait: number;
    readonly expectedFirstToken: number;
    /** See `FleetSettings.shareComputeTime`. */
    readonly computeTimePerToken?: number;
    readonly works: readonly PlacedWork[];
  }
  | {
    /** The request would start too late for its caller. */
    readonly type: "refused";
    /** Time after which the queues are short enough. */
    readonly retryAfter: number;
    readonly expectedWait: number;
    readonly expectedFirstToken: number;
    /** Whether the delays of callers refused together differ already. */
    readonly isOrdered?: boolean;
  }
  | {
    /** The placing host holds the query; another answer follows. */
    readonly type: "waiting";
    /** Time within which it follows. */
    readonly limit: number;
  };

/** Effects that concern other hosts' knowledge of the engines' work. */
export type EngineWorkEffect = Extract<
  PolicyEffect,
  {
    type:
      | "announce_work"
      | "announce_work_end"
      | "request_placement"
      | "answer_placement"
      | "cancel_placement";
  }
>;

/** Input of the policy. */
export type PolicyEvent =
  | { readonly type: "arrived"; readonly now: number; readonly work: Work }
  | {
    readonly type: "caller_gone";
    readonly now: number;
    readonly request: RequestId;
  }
  | {
    readonly type: "first_token";
    readonly now: number;
    readonly request: RequestId;
    readonly attempt: AttemptId;
  }
  | {
    readonly type: "tokens";
    readonly now: number;
    readonly request: RequestId;
    readonly attempt: AttemptId;
    /** Tokens since the previous event of the attempt. */
    readonly count: number;
  }
  | {
    readonly type: "finished";
    readonly now: number;
    readonly request: RequestId;
    readonly attempt: AttemptId;
    readonly promptTokens: number;
    readonly outputTokens: number;
  }
  | {
    readonly type: "failed";
    readonly now: number;
    readonly request: RequestId;
    readonly attempt: AttemptId;
    readonly kind: ErrorKind;
    readonly outcome: Outcome;
    /** Tokens already delivered to the caller. */
    readonly deliveredTokens: number;
    /** Whether the connection failed before or during the request. */
    readonly connectionLost: boolean;
  }
  | {
    readonly type: "server_seen";
    readonly now: number;
    readonly server: BackendServer;
  }
  | {
    readonly type: "server_gone";
    readonly now: number;
    readonly server: BackendServerId;
    /** Whether it vanished without leaving or restarted as a new process. */
    readonly crashed: boolean;
  }
  | {
    readonly type: "cache_changed";
    readonly now: number;
    readonly server: BackendServerId;
    readonly stored: readonly string[];
    readonly evicted: readonly string[];
    /** Whether events before this one were lost. */
    readonly gap: boolean;
  }
  /** Another host has sent work to an engine. */
  | {
    readonly type: "work_announced";
    readonly now: number;
    readonly work: EngineWork;
  }
  | {
    readonly type: "work_ended";
    readonly now: number;
    readonly end: EngineWorkEnd;
    /** Whether it comes late, from the placing host of another region. */
    readonly isForwarded?: boolean;
  }
  /** Another host of the region asks this one to place a request. */
  | {
    readonly type: "placement_requested";
    readonly now: number;
    readonly from: HostId;
    readonly query: PlacementQuery;
  }
  /** Another host, or this one, no longer needs the answer to its query. */
  | {
    readonly type: "placement_cancelled";
    readonly now: number;
    readonly from: HostId;
    readonly request: RequestId;
  }
  /** A query that waits at this host must not be held any longer. */
  | { readonly type: "placement_due"; readonly now: number }
  /** Answer to a query of this host, possibly after its timeout. */
  | {
    readonly type: "placement_received";
    readonly now: number;
    readonly request: RequestId;
    readonly placement: Placement;
  }
  /** A query of this host was not answered in time or could not be sent. */
  | {
    readonly type: "placement_unanswered";
    readonly now: number;
    readonly request: RequestId;
  }
  /** Whether another host places the work of this region. */
  | {
    readonly type: "placement_host_changed";
    readonly now: number;
    readonly isRemote: boolean;
  }
  | {
    /** A prefill engine has computed the prompt of an attempt. */
    readonly type: "prompt_computed";
    readonly now: number;
    readonly request: RequestId;
    readonly attempt: AttemptId;
  }
  | {
    readonly type: "path_measured";
    readonly now: number;
    readonly region: Region;
    /** Round-trip time to the region, in milliseconds. */
    readonly roundTrip: number;
  }
  | {
    readonly type: "demand_reported";
    readonly now: number;
    /** Demand summed over all hosts. */
    readonly total: ReadonlyMap<CustomerId, CustomerDemand>;
    /** Number of live hosts, including this one. */
    readonly hosts: number;
    /** Index of this host among the live hosts ordered by id, from 0. */
    readonly position?: number;
    /** This host's share of `total`; the last published demand if absent. */
    readonly localDemand?: ReadonlyMap<CustomerId, CustomerDemand>;
    /** Demand of each model summed over all hosts. */
    readonly models?: ReadonlyMap<ModelName, ModelDemand>;
    /** Figures about routes, summed over all hosts. */
    readonly figures?: WorkFigures;
  }
  | {
    readonly type: "quarantine_reported";
    readonly now: number;
    readonly marks: readonly QuarantineMark[];
  }
  /** A server has answered, with or without a limit on its requests. */
  | {
    readonly type: "request_limit_observed";
    readonly now: number;
    readonly server: BackendServerId;
    /** Requests a second that it takes from all hosts together. */
    readonly limit?: number;
  }
  /** A server has said in an answer that it leaves or wants a pause. */
  | {
    readonly type: "server_notice_observed";
    readonly now: number;
    readonly server: BackendServerId;
    /** Process that gave the answer. */
    readonly incarnation: Incarnation;
    readonly notice: ServerNotice;
  }
  /** Request limits that another host has noticed. */
  | {
    readonly type: "request_limits_reported";
    readonly now: number;
    readonly limits: readonly RequestLimitReport[];
  }
  /** Another host's evidence about prompt parts. */
  | {
    readonly type: "part_marks_reported";
    readonly now: number;
    readonly marks: readonly PartMark[];
  }
  | {
    readonly type: "role_authority_changed";
    readonly now: number;
    /** Whether this host decides on roles. */
    readonly held: boolean;
  }
  | {
    readonly type: "settings_changed";
    readonly now: number;
    /** Fleet-wide settings that differ from the defaults. */
    readonly settings: Partial<FleetSettings>;
  }
  | { readonly type: "tick"; readonly now: number };

/** Predicted costs: tokens of streams, milliseconds of plain calls. */
export type CostQuantity = "output_tokens" | "run_time";

/** Forecast on which a route was chosen; times in milliseconds. */
export interface RouteForecast {
  /** Time to the first token. */
  readonly firstToken: number;
  /** Part of `firstToken` spent queueing behind earlier work. */
  readonly wait: number;
  /** Prompt tokens that must be computed. */
  readonly uncachedTokens: number;
}

/**
 * Why an attempt is cancelled. The request is queued again if `preempted`,
 * continues on another server if `moved`, and in another attempt if `hedged`.
 */
export type CancelReason =
  | "preempted"
  | "moved"
  | "hedged"
  | "caller_gone"
  | "quarantined"
  | "deadline";

/**
 * Action for the host to perform. The policy treats an attempt as ended once it
 * emits `cancel`, and ignores later events of the attempt.
 */
export type PolicyEffect =
  | {
    readonly type: "dispatch";
    readonly request: RequestId;
    readonly attempt: AttemptId;
    /** Server that generates the answer. */
    readonly server: BackendServerId;
    /** Software version of that server; absent if it names none. */
    readonly softwareVersion?: SoftwareVersion;
    /** Server that computes the prompt first and exports its KV cache. */
    readonly prefillServer?: BackendServerId;
    /** Priority passed to the engine; larger is served first. */
    readonly priority: number;
    /** Rank for engines that support ranks; smaller is served first. */
    readonly rank?: number;
    /**
     * Tokens delivered to the caller, as counted by the policy. The host
     * resumes from its own count, which may be larger.
     */
    readonly resumeFrom: number;
    /** Forecast behind the routing decision, for logs. */
    readonly forecast?: RouteForecast;
  }
  | {
    readonly type: "refuse";
    readonly request: RequestId;
    readonly kind: ErrorKind;
    readonly outcome: Outcome;
    readonly retryAfterSeconds?: number;
  }
  | {
    readonly type: "cancel";
    readonly request: RequestId;
    readonly attempt: AttemptId;
    readonly reason: CancelReason;
  }
  | {
    readonly type: "set_role";
    readonly server: BackendServerId;
    readonly role: EngineRole;
  }
  | {
    readonly type: "publish_quarantine";
    /** All marks set by this host, newest last; replaces earlier ones. */
    readonly marks: readonly QuarantineMark[];
  }
  | {
    readonly type: "publish_request_limits";
    /** Limits that this host has noticed; replaces earlier ones. */
    readonly limits: readonly RequestLimitReport[];
  }
  | {
    readonly type: "publish_part_marks";
    /** This host's evidence about prompt parts; replaces earlier evidence. */
    readonly marks: readonly PartMark[];
  }
  | {
    readonly type: "publish_demand";
    /** Demand of each customer on this host, to be gossiped. */
    readonly localDemand: ReadonlyMap<CustomerId, CustomerDemand>;
    readonly localModelDemand: ReadonlyMap<ModelName, ModelDemand>;
    /** Figures of this host; absent unless work is routed by them. */
    readonly figures?: WorkFigures;
  }
  | {
    /** Announces work sent to an engine to the host that places work. */
    readonly type: "announce_work";
    readonly work: EngineWork;
    /** Whether that host has placed the work itself. */
    readonly isPlaced: boolean;
  }
  | {
    readonly type: "request_placement";
    readonly query: PlacementQuery;
  }
  | {
    readonly type: "answer_placement";
    readonly to: HostId;
    readonly request: RequestId;
    readonly placement: Placement;
    /** Work that the placement adds to the engines. */
    readonly works: readonly EngineWork[];
  }
  | {
    /** The request of a query has ended before its answer. */
    readonly type: "cancel_placement";
    readonly request: RequestId;
  }
  | {
    readonly type: "announce_work_end";
    readonly end: EngineWorkEnd;
  }
  | {
    /** Compares a predicted cost with the actual one, for metrics. */
    readonly type: "compare_cost";
    readonly quantity: CostQuantity;
    readonly expected: number;
    readonly actual: number;
    /** Decile of the predicted distribution with the actual cost, from 1. */
    readonly decile: number;
  }
  | {
    readonly type: "note";
    /** Event name in the log and the timeline. */
    readonly event: string;
    readonly fields: Readonly<Record<string, string | number | boolean>>;
  };
