/**
 * Events and effects of the policy. All times are monotonic milliseconds of the
 * host that runs the policy.
 *
 * @module
 */

import type {
  AttemptId,
  AvailabilityZone,
  BackendServerId,
  CustomerId,
  ErrorKind,
  Incarnation,
  ModelName,
  Outcome,
  Region,
  RequestId,
  ServiceName,
  WorkKind,
} from "rhubarbstage";
import type { PromptWorkId } from "./engine_queue.ts";
import type { FleetSettings } from "./fleet_settings.ts";

/** Role of a model engine in its pool. */
export type EngineRole = "prefill" | "decode" | "mixed";

/** Effective settings of one request, read from the tree of settings. */
export interface WorkSettings {
  /** Bought priority; larger is served first. 0 is the default. */
  readonly priority: number;
  /** Weight among customers of the same priority. */
  readonly share: number;
  /** Requests a second over all hosts, or infinity. */
  readonly requestsPerSecond: number;
  /** Generated and prompt tokens a second over all hosts, or infinity. */
  readonly tokensPerSecond: number;
  /** Requests a second that are never starved by others. */
  readonly floorRequestsPerSecond: number;
  /** Target for the first token, in milliseconds. */
  readonly firstTokenTarget: number;
  /** Retries allowed for each first try, for example 0.1. */
  readonly retryRatio: number;
}

/** One part of a prompt that other prompts may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** One request as the policy sees it. */
export interface Work {
  readonly request: RequestId;
  readonly customer: CustomerId;
  readonly service: ServiceName;
  readonly kind: WorkKind;
  /** Absent for plain services. */
  readonly model?: ModelName;
  /** Estimated prompt length in tokens. */
  readonly promptTokens: number;
  /** Largest output that the caller allows, in tokens. */
  readonly outputTokenLimit: number;
  /** Caller's guess of the output in tokens, if it makes one. */
  readonly expectedOutputTokens?: number;
  /** Hashes of the prompt's prefixes, one for each block of 1,000 tokens. */
  readonly prefixHashes: readonly string[];
  /**
   * Parts of the prompt in order, where callers name them; the last one is the
   * request's own.
   */
  readonly promptParts?: readonly PromptPart[];
  /** Hash of customer and body, the same when the request is sent again. */
  readonly fingerprint: string;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Whether the stream may be cancelled and resumed elsewhere. */
  readonly resumable: boolean;
  /**
   * Whether it ends when its caller leaves or its deadline passes, even while
   * it runs. Defaults to `repeatable`: other work runs to its end, so that its
   * claim settles.
   */
  readonly cancellable?: boolean;
  /** Most servers on which it may be started; unlimited when absent. */
  readonly maxAttempts?: number;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /**
   * Time after which the caller leaves unless the answer has begun; it waits
   * until its deadline when absent.
   */
  readonly firstTokenTimeout?: number;
  /** Rank in the queues of engines, 0 first, while it can be on time. */
  readonly rank?: number;
  readonly settings: WorkSettings;
}

/** Whether running work may be cut short for its caller or its deadline. */
export function isCancellable(work: Work): boolean {
  return work.cancellable ?? work.repeatable;
}

/** Load report of a backend server; seconds old by the time it is read. */
export interface BackendServerLoad {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  /** Tokens of KV cache in use and in all. */
  readonly cacheTokensUsed: number;
  readonly cacheTokensTotal: number;
}

/** What is known of one backend server. */
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
  /** Requests that the server can run at the same time. */
  readonly capacity: number;
  /** Memory of an engine for prompts and answers, in tokens, if known. */
  readonly cacheTokens?: number;
  /** Leaving or drained servers receive no new work. */
  readonly acceptsNewWork: boolean;
  readonly load?: BackendServerLoad;
}

/** Demand of one customer, in the unit of the limits. */
export interface CustomerDemand {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
}

/**
 * Offered work of one model. Prompts count whole, but where hosts share the
 * engines, only what no cache is believed to hold.
 */
export interface ModelDemand {
  readonly promptTokensPerSecond: number;
  readonly outputTokensPerSecond: number;
}

/** A request fingerprint under suspicion of crashing servers. */
export interface QuarantineMark {
  readonly fingerprint: string;
  /** Servers that crashed while they ran the request; 0 clears a suspect. */
  readonly crashes: number;
  /** Whether the request is refused. */
  readonly blocked: boolean;
  /** Age of the mark in milliseconds when it was sent. */
  readonly age: number;
}

