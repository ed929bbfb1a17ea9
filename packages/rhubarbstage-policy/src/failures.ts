/**
 * Handling of failed attempts: retries, crashes and quarantine.
 *
 * @module
 */

import { errorKinds } from "rhubarbstage";
import { canStartAnotherAttempt, endAttempt } from "./attempts.ts";
import type { Attempt, FleetState, RequestRecord } from "./fleet_state.ts";
import { enqueue } from "./scheduling.ts";
import type { ServerEntry } from "./server_table.ts";
import {
  type PolicyEffect,
  type PolicyEvent,
  type QuarantineMark,
  sharedPartsOf,
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
  state.requests.delete(record.work.request);
  if (crashed) {
    // The caller may resend the request to another host at once, so the refusal
    // waits until the marks have reached all hosts.
    const at = now + state.settings.quarantinePropagationTime;
    state.refusals.push({ at, subject: refusal });
  } else effects.push(refusal);
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
  const marks = state.quarantine.recordCrash(crash, fingerprints, now);
  if (running.length === 0) return [];
  const note = createCrashNote(entry, running);
  if (marks.length === 0) return [note];
  return [note, { type: "publish_quarantine", marks }, ...blockedNotes(marks)];
}

/** Describes a crash by the work on the server that had not begun to answer. */
function createCrashNote(
  { server }: ServerEntry,
  running: readonly Attempt[],
): PolicyEffect {
  const unstarted = running.filter((attempt) =>
    attempt.firstTokenAt === undefined
  );
  const parts = new Set(
    unstarted.flatMap(({ record }) =>
      sharedPartsOf(record.work).map(({ id }) => id)
    ),
  );
  return {
    type: "note",
    event: "server_crashed",
    fields: {
      server: server.id,
      running: running.length,
      unstarted: unstarted.length,
      parts: [...parts].slice(0, maxLoggedParts).join(","),
    },
  };
}

/** Returns delayed refusals whose marks have had time to spread. */
export function popDueRefusals(
  state: FleetState,
  now: number,
): PolicyEffect[] {
  const effects: PolicyEffect[] = [];
  for (;;) {
    const timer = state.refusals.peek();
    if (timer === undefined || timer.at > now) return effects;
    state.refusals.pop();
    effects.push(timer.subject);
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
  if (state.quarantine.isBlocked(work.fingerprint, now)) {
    return { ...refusal, kind: "request_quarantined" };
  }
  if (!errorKinds[kind].retryable) return refusal;
  if (failure.outcome !== "not_run" && !work.repeatable) return refusal;
  if (record.deliveredTokens > 0 && !work.resumable) return refusal;
  if (now + record.estimate.firstTokenTime >= work.deadlineAt) return refusal;
  if (!canStartAnotherAttempt(record) || !hasOtherServer(record)) {
    return refusal;
  }
  if (!state.retries.spend(work.customer)) return refusal;
  return undefined;
}

/** Whether the pool has a server on which the request has not failed. */
function hasOtherServer(record: RequestRecord): boolean {
  const { members } = record.pool.pool;
  if (members.size > record.failedOn.size) return true;
  return [...members.keys()].some((id) => !record.failedOn.has(id));
}
