/**
 * Binary encoding of message bodies.
 *
 * @module
 */

import { Packr } from "msgpackr";

// Records keep plain objects and Maps distinct. Each encoding includes its own
// record definitions, so that it can be decoded independently.
const packr = new Packr({ useRecords: true });

/** Encodes plain data, Maps and byte arrays into a new array. */
export function encode(value: unknown): Uint8Array {
  return packr.pack(value);
}

/** Decodes the result of {@linkcode encode}. Throws on malformed input. */
export function decode(bytes: Uint8Array): unknown {
  return packr.unpack(bytes);
}
