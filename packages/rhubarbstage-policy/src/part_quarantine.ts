/**
 * Detection of prompt parts that crash servers.
 *
 * @module
 */

import type { PartMark } from "./types.ts";

/** Crashes from which a part is refused that no answer has begun with. */
const crashesToBlock = 3;
/** Crashes since the last begun answer from which any other part is refused. */
const crashesToBlockSoundPart = 4;
/**
 * Minimum time between counted crashes, in milliseconds. Servers lost together
 * have a cause outside the requests on them.
 */
const minCrashSpacing = 250;
/** Crashes kept for each part, newest last. */
const maxCrashesPerPart = 16;
const maxParts = 10_000;
/** Time for which parts that are not refused are published, in milliseconds. */
const publicationTime = 60_000;
/** Maximum number of parts that gossip keeps per host. */
const maxPublishedParts = 64;

interface Crash {
  /** Time at which it was noticed, in local milliseconds. */
  readonly at: number;
  /** Whether an answer with the part has begun since. */
  cleared: boolean;
}

interface SuspectPart {
  /** Whether an answer with the part has ever begun. */
  sound: boolean;
  /** Whether this host has evidence of its own to publish. */
  local: boolean;
  /** Whether this host or another one has found that the part is refused. */
  blocked: boolean;
  readonly crashes: Map<string, Crash>;
}

/**
 * Crashes by prompt part. Requests that crash servers may have nothing but a part
 * in common, so that each of their shared parts is suspected. An answer that
 * begins clears the parts of its prompt; a part that is left over after several
 * crashes is refused. Evidence is a set of crashes, so that hosts may merge it in
 * any order and more than once.
 */
export class PartQuarantine {
  #parts = new Map<string, SuspectPart>();
  /** Parts with which an answer has begun on this host, oldest first. */
  #soundParts = new Set<string>();
  #period: number;
  #isChanged = false;

  /** @param period Milliseconds for which a part stays refused. */
  constructor(period: number) {
    this.#period = period;
  }

  /** Changes the period for which a part stays refused, in milliseconds. */
  configure(period: number): void {
    this.#period = period;
  }

