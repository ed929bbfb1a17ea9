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

/** Where an instance of a plain service is reached. */
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
  /** Names in lower case; connection headers are removed. */
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
  /** Called once when the instance is no longer in use. */
  readonly onTargetDone?: (result: TargetResult) => void;
  /** The caller's disconnect. Ends its wait, never a call that was sent. */
  readonly signal?: AbortSignal;
}

/** What the call showed about the instance. */
export interface TargetResult {
  readonly target: ServiceTarget;
  readonly outcome: Outcome;
  /** Whether the connection failed or was lost before the whole answer. */
  readonly connectionLost: boolean;
}

/** A complete answer of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  /** Names in lower case, without connection headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** `not_run` only when the service itself says so. */
  readonly outcome: Outcome;
  /** Whether the answer was kept from an earlier request. */
  readonly replayed: boolean;
}

/** Options of a `ClaimRunner`. */
export interface ClaimRunnerOptions {
  readonly journal: ClaimJournal;
  /** This process. */
  readonly claimer: HostProcess;
  readonly clock?: Clock;
  /** Whether the host's confirmation is too old; defaults to never. */
  readonly isolated?: () => boolean;
  /** Newest process of a host that gossip told of. */
  readonly newestIncarnation?: (host: HostId) => Incarnation | undefined;
  /** Longest time from the grant to the first byte, in milliseconds; defaults to 30,000. */
  readonly sendWindow?: number;
  /** Longest wait for a service's answer, in milliseconds; defaults to 600,000. */
  readonly answerTimeout?: number;
  /** Largest answer in bytes; defaults to 32 MiB. */
  readonly answerLimit?: number;
  /** Called with each event for log and time line. */
  readonly onEvent?: (note: ClaimEvent) => void;
}

/** An event of a claim for log and time line. */
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

/** An answer whose body is read as it arrives. */
export interface StreamedResponse {
  readonly status: number;
  /** Names in lower case, without connection headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Uint8Array>;
}

/** Options of one repeatable call. */
export interface RepeatableCallOptions {
  /** Cancels the call, for example when the caller disconnects. */
  readonly signal?: AbortSignal;
  /** Longest wait for the head of the answer, in milliseconds. */
  readonly timeout: number;
}
