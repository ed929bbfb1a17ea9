/**
 * Measurement of the memory that a value retains.
 *
 * @module
 */

import process from "node:process";

/** Returns the bytes of heap and buffers in use after a garbage collection. */
function reachableBytes(): number {
  const collect = globalThis.gc;
  if (collect === undefined) {
    throw new Error("Run with node --expose-gc to measure memory");
  }
  collect();
  collect();
  const { heapUsed, external, arrayBuffers } = process.memoryUsage();
  return heapUsed + external + arrayBuffers;
}

/**
 * Measures the growth of reachable memory during `build`, in bytes. The result
 * stays reachable until the second measurement.
 */
export function measureMemory<Value>(
  build: () => Value,
): { readonly value: Value; readonly bytes: number } {
  const before = reachableBytes();
  const value = build();
  const bytes = reachableBytes() - before;
  return { value, bytes };
}
