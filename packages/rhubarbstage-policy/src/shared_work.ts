/**
 * Prompt work on engines that several hosts share: what this host sends and
 * what other hosts announce.
 *
 * @module
 */

import type { Attempt, FleetState } from "./fleet_state.ts";
import type { EngineWork, EngineWorkEnd, PolicyEffect } from "./types.ts";

/** Ids of prompt work are drawn from as many. */
const workIds = 2 ** 31;

/** Counts the prompt of an attempt on the engines that it uses. */
export function shareWork(
  state: FleetState,
  attempt: Attempt,
  now: number,
): PolicyEffect[] {
  const { record, entry, prefill, uncachedTokens, rank } = attempt;
  const { model, promptParts: parts = [] } = record.work;
  if (!state.settings.sharedEngines || model === undefined) return [];
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
    const id = state.random.integer(workIds);
    const work = { server: server.id, id, milliseconds, rank, parts };
    if (isComputing) attempt.work = work;
    takeWork(state, work, now);
    return { type: "announce_work", work };
  });
}

/** Counts prompt work of any host on an engine. */
export function takeWork(
  state: FleetState,
  work: EngineWork,
  now: number,
): void {
  const entry = state.table.servers.get(work.server);
  if (entry === undefined) return;
  if (work.milliseconds > 0) entry.queue.add(work.id, work, now);
  entry.cache?.store(work.parts);
}

/** Takes the end of prompt work of any host. */
export function takeWorkEnd(
  state: FleetState,
  end: EngineWorkEnd,
  now: number,
): number | undefined {
  const queue = state.table.servers.get(end.server)?.queue;
  if (end.isComputed) return queue?.end(end.id, now);
  queue?.drop(end.id, now);
  return undefined;
}

/**
 * Ends the prompt work of an attempt, here and elsewhere. Returns how long the
 * engine has computed it, if that is known.
 */
export function endWork(
  state: FleetState,
  attempt: Attempt,
  options: { readonly isComputed: boolean; readonly now: number },
): number | undefined {
  const { work } = attempt;
  if (work === undefined) return undefined;
  attempt.work = undefined;
  const { isComputed, now } = options;
  const { server, id, parts } = work;
  if (!isComputed) {
    state.table.servers.get(server)?.cache?.forget(parts);
  }
  const end = { server, id, isComputed };
  state.endedWork.push(end);
  return takeWorkEnd(state, end, now);
}
