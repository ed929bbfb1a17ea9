/**
 * Requests that forward calls to the leader of a group.
 *
 * @module
 */

import type { GroupName, HostId } from "rhubarbstage";
import type { RejectReason, SeatChange } from "@rhubarbstage/consensus";
import { requestType } from "@rhubarbstage/transport";
import type { GroupStatus } from "./types.ts";

/** A call to a group's leader, or to any replica if `stored`. */
export type ForwardedCall =
  & { readonly group: GroupName }
  & (
    | {
      readonly kind: "propose";
      /** Encoded command. */
      readonly command: Uint8Array;
    }
    | {
      readonly kind: "query";
      readonly name: string;
      /** Encoded argument. */
      readonly argument: Uint8Array;
    }
    | {
      /** A query over all entries that one replica stores, committed or not. */
      readonly kind: "stored";
      readonly name: string;
      /** Encoded argument. */
      readonly argument: Uint8Array;
    }
    | { readonly kind: "status" }
    | { readonly kind: "change_seats"; readonly change: SeatChange }
  );

/** Answer to a forwarded call. */
export type ForwardedAnswer =
  | { readonly kind: "done"; readonly value: unknown }
  /** The call had no effect; `leader` is null when no other leader is known. */
  | { readonly kind: "not_leader"; readonly leader: HostId | null };

/** Value of a `change_seats` call. */
export type SeatChangeAnswer = "committed" | RejectReason;

/** Value of a `status` call: the leader's status after a quorum round. */
export type GroupStatusAnswer = GroupStatus;

/** Sends a call to a replica. */
export const forwardRequest = requestType<ForwardedCall, ForwardedAnswer>(
  "forward",
);
