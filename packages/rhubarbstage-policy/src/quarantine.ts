/**
 * Detection of requests that crash servers.
 *
 * @module
 */

import type { BackendServerId, Incarnation } from "rhubarbstage";
import { maxEvidenceAge } from "./constants.ts";
import type { CrashEvidence, QuarantineMark } from "./types.ts";

interface Mark {
  crashes: number;
  at: number;
  /** The latest crash that counts. */
  crash?: CrashEvidence;
  spared?: boolean;
}

interface Crash {
  readonly incarnation: Incarnation;
  readonly fingerprints: readonly string[];
  readonly at: number;
}

/** Number of crashes from which a fingerprint is refused. */
const crashesToBlock = 2;
/** Factor by which each further crash prolongs the refusal. */
const periodGrowth = 4;
/** Longest refusal after one crash, in milliseconds. */
const maxPeriod = 3_600_000;
const maxMarks = 10_000;
/** Maximum number of marks that gossip keeps per host. */
const maxPublishedMarks = 128;

/**
 * Crash marks by request fingerprint. Requests running on a server that crashes
 * become suspects; a suspect that crashes a second server is refused, one that
 * finishes is cleared. A lost connection counts as a crash until the same
 * process of the server is seen again.
 *
 * After the refusal, a fingerprint is a suspect for `periodGrowth` times as long:
 * it is let through, and one more crash refuses it for longer than before. So a
 * request that was marked by mistake is served again, and one that crashes servers
 * each time reaches fewer and fewer of them.
 *
 * A request that has begun to answer may meet the same crashing request on two
 * servers. If that one, which has not, is refused for the same crash, it explains
 * the crash, which does not count for the other; this spares a request once.
 */
export class Quarantine {
  #marks = new Map<string, Mark>();
  /** Marks and clearances set by this host. */
  #localMarks = new Map<string, Mark>();
  #crashes = new Map<BackendServerId, Crash>();
  #period: number;

  /** @param period Milliseconds for which the second crash refuses a request. */
  constructor(period: number) {
    this.#period = period;
  }

  /** Changes the period of the first refusal, in milliseconds. */
  configure(period: number): void {
    this.#period = period;
  }

  isBlocked(fingerprint: string, now: number): boolean {
    const mark = this.#findMark(fingerprint, now);
    return mark !== undefined && this.#blocks(mark, now);
  }

  isSuspect(fingerprint: string, now: number): boolean {
    return this.#crashesOf(fingerprint, now) > 0;
  }

