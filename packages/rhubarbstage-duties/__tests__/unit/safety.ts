/**
 * Safety rules of duties, checked on what the platform received.
 *
 * @module
 */

import type { ReceivedCall } from "./virtual_group.ts";

/** Time within which holders must not act in the order A, B, A. */
const leaseTime = 3_000;

/** Returns the broken rules, in plain sentences. */
export function brokenRules(calls: readonly ReceivedCall[]): string[] {
  const problems: string[] = [];
  const senders = new Map<number, string>();
  const counts = new Map<number, string>();
  let highest = -Infinity;
  for (const call of calls) {
    const { fence, machine, window } = call;
    if ((senders.get(fence) ?? machine) !== machine) {
      problems.push(`Two machines sent token ${fence}`);
    }
    senders.set(fence, machine);
    if (fence < highest) problems.push(`Token ${fence} after ${highest}`);
    highest = Math.max(highest, fence);
    if ((counts.get(window) ?? call.counts) !== call.counts) {
      problems.push(`Two counts for window ${window}`);
    }
    counts.set(window, call.counts);
  }
  for (const [index, last] of calls.entries()) {
    const earlier = calls.slice(0, index)
      .filter(({ at }) => last.at - at <= leaseTime);
    const first = earlier.findIndex(({ machine }) => machine === last.machine);
    if (first < 0) continue;
    const other = earlier.slice(first)
      .find(({ machine }) => machine !== last.machine);
    if (other !== undefined) {
      problems.push(`${last.machine}, ${other.machine}, ${last.machine}`);
    }
  }
  return problems;
}
