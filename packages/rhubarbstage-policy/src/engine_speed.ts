/**
 * Prompt speed of engines, learned from computed prompts and first tokens.
 *
 * @module
 */

import type { EngineRole } from "./types.ts";

/**
 * Milliseconds for a prompt token before any observation: the order of
 * magnitude of a large model on current accelerators.
 */
const initialTokenTime = {
  prefill: 0.035,
  decode: 0.085,
  mixed: 0.05,
} as const;
/** Milliseconds to the first token besides the prompt, before observations. */
const initialFixedTime = 80;
/** Largest factor by which observations may change an initial value. */
const maxCorrectionFactor = 4;
/** Weight of an observation after many others. */
const minSampleWeight = 0.05;
/** Weight of the first observation; the nth one counts for 1/n of it. */
const firstSampleWeight = 0.3;
/** Shorter prompts mostly measure the network path and one engine step. */
const minInformativeTokens = 1_500;

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

  /** Milliseconds to compute `tokens` tokens of a prompt. */
  promptTime(tokens: number, role: EngineRole): number {
    return tokens * this.#tokenTime[role];
  }

  /** Milliseconds to the first token, without queueing and the prompt. */
  get fixedTime(): number {
    return this.#fixedTime;
  }

  /** Learns from the milliseconds from a computed prompt to the first token. */
  learnFixedTime(elapsed: number): void {
    this.#fixedTime = moveTowards(this.#fixedTime, elapsed, {
      initial: initialFixedTime,
      weight: this.#weight("fixed"),
    });
  }

  /** Learns from the milliseconds in which an engine computed a prompt. */
  learnPromptTime(
    observation: {
      readonly tokens: number;
      readonly role: EngineRole;
      readonly elapsed: number;
    },
  ): void {
    const { tokens, role, elapsed } = observation;
    if (tokens < minInformativeTokens) return;
    const time = elapsed / tokens;
    this.#tokenTime[role] = moveTowards(this.#tokenTime[role], time, {
      initial: initialTokenTime[role],
      weight: this.#weight(role),
    });
  }

  #weight(kind: EngineRole | "fixed"): number {
    this.#samples[kind] += 1;
    return Math.max(minSampleWeight, firstSampleWeight / this.#samples[kind]);
  }
}

/** Moves a value towards a sample that is bounded around the initial value. */
function moveTowards(
  value: number,
  sample: number,
  options: { readonly initial: number; readonly weight: number },
): number {
  const { initial, weight } = options;
  const bounded = Math.min(
    initial * maxCorrectionFactor,
    Math.max(initial / maxCorrectionFactor, sample),
  );
  return value + (bounded - value) * weight;
}
