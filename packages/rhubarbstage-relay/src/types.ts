/**
 * Types of the relay. Times are in milliseconds.
 *
 * @module
 */

import type {
  EngineRole,
  PromptPart,
  ServerNotice,
} from "@rhubarbstage/policy";
import type {
  AvailabilityZone,
  BackendServerId,
  CustomerId,
  RequestId,
  ServiceName,
} from "rhubarbstage";

/** Alternating header names and values, as received. */
export type HeaderList = readonly string[];

/**
 * Which requests may run more than once: `idempotent` always, `at_most_once`
 * never, `stream` (whose response is an event stream) only if the route is
 * resumable. Requests that were not run may be retried for every kind.
 */
export type RouteKind = "idempotent" | "at_most_once" | "stream";

/** A service to which a route sends requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Share of the route's requests, relative to the sum of all weights. */
  readonly weight: number;
}

/** Routing rule for requests with a given host name and path prefix. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header, in lower case. */
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Timeout for a whole request. */
  readonly timeout: number;
  /** Target latency of the response, or of its first event for a stream. */
  readonly latencyTarget: number;
  /**
   * Time after which a caller abandons a stream without a first event; defaults
   * to the deadline of the request.
   */
  readonly firstEventTimeout?: number;
  /** Target for the longest gap between two events of a stream. */
  readonly gapTarget?: number;
  /**
   * Rank in engine queues among requests to one service; 0 is served first.
   */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether another server may resume a stream after its last event. */
  readonly resumable: boolean;
  /** Whether it serves callers without a key; defaults to false. */
  readonly isPublic?: boolean;
}

/** A customer whose callers identify themselves by a key. */
export interface RelayCustomer {
  readonly name: CustomerId;
  /** Secret: never forwarded, logged or part of a message. */
  readonly keys: readonly string[];
  /** Replaces the rank of routes. */
  readonly rank?: number;
}

/** Who sent a request, if the route table has customers. */
export interface CallerIdentity {
  /** Absent for callers of public routes without a known key. */
  readonly customer?: RelayCustomer;
}

/** Capacity and stream properties of each engine of a service. */
export interface EngineCapabilities {
  readonly slots: number;
  readonly cacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Time after which an exported prompt expires. */
  readonly exportLifetime: number;
}

/** How many servers of a service may be ordered, and what they cost. */
export interface ServerScaling {
  /** Servers of both kinds in each availability zone, at least. */
  readonly min: number;
  /** Servers of both kinds in each availability zone, at most. */
  readonly max: number;
  /** Time from an order until a new server serves, in milliseconds. */
  readonly bootTime: number;
  /**
   * Price of a spot server, which may be reclaimed, as a fraction of its zone's
   * price; absent where none can be ordered.
   */
  readonly spotPrice?: number;
  /** Price of a server by zone; 1 in zones that are not listed. */
  readonly zonePrices: ReadonlyMap<AvailabilityZone, number>;
}

/** A service that is a target of routes. */
export interface RelayService {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Connections that each server accepts from all hosts together. */
  readonly maxConnections: number;
  /** Absent for plain services. */
  readonly engine?: EngineCapabilities;
  /** Absent where the number of servers is fixed. */
  readonly scaling?: ServerScaling;
}

/** Limits for callers. */
export interface CallerLimits {
  /** The listener accepts heads of up to twice as many bytes. */
  readonly maxHeaderBytes: number;
  /** Bytes. */
  readonly maxBodyBytes: number;
  readonly headerTimeout: number;
  /** Time after which an idle connection of a caller is closed. */
  readonly idleTimeout: number;
}

/** One version of the relay's configuration. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RelayService[];
  /** If present, callers need a key of one of them, except on public routes. */
  readonly customers?: readonly RelayCustomer[];
  readonly limits: CallerLimits;
}

/** Metadata parsed from the headers of a request. */
export interface RequestMetadata {
  /** Id of the caller's attempt; absent when it sent none. */
  readonly id?: RequestId;
  /** Secret by which the caller identifies itself, if it sent one. */
  readonly credential?: string;
  /** Timeout of the caller. */
  readonly callerTimeout?: number;
  readonly promptTokens: number;
  readonly outputTokenLimit: number;
  /** Caller's estimate of the median output length. */
  readonly expectedOutputTokens?: number;
  /** Parts of the prompt in order; the last is unique to the request. */
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller received in an earlier attempt. */
  readonly lastEventId?: string;
  /** Id of the caller's attempt that brought the first event of the stream. */
  readonly resumedRequest?: RequestId;
}

/** Location of the KV cache of an exported prompt. */
export interface PromptExport {
  /** `ip:port` of the server that exported it. */
  readonly address: string;
  readonly handle: string;
}

/** Metadata that the relay sends to a server with one attempt. */
export interface AttemptMetadata {
  /** Intended server; any other server at the address refuses the request. */
  readonly server: BackendServerId;
  /** Time until the request's deadline. */
  readonly timeLeft: number;
  /** Rank in the engine's queue; 0 is served first. */
  readonly rank?: number;
  /** `prefill` only computes the prompt and exports its KV cache. */
  readonly step: "run" | "prefill";
  readonly promptExport?: PromptExport;
  /** Id of the event after which the stream resumes. */
  readonly resumeAfter?: string;
  /**
   * Present if the route table has customers: the caller's credential is removed,
   * and the server gets the name of the customer, if known.
   */
  readonly caller?: { readonly customer?: CustomerId };
}

/** Load that a server reports in the headers of a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  /**
   * Time of work on the server at this moment, relative to its usual time;
   * absent if the server does not state it.
   */
  readonly pace?: number;
}

/** Metadata parsed from the head of a server's response. */
export interface ResponseMetadata {
  /** Id of the request that was answered; absent if not sent or ambiguous. */
  readonly request?: string;
  /** Whether the server states that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether the server is not the intended one. */
  readonly isWrongServer: boolean;
  /** Whether the response carries the server's signature. */
  readonly isSigned: boolean;
  readonly load?: ReportedLoad;
  /** Requests a second that the server takes from all hosts together. */
  readonly requestLimit?: number;
  /** What the server says of itself; absent if nothing. */
  readonly notice?: ServerNotice;
}

/** Progress of an engine with its orders. */
export interface EngineState {
  /** Orders accepted since the engine started. */
  readonly acceptedOrders: number;
  /** Whether the engine is executing an order. */
  readonly isBusy: boolean;
}

/** An order to change the role of an engine. */
export interface RoleOrder {
  readonly role: EngineRole;
  /** Host that issues the order. */
  readonly holder: string;
  readonly fencingNumber: number;
  /** Precondition: number of orders that the engine has accepted so far. */
  readonly acceptedOrders: number;
}
