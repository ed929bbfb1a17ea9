/**
 * Messages by which a host sends requests to servers for another one.
 *
 * @module
 */

import type { ProbeResult } from "@rhubarbstage/relay";
import { messageType, requestType } from "@rhubarbstage/transport";
import type { BackendServerId } from "rhubarbstage";

/** A request to a server, sent by the host that receives this message. */
export interface ForwardedRequest {
  /** Unique among the requests of the sender's process. */
  readonly id: number;
  readonly server: BackendServerId;
  /** Id that the server echoes in its response; absent if none is sent. */
  readonly requestId?: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body?: Uint8Array;
  readonly isRepeatable: boolean;
}

/** Why a host sends nothing for another one. */
export type ForwardingRefusal =
  | "busy"
  | "cut_off"
  | "leaving"
  | "unknown_server"
  | "unreachable_server";

/** End of a forwarded request. `parts` counts the messages of its response. */
export type ForwardingResult =
  | { readonly type: "completed"; readonly parts: number }
  | {
    readonly type: "failed";
    readonly parts: number;
    /** Whether a byte of the request may have reached the server. */
    readonly maybeDelivered: boolean;
    readonly cause: string;
  }
  | { readonly type: "refused"; readonly reason: ForwardingRefusal };

/** Head of a response, or a piece of its body. */
export interface ForwardedPart {
  readonly id: number;
  /** Position among the parts of the response, from 0. */
  readonly sequence: number;
  readonly head?: {
    readonly status: number;
    readonly headers: readonly string[];
  };
  readonly chunk?: Uint8Array;
}

/** Bytes of a body that were passed on, so that as many more may be sent. */
export interface ForwardingCredit {
  readonly id: number;
  readonly bytes: number;
}

export const forwardedRequest = requestType<ForwardedRequest, ForwardingResult>(
  "forwarded_request",
);
export const forwardedPart = messageType<ForwardedPart>("forwarded_part");
export const forwardingCredit = messageType<ForwardingCredit>(
  "forwarding_credit",
);
/** Asks whether a host would forward requests. */
export const forwardingOffer = requestType<null, boolean>("forwarding_offer");
/** Asks how a server's process takes a probe; `unknown` if it was not sent. */
export const serverProbe = requestType<
  BackendServerId,
  ProbeResult | "unknown"
>("server_probe");

/** Bytes of a body that may be under way between two hosts. */
export const forwardingWindowBytes = 262_144;
