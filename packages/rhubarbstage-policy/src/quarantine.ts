/**
 * Finds requests that crash servers.
 *
 * @module
 */

import type { BackendServerId, Incarnation } from "rhubarbstage";
import { evidenceAge } from "./constants.ts";
import type { QuarantineMark } from "./types.ts";

interface Mark {
  crashes: number;
  at: number;
}

interface Crash {
  readonly incarnation: Incarnation;
  readonly fingerprints: readonly string[];
  readonly at: number;
}

/** Crashes from which a fingerprint is refused. */
const crashesToBlock = 2;
const largestMarkCount = 10_000;
/** Gossip keeps this many marks of each host. */
const publishedMarkCount = 128;

/**
 * Marks of fingerprints. What runs on a server that crashes becomes suspected;
 * a suspect that crashes a second server is refused. A suspect that finishes is
 * cleared. A lost connection counts as a crash until the same process of the
 * server is seen again.
 */
export class Quarantine {
  #marks = new Map<string, Mark>();
  /** Marks and clearings that this host has set. */
  #own = new Map<string, Mark>();
  #crashes = new Map<BackendServerId, Crash>();
  #period: number;

  /** @param period Milliseconds for which a mark lasts. */
  constructor(period: number) {
    this.#period = period;
  }

  /** Takes a changed period, in milliseconds. */
  configure(period: number): void {
    this.#period = period;
  }

  isBlocked(fingerprint: string, now: number): boolean {
    return this.#crashesOf(fingerprint, now) >= crashesToBlock;
  }

  isSuspect(fingerprint: string, now: number): boolean {
    return this.#crashesOf(fingerprint, now) > 0;
  }

  /** Marks what ran on a server that was lost. */
  recordCrash(
    server: { readonly id: BackendServerId; readonly incarnation: Incarnation },
    fingerprints: readonly string[],
    now: number,
  ): QuarantineMark[] {
    const earlier = this.#crashes.get(server.id);
    const same = earlier?.incarnation === server.incarnation;
    const known = same ? earlier.fingerprints : [];
    const fresh = fingerprints.filter((one) => !known.includes(one));
    const suspects = fresh.filter((one) => this.isSuspect(one, now));
    // A suspect is the likely cause; what ran beside it stays clear.
    const marked = suspects.length > 0 ? suspects : fresh;
    this.#crashes.set(server.id, {
      incarnation: server.incarnation,
      fingerprints: [...known, ...fresh],
      at: now,
    });
    for (const one of marked) this.#mark(one, now);
    return marked.length === 0 ? [] : this.#ownMarks(now);
  }

  /** Withdraws marks when the process that seemed lost is still there. */
  recordServerSeen(
    server: BackendServerId,
    incarnation: Incarnation,
    now: number,
  ): void {
    const crash = this.#crashes.get(server);
    if (crash === undefined) return;
    // Evidence this old may have been sent before the crash.
    if (now - crash.at <= evidenceAge) return;
    this.#crashes.delete(server);
    if (crash.incarnation !== incarnation) return;
    for (const fingerprint of crash.fingerprints) {
      const mark = this.#marks.get(fingerprint);
      if (mark !== undefined) mark.crashes -= 1;
    }
  }

  /** Clears a suspect that ran to its end. */
  recordCompletion(fingerprint: string, now: number): QuarantineMark[] {
    const suspect = this.isSuspect(fingerprint, now);
    if (!suspect || this.isBlocked(fingerprint, now)) return [];
    this.#marks.delete(fingerprint);
    this.#setOwn(fingerprint, { crashes: 0, at: now });
    return this.#ownMarks(now);
  }

  /** Takes marks of other hosts. */
  mergeMarks(marks: readonly QuarantineMark[], now: number): void {
    for (const { fingerprint, crashes, blocked, age } of marks) {
      const at = now - age;
      const known = this.#crashesOf(fingerprint, now);
      const reported = blocked ? Math.max(crashes, crashesToBlock) : crashes;
      if (reported === 0) this.#clear(fingerprint, at);
      if (reported <= known) continue;
      this.#marks.set(fingerprint, { crashes: reported, at });
    }
  }

  #crashesOf(fingerprint: string, now: number): number {
    const mark = this.#marks.get(fingerprint);
    if (mark === undefined) return 0;
    if (now - mark.at < this.#period) return mark.crashes;
    this.#marks.delete(fingerprint);
    return 0;
  }

  /** Clears a suspect on the word of another host, unless it is marked anew. */
  #clear(fingerprint: string, at: number): void {
    const mark = this.#marks.get(fingerprint);
    if (mark === undefined || mark.crashes >= crashesToBlock) return;
    if (mark.at <= at) this.#marks.delete(fingerprint);
  }

  #mark(fingerprint: string, now: number): void {
    const crashes = this.#crashesOf(fingerprint, now) + 1;
    const mark = { crashes, at: now };
    this.#marks.delete(fingerprint);
    this.#marks.set(fingerprint, mark);
    if (this.#marks.size > largestMarkCount) {
      this.#marks.delete(this.#marks.keys().next().value as string);
    }
    this.#setOwn(fingerprint, mark);
  }

  #setOwn(fingerprint: string, mark: Mark): void {
    this.#own.delete(fingerprint);
    this.#own.set(fingerprint, { ...mark });
    if (this.#own.size > publishedMarkCount) {
      this.#own.delete(this.#own.keys().next().value as string);
    }
  }

  /** All marks that this host has set, newest last. */
  #ownMarks(now: number): QuarantineMark[] {
    const marks: QuarantineMark[] = [];
    for (const [fingerprint, { crashes, at }] of this.#own) {
      const age = now - at;
      const blocked = crashes >= crashesToBlock;
      if (age >= this.#period) this.#own.delete(fingerprint);
      else marks.push({ fingerprint, crashes, blocked, age });
    }
    return marks;
  }
}