  /**
   * Whether a prompt is refused: it has a blocked part and all blocked parts that
   * were on at least the same crashed servers. A part that is always used with a
   * deadly one is thus not refused without it.
   */
  isBlocked(parts: readonly string[], now: number): boolean {
    if (this.#parts.size === 0) return false;
    return parts.some((part) => {
      const suspect = this.#findBlocked(part, now);
      return suspect !== undefined &&
        this.#likelierParts(part, suspect, now)
          .every((other) => parts.includes(other));
    });
  }

  /**
   * Records a crash with the parts of the requests that the server had not begun
   * to answer. Returns the parts that are refused from now on.
   */
  recordCrash(crash: string, parts: Iterable<string>, now: number): string[] {
    const blocked: string[] = [];
    for (const part of parts) {
      const suspect = this.#suspect(part);
      suspect.sound ||= this.#soundParts.has(part);
      suspect.local = true;
      if (suspect.crashes.has(crash)) continue;
      addCrash(suspect, crash, { at: now, cleared: false });
      this.#isChanged = true;
      if (this.#block(suspect, now)) blocked.push(part);
    }
    return blocked;
  }

  /** Clears the parts of a prompt whose answer has begun. */
  recordAnswer(parts: readonly string[]): void {
    for (const part of parts) {
      this.#soundParts.delete(part);
      this.#soundParts.add(part);
      const suspect = this.#parts.get(part);
      if (suspect !== undefined) this.#clear(suspect);
    }
    while (this.#soundParts.size > maxParts) {
      this.#soundParts.delete(this.#soundParts.values().next().value as string);
    }
  }

  /**
   * Merges evidence of other hosts. Returns the parts that are refused from now
   * on.
   */
  mergeMarks(marks: readonly PartMark[], now: number): string[] {
    const blocked: string[] = [];
    for (const mark of marks) {
      const suspect = this.#suspect(mark.part);
      suspect.sound ||= mark.sound;
      for (const { crash, age, cleared } of mark.crashes) {
        const known = suspect.crashes.get(crash);
        if (known !== undefined) known.cleared ||= cleared;
        else addCrash(suspect, crash, { at: now - age, cleared });
      }
      this.#addLocalKnowledge(mark.part, suspect);
      if (!this.#block(suspect, now)) continue;
      blocked.push(mark.part);
      // The host that saw the crashes may restart and lose its log.
      suspect.local = true;
      this.#isChanged = true;
    }
    return blocked;
  }

  /** Returns this host's evidence if it has changed since the last call. */
  takeChangedMarks(now: number): PartMark[] | undefined {
    if (!this.#isChanged) return undefined;
    this.#isChanged = false;
    this.#dropExpired(now);
    return [...this.#parts]
      .filter(([, suspect]) => isPublished(suspect, now))
      .map(([part, suspect]) => ({ part, suspect }))
      .sort((left, right) =>
        uncleared(left.suspect).length - uncleared(right.suspect).length
      )
      .slice(-maxPublishedParts)
      .map(({ part, suspect }) => toMark(part, suspect, now));
  }

  #suspect(part: string): SuspectPart {
    const known = this.#parts.get(part);
    if (known !== undefined) return known;
    const created: SuspectPart = {
      sound: false,
      local: false,
      blocked: false,
      crashes: new Map(),
    };
    this.#parts.set(part, created);
    if (this.#parts.size > maxParts) {
      this.#parts.delete(this.#parts.keys().next().value as string);
    }
    return created;
  }

  /** Blocks a part with enough evidence. Returns whether it was not before. */
  #block(suspect: SuspectPart, now: number): boolean {
    const wasBlocked = suspect.blocked;
    suspect.blocked = countSpaced(suspect) >= requiredCrashes(suspect) &&
      now - lastCrashAt(suspect) < this.#period;
    return suspect.blocked && !wasBlocked;
  }

  #clear(suspect: SuspectPart): void {
    const isNews = !suspect.sound || uncleared(suspect).length > 0;
    suspect.sound = true;
    suspect.blocked = false;
    for (const crash of suspect.crashes.values()) crash.cleared = true;
    if (!isNews) return;
    suspect.local = true;
    this.#isChanged = true;
  }

  /** Tells other hosts that a part is sound before it would be refused. */
  #addLocalKnowledge(part: string, suspect: SuspectPart): void {
    if (suspect.sound || !this.#soundParts.has(part)) return;
    suspect.sound = true;
    if (uncleared(suspect).length < crashesToBlock - 1) return;
    suspect.local = true;
    this.#isChanged = true;
  }

  #findBlocked(part: string, now: number): SuspectPart | undefined {
    const suspect = this.#parts.get(part);
    if (suspect === undefined || !suspect.blocked) return undefined;
    if (now - lastCrashAt(suspect) < this.#period) return suspect;
    suspect.blocked = false;
    return undefined;
  }

  /** Returns other blocked parts that were on all crashed servers of a part. */
  #likelierParts(part: string, suspect: SuspectPart, now: number): string[] {
    const crashes = uncleared(suspect).map(([crash]) => crash);
    return [...this.#parts.keys()].filter((other) => {
      if (other === part) return false;
      const rival = this.#findBlocked(other, now);
      return rival !== undefined &&
        crashes.every((crash) => rival.crashes.get(crash)?.cleared === false);
    });
  }

  /** A part whose period has ended is refused again after one more crash. */
  #dropExpired(now: number): void {
    for (const [part, suspect] of this.#parts) {
      if (now - lastCrashAt(suspect) >= 2 * this.#period) {
        this.#parts.delete(part);
      }
    }
  }
}

function isPublished(suspect: SuspectPart, now: number): boolean {
  if (!suspect.local) return false;
  return suspect.blocked || now - lastCrashAt(suspect) < publicationTime;
}

function addCrash(suspect: SuspectPart, id: string, crash: Crash): void {
  suspect.crashes.set(id, crash);
  if (suspect.crashes.size <= maxCrashesPerPart) return;
  suspect.crashes.delete(suspect.crashes.keys().next().value as string);
}

function uncleared({ crashes }: SuspectPart): [string, Crash][] {
  return [...crashes].filter(([, { cleared }]) => !cleared);
}

/** Counts crashes since the last begun answer, those lost together once. */
function countSpaced(suspect: SuspectPart): number {
  let count = 0;
  let countedAt = -Infinity;
  const times = uncleared(suspect).map(([, { at }]) => at);
  for (const at of times.sort((left, right) => left - right)) {
    if (at - countedAt < minCrashSpacing) continue;
    count += 1;
    countedAt = at;
  }
  return count;
}

function requiredCrashes({ sound }: SuspectPart): number {
  return sound ? crashesToBlockSoundPart : crashesToBlock;
}

function lastCrashAt({ crashes }: SuspectPart): number {
  let last = -Infinity;
  for (const { at } of crashes.values()) last = Math.max(last, at);
  return last;
}

function toMark(part: string, suspect: SuspectPart, now: number): PartMark {
  return {
    part,
    sound: suspect.sound,
    crashes: [...suspect.crashes].map(([crash, { at, cleared }]) => ({
      crash,
      age: Math.round(now - at),
      cleared,
    })),
  };
}
