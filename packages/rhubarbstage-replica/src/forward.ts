/**
 * Commands and queries that travel to the leader of a group.
 *
 * @module
 */

import type { GroupName, HostId } from "rhubarbstage";
import { requestType } from "@rhubarbstage/transport";

/** A call to a group on another host. */
export type ForwardedCall =
  | {
    readonly kind: "propose";
    readonly group: GroupName;
    /** Encoded command. */
    readonly command: Uint8Array;
  }
  | {
    readonly kind: "query";
    readonly group: GroupName;
    readonly name: string;
    /** Encoded argument. */
    readonly argument: Uint8Array;
  };

/** Answer to a forwarded call. */
export type ForwardedAnswer =
  | { readonly kind: "done"; readonly value: unknown }
  /** The call had no effect; `leader` is null when no leader is known. */
  | { readonly kind: "not_leader"; readonly leader: HostId | null };

/** The request that carries a call to a replica. */
export const forwardRequest = requestType<ForwardedCall, ForwardedAnswer>(
  "forward",
);
