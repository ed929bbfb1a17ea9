/**
 * Choice of the host that places the engine work of a region.
 *
 * @module
 */

import { hashText, type HostId, type Region } from "rhubarbstage";
import type { HostRecord } from "@rhubarbstage/membership";

/**
 * Lists the hosts that may place a region's work, the preferred one first. All
 * hosts with the same membership compute the same order. Hosts with a control
 * seat come first: they relay no requests and hear of servers first.
 */
export function listPlacementHosts(
  hosts: readonly HostRecord[],
  region: Region,
): HostId[] {
  return hosts
    .filter((record) => record.region === region)
    .map(({ host, replica }) => ({
      host,
      replica,
      rank: hashText(`placement\n${region}\n${host}`),
    }))
    .sort((left, right) =>
      Number(right.replica) - Number(left.replica) || left.rank - right.rank
    )
    .map(({ host }) => host);
}
