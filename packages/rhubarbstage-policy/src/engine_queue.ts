/**
 * Prompts that an engine computes for all hosts.
 *
 * @module
 */

/** Rank that goes behind all others. */
export const lastRank = 9;
/**
 * A prompt counts as lost once it has run for this many times its expected time
 * and the margin, in milliseconds: its host has died or a message was lost.
 */
const overdueFactor = 3;
const overdueMargin = 1_000;
/**
 * Part of its expected time that a running prompt is still expected to take
 * when that time is nearly or all over.
 */
const overduePart = 0.2;

/** Name of one prompt among those of all hosts; drawn at random. */
export type PromptWorkId = number;

interface QueuedPrompt {
  readonly rank: number;
  readonly milliseconds: number;
}

interface RunningPrompt {
  readonly id: PromptWorkId;
  readonly startedAt: number;
}

/**
 * Queue of prompts on one engine as this host believes it to be. An engine
 * computes one prompt after the other, by rank and then in the order of their
 * arrival, and finishes what it has begun. Hosts tell what they send and when
 * it was computed, so that wrong forecasts do not add up.
 */
export class EngineQueue {
  /** In the order of their arrival. */
  readonly #prompts = new Map<PromptWorkId, QueuedPrompt>();
  #running: RunningPrompt | undefined;

  /** Prompts that run or wait. */
  get size(): number {
    return this.#prompts.size;
  }

  /**
   * Time until a prompt of a rank that is sent now would begin, in
   * milliseconds; behind all others without a rank.
   */
  waitTime(now: number, rank: number = lastRank): number {
    this.#advance(now);
    const running = this.#running;
    if (running === undefined) return 0;
    let wait = 0;
    for (const [id, prompt] of this.#prompts) {
      if (id === running.id) {
        const { milliseconds } = prompt;
        const left = milliseconds - (now - running.startedAt);
        wait += Math.max(left, milliseconds * overduePart);
      } else if (prompt.rank <= rank) wait += prompt.milliseconds;
    }
    return wait;
  }

  /** Adds a prompt that takes the engine some time, in milliseconds. */
  add(
    id: PromptWorkId,
    prompt: { readonly milliseconds: number; readonly rank: number },
    now: number,
  ): void {
    const { milliseconds, rank } = prompt;
    this.#prompts.set(id, { milliseconds, rank: Math.min(rank, lastRank) });
    this.#advance(now);
  }

  /**
   * Takes the end of a prompt. Returns how long the engine has computed it, in
   * milliseconds, if it was believed to run.
   */
  complete(id: PromptWorkId, now: number): number | undefined {
    if (!this.#prompts.delete(id)) return undefined;
    const running = this.#running;
    // Whatever ended was running, so that the engine begins another one now.
    this.#running = undefined;
    this.#advance(now);
    return running?.id === id ? now - running.startedAt : undefined;
  }

  /** Takes the end of a prompt that the engine has not computed. */
  drop(id: PromptWorkId, now: number): void {
    if (!this.#prompts.delete(id)) return;
    if (this.#running?.id === id) this.#running = undefined;
    this.#advance(now);
  }

  /** Forgets all prompts, as of a process that has ended. */
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
    const next = this.#next();
    if (next !== undefined) this.#running = { id: next, startedAt: now };
  }

  #next(): PromptWorkId | undefined {
    let best: PromptWorkId | undefined;
    let bestRank = Infinity;
    for (const [id, { rank }] of this.#prompts) {
      if (rank >= bestRank) continue;
      best = id;
      bestRank = rank;
    }
    return best;
  }
}
