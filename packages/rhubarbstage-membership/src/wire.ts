/**
 * Compact encoding of gossip messages. Tuples omit the field names, and ages in
 * units of 10 ms save one byte per entry.
 *
 * @module
 */

import type { BackendServerId, HostId, Incarnation } from "rhubarbstage";
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

/** Decodes a message from its wire form. */
export function decodeGossipMessage(wire: WireGossipMessage): GossipMessage {
  const [digest, wants, deltas, loads] = wire;
  return {
    digest: digest.map(decodeDigest),
    wants: wants.map(([host, incarnation, version]): Want => ({
      host,
      incarnation: incarnation as Incarnation,
      version,
    })),
    deltas: deltas.map(decodeDelta),
    loads: loads.map(decodeLoad),
  };
}

function encodeDigest(entry: DigestEntry): WireDigest {
  const { host, incarnation, heartbeat, version, age } = entry;
  return [host, incarnation, heartbeat, version, Math.ceil(age / ageUnit)];
}

function decodeDigest(wire: WireDigest): DigestEntry {
  const [host, incarnation, heartbeat, version, age] = wire;
  return {
    host,
    incarnation: incarnation as Incarnation,
    heartbeat,
    version,
    age: age * ageUnit,
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

function decodeDelta(wire: WireDelta): Delta {
  const [digest, from, complete, entries] = wire;
  return {
    digest: decodeDigest(digest),
    fromVersion: from,
    complete,
    entries: entries.map(([key, version, value]) => ({ key, version, value })),
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

function decodeLoad(wire: WireLoad): SharedLoad {
  const [id, incarnation, running, queued, used, total, age] = wire;
  return {
    id,
    incarnation: incarnation as Incarnation,
    load: {
      runningRequests: running,
      queuedRequests: queued,
      cacheTokensUsed: used,
      cacheTokensTotal: total,
    },
    age: age * ageUnit,
  };
}
