/**
 * Mutual authentication of both ends of a link by a shared token.
 *
 * The dialling host sends its id and a nonce, the listening host answers with
 * its own, then the dialling host sends its proof first. A proof is an HMAC over
 * both ids, incarnations and nonces and the role of the prover, so that it can be
 * neither replayed nor reflected.
 *
 * @module
 */

import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { HostId, Incarnation } from "rhubarbstage";
import { maxHandshakeBytes, nonceBytes } from "./constants.ts";
import type { Peer } from "./types.ts";

/** Identity and nonce of one end. */
export interface Hello {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Random bytes in hexadecimal. */
  readonly nonce: string;
}

/** End of the link that a proof authenticates. */
export type HandshakeRole = "dialler" | "listener";

/** Hellos of both ends of a handshake. */
export interface HandshakeEnds {
  readonly dialler: Hello;
  readonly listener: Hello;
}

export function createHello(peer: Peer): Hello {
  const { host, incarnation } = peer;
  return { host, incarnation, nonce: randomBytes(nonceBytes).toString("hex") };
}

/** Computes the proof of one end, in hexadecimal. */
export function createProof(
  token: string,
  options: { role: HandshakeRole; ends: HandshakeEnds },
): string {
  const { dialler, listener } = options.ends;
  const text = JSON.stringify([
    "rhubarbstage link",
    options.role,
    [dialler.host, dialler.incarnation, dialler.nonce],
    [listener.host, listener.incarnation, listener.nonce],
  ]);
  return createHmac("sha256", token).update(text).digest("hex");
}

/** Compares two proofs in constant time. */
export function isSameProof(actual: string, expected: string): boolean {
  const left = new TextEncoder().encode(actual);
  const right = new TextEncoder().encode(expected);
  return left.length === right.length && timingSafeEqual(left, right);
}

/** Parses a hello from untrusted bytes; undefined when malformed. */
export function parseHello(bytes: Uint8Array): Hello | undefined {
  const value = parseJson(bytes) as Partial<Hello> | undefined;
  const isHello = typeof value?.host === "string" && value.host !== "" &&
    Number.isSafeInteger(value.incarnation) &&
    typeof value.nonce === "string" && value.nonce.length === 2 * nonceBytes;
  return isHello ? value as Hello : undefined;
}

/** Parses a proof from untrusted bytes; undefined when malformed. */
export function parseProof(bytes: Uint8Array): string | undefined {
  const value = parseJson(bytes) as { proof?: unknown } | undefined;
  return typeof value?.proof === "string" ? value.proof : undefined;
}

function parseJson(bytes: Uint8Array): unknown {
  if (bytes.length > maxHandshakeBytes) return undefined;
  try {
    return JSON.parse(new TextDecoder().decode(bytes)) ?? undefined;
  } catch {
    return undefined;
  }
}
