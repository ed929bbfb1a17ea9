/**
 * Estimate of the prompts queued on an engine by all hosts.
 *
 * @module
 */

import { DecayedSum } from "./decayed.ts";

/** Last rank, served after all others. */
export const lastRank = 9;
/**
 * Added to the rank of requests that will miss their target, so that they do
 * not delay requests that can still meet theirs.
 */
export const lateRankOffset = 5;
/** Time constant of the load by urgent prompts, in milliseconds. */
const loadTimeConstant = 1_000;
/** Largest load that is assumed to leave time for late prompts. */
const maxUrgentLoad = 0.95;
/**
 * A prompt counts as lost once it has run for this many times its expected time
 * plus the margin, in milliseconds: its host has died or a message was lost.
 */
const overdueFactor = 3;
const overdueMargin = 1_000;
/** Least remaining time of a running prompt, as a part of its expected time. */
const minRemainingFraction = 0.2;

/** Random id of announced engine work, the same on all hosts. */
export type EngineWorkId = number;

/** A prompt that an engine computes or will compute. */
export interface QueuedPrompt {
  readonly rank: number;
  readonly milliseconds: number;
  /** Tokens to be computed; 0 if unknown. */
  readonly uncachedTokens: number;
}

interface RunningPrompt {
  readonly id: EngineWorkId;
  readonly startedAt: number;
}

/**
 * Estimated queue of prompts on one engine. An engine computes one prompt at a
 * time, by rank and then in order of arrival, without preemption. Hosts
 * announce each prompt and its end, so that forecast errors do not accumulate.
 */
export class EngineQueue {
  /** In order of arrival. */
  readonly #prompts = new Map<EngineWorkId, QueuedPrompt>();
  #running: RunningPrompt | undefined;
  /** Compute time of urgent prompts that were computed recently. */
  readonly #urgentTime = new DecayedSum(loadTimeConstant);

  /** Prompts that run or wait, as of the last update. */
  get size(): number {
    return this.#prompts.size;
  }

  /**
   * Milliseconds until a prompt of this rank that is sent now would start;
   * defaults to the last rank. Work that runs is done at `pace`; the result is
   * in milliseconds at the usual pace.
   */
  waitTime(now: number, rank: number = lastRank, pace = 1): number {
    this.#advance(now);
    const running = this.#running;
    if (running === undefined) return 0;
    let wait = 0;
    for (const [id, prompt] of this.#prompts) {
      if (id === running.id) wait += remainingTime(prompt, running, now, pace);
      else if (prompt.rank <= rank) wait += prompt.milliseconds;
    }
    return wait;
  }

  /**
   * Milliseconds until the running prompt is computed, as `waitTime` has them; 0
   * without one.
   */
  runningTime(now: number, pace = 1): number {
    this.#advance(now);
    const running = this.#running;
    const prompt = running && this.#prompts.get(running.id);
    return running === undefined || prompt === undefined
      ? 0
      : remainingTime(prompt, running, now, pace);
  }

  /** Returns a queued or running prompt; undefined once it has ended. */
  find(id: EngineWorkId): QueuedPrompt | undefined {
    return this.#prompts.get(id);
  }

  /**
   * Milliseconds until a late prompt that is sent now would start, if urgent
   * prompts keep taking the part of the engine's time that they took recently.
   */
  lateWaitTime(now: number, rank: number = lastRank, pace = 1): number {
    const load = this.#urgentTime.value(now) / loadTimeConstant;
    return this.waitTime(now, rank, pace) / (1 - Math.min(load, maxUrgentLoad));
  }

  /** Adds a prompt with its expected compute time in milliseconds. */
  add(
    id: EngineWorkId,
    prompt: {
      readonly milliseconds: number;
      readonly rank: number;
      readonly uncachedTokens?: number;
    },
    now: number,
  ): void {
    const { milliseconds, rank, uncachedTokens = 0 } = prompt;
    this.#prompts.set(id, {
      milliseconds,
      rank: Math.min(rank, lastRank),
      uncachedTokens,
    });
    this.#advance(now);
  }

  /**
   * Removes a computed prompt. Returns its compute time in milliseconds if it
   * was the prompt estimated to be running.
   */
  complete(id: EngineWorkId, now: number): number | undefined {
    const prompt = this.#prompts.get(id);
    if (prompt === undefined) return undefined;
    this.#prompts.delete(id);
    const { rank, milliseconds } = prompt;
    if (rank < lateRankOffset) this.#urgentTime.add(milliseconds, now);
    const running = this.#running;
    // Whichever prompt was estimated to be running, the completed one was: an
    // engine computes one at a time. The next one starts now.
    this.#running = undefined;
    this.#advance(now);
    return running?.id === id ? now - running.startedAt : undefined;
  }

  /** Removes a prompt that was given up before it was computed. */
  drop(id: EngineWorkId, now: number): void {
    if (!this.#prompts.delete(id)) return;
    if (this.#running?.id === id) this.#running = undefined;
    this.#advance(now);
  }

  /** Removes all prompts after the engine's process has ended. */
  clear(): void {
    this.#prompts.clear();
    this.#running = undefined;
  }

  #advance(now: number): void {
    const running = this.#running;
    if (running !== undefined) {
      const prompt = this.#prompts.get(running.id);
      const limit = (prompt?.milliseconds ?? 0) * overdueFactor + overdueMargin;
      if (now - running.startedAt <= limit) return;
      this.#prompts.delete(running.id);
      this.#running = undefined;
    }
    const next = this.#nextPrompt();
    if (next !== undefined) this.#running = { id: next, startedAt: now };
  }

  #nextPrompt(): EngineWorkId | undefined {
    let best: EngineWorkId | undefined;
    let bestRank = Infinity;
    for (const [id, { rank }] of this.#prompts) {
      if (rank >= bestRank) continue;
      best = id;
      bestRank = rank;
    }
    return best;
  }
}

function remainingTime(
  { milliseconds }: QueuedPrompt,
  { startedAt }: RunningPrompt,
  now: number,
  pace: number,
): number {
  const remaining = milliseconds - (now - startedAt) / pace;
  return Math.max(remaining, milliseconds * minRemainingFraction);
}
