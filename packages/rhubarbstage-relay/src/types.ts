/**
 * Routes, services, requests and answers of the relay. Times are milliseconds.
 *
 * @module
 */

import type { EngineRole, PromptPart } from "@rhubarbstage/policy";
import type { BackendServerId, RequestId, ServiceName } from "rhubarbstage";

/** Header names and values in turn, as they were received. */
export type HeaderList = readonly string[];

/**
 * What may be repeated: `idempotent` requests may run more than once,
 * `at_most_once` requests may not; `stream` answers are event streams, which
 * may be repeated only where the route says that they are resumable.
 */
export type RouteKind = "idempotent" | "at_most_once" | "stream";

/** One service that a route leads to. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Part of the route's requests, against the sum of all weights. */
  readonly weight: number;
}

/** Where requests of one host name and path prefix go. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header, in lower case. */
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time for a whole request. */
  readonly timeout: number;
  /** Time within which an answer, or its first event, has its full worth. */
  readonly latencyTarget: number;
  /**
   * Time after which a caller leaves a stream that has not begun; it waits
   * until its deadline when absent.
   */
  readonly firstEventTimeout?: number;
  /** Longest pause between events of a stream that is still on time. */
  readonly gapTarget?: number;
  /** Rank among requests of one service; 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
  /** Most servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether a stream may go on at another server after its last event. */
  readonly resumable: boolean;
}

/** What the engines of a service can do. */
export interface EngineCapabilities {
  readonly slots: number;
  readonly cacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Time for which an exported prompt is kept. */
  readonly exportLifetime: number;
}

/** A service that routes lead to. */
export interface RelayService {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Connections that each server accepts from all hosts together. */
  readonly maxConnections: number;
  /** Absent for plain services. */
  readonly engine?: EngineCapabilities;
}

/** Limits for callers. */
export interface CallerLimits {
  /** Bytes. */
  readonly maxHeaderBytes: number;
  /** Bytes. */
  readonly maxBodyBytes: number;
  readonly headerTimeout: number;
  /** Time after which an idle connection of a caller is closed. */
  readonly idleTimeout: number;
}

/** One version of everything that operators configure of the relay. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RelayService[];
  readonly limits: CallerLimits;
}

/** What the headers of a request say. */
export interface RequestMetadata {
  /** Id of the caller's attempt; absent when it sent none. */
  readonly id?: RequestId;
  /** Time that the caller will wait. */
  readonly callerTimeout?: number;
  readonly promptTokens: number;
  readonly outputTokenLimit: number;
  /** Caller's guess of the output, right at the median. */
  readonly expectedOutputTokens?: number;
  /** Parts of the prompt in order; the last one is the request's own. */
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller has of an earlier attempt. */
  readonly lastEventId?: string;
}

/** Where an exported prompt is fetched from. */
export interface PromptExport {
  /** `ip:port` of the server that has it. */
  readonly address: string;
  readonly handle: string;
}

/** What the relay says to a server with one attempt. */
export interface AttemptMetadata {
  /** Server that is meant; another one at the address refuses. */
  readonly server: BackendServerId;
  /** Time that is left for the request. */
  readonly timeLeft: number;
  /** Rank for the engine's queue; 0 is the most urgent. */
  readonly rank?: number;
  /** `prefill` only computes the prompt and exports its KV cache. */
  readonly step: "run" | "prefill";
  readonly promptExport?: PromptExport;
  /** Id of the last event after which a stream goes on. */
  readonly resumeAfter?: string;
}

/** Load of a server as it says with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
}

/** What the head of a server's answer says. */
export interface ResponseMetadata {
  /** Id of the request that it answers; absent when it does not say. */
  readonly request?: string;
  /** Whether the server states that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether the server is not the one that was meant. */
  readonly isWrongServer: boolean;
  /** Whether it bears the server's signature. */
  readonly isSigned: boolean;
  readonly load?: ReportedLoad;
}

/** What an engine says of the orders that it has taken. */
export interface EngineState {
  /** Orders that it has accepted since its start. */
  readonly acceptedOrders: number;
  /** Whether it carries an order out. */
  readonly isBusy: boolean;
}

/** An order to change the role of an engine. */
export interface RoleOrder {
  readonly role: EngineRole;
  /** Host that gives the order. */
  readonly holder: string;
  readonly fencingNumber: number;
  /** The order holds only while the engine has accepted this many orders. */
  readonly acceptedOrders: number;
}
