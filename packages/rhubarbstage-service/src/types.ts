/**
 * Types of calls to plain services.
 *
 * @module
 */

import type {
  BackendServerId,
  Clock,
  CustomerId,
  HostId,
  Incarnation,
  Outcome,
  ServiceName,
} from "rhubarbstage";
import type { ClaimJournal, HostProcess } from "@rhubarbstage/control";

/** Address of an instance of a plain service. */
export interface ServiceTarget {
  readonly backendServer: BackendServerId;
  /** Base address or host and port, for example `10.0.0.7:9000`. */
  readonly address: string;
}

/** An HTTP request to a plain service, with its whole body. */
export interface ServiceRequest {
  readonly method: string;
  /** Path and query, for example `/top-ups?kiosk=7`. */
  readonly path: string;
  /** Names in lower case, without hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A call that must not run twice. */
export interface ClaimedCall {
  readonly customer: CustomerId;
  readonly service: ServiceName;
  /** Value of the `Idempotency-Key` header, if there is one. */
  readonly idempotencyKey: string | undefined;
  readonly request: ServiceRequest;
  /** Monotonic time in milliseconds until which the caller waits. */
  readonly deadlineAt: number;
  /**
   * Picks the instance once the claim is granted. A thrown error releases the
   * claim and reaches the caller as `not_run`.
   */
  readonly acquireTarget: () => Promise<ServiceTarget>;
  /** Called once when the call no longer uses the instance. */
  readonly onTargetDone?: (result: TargetResult) => void;
  /** Aborted when the caller disconnects; a call that was sent continues. */
  readonly signal?: AbortSignal;
}

/** Result of a call, for the health tracking of its instance. */
export interface TargetResult {
  readonly target: ServiceTarget;
  readonly outcome: Outcome;
  /** Whether no complete response was received, also when nothing was sent. */
  readonly connectionLost: boolean;
}

/** A complete response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  /** Names in lower case, without hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** `not_run` only when the service itself reports it. */
  readonly outcome: Outcome;
  /** Whether the response was stored for an earlier request. */
  readonly replayed: boolean;
}

/** Options of a `ClaimRunner`. */
export interface ClaimRunnerOptions {
  readonly journal: ClaimJournal;
  /** This process. */
  readonly claimer: HostProcess;
  readonly clock?: Clock;
  /** Whether the configuration confirmation is too old; defaults to never. */
  readonly isolated?: () => boolean;
  /** Newest incarnation of a host that is known from gossip. */
  readonly newestIncarnation?: (host: HostId) => Incarnation | undefined;
  /** Longest time from grant to first byte, in milliseconds; default 30,000. */
  readonly sendWindow?: number;
  /** Longest wait for a response in milliseconds; defaults to 600,000. */
  readonly responseTimeout?: number;
  /** Largest response body in bytes; defaults to 32 MiB. */
  readonly maxResponseBytes?: number;
  /** Called with each event for log and timeline. */
  readonly onEvent?: (event: ClaimEvent) => void;
}

/** An event of a claim for log and timeline. */
export interface ClaimEvent {
  readonly event:
    | "claim_granted"
    | "claim_settled"
    | "claim_released"
    | "claim_unknown"
    | "claim_abandoned"
    | "claim_commit_failed";
  readonly key: string;
  readonly attempt: string;
  readonly detail?: string;
}

/** A response whose body is read as it arrives. */
export interface StreamedResponse {
  readonly status: number;
  /** Names in lower case, without hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Uint8Array>;
}

/** Options of one repeatable call. */
export interface RepeatableCallOptions {
  /** Cancels the call, for example when the caller disconnects. */
  readonly signal?: AbortSignal;
  /** Longest wait for the head of the response, in milliseconds. */
  readonly timeout: number;
}