/** Work that one host has sent to an engine. */
export interface EngineWork {
  readonly server: BackendServerId;
  readonly id: PromptWorkId;
  /** Expected time for the prompt, in milliseconds; 0 if it comes computed. */
  readonly milliseconds: number;
  /** Whether the engine generates the answer. */
  readonly answers: boolean;
  /** Rank at which the engine takes it, 0 first. */
  readonly rank: number;
  /** Parts of the prompt that the engine will have in its cache. */
  readonly parts: readonly PromptPart[];
}

/**
 * What has become of announced work: the prompt is computed and in the cache of
 * the engine, it was given up before, or the answer has ended.
 */
export interface EngineWorkEnd {
  readonly server: BackendServerId;
  readonly id: PromptWorkId;
  readonly ended: "computed" | "dropped" | "answered";
}

/** What happened. */
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
    /** Tokens since the last event of the attempt. */
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
    /** Tokens that the caller already has. */
    readonly deliveredTokens: number;
    /** Whether the server's connection was lost while it ran the request. */
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
    /** Whether it vanished without leaving, or came back as a new process. */
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
    /** Round trip to the region, in milliseconds. */
    readonly roundTrip: number;
  }
  | {
    readonly type: "demand_reported";
    readonly now: number;
    /** Demand that all hosts together see. */
    readonly total: ReadonlyMap<CustomerId, CustomerDemand>;
    /** Hosts that are alive, this one included. */
    readonly hosts: number;
    /** Place of this host among the living hosts, ordered by id, from 0. */
    readonly position?: number;
    /** This host's contribution to `total`; the last published one if absent. */
    readonly localDemand?: ReadonlyMap<CustomerId, CustomerDemand>;
    /** Demand of each model that all hosts together see. */
    readonly models?: ReadonlyMap<ModelName, ModelDemand>;
  }
  | {
    readonly type: "quarantine_reported";
    readonly now: number;
    readonly marks: readonly QuarantineMark[];
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

/** What a policy expects of a route; times in milliseconds. */
export interface RouteForecast {
  /** Time to the first token. */
  readonly firstToken: number;
  /** Part of it for which the engine does earlier work. */
  readonly wait: number;
  /** Tokens of the prompt that have to be computed. */
  readonly uncachedTokens: number;
}

/**
 * Why an attempt is cancelled. After `preempted` and `moved` the request goes
 * on elsewhere; after `hedged` another attempt of it goes on.
 */
export type CancelReason =
  | "preempted"
  | "moved"
  | "hedged"
  | "caller_gone"
  | "deadline";

/**
 * What has to be done. The policy counts an attempt as ended from its `cancel`
 * on; later events of the attempt are ignored.
 */
export type PolicyEffect =
  | {
    readonly type: "dispatch";
    readonly request: RequestId;
    readonly attempt: AttemptId;
    /** Server that generates the answer. */
    readonly server: BackendServerId;
    /** Server that computes the prompt first and exports its KV cache. */
    readonly prefillServer?: BackendServerId;
    /** Priority for the engine; larger is served first. */
    readonly priority: number;
    /** Rank for engines that know ranks; smaller is served first. */
    readonly rank?: number;
    /**
     * Tokens that the caller already has as far as the policy knows. The host
     * resumes from its own count, which may be larger.
     */
    readonly resumeFrom: number;
    /** What decided, for logs. */
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
    /** All marks that this host has set, newest last; they replace earlier ones. */
    readonly marks: readonly QuarantineMark[];
  }
  | {
    readonly type: "publish_demand";
    /** Demand of each customer on this host, for gossip. */
    readonly localDemand: ReadonlyMap<CustomerId, CustomerDemand>;
    readonly localModelDemand: ReadonlyMap<ModelName, ModelDemand>;
  }
  | {
    /** Tells other hosts what this host has sent to an engine. */
    readonly type: "announce_work";
    readonly work: EngineWork;
  }
  | {
    readonly type: "announce_work_end";
    readonly end: EngineWorkEnd;
  }
  | {
    readonly type: "note";
    /** Event name for log and time line. */
    readonly event: string;
    readonly fields: Readonly<Record<string, string | number | boolean>>;
  };
