/**
 * Binary encoding of bodies.
 *
 * @module
 */

import { Packr } from "msgpackr";

// Records keep plain objects and Maps distinct, and each encoding carries its
// own record definitions, so that it can be decoded alone.
const packr = new Packr({ useRecords: true });

/** Encodes plain data, Maps and byte arrays. The result is a copy. */
export function encode(value: unknown): Uint8Array {
  return packr.pack(value);
}

/** Decodes the result of {@linkcode encode}. Throws on malformed input. */
export function decode(bytes: Uint8Array): unknown {
  return packr.unpack(bytes);
}
