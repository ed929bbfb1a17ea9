/**
 * Tracking of the work that this and other hosts send to shared engines.
 *
 * @module
 */

import type { Attempt, FleetState } from "./fleet_state.ts";
import type { EngineWork, EngineWorkEnd, PolicyEffect } from "./types.ts";

/** Ids of engine work are drawn at random from [0, 2^31). */
const workIdRange = 2 ** 31;

/** Records an attempt on its engines and announces it to other hosts. */
export function announceWork(
  state: FleetState,
  attempt: Attempt,
  now: number,
): PolicyEffect[] {
  const { record, entry, prefill, uncachedTokens, rank } = attempt;
  const { model, promptParts: parts = [] } = record.work;
  if (!state.settings.shareEngineState || model === undefined) return [];
  const computing = prefill ?? entry;
  const { speed } = record.pool;
  const { outputTokens } = record.estimate;
  state.limits.observeModel(
    model,
    { promptTokens: uncachedTokens, outputTokens },
    now,
  );
  const used = prefill === undefined ? [entry] : [entry, prefill];
  return used.map(({ server }) => {
    const isComputing = server.id === computing.server.id;
    const milliseconds = isComputing
      ? Math.round(speed.promptTime(uncachedTokens, server.role))
      : 0;
    const id = state.random.integer(workIdRange);
    const answers = server.id === entry.server.id;
    const work = { server: server.id, id, milliseconds, answers, rank, parts };
    if (isComputing) attempt.promptWork = work;
    if (answers) attempt.answerWork = work;
    applyEngineWork(state, work, now);
    return { type: "announce_work", work };
  });
}

/** Records work of any host on an engine. */
export function applyEngineWork(
  state: FleetState,
  work: EngineWork,
  now: number,
): void {
  const entry = state.table.servers.get(work.server);
  if (entry === undefined) return;
  const { id, parts } = work;
  if (work.milliseconds > 0) entry.queue.add(id, work, now);
  if (work.answers) entry.streams.add(id, totalTokens(parts), now);
  entry.cache?.store(parts);
}

function totalTokens(parts: EngineWork["parts"]): number {
  let sum = 0;
  for (const { tokens } of parts) sum += tokens;
  return sum;
}

/**
 * Records the end of work of any host. Returns the milliseconds for which the
 * engine computed the prompt, if known.
 */
export function applyEngineWorkEnd(
  state: FleetState,
  end: EngineWorkEnd,
  now: number,
): number | undefined {
  const entry = state.table.servers.get(end.server);
  switch (end.ended) {
    case "computed":
      entry?.streams.start(end.id);
      return entry?.queue.complete(end.id, now);
    case "dropped":
      entry?.queue.drop(end.id, now);
      return undefined;
    case "answered":
      entry?.streams.end(end.id);
      return undefined;
  }
}

/**
 * Ends the prompt work of an attempt on all hosts. Returns the milliseconds for
 * which the engine computed it, if known.
 */
export function endPrompt(
  state: FleetState,
  attempt: Attempt,
  options: { readonly isComputed: boolean; readonly now: number },
): number | undefined {
  const { promptWork } = attempt;
  if (promptWork === undefined) return undefined;
  attempt.promptWork = undefined;
  const { isComputed, now } = options;
  const { server, id, parts } = promptWork;
  if (!isComputed) {
    state.table.servers.get(server)?.cache?.forget(parts);
  }
  const ended = isComputed ? "computed" : "dropped";
  const { answerWork } = attempt;
  if (isComputed && answerWork !== undefined && answerWork.id !== id) {
    const { server, id } = answerWork;
    publishEnd(state, { server, id, ended }, now);
  }
  return publishEnd(state, { server, id, ended }, now);
}

/** Ends the stream of an attempt on all hosts. */
export function endAnswer(
  state: FleetState,
  attempt: Attempt,
  now: number,
): void {
  const { answerWork } = attempt;
  if (answerWork === undefined) return;
  attempt.answerWork = undefined;
  const { server, id } = answerWork;
  publishEnd(state, { server, id, ended: "answered" }, now);
}

function publishEnd(
  state: FleetState,
  end: EngineWorkEnd,
  now: number,
): number | undefined {
  state.endedWork.push(end);
  return applyEngineWorkEnd(state, end, now);
}