  /** Marks the requests that ran on a lost server. */
  recordCrash(
    server: { readonly id: BackendServerId; readonly incarnation: Incarnation },
    fingerprints: readonly string[],
    now: number,
    options: {
      /** Fingerprints of requests to which an answer has begun. */
      readonly answered?: ReadonlySet<string>;
    } = {},
  ): QuarantineMark[] {
    const earlier = this.#crashes.get(server.id);
    const sameIncarnation = earlier?.incarnation === server.incarnation;
    const recorded = sameIncarnation ? earlier.fingerprints : [];
    const fresh = fingerprints.filter((fingerprint) =>
      !recorded.includes(fingerprint)
    );
    const suspects = fresh.filter((fingerprint) =>
      this.isSuspect(fingerprint, now)
    );
    // A suspect is the likely cause; requests running beside it are not marked.
    const marked = suspects.length > 0 ? suspects : fresh;
    this.#crashes.set(server.id, {
      incarnation: server.incarnation,
      fingerprints: [...recorded, ...fresh],
      at: now,
    });
    const id = `${server.id}/${server.incarnation}`;
    for (const fingerprint of marked) {
      const hasAnswered = options.answered?.has(fingerprint) ?? false;
      this.#mark(fingerprint, { id, hasAnswered }, now);
    }
    this.#spareExplained(new Set([id]), now);
    return marked.length === 0 ? [] : this.#listLocalMarks(now);
  }

  /** Withdraws marks if the process presumed lost is seen again. */
  recordServerSeen(
    server: BackendServerId,
    incarnation: Incarnation,
    now: number,
  ): void {
    const crash = this.#crashes.get(server);
    if (crash === undefined) return;
    // Until `maxEvidenceAge` has passed, the record may rest on evidence from
    // before the crash.
    if (now - crash.at <= maxEvidenceAge) return;
    this.#crashes.delete(server);
    if (crash.incarnation !== incarnation) return;
    for (const fingerprint of crash.fingerprints) {
      const mark = this.#marks.get(fingerprint);
      if (mark !== undefined) mark.crashes -= 1;
    }
  }

  /** Clears a suspect that finished. */
  recordCompletion(fingerprint: string, now: number): QuarantineMark[] {
    const suspect = this.isSuspect(fingerprint, now);
    if (!suspect || this.isBlocked(fingerprint, now)) return [];
    this.#marks.delete(fingerprint);
    this.#setLocalMark(fingerprint, { crashes: 0, at: now });
    return this.#listLocalMarks(now);
  }

  /** Merges marks of other hosts. */
  mergeMarks(marks: readonly QuarantineMark[], now: number): void {
    const crashIds = new Set<string>();
    for (const received of marks) {
      const { fingerprint, crashes, blocked, age, crash, spared } = received;
      const at = now - age;
      const known = this.#crashesOf(fingerprint, now);
      const reported = blocked ? Math.max(crashes, crashesToBlock) : crashes;
      if (reported === 0) this.#clear(fingerprint, at);
      if (reported <= known) continue;
      const wasSpared = this.#marks.get(fingerprint)?.spared === true;
      this.#marks.set(fingerprint, {
        crashes: reported,
        at,
        ...(crash === undefined ? {} : { crash }),
        ...(wasSpared || spared === true ? { spared: true } : {}),
      });
      if (crash !== undefined) crashIds.add(crash.id);
    }
    if (crashIds.size > 0) this.#spareExplained(crashIds, now);
  }

  /**
   * Takes crashes back from requests that have begun to answer, where a refused
   * request that has not explains them.
   */
  #spareExplained(crashIds: ReadonlySet<string>, now: number): void {
    const involved = [...this.#marks].filter(([fingerprint, { crash }]) =>
      crash !== undefined && crashIds.has(crash.id) &&
      this.isBlocked(fingerprint, now)
    );
    const explained = new Set(
      involved.flatMap(([, { crash }]) =>
        crash === undefined || crash.hasAnswered ? [] : [crash.id]
      ),
    );
    for (const [fingerprint, { crash, crashes, at, spared }] of involved) {
      if (crash === undefined || !crash.hasAnswered || spared) continue;
      if (!explained.has(crash.id)) continue;
      const mark: Mark = { crashes: crashes - 1, at, spared: true };
      this.#marks.set(fingerprint, mark);
      if (this.#localMarks.has(fingerprint)) {
        this.#localMarks.set(fingerprint, { ...mark });
      }
    }
  }

  #crashesOf(fingerprint: string, now: number): number {
    return this.#findMark(fingerprint, now)?.crashes ?? 0;
  }

  #findMark(fingerprint: string, now: number): Mark | undefined {
    const mark = this.#marks.get(fingerprint);
    if (mark === undefined || now - mark.at < this.#lifetimeOf(mark)) {
      return mark;
    }
    this.#marks.delete(fingerprint);
    return undefined;
  }

  #blocks(mark: Mark, now: number): boolean {
    return mark.crashes >= crashesToBlock &&
      now - mark.at < this.#periodOf(mark);
  }

  /** Returns the time for which a mark refuses a request, in milliseconds. */
  #periodOf({ crashes }: Mark): number {
    const growth = periodGrowth ** Math.max(0, crashes - crashesToBlock);
    return Math.min(Math.max(this.#period, maxPeriod), this.#period * growth);
  }

  /** Returns the time after which a mark is forgotten, in milliseconds. */
  #lifetimeOf(mark: Mark): number {
    const period = this.#periodOf(mark);
    return mark.crashes < crashesToBlock ? period : period * (1 + periodGrowth);
  }

  /** Clears a suspect cleared by another host, unless it was marked later. */
  #clear(fingerprint: string, at: number): void {
    const mark = this.#marks.get(fingerprint);
    if (mark === undefined || mark.crashes >= crashesToBlock) return;
    if (mark.at <= at) this.#marks.delete(fingerprint);
  }

  #mark(fingerprint: string, crash: CrashEvidence, now: number): void {
    const known = this.#findMark(fingerprint, now);
    const mark: Mark = {
      crashes: (known?.crashes ?? 0) + 1,
      at: now,
      crash,
      ...(known?.spared === true ? { spared: true } : {}),
    };
    this.#marks.delete(fingerprint);
    this.#marks.set(fingerprint, mark);
    if (this.#marks.size > maxMarks) {
      this.#marks.delete(this.#marks.keys().next().value as string);
    }
    this.#setLocalMark(fingerprint, mark);
  }

  #setLocalMark(fingerprint: string, mark: Mark): void {
    this.#localMarks.delete(fingerprint);
    this.#localMarks.set(fingerprint, { ...mark });
    if (this.#localMarks.size > maxPublishedMarks) {
      this.#localMarks.delete(this.#localMarks.keys().next().value as string);
    }
  }

  /** Returns all marks set by this host, newest last. */
  #listLocalMarks(now: number): QuarantineMark[] {
    const marks: QuarantineMark[] = [];
    for (const [fingerprint, mark] of this.#localMarks) {
      const { crashes, at, crash, spared } = mark;
      const age = now - at;
      const blocked = this.#blocks(mark, now);
      if (age >= this.#lifetimeOf(mark)) this.#localMarks.delete(fingerprint);
      else {
        marks.push({
          fingerprint,
          crashes,
          blocked,
          age,
          ...(crash === undefined ? {} : { crash }),
          ...(spared === true ? { spared } : {}),
        });
      }
    }
    return marks;
  }
}
