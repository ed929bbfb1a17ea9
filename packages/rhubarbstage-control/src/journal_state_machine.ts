/**
 * State machine of the journal groups and its query.
 *
 * A key is claimed by one attempt at a time. Only a release by the claiming
 * attempt frees it before the retention ends; a timeout never does.
 *
 * @module
 */

import type { AttemptId, ClaimKey } from "rhubarbstage";
import { StateMachine } from "@rhubarbstage/replica";
import {
  answerByteLimit,
  claimLimit,
  endedAttemptLimit,
  storedBodyByteLimit,
  storedHeaderByteLimit,
} from "./constants.ts";
import {
  advanceTime,
  expireClaims,
  putRecord,
  trimAnswers,
} from "./journal_expiry.ts";
import {
  bytesOfAnswer,
  type ClaimRecord,
  claimViewOf,
  copyJournalState,
  initialJournalState,
  type JournalState,
} from "./journal_state.ts";
import type {
  ClaimView,
  JournalCommand,
  JournalLimits,
  JournalResult,
} from "./types.ts";

type Command<Type extends JournalCommand["type"]> = Extract<
  JournalCommand,
  { type: Type }
>;
type ClaimedRecord = Exclude<ClaimRecord, { type: "released" }>;

/** Claims of one journal group. The limits must be the same on all replicas. */
export class JournalStateMachine
  extends StateMachine<JournalState, JournalCommand, JournalResult> {
  #claimLimit: number;
  #answerByteLimit: number;

  constructor(bounds: JournalLimits = {}) {
    super();
    this.#claimLimit = bounds.maxClaims ?? claimLimit;
    this.#answerByteLimit = bounds.maxAnswerBytes ?? answerByteLimit;
  }

  override initial(): JournalState {
    return initialJournalState();
  }

  override apply(state: JournalState, command: JournalCommand): JournalResult {
    advanceTime(state, command);
    expireClaims(state);
    if (command.type === "claim") return this.#claim(state, command);
    if (command.type === "time") {
      return { type: "recorded", claim: { type: "free" } };
    }
    if (command.type === "release") this.#release(state, command);
    else if (command.type === "settle") this.#settle(state, command);
    else if (command.type === "unknown") markUnknown(state, command);
    else abandon(state, command);
    return {
      type: "recorded",
      claim: claimViewOf(state.claims.get(command.key)),
    };
  }

  override snapshot(state: JournalState): unknown {
    return copyJournalState(state);
  }

  override restore(data: unknown): JournalState {
    return copyJournalState(data as JournalState);
  }

  #claim(state: JournalState, command: Command<"claim">): JournalResult {
    const { key, attempt, bodyHash, claimer } = command;
    const record = state.claims.get(key);
    if (record?.ended.includes(attempt)) return { type: "attempt_ended" };
    if (record === undefined || record.type === "released") {
      if (record === undefined && state.claims.size >= this.#claimLimit) {
        return { type: "full" };
      }
      const at = retentionStart(state, command);
      const ended = record?.ended ?? [];
      const open = { attempt, bodyHash, claimer, at, ended } as const;
      putRecord(state, [key, { type: "open", ...open }]);
      return { type: "granted" };
    }
    const own = record.attempt === attempt;
    const reused = record.bodyHash !== bodyHash;
    if (own && !reused && record.type === "open") return { type: "granted" };
    // A late copy of a refused command must not be granted.
    if (!own) endAttempt(state, key, attempt);
    if (reused) return { type: "reused" };
    return { type: "held", claim: claimViewOf(record) };
  }

  /**
   * Releases a claim. Also remembers an attempt that has no claim yet: its
   * claim command may still be in flight, and its claim would never be ended.
   */
  #release(state: JournalState, command: Command<"release">): void {
    const { key, attempt } = command;
    const record = state.claims.get(key);
    const at = retentionStart(state, command);
    const ended = [...(record?.ended ?? []), attempt].slice(-endedAttemptLimit);
    if (record === undefined || record.type === "released") {
      if (record?.ended.includes(attempt)) return;
      if (record === undefined && state.claims.size >= this.#claimLimit) return;
      putRecord(state, [key, { type: "released", at, ended }]);
      return;
    }
    if (record.attempt !== attempt) endAttempt(state, key, attempt);
    else if (record.type === "open" || record.type === "unknown") {
      putRecord(state, [key, { type: "released", at, ended }]);
    }
  }

  /** Settles a claim, also one that has become unknown. */
  #settle(state: JournalState, command: Command<"settle">): void {
    const record = ownRecord(state, command);
    if (record?.type !== "open" && record?.type !== "unknown") return;
    const { answer } = command;
    const at = retentionStart(state, command);
    const tooLarge =
      bytesOfAnswer(answer) > storedBodyByteLimit + storedHeaderByteLimit;
    const kept = tooLarge
      ? { ...answer, headers: {}, body: undefined }
      : answer;
    const settled = { ...record, type: "settled", answer: kept, at } as const;
    putRecord(state, [command.key, settled]);
    trimAnswers(state, this.#answerByteLimit);
  }
}

/**
 * Returns the start of a record's retention. The proposer may be ahead of the
 * journal; the later of both times never shortens the retention.
 */
function retentionStart(state: JournalState, command: { now: number }): number {
  return Math.max(state.time, command.now);
}

/** Records that an attempt must not claim a key claimed by another one. */
function endAttempt(
  state: JournalState,
  key: ClaimKey,
  attempt: AttemptId,
): void {
  const record = state.claims.get(key);
  if (record?.type !== "open" && record?.type !== "unknown") return;
  if (record.ended.includes(attempt)) return;
  const ended = [...record.ended, attempt].slice(-endedAttemptLimit);
  state.claims.set(key, { ...record, ended });
}

function ownRecord(
  state: JournalState,
  command: { readonly key: ClaimKey; readonly attempt: AttemptId },
): ClaimedRecord | undefined {
  const record = state.claims.get(command.key);
  if (record === undefined || record.type === "released") return undefined;
  return record.attempt === command.attempt ? record : undefined;
}

function markUnknown(state: JournalState, command: Command<"unknown">): void {
  const record = ownRecord(state, command);
  if (record?.type !== "open") return;
  putRecord(state, [command.key, { ...record, type: "unknown" }]);
}

function abandon(state: JournalState, command: Command<"abandon">): void {
  const record = ownRecord(state, command);
  if (record?.type !== "open") return;
  if (record.claimer.incarnation >= command.newer) return;
  putRecord(state, [command.key, { ...record, type: "unknown" }]);
}

/** Queries of the journal groups, by name. */
export const journalQueries = {
  /** State of one claim. */
  claim(state: JournalState, argument: unknown): ClaimView {
    const { key } = argument as { readonly key: ClaimKey };
    return claimViewOf(state.claims.get(key));
  },
};
