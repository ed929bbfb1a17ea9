/**
 * Errors of links between hosts.
 *
 * @module
 */

import type { HostId } from "rhubarbstage";

/** Reason why a request was not answered. */
export type TransportFailure =
  | "unreachable"
  | "queue_full"
  | "link_closed"
  | "timeout"
  | "unknown_name"
  | "closed";

/** Thrown when a request was not answered by its handler. */
export class TransportError extends Error {
  readonly failure: TransportFailure;
  readonly peer: HostId;
  /** False only when the request certainly did not reach the handler. */
  readonly maybeDelivered: boolean;

  constructor(
    failure: TransportFailure,
    options: { peer: HostId; maybeDelivered: boolean; cause?: unknown },
  ) {
    super(`Request to host "${options.peer}" failed: ${failure}`, {
      cause: options.cause,
    });
    this.name = "TransportError";
    this.failure = failure;
    this.peer = options.peer;
    this.maybeDelivered = options.maybeDelivered;
  }
}
