/**
 * Hashes by which hosts make the same choice without communication.
 *
 * @module
 */

/** Returns the 32-bit FNV-1a hash of a string with a final mix. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  // FNV-1a alone gives nearly equal hashes to strings that differ only in the
  // last character, so a ranking by hash would not spread them.
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
  return (hash ^ (hash >>> 16)) >>> 0;
}
