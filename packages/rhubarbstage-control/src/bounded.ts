/**
 * Maps with a maximum size, in insertion order.
 *
 * @module
 */

/** Adds an entry and drops the oldest entries above the limit. */
export function setBounded<Key, Value>(
  map: Map<Key, Value>,
  entry: readonly [Key, Value],
  limit: number,
): void {
  map.set(entry[0], entry[1]);
  while (map.size > limit) map.delete(map.keys().next().value as Key);
}
