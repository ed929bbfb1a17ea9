/**
 * Handling of failed attempts: retries, crashes and quarantine.
 *
 * @module
 */

import { errorKinds } from "rhubarbstage";
import {
  cancelAttempt,
  canStartAnotherAttempt,
  endAttempt,
} from "./attempts.ts";
import {
  type Attempt,
  type FleetState,
  isQuarantined,
  type RequestRecord,
} from "./fleet_state.ts";
import { dequeue, enqueue, mayHaveRun } from "./scheduling.ts";
import { mayContinue } from "./routing.ts";
import type { ServerEntry } from "./server_table.ts";
import {
  budgetScopeOf,
  type PartMark,
  type PolicyEffect,
  type PolicyEvent,
  type QuarantineMark,
  sharedPartsOf,
  startDeadlineOf,
} from "./types.ts";

type Failure = Extract<PolicyEvent, { type: "failed" }>;

/** Maximum prompt parts in the log line of a crash. */
const maxLoggedParts = 32;

/** Retries the request of a failed attempt or refuses it with the failure. */
export function handleFailure(
  state: FleetState,
  attempt: Attempt,
  failure: Failure,
): PolicyEffect[] {
  const { now } = failure;
  const { record } = attempt;
  const effects: PolicyEffect[] = [];
  const crashed = failure.connectionLost && failure.outcome !== "not_run";
  if (failure.connectionLost) state.table.markConnectionLost(attempt.entry);
  if (crashed) {
    effects.push(...markCrash(state, attempt.entry, now));
  }
  endAttempt(state, attempt, now);
  // The connection failed before the request was sent, so that the attempt does
  // not count as a start.
  if (failure.connectionLost && !crashed) record.starts -= 1;
  record.failedOn.add(attempt.entry.server.id);
  record.deliveredTokens = Math.max(
    record.deliveredTokens,
    failure.deliveredTokens,
  );
  if (record.attempts.size > 0) return effects; // A hedge still runs.
  const refusal = refusalOf(state, record, failure);
  if (refusal === undefined) {
    enqueue(state, record, now);
    return effects;
  }
  if (crashed) {
    // The caller may resend the request to another host at once, so the refusal
    // waits until the marks have reached all hosts.
    const at = now + state.settings.quarantinePropagationTime;
    // Until then, marks of other hosts may explain the crash.
    record.isRefusalDue = refusal.kind === "request_quarantined";
    if (!record.isRefusalDue) state.requests.delete(record.work.request);
    state.refusals.push({ at, subject: { refusal, record, failure } });
  } else {
    state.requests.delete(record.work.request);
    effects.push(refusal);
  }
  return effects;
}

/** Marks the requests running on a crashed server as suspects. */
export function markCrash(
  state: FleetState,
  entry: ServerEntry,
  now: number,
): PolicyEffect[] {
  const running = [...state.attemptsByServer.get(entry.server.id) ?? []];
  const fingerprints = running.map((attempt) =>
    attempt.record.work.fingerprint
  );
  const incarnation = running[0]?.incarnation ?? entry.server.incarnation;
  const crash = { id: entry.server.id, incarnation };
  const answered = new Set(fingerprints);
  for (const attempt of running) {
    if (!hasAnswered(attempt)) answered.delete(attempt.record.work.fingerprint);
  }
  const marks = state.quarantine.recordCrash(crash, fingerprints, now, {
    answered,
  });
  if (running.length === 0) return [];
  const unstarted = running.filter((attempt) => isUnstarted(attempt, entry));
  const parts = new Set(
    unstarted.flatMap(({ record }) =>
      sharedPartsOf(record.work).map(({ id }) => id)
    ),
  );
  const blockedParts = state.partQuarantine.recordCrash(
    `${crash.id}/${crash.incarnation}`,
    parts,
    now,
  );
  const effects: PolicyEffect[] = [{
    type: "note",
    event: "server_crashed",
    fields: {
      server: crash.id,
      running: running.length,
      unstarted: unstarted.length,
      parts: [...parts].slice(0, maxLoggedParts).join(","),
    },
  }];
  if (marks.length > 0) {
    effects.push({ type: "publish_quarantine", marks }, ...blockedNotes(marks));
  }
  effects.push(...publishPartMarks(state, now));
  effects.push(...refuseBlockedParts(state, blockedParts, now));
  return effects;
}

/** Whether an answer to a request has begun, on this server or another one. */
function hasAnswered({ firstTokenAt, record }: Attempt): boolean {
  return firstTokenAt !== undefined || record.deliveredTokens > 0;
}

/** Whether a server works on an attempt that has not begun to answer. */
function isUnstarted(attempt: Attempt, entry: ServerEntry): boolean {
  if (attempt.firstTokenAt !== undefined) return false;
  const { prefill, computedAt } = attempt;
  if (prefill === undefined) return true;
  return (computedAt === undefined ? prefill : attempt.entry) === entry;
}

