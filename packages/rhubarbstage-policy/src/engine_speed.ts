/**
 * How fast engines compute prompts, learned from first events.
 *
 * @module
 */

import type { EngineRole } from "./types.ts";

/**
 * Time for a prompt token before anything was observed, in milliseconds: the
 * order of a large model on current accelerators.
 */
const initialTokenTime = {
  prefill: 0.035,
  decode: 0.085,
  mixed: 0.05,
} as const;
/** Time to the first event beside the prompt, before observations, in ms. */
const initialFixedTime = 80;
/** Observations may move an initial value by this factor at most. */
const largestFactor = 4;
/** Weight of one observation once there are many. */
const smoothing = 0.05;
/** Weight of the first observations, which fades with their number. */
const firstWeight = 0.3;
/** The time of shorter prompts is mostly that of the path and of one step. */
const tellingTokens = 1_500;

/** Speed of the engines of one pool. */
export class EngineSpeed {
  #tokenTime: Record<EngineRole, number> = { ...initialTokenTime };
  #fixedTime = initialFixedTime;
  #samples: Record<EngineRole | "fixed", number> = {
    prefill: 0,
    decode: 0,
    mixed: 0,
    fixed: 0,
  };

  /** Time to compute some tokens of a prompt, in milliseconds. */
  promptTime(tokens: number, role: EngineRole): number {
    return tokens * this.#tokenTime[role];
  }

  /** Time to the first event beside waits and the prompt, in milliseconds. */
  get fixedTime(): number {
    return this.#fixedTime;
  }

  /** Takes the time from a computed prompt to the first event. */
  learnFixedTime(elapsed: number): void {
    this.#fixedTime = moved(this.#fixedTime, elapsed, {
      initial: initialFixedTime,
      weight: this.#weight("fixed"),
    });
  }

  /** Takes the time in which an engine has computed tokens of a prompt. */
  learn(
    observation: {
      readonly tokens: number;
      readonly role: EngineRole;
      readonly elapsed: number;
    },
  ): void {
    const { tokens, role, elapsed } = observation;
    if (tokens < tellingTokens) return;
    const time = elapsed / tokens;
    this.#tokenTime[role] = moved(this.#tokenTime[role], time, {
      initial: initialTokenTime[role],
      weight: this.#weight(role),
    });
  }

  #weight(kind: EngineRole | "fixed"): number {
    this.#samples[kind] += 1;
    return Math.max(smoothing, firstWeight / this.#samples[kind]);
  }
}

/** Moves a value towards a sample, within the bounds of its initial value. */
function moved(
  value: number,
  sample: number,
  options: { readonly initial: number; readonly weight: number },
): number {
  const { initial, weight } = options;
  const bounded = Math.min(
    initial * largestFactor,
    Math.max(initial / largestFactor, sample),
  );
  return value + (bounded - value) * weight;
}
