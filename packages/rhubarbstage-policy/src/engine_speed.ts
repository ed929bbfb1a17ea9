/**
 * Prompt speed of engines, learned from computed prompts and first tokens.
 *
 * @module
 */

import { ComputeTimeRegression } from "./compute_time.ts";
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
const engineRoles = ["prefill", "decode", "mixed"] as const;
/** Milliseconds to the first token besides the prompt, before observations. */
const initialFixedTime = 80;
/** Largest factor by which observations may raise an initial value. */
const maxSlowdownFactor = 4;
/**
 * Largest factor by which they may lower it. It is larger, because an engine can
 * be far faster than expected, while long times mostly have other causes.
 */
const maxSpeedupFactor = 64;
/** Weight of an observation after many others. */
const minSampleWeight = 0.05;
/** Factor on the weight of a sample that is longer than the known value. */
const longSampleFactor = 0.1;
/** Shorter prompts mostly measure the network path and one engine step. */
const minInformativeTokens = 1_500;

/** Speed of the engines of one pool. */
export class EngineSpeed {
  #tokenTime: Record<EngineRole, number> = { ...initialTokenTime };
  #fixedTime = initialFixedTime;
  readonly #computeTime = new ComputeTimeRegression();
  /** Time per token that the placing host has measured, in milliseconds. */
  #adoptedComputeTime: number | undefined;
  #samples: Record<EngineRole | "fixed", number> = {
    prefill: 0,
    decode: 0,
    mixed: 0,
    fixed: 0,
  };

  /** Milliseconds to compute `tokens` tokens of a prompt. */
  promptTime(tokens: number, role: EngineRole): number {
    return tokens * this.#promptTokenTime(role);
  }

  /**
   * Milliseconds for which a prompt occupies a prefill engine, or any engine of
   * a pool without such. Until it is known, the time until it is computed.
   */
  computeTime(tokens: number): number {
    const time = this.computeTimePerToken;
    return time === undefined ? this.promptTime(tokens, "prefill") : tokens *
      Math.min(time, this.#promptTokenTime("prefill"));
  }

  /** Milliseconds for one token, measured here or by the placing host. */
  get computeTimePerToken(): number | undefined {
    return this.#computeTime.engineTimePerToken ?? this.#adoptedComputeTime;
  }

  /** Adopts the time per token that the placing host has measured. */
  adoptComputeTime(timePerToken: number): void {
    if (timePerToken > 0) this.#adoptedComputeTime = timePerToken;
  }

  /** Learns from a prompt whose engine began it at a known time. */
  learnComputeTime(
    observation: {
      readonly tokens: number;
      readonly role: EngineRole;
      readonly elapsed: number;
    },
  ): void {
    const { tokens, role, elapsed } = observation;
    // Decode engines compute prompts in between the tokens of their streams.
    if (role !== "decode") this.#computeTime.add(tokens, elapsed);
  }

  #promptTokenTime(role: EngineRole): number {
    if (this.#samples[role] > 0) return this.#tokenTime[role];
    return initialTokenTime[role] * this.#correctionOfOtherRoles();
  }

  /** Mean ratio of observed to initial token time of the observed roles. */
  #correctionOfOtherRoles(): number {
    let product = 1;
    let count = 0;
    for (const role of engineRoles) {
      if (this.#samples[role] === 0) continue;
      product *= this.#tokenTime[role] / initialTokenTime[role];
      count += 1;
    }
    return count === 0 ? 1 : product ** (1 / count);
  }

  /** Milliseconds to the first token, without queueing and the prompt. */
  get fixedTime(): number {
    return this.#fixedTime;
  }

  /**
   * Learns from the milliseconds from a computed prompt to the first token. Longer
   * times mostly include a wait, which is no part of the fixed time.
   */
  learnFixedTime(elapsed: number): void {
    const factor = elapsed > this.#fixedTime ? longSampleFactor : 1;
    this.#fixedTime = moveTowards(this.#fixedTime, elapsed, {
      initial: initialFixedTime,
      weight: this.#weight("fixed") * factor,
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
    const known = this.#promptTokenTime(role);
    this.#tokenTime[role] = moveTowards(known, time, {
      initial: initialTokenTime[role],
      weight: this.#weight(role),
    });
  }

  #weight(kind: EngineRole | "fixed"): number {
    this.#samples[kind] += 1;
    // The initial value counts as one observation.
    return Math.max(minSampleWeight, 1 / (this.#samples[kind] + 1));
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
    initial * maxSlowdownFactor,
    Math.max(initial / maxSpeedupFactor, sample),
  );
  return value + (bounded - value) * weight;
}
