/**
 * The order of timers and reads in the event loop.
 *
 * @module
 */

import { setImmediate as nextTurn } from "node:timers/promises";

/** Time of a turn in which nothing of note was handled, in milliseconds. */
const shortTurnTime = 5;
/** Longest time for reading, in milliseconds. */
const maxReadTime = 1_000;

/**
 * Lets the event loop read what has arrived at this process. Timers come before
 * reads, and the turn that is under way may be past them, so the next turn is
 * needed too. What is read may take a long time to handle, in which more arrives:
 * turns are repeated until one was short, for 1 s at most.
 */
export async function readArrivedBytes(): Promise<void> {
  const endsAt = performance.now() + maxReadTime;
  for (;;) {
    const startedAt = performance.now();
    await nextTurn();
    await nextTurn();
    const now = performance.now();
    if (now - startedAt < shortTurnTime || now >= endsAt) return;
  }
}
