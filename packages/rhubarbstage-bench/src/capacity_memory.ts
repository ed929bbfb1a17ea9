/**
 * Memory that a piece of state owns.
 *
 * @module
 */

import process from "node:process";

/** Bytes of heap and buffers that are reachable now. */
function reachableBytes(): number {
  const collect = globalThis.gc;
  if (collect === undefined) {
    throw new Error("Memory is measured with node --expose-gc only");
  }
  collect();
  collect();
  const { heapUsed, external, arrayBuffers } = process.memoryUsage();
  return heapUsed + external + arrayBuffers;
}

/**
 * Growth of reachable memory while `build` runs, in bytes. The result is kept
 * alive until after the second reading.
 */
export function measureMemory<Value>(
  build: () => Value,
): { readonly value: Value; readonly bytes: number } {
  const before = reachableBytes();
  const value = build();
  const bytes = reachableBytes() - before;
  return { value, bytes };
}
