/**
 * Replaces a lost replica in all groups.
 *
 * @module
 */

import { delay, RhubarbstageError } from "rhubarbstage";
import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import type { SeatChange } from "@rhubarbstage/consensus";
import { requestType, TransportError } from "@rhubarbstage/transport";
import type { Transport } from "@rhubarbstage/transport";
import { defaultRepairTimeout, repairPollInterval } from "./constants.ts";
import type { LeaderCaller } from "./leader_caller.ts";
import type { RepairOptions } from "./options.ts";
import type { GroupStatus } from "./types.ts";

/** Requests the replica id of a host. */
export const replicaIdRequest = requestType<null, ReplicaId>("repair");

/** Repair of one group. */
interface GroupRepair {
  readonly group: GroupName;
  readonly caller: LeaderCaller;
  readonly lost: ReplicaId;
  readonly replacement: { readonly replica: ReplicaId; readonly host: HostId };
}

/**
 * Repairs the groups one after the other. Each step starts from the leader's
 * status, so that an interrupted repair can be resumed.
 */
export async function runRepair(
  options: RepairOptions & {
    transport: Transport;
    callers: ReadonlyMap<GroupName, LeaderCaller>;
    /** Replica id of the local host. */
    replica: ReplicaId;
  },
): Promise<void> {
  const timeout = options.timeout ?? defaultRepairTimeout;
  const deadline = performance.now() + timeout;
  const { transport, replacement: host, lost } = options;
  const replica = host === transport.host
    ? options.replica
    : await requestReplicaId(options);
  if (replica === lost) {
    throw new RhubarbstageError("invalid_request", {
      message:
        `Replacement host "${host}" runs the lost replica "${lost}" itself`,
    });
  }
  for (const [group, caller] of options.callers) {
    const replacement = { replica, host };
    const repair = { group, caller, lost, replacement };
    await repairGroup(repair, { deadline, signal: options.signal });
  }
}

async function requestReplicaId(
  options: RepairOptions & { transport: Transport },
): Promise<ReplicaId> {
  const { transport, replacement } = options;
  try {
    const request = { to: replacement, body: null };
    return await transport.request(replicaIdRequest, request);
  } catch (thrown) {
    if (!(thrown instanceof TransportError)) throw thrown;
    throw new RhubarbstageError("no_quorum", {
      message:
        `Host "${replacement}" did not answer the request for its replica id`,
      cause: thrown,
    });
  }
}

async function repairGroup(
  repair: GroupRepair,
  limit: { deadline: number; signal: AbortSignal | undefined },
): Promise<void> {
  const { group, caller } = repair;
  let targetIndex: number | undefined;
  while (performance.now() < limit.deadline) {
    limit.signal?.throwIfAborted();
    const value = await caller.call({ kind: "status", group });
    const status = value as GroupStatus;
    const change = nextChange(status, repair);
    if (change !== undefined) {
      targetIndex = undefined;
      await caller.call({ kind: "change_seats", group, change });
    } else {
      // Voters must have all entries committed when the seats were complete.
      targetIndex ??= status.commitIndex;
      if (areVotersDurable(status, targetIndex)) return;
    }
    await delay(repairPollInterval);
  }
  throw new RhubarbstageError("no_quorum", {
    message: `Repair of group "${group}" did not finish in time; run it again`,
    outcome: "may_have_run",
  });
}

/** Returns the next seat change; undefined when the repair needs no more. */
function nextChange(
  status: GroupStatus,
  repair: GroupRepair,
): SeatChange | undefined {
  const { lost, replacement } = repair;
  const seat = status.seats.find((item) =>
    item.replica === replacement.replica
  );
  if (seat === undefined) return { kind: "add_learner", seat: replacement };
  if (seat.role === "learner") {
    return { kind: "promote", replica: replacement.replica };
  }
  const hasLostSeat = status.seats.some((item) => item.replica === lost);
  return hasLostSeat ? { kind: "remove", replica: lost } : undefined;
}

/** Whether every voter has all entries up to an index on disk. */
function areVotersDurable(status: GroupStatus, index: number): boolean {
  return status.seats.every((seat) =>
    seat.role === "learner" || (seat.durableIndex ?? 0) >= index
  );
}
