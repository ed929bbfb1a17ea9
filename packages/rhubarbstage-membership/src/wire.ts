/**
 * Compact encoding of gossip messages. Tuples omit the field names, and ages in
 * units of 10 ms save one byte per entry.
 *
 * @module
 */

import type { BackendServerId, HostId, Incarnation } from "rhubarbstage";
import {
  isAge,
  isCount,
  isName,
  isServerLoad,
  readLogValue,
} from "./record_checks.ts";
import type {
  Delta,
  DigestEntry,
  GossipMessage,
  SharedLoad,
  Want,
} from "./types.ts";

/** Unit of ages in messages, in milliseconds. */
const ageUnit = 10;

type WireDigest = readonly [HostId, number, number, number, number];
type WireWant = readonly [HostId, number, number];
type WireEntry = Delta["entries"][number];
type WireDelta = readonly [
  WireDigest,
  number,
  boolean,
  readonly (readonly [string, number, WireEntry["value"]])[],
];
type WireLoad = readonly [
  BackendServerId,
  number,
  number,
  number,
  number,
  number,
  number,
];

/** Wire form of a gossip message. */
export type WireGossipMessage = readonly [
  readonly WireDigest[],
  readonly WireWant[],
  readonly WireDelta[],
  readonly WireLoad[],
];

/** Encodes a message to its wire form. */
export function encodeGossipMessage(message: GossipMessage): WireGossipMessage {
  return [
    message.digest.map(encodeDigest),
    message.wants.map((want) => [want.host, want.incarnation, want.version]),
    message.deltas.map(encodeDelta),
    message.loads.map(encodeLoad),
  ];
}

/**
 * Decodes a message from its wire form. Drops the parts that are not valid, so
 * that the rest of the message is not lost with them.
 */
export function decodeGossipMessage(wire: unknown): GossipMessage {
  const [digest, wants, deltas, loads] = toList(wire);
  return {
    digest: decodeList(digest, decodeDigest),
    wants: decodeList(wants, decodeWant),
    deltas: decodeList(deltas, decodeDelta),
    loads: decodeList(loads, decodeLoad),
  };
}

/** Returns the elements of a list; none if the value is not a list. */
function toList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** Decodes the elements of a list; leaves out those that are not valid. */
function decodeList<Element>(
  value: unknown,
  decodeElement: (wire: readonly unknown[]) => Element | undefined,
): Element[] {
  return toList(value).map((item) => decodeElement(toList(item)))
    .filter((element) => element !== undefined);
}

function encodeDigest(entry: DigestEntry): WireDigest {
  const { host, incarnation, heartbeat, version, age } = entry;
  return [host, incarnation, heartbeat, version, Math.ceil(age / ageUnit)];
}

function decodeDigest(wire: readonly unknown[]): DigestEntry | undefined {
  const [host, incarnation, heartbeat, version, age] = wire;
  if (!isName(host) || host === "" || !isCount(incarnation)) return undefined;
  if (!isCount(heartbeat) || !isCount(version) || !isAge(age)) {
    return undefined;
  }
  return {
    host: host as HostId,
    incarnation: incarnation as Incarnation,
    heartbeat,
    version,
    age: age * ageUnit,
  };
}

function decodeWant(wire: readonly unknown[]): Want | undefined {
  const [host, incarnation, version] = wire;
  if (!isName(host) || !isCount(incarnation) || !isCount(version)) {
    return undefined;
  }
  return {
    host: host as HostId,
    incarnation: incarnation as Incarnation,
    version,
  };
}

function encodeDelta(delta: Delta): WireDelta {
  const entries = delta.entries.map(({ key, version, value }) =>
    [key, version, value] as const
  );
  return [
    encodeDigest(delta.digest),
    delta.fromVersion,
    delta.complete,
    entries,
  ];
}

function decodeDelta(wire: readonly unknown[]): Delta | undefined {
  const [digest, fromVersion, complete, entries] = wire;
  const decodedDigest = decodeDigest(toList(digest));
  if (decodedDigest === undefined || !isCount(fromVersion)) return undefined;
  return {
    digest: decodedDigest,
    fromVersion,
    complete: complete === true,
    entries: decodeList(
      entries,
      ([key, version, value]) =>
        typeof key === "string" && isCount(version)
          ? { key, version, value: readLogValue(value) }
          : undefined,
    ),
  };
}

function encodeLoad(shared: SharedLoad): WireLoad {
  const { id, incarnation, load, age } = shared;
  return [
    id,
    incarnation,
    load.runningRequests,
    load.queuedRequests,
    load.cacheTokensUsed,
    load.cacheTokensTotal,
    Math.ceil(age / ageUnit),
  ];
}

function decodeLoad(wire: readonly unknown[]): SharedLoad | undefined {
  const [id, incarnation, running, queued, used, total, age] = wire;
  const load: unknown = {
    runningRequests: running,
    queuedRequests: queued,
    cacheTokensUsed: used,
    cacheTokensTotal: total,
  };
  if (!isName(id) || !isCount(incarnation)) return undefined;
  if (!isServerLoad(load) || !isAge(age)) return undefined;
  return {
    id: id as BackendServerId,
    incarnation: incarnation as Incarnation,
    load,
    age: age * ageUnit,
  };
}
