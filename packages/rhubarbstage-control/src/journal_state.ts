/**
 * State of a journal group. Records are replaced, never changed in place, so
 * that answers and snapshots may share them.
 *
 * @module
 */

import type { AttemptId, ClaimKey, HostId } from "rhubarbstage";
import {
  answerRetention,
  expiryBucketWidth,
  openClaimTimeout,
  releasedClaimRetention,
  tombstoneRetention,
} from "./constants.ts";
import type { ClaimView, HostProcess, StoredAnswer } from "./types.ts";

/** A claim, its tombstone, or a released claim's ended attempts. */
export type ClaimRecord =
  | (ClaimRecordBase & { readonly type: "open" })
  | (ClaimRecordBase & { readonly type: "unknown" })
  | (ClaimRecordBase & { readonly type: "expired" })
  | (ClaimRecordBase & {
    readonly type: "settled";
    readonly answer: StoredAnswer;
  })
  | {
    readonly type: "released";
    readonly at: number;
    /**
     * Attempts that ended or were refused and must not claim this key, oldest
     * first.
     */
    readonly ended: readonly AttemptId[];
  };

interface ClaimRecordBase {
  readonly attempt: AttemptId;
  readonly bodyHash: string;
  readonly claimer: HostProcess;
  /**
   * Claim or settlement time in milliseconds, the later of journal and proposer
   * wall time.
   */
  readonly at: number;
  /** Ended or refused attempts, oldest first; none may claim this key. */
  readonly ended: readonly AttemptId[];
}

/** State of one journal group. */
export interface JournalState {
  /** Time of the journal in milliseconds; see `advanceTime`. */
  time: number;
  /** Latest wall time that each host reported, in milliseconds. */
  reports: Map<HostId, number>;
  claims: Map<ClaimKey, ClaimRecord>;
  /** Keys whose answer is stored, oldest first. */
  answers: Map<ClaimKey, true>;
  /** Bytes of the stored answers. */
  answerBytes: number;
  /** Keys to check for expiry when the journal's time passes a bucket's end. */
  due: Map<number, ClaimKey[]>;
  /** Last bucket whose keys have all been checked for expiry. */
  sweptBucket: number;
}

/** Returns the state before the first command. */
export function initialJournalState(): JournalState {
  return {
    time: 0,
    reports: new Map(),
    claims: new Map(),
    answers: new Map(),
    answerBytes: 0,
    due: new Map(),
    sweptBucket: 0,
  };
}

/** Copies a state, so that later changes do not affect the copy. */
export function copyJournalState(state: JournalState): JournalState {
  return {
    ...state,
    reports: new Map(state.reports),
    claims: new Map(state.claims),
    answers: new Map(state.answers),
    due: new Map(
      Array.from(state.due, ([bucket, keys]) => [bucket, [...keys]]),
    ),
  };
}

/** Returns the journal time at which a record expires, in milliseconds. */
export function expiryTime(record: ClaimRecord): number {
  switch (record.type) {
    case "open":
      return record.at + openClaimTimeout;
    case "settled":
      return record.at + answerRetention;
    case "released":
      return record.at + releasedClaimRetention;
    case "unknown":
    case "expired":
      return record.at + tombstoneRetention;
  }
}

/** Returns the first bucket whose end is at or after a time. */
export function expiryBucketOf(time: number): number {
  return Math.ceil(time / expiryBucketWidth);
}

/** Returns the bytes of an answer that count towards limits. */
export function bytesOfAnswer(answer: StoredAnswer): number {
  const headers = Object.entries(answer.headers)
    .reduce((sum, [name, value]) => sum + name.length + value.length, 0);
  return headers + (answer.body?.byteLength ?? 0);
}

/** Returns a record as the journal's clients receive it. */
export function claimViewOf(record: ClaimRecord | undefined): ClaimView {
  if (record === undefined || record.type === "released") {
    return { type: "free" };
  }
  const { bodyHash } = record;
  switch (record.type) {
    case "open": {
      const { attempt, claimer } = record;
      return { type: "open", attempt, claimer, bodyHash };
    }
    case "settled":
      return { type: "settled", answer: record.answer, bodyHash };
    default:
      return { type: record.type, bodyHash };
  }
}
