/**
 * Learned estimates of the cost of a request.
 *
 * @module
 */

import { LRUCache } from "lru-cache";
import { DecayedRatio } from "./decayed.ts";
import { budgetScopeOf, type Work } from "./types.ts";

/** Expected cost of a request; times in milliseconds. */
export interface WorkEstimate {
  readonly outputTokens: number;
  /**
   * Dispatch to first token without network round trip; the run time of a plain
   * service.
   */
  readonly firstTokenTime: number;
  /** Time for which the request occupies a slot. */
  readonly runTime: number;
}

const averagingTimeConstant = 20_000;
const maxKinds = 5_000;
/** Weight of the pool's mean, in samples of a kind of work. */
const poolMeanWeight = 5;

/** Quantile of prompt and token times taken as the time without queues. */
const lowQuantile = 0.2;
const quantileStep = 0.05;
/** Shorter prompts are poor samples of the time per token. */
const minInformativePromptTokens = 200;

interface KindStatistics {
  count: number;
  meanOutput: number;
  meanRunTime: number;
}

/** Tracks a low quantile of positive samples on a logarithmic scale. */
class LowQuantile {
  #logarithm: number | undefined;
  #initial: number;

  constructor(initial: number) {
    this.#initial = initial;
  }

  add(sample: number): void {
    if (!(sample > 0)) return;
    const logarithm = Math.log(sample);
    if (this.#logarithm === undefined) this.#logarithm = logarithm;
    else if (logarithm < this.#logarithm) {
      this.#logarithm -= quantileStep * (1 - lowQuantile);
    } else this.#logarithm += quantileStep * lowQuantile;
  }

  get value(): number {
    return this.#logarithm === undefined
      ? this.#initial
      : Math.exp(this.#logarithm);
  }
}

/** Estimates of one pool, learned from all of its servers together. */
export class WorkEstimates {
  #promptTime = new DecayedRatio(0.2, averagingTimeConstant);
  #outputTime = new DecayedRatio(20, averagingTimeConstant);
  #output = new DecayedRatio(200, averagingTimeConstant);
  #prefillEngineTime = new LowQuantile(0.2);
  #decodeEngineTime = new LowQuantile(0.2);
  #fastOutputTime = new LowQuantile(20);
  #onPrefillEngines = new DecayedRatio(1, averagingTimeConstant);
  #onDecodeEngines = new DecayedRatio(0, averagingTimeConstant);
  #serviceTime = new DecayedRatio(50, averagingTimeConstant);
  #calibration = new DecayedRatio(1, averagingTimeConstant);
  #logRunTime = new DecayedRatio(Math.log(1_000), averagingTimeConstant);
  #logPrompt = new DecayedRatio(Math.log(1_000), averagingTimeConstant);
  #kinds = new LRUCache<string, KindStatistics>({ max: maxKinds });

  /** Number of finished requests that were learned from. */
  get sampleCount(): number {
    return this.#logRunTime.count;
  }

  estimate(work: Work, now: number): WorkEstimate {
    if (work.model === undefined) return this.#estimateService(work, now);
    const outputTokens = Math.min(
      work.outputTokenLimit,
      this.#blendWithPoolMean(work, this.#output.value(now), "meanOutput"),
    );
    const firstTokenTime = this.prefillTime(work.promptTokens, now);
    return {
      outputTokens,
      firstTokenTime,
      runTime: firstTokenTime + this.decodeTime(outputTokens, now),
    };
  }

  /** Actual over estimated run time. */
  calibration(now: number): number {
    return this.#calibration.value(now);
  }

  /** Milliseconds to compute an uncached prompt. */
  prefillTime(promptTokens: number, now: number): number {
    return promptTokens * this.#promptTime.value(now);
  }

  /** Milliseconds to generate `outputTokens` tokens. */
  decodeTime(outputTokens: number, now: number): number {
    return outputTokens * this.#outputTime.value(now);
  }

  /** Geometric mean of run times in ms, which is robust to a few stragglers. */
  typicalRunTime(now: number): number {
    return Math.exp(this.#logRunTime.value(now));
  }

  /** Geometric mean of prompt lengths in tokens. */
  typicalPrompt(now: number): number {
    return Math.exp(this.#logPrompt.value(now));
  }

  learnFirstToken(promptTokens: number, elapsed: number, now: number): void {
    this.#promptTime.add(elapsed, promptTokens, now);
  }

  /** Learns the prompt speed of an engine in a split pool. */
  learnPromptSpeed(
    prompt: {
      readonly tokens: number;
      readonly elapsed: number;
      readonly onPrefillEngine: boolean;
    },
  ): void {
    if (prompt.tokens < minInformativePromptTokens) return;
    const quantile = prompt.onPrefillEngine
      ? this.#prefillEngineTime
      : this.#decodeEngineTime;
    quantile.add(prompt.elapsed / prompt.tokens);
  }

  /** Learns the part of prompt tokens computed on engines of each role. */
  learnPlacement(
    prompt: {
      readonly tokens: number;
      readonly uncachedTokens: number;
      readonly onPrefillEngine: boolean;
    },
    now: number,
  ): void {
    const { tokens, uncachedTokens, onPrefillEngine } = prompt;
    const prefill = onPrefillEngine ? uncachedTokens : 0;
    this.#onPrefillEngines.add(prefill, tokens, now);
    this.#onDecodeEngines.add(uncachedTokens - prefill, tokens, now);
  }

  /** Prefill engines' milliseconds per offered prompt token, without queues. */
  prefillEnginePromptTimePerToken(now: number): number {
    return this.#prefillEngineTime.value * this.#onPrefillEngines.value(now);
  }

  /** Decode engines' milliseconds per offered prompt token, without queues. */
  decodeEnginePromptTimePerToken(now: number): number {
    return this.#decodeEngineTime.value * this.#onDecodeEngines.value(now);
  }

  /** Milliseconds between output tokens of a stream, without queues. */
  unqueuedTokenInterval(): number {
    return this.#fastOutputTime.value;
  }

  /** The same, or `fallback` before the first observation. */
  tokenInterval(fallback: number): number {
    return this.#outputTime.count === 0 ? fallback : this.#fastOutputTime.value;
  }

  learnTokens(tokens: number, elapsed: number, now: number): void {
    this.#outputTime.add(elapsed, tokens, now);
    this.#fastOutputTime.add(elapsed / tokens);
  }

  learnRun(
    work: Work,
    run: {
      readonly outputTokens: number;
      readonly runTime: number;
      readonly estimate: WorkEstimate;
    },
    now: number,
  ): void {
    this.#output.add(run.outputTokens, 1, now);
    this.#calibration.add(run.runTime, run.estimate.runTime, now);
    this.#serviceTime.add(run.runTime, 1, now);
    this.#logRunTime.add(Math.log(Math.max(1, run.runTime)), 1, now);
    this.#logPrompt.add(Math.log(Math.max(1, work.promptTokens)), 1, now);
    const key = kindKey(work);
    const kind = this.#kinds.get(key) ??
      { count: 0, meanOutput: 0, meanRunTime: 0 };
    kind.count = Math.min(kind.count + 1, 50);
    kind.meanOutput += (run.outputTokens - kind.meanOutput) / kind.count;
    kind.meanRunTime += (run.runTime - kind.meanRunTime) / kind.count;
    this.#kinds.set(key, kind);
  }

  #estimateService(work: Work, now: number): WorkEstimate {
    const runTime = this.#blendWithPoolMean(
      work,
      this.#serviceTime.value(now),
      "meanRunTime",
    );
    return { outputTokens: 0, firstTokenTime: runTime, runTime };
  }

  #blendWithPoolMean(
    work: Work,
    poolMean: number,
    field: "meanOutput" | "meanRunTime",
  ): number {
    const kind = this.#kinds.get(kindKey(work));
    if (kind === undefined) return poolMean;
    return (kind.count * kind[field] + poolMeanWeight * poolMean) /
      (kind.count + poolMeanWeight);
  }
}

function kindKey(work: Work): string {
  return `${budgetScopeOf(work)}\n${work.kind}`;
}
