import type { BackendServerId, Incarnation } from "rhubarbstage";
import { Quarantine } from "../../src/quarantine.ts";

const period = 30_000;
const deadly = "deadly request";
/** Time between two arrivals of the request, in milliseconds. */
const interval = 500;

function crash(quarantine: Quarantine, number: number, now: number) {
  const id = `server-${number}` as BackendServerId;
  const server = { id, incarnation: number as Incarnation };
  return quarantine.recordCrash(server, [deadly], now);
}

/** Sends the deadly request on and on; returns when it crashed a server. */
function play(quarantine: Quarantine, duration: number): number[] {
  const crashes: number[] = [];
  for (let now = 0; now < duration; now += interval) {
    if (quarantine.isBlocked(deadly, now)) continue;
    crashes.push(now);
    crash(quarantine, crashes.length, now);
  }
  return crashes;
}

describe("Quarantine", () => {
  // Guards against a request that is let through each 30 s and crashes servers
  // each time (review/5).
  test("lets a request that crashes servers through ever more rarely", () => {
    const crashes = play(new Quarantine(period), 700_000);
    expect(crashes.slice(0, 2)).toEqual([0, interval]);
    // A request may crash three servers; three retries may follow.
    expect(crashes.length).toBeLessThanOrEqual(6);
    const gaps = crashes.slice(2).map((at, index) => at - crashes[index + 1]!);
    expect(gaps).toEqual([period, 4 * period, 16 * period]);
  });

  test("counts a crash after the refusal on another host", () => {
    const here = new Quarantine(period);
    const there = new Quarantine(period);
    crash(here, 1, 0);
    there.mergeMarks(crash(here, 2, 0), 0);
    expect(there.isBlocked(deadly, period - 1)).toBe(true);
    expect(there.isBlocked(deadly, period)).toBe(false);
    here.mergeMarks(crash(there, 3, period), period);
    for (const quarantine of [here, there]) {
      expect(quarantine.isBlocked(deadly, 4 * period)).toBe(true);
      expect(quarantine.isBlocked(deadly, 5 * period)).toBe(false);
    }
  });

  test("forgets a request that runs to its end after the refusal", () => {
    const quarantine = new Quarantine(period);
    crash(quarantine, 1, 0);
    crash(quarantine, 2, 0);
    quarantine.recordCompletion(deadly, period);
    crash(quarantine, 3, period + 1);
    expect(quarantine.isBlocked(deadly, period + 2)).toBe(false);
  });

  /** Crashes a server on which both requests ran; one of them had answered. */
  function crashBoth(quarantine: Quarantine, number: number, now: number) {
    const id = `server-${number}` as BackendServerId;
    const server = { id, incarnation: number as Incarnation };
    const answered = new Set(["answered"]);
    quarantine.recordCrash(server, [deadly, "answered"], now, { answered });
  }

  // Guards against refusing a request with an answer that ran beside the crashing
  // one on two servers of the same host (issue 2).
  test("spares a request with an answer beside a refused one without", () => {
    const quarantine = new Quarantine(period);
    crashBoth(quarantine, 1, 0);
    crashBoth(quarantine, 2, 100);
    expect(quarantine.isBlocked(deadly, 200)).toBe(true);
    expect(quarantine.isBlocked("answered", 200)).toBe(false);
    expect(quarantine.isSuspect("answered", 200)).toBe(true);
  });

  // Guards against a request that crashes servers late in its answer: whatever
  // else is refused beside it, it may crash three.
  test("refuses a request with an answer at its third crash at the latest", () => {
    const quarantine = new Quarantine(period);
    for (const number of [1, 2, 3]) crashBoth(quarantine, number, number * 100);
    expect(quarantine.isBlocked("answered", 400)).toBe(true);
    const alone = new Quarantine(period);
    const answered = new Set([deadly]);
    for (const number of [1, 2]) {
      const id = `server-${number}` as BackendServerId;
      const server = { id, incarnation: number as Incarnation };
      alone.recordCrash(server, [deadly], number, { answered });
    }
    expect(alone.isBlocked(deadly, 3)).toBe(true);
  });
});