/** Merges other hosts' evidence about prompt parts. */
export function mergePartMarks(
  state: FleetState,
  marks: readonly PartMark[],
  now: number,
): PolicyEffect[] {
  const blockedParts = state.partQuarantine.mergeMarks(marks, now);
  return refuseBlockedParts(state, blockedParts, now);
}

/** Publishes this host's evidence about prompt parts if it has changed. */
export function publishPartMarks(
  state: FleetState,
  now: number,
): PolicyEffect[] {
  const marks = state.partQuarantine.takeChangedMarks(now);
  if (marks === undefined) return [];
  state.partMarksPublishedAt = now;
  return [{ type: "publish_part_marks", marks }];
}

/**
 * Refuses requests with newly blocked parts that have not reached the server that
 * would answer them. Others may still prove by an answer that a part is sound.
 */
function refuseBlockedParts(
  state: FleetState,
  parts: readonly string[],
  now: number,
): PolicyEffect[] {
  if (parts.length === 0) return [];
  const effects: PolicyEffect[] = parts.map((part) => ({
    type: "note",
    event: "part_quarantined",
    fields: { part },
  }));
  for (const record of [...state.requests.values()]) {
    const { work, attempts } = record;
    if (record.isRefusalDue) continue;
    const isSent = [...attempts.values()].some(hasReachedAnsweringServer);
    if (isSent || !isQuarantined(state, work, now)) continue;
    for (const attempt of [...attempts.values()]) {
      effects.push(cancelAttempt(state, attempt, "quarantined", now));
    }
    dequeue(record);
    state.requests.delete(work.request);
    effects.push({
      type: "refuse",
      request: work.request,
      kind: "request_quarantined",
      outcome: mayHaveRun(record) ? "may_have_run" : "not_run",
    });
  }
  return effects;
}

function hasReachedAnsweringServer({ prefill, computedAt }: Attempt): boolean {
  return prefill === undefined || computedAt !== undefined;
}

/**
 * Returns delayed refusals whose marks have had time to spread. A request that is
 * not quarantined any more runs again instead.
 */
export function popDueRefusals(
  state: FleetState,
  now: number,
): PolicyEffect[] {
  const effects: PolicyEffect[] = [];
  for (;;) {
    const timer = state.refusals.peek();
    if (timer === undefined || timer.at > now) return effects;
    state.refusals.pop();
    const { refusal, record, failure } = timer.subject;
    if (!record.isRefusalDue) {
      effects.push(refusal);
      continue;
    }
    const { request } = record.work;
    // The caller has gone, or the deadline has passed.
    if (state.requests.get(request) !== record) continue;
    record.isRefusalDue = false;
    const due = refusalOf(state, record, { ...failure, now });
    if (due === undefined) {
      enqueue(state, record, now);
      continue;
    }
    state.requests.delete(request);
    effects.push(due);
  }
}

function blockedNotes(marks: readonly QuarantineMark[]): PolicyEffect[] {
  return marks.filter((mark) => mark.blocked && mark.age === 0).map((mark) => ({
    type: "note",
    event: "request_quarantined",
    fields: { fingerprint: mark.fingerprint, crashes: mark.crashes },
  }));
}

type Refusal = Extract<PolicyEffect, { type: "refuse" }>;

/**
 * Returns the refusal, or undefined after charging a retry to the customer's
 * budget.
 */
function refusalOf(
  state: FleetState,
  record: RequestRecord,
  failure: Failure,
): Refusal | undefined {
  const { work } = record;
  const { now, kind } = failure;
  const started = record.deliveredTokens > 0 || failure.outcome !== "not_run";
  const refusal: Refusal = {
    type: "refuse",
    request: work.request,
    kind,
    outcome: started && failure.outcome === "not_run"
      ? "may_have_run"
      : failure.outcome,
  };
  if (isQuarantined(state, work, now)) {
    return { ...refusal, kind: "request_quarantined" };
  }
  if (!errorKinds[kind].retryable) return refusal;
  if (failure.outcome !== "not_run" && !work.repeatable) return refusal;
  if (record.deliveredTokens > 0 && !work.resumable) return refusal;
  if (now + record.estimate.firstTokenTime >= work.deadlineAt) return refusal;
  // The caller no longer waits for an answer to begin.
  if (record.deliveredTokens === 0 && now >= startDeadlineOf(work)) {
    return refusal;
  }
  if (!canStartAnotherAttempt(record) || !hasOtherServer(record)) {
    return refusal;
  }
  if (!state.retries.spend(budgetScopeOf(work))) return refusal;
  return undefined;
}

/**
 * Whether the pool has a server on which the request has not failed and that may
 * go on with its answer.
 */
function hasOtherServer({ pool, failedOn, answerOrigin }: RequestRecord) {
  const { members } = pool.pool;
  if (answerOrigin === undefined && members.size > failedOn.size) return true;
  return [...members.values()].some(({ server }) =>
    !failedOn.has(server.id) && mayContinue(server, answerOrigin)
  );
}
