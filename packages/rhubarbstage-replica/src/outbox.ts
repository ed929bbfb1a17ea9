/**
 * Batches the consensus messages of all groups by receiver.
 *
 * @module
 */

import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import type { Message } from "@rhubarbstage/consensus";
import type { Transport } from "@rhubarbstage/transport";
import { commandBytes, consensusMessage, toWire } from "./codec.ts";
import type { WireMessage } from "./codec.ts";
import { maxBatchBytes } from "./constants.ts";

interface Batch {
  readonly host: HostId;
  messages: WireMessage[];
  bytes: number;
}

/** Sends the messages to one replica from one turn of the event loop as one. */
export class Outbox {
  readonly #transport: Transport;
  readonly #self: ReplicaId;
  readonly #batches = new Map<ReplicaId, Batch>();
  #isScheduled = false;

  constructor(transport: Transport, self: ReplicaId) {
    this.#transport = transport;
    this.#self = self;
  }

  add(message: Message, options: { group: GroupName; host: HostId }): void {
    const { group, host } = options;
    const batch = this.#batches.get(message.to) ??
      { host, messages: [], bytes: 0 };
    this.#batches.set(message.to, batch);
    batch.messages.push(toWire(group, message));
    batch.bytes += commandBytes(message);
    if (batch.bytes > maxBatchBytes) this.#flush(message.to, batch);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    queueMicrotask(() => this.#flushAll());
  }

  #flushAll(): void {
    this.#isScheduled = false;
    for (const [to, batch] of this.#batches) this.#flush(to, batch);
    this.#batches.clear();
  }

  #flush(to: ReplicaId, batch: Batch): void {
    const { host, messages } = batch;
    if (messages.length === 0) return;
    batch.messages = [];
    batch.bytes = 0;
    const body = [this.#self, to, messages] as const;
    this.#transport.send(consensusMessage, { to: host, body });
  }
}
