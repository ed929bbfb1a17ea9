/**
 * Errors of links between hosts.
 *
 * @module
 */

import type { HostId } from "rhubarbstage";

/** Why a request got no answer. */
export type TransportFailure =
  | "unreachable"
  | "queue_full"
  | "link_closed"
  | "timeout"
  | "unknown_name"
  | "closed";

/** A request that got no answer from its handler. */
export class TransportError extends Error {
  readonly failure: TransportFailure;
  readonly peer: HostId;
  /** False only when the handler certainly did not see the request. */
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
