/**
 * Encodes entries for the disk and consensus messages for the wire.
 *
 * @module
 */

import type { GroupName, ReplicaId } from "rhubarbstage";
import type {
  Entry,
  Message,
  MessageBody,
  Seats,
} from "@rhubarbstage/consensus";
import type { LogRecord } from "@rhubarbstage/storage";
import { decode, encode, messageType } from "@rhubarbstage/transport";

/** Codes of entry kinds on disk and on the wire. */
const entryKinds = { empty: 0, command: 1, seats: 2 } as const;

const noData = new Uint8Array();

/** Message kinds; the position in this list is the code on the wire. */
const messageKinds = [
  "pre_vote",
  "vote",
  "pre_vote_answer",
  "vote_answer",
  "append",
  "append_answer",
  "timeout_now",
] as const;

/** A message as an array of group, kind, term and fields, to keep it small. */
export type WireMessage = readonly unknown[];

/**
 * Messages of all groups from one replica to another. Both replica ids are sent
 * once per batch, because they would be most of an idle group's bytes.
 */
export type ConsensusBatch = readonly [
  from: ReplicaId,
  to: ReplicaId,
  messages: readonly WireMessage[],
];

/** The one-way message that carries consensus messages. */
export const consensusMessage = messageType<ConsensusBatch>("consensus");

export function entryToRecord(entry: Entry): LogRecord {
  const { index, term, kind } = entry;
  return { index, term, kind: entryKinds[kind], data: entryData(entry) };
}

export function recordToEntry(record: LogRecord): Entry {
  const { index, term, kind, data } = record;
  switch (kind) {
    case entryKinds.command:
      return { index, term, kind: "command", data };
    case entryKinds.seats:
      return { index, term, kind: "seats", seats: decode(data) as Seats };
    default:
      return { index, term, kind: "empty" };
  }
}

function entryData(entry: Entry): Uint8Array {
  if (entry.kind === "command") return entry.data;
  return entry.kind === "seats" ? encode(entry.seats) : noData;
}

/** Returns the bytes of all commands in a message, to limit the frame size. */
export function commandBytes(message: MessageBody): number {
  if (message.kind !== "append") return 0;
  return message.entries.reduce(
    (sum, entry) => sum + (entry.kind === "command" ? entry.data.length : 0),
    0,
  );
}

/** Encodes a message. Throws for a snapshot, which is sent in chunks. */
export function toWire(group: GroupName, message: MessageBody): WireMessage {
  const kind = messageKinds.findIndex((name) => name === message.kind);
  const head = [group, kind, message.term];
  switch (message.kind) {
    case "pre_vote":
    case "vote":
      return [...head, message.last.index, message.last.term];
    case "pre_vote_answer":
    case "vote_answer":
      return [...head, message.granted];
    case "append": {
      const { previous, commitIndex, round, entries } = message;
      const flatEntries = entries.flatMap((entry) => [
        entry.term,
        entryKinds[entry.kind],
        entryData(entry),
      ]);
      return [
        ...head,
        previous.index,
        previous.term,
        commitIndex,
        round,
        flatEntries,
      ];
    }
    case "append_answer": {
      const { accepted, index, previousIndex, round } = message;
      return [...head, accepted, index, previousIndex, round];
    }
    case "timeout_now":
      return head;
    case "snapshot":
      throw new Error(
        `Snapshot of group "${group}" must be sent in chunks, not as a message`,
      );
  }
}

/** Decodes a message without its group, which is the first element. */
export function fromWire(
  wire: WireMessage,
  endpoints: { from: ReplicaId; to: ReplicaId },
): Message {
  const [, kind, term, ...fields] = wire as [string, number, number];
  return { ...decodeBody(messageKinds[kind], { term, fields }), ...endpoints };
}

function decodeBody(
  kind: (typeof messageKinds)[number] | undefined,
  parts: { term: number; fields: readonly unknown[] },
): MessageBody {
  const { term } = parts;
  const fields = parts.fields as readonly number[];
  const numberAt = (position: number) => fields[position] as number;
  switch (kind) {
    case "pre_vote":
    case "vote":
      return { kind, term, last: { index: numberAt(0), term: numberAt(1) } };
    case "pre_vote_answer":
    case "vote_answer":
      return { kind, term, granted: Boolean(fields[0]) };
    case "append": {
      const previous = { index: numberAt(0), term: numberAt(1) };
      return {
        kind,
        term,
        previous,
        commitIndex: numberAt(2),
        round: numberAt(3),
        entries: decodeEntries(previous.index, parts.fields[4] as unknown[]),
      };
    }
    case "append_answer":
      return {
        kind,
        term,
        accepted: Boolean(fields[0]),
        index: numberAt(1),
        previousIndex: numberAt(2),
        round: numberAt(3),
      };
    case "timeout_now":
      return { kind, term };
    default:
      throw new Error(`Consensus message of term ${term} has an unknown kind`);
  }
}

function decodeEntries(previousIndex: number, flat: unknown[]): Entry[] {
  const entries: Entry[] = [];
  for (let offset = 0; offset < flat.length; offset += 3) {
    entries.push(recordToEntry({
      index: previousIndex + 1 + offset / 3,
      term: flat[offset] as number,
      kind: flat[offset + 1] as number,
      data: flat[offset + 2] as Uint8Array,
    }));
  }
  return entries;
}
