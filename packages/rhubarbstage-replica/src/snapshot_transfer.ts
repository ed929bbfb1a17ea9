/**
 * Transfers snapshots from a leader to a replica in chunks.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import type { Seats, SnapshotMessage } from "@rhubarbstage/consensus";
import type { SnapshotRecord } from "@rhubarbstage/storage";
import { requestType, TransportError } from "@rhubarbstage/transport";
import type { Transport } from "@rhubarbstage/transport";
import { snapshotChunkBytes } from "./constants.ts";

/** One chunk of a snapshot. */
export interface SnapshotChunk {
  readonly group: GroupName;
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  /** Id of the transfer; a new transfer discards the chunks of an older one. */
  readonly transfer: string;
  readonly term: number;
  readonly index: number;
  readonly snapshotTerm: number;
  readonly seats: Seats;
  readonly offset: number;
  readonly totalBytes: number;
  readonly data: Uint8Array;
}

/** Sends a chunk; the receiver answers false to stop the transfer. */
export const snapshotRequest = requestType<SnapshotChunk, boolean>("snapshot");

/** Source, destination and content of a snapshot transfer. */
export interface SnapshotTransfer {
  readonly group: GroupName;
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly host: HostId;
  readonly term: number;
  readonly snapshot: SnapshotRecord;
}

/** Sends a snapshot; returns false when it was not received completely. */
export async function sendSnapshot(
  transport: Transport,
  transfer: SnapshotTransfer,
): Promise<boolean> {
  const { group, from, to, host, term, snapshot } = transfer;
  const { data } = snapshot;
  const id = randomUUID();
  for (
    let offset = 0;
    offset === 0 || offset < data.length;
    offset += snapshotChunkBytes
  ) {
    const body: SnapshotChunk = {
      group,
      from,
      to,
      transfer: id,
      term,
      index: snapshot.index,
      snapshotTerm: snapshot.term,
      seats: snapshot.seats as Seats,
      offset,
      totalBytes: data.length,
      data: data.subarray(offset, offset + snapshotChunkBytes),
    };
    try {
      const request = { to: host, body };
      if (!await transport.request(snapshotRequest, request)) return false;
    } catch (thrown) {
      if (thrown instanceof TransportError) return false;
      throw thrown;
    }
  }
  return true;
}

/** Assembles the chunks of one transfer per group. */
export class SnapshotAssembler {
  readonly #transfers = new Map<
    GroupName,
    { transfer: string; data: Uint8Array[]; bytes: number }
  >();

  /**
   * Adds a chunk. Returns the message once it is complete, true while chunks
   * are missing, and false when this one does not follow the last one.
   */
  add(chunk: SnapshotChunk): SnapshotMessage | boolean {
    const { group, transfer, offset } = chunk;
    let parts = this.#transfers.get(group);
    if (offset === 0) {
      parts = { transfer, data: [], bytes: 0 };
      this.#transfers.set(group, parts);
    }
    if (parts?.transfer !== transfer || parts.bytes !== offset) return false;
    parts.data.push(chunk.data);
    parts.bytes += chunk.data.length;
    if (parts.bytes < chunk.totalBytes) return true;
    this.#transfers.delete(group);
    const { index, snapshotTerm, seats, term } = chunk;
    const data = Buffer.concat(parts.data);
    const snapshot = { index, term: snapshotTerm, seats, data };
    return { kind: "snapshot", term, snapshot };
  }
}
