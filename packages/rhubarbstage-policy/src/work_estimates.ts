/**
 * Learned estimates of what a request will cost.
 *
 * @module
 */

import { LRUCache } from "lru-cache";
import { DecayedRatio } from "./decayed.ts";
import type { Work } from "./types.ts";

/** What a request is expected to need; times in milliseconds. */
export interface WorkEstimate {
  readonly outputTokens: number;
  /** Time to the first token on an unloaded path. */
  readonly firstTokenTime: number;
  /** Time for which the request occupies a slot. */
  readonly runTime: number;
}

const rateMemory = 20_000;
const rememberedKinds = 5_000;
/** Samples after which a kind's own mean outweighs that of its pool. */
const kindConfidence = 5;

/** Prompts and streams as fast as this part of them met no queue. */
const lowQuantile = 0.2;
const quantileStep = 0.05;
/** Shorter prompts say little about the time for a token. */
const tellingPromptTokens = 200;

interface KindStatistics {
  count: number;
  meanOutput: number;
  meanRunTime: number;
}

/** Follows a low quantile of a positive quantity, on a logarithmic scale. */
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

/** Estimates of one pool, learned from what finished on any of its servers. */
export class WorkEstimates {
  #promptTime = new DecayedRatio(0.2, rateMemory);
  #outputTime = new DecayedRatio(20, rateMemory);
  #output = new DecayedRatio(200, rateMemory);
  #prefillEngineTime = new LowQuantile(0.2);
  #decodeEngineTime = new LowQuantile(0.2);
  #fastOutputTime = new LowQuantile(20);
  #onPrefillEngines = new DecayedRatio(1, rateMemory);
  #onDecodeEngines = new DecayedRatio(0, rateMemory);
  #serviceTime = new DecayedRatio(50, rateMemory);
  #calibration = new DecayedRatio(1, rateMemory);
  #logRunTime = new DecayedRatio(Math.log(1_000), rateMemory);
  #logPrompt = new DecayedRatio(Math.log(1_000), rateMemory);
  #kinds = new LRUCache<string, KindStatistics>({ max: rememberedKinds });

  /** Requests from which the pool has learned. */
  get samples(): number {
    return this.#logRunTime.count;
  }

  estimate(work: Work, now: number): WorkEstimate {
    if (work.model === undefined) return this.#estimateService(work, now);
    const outputTokens = Math.min(
      work.outputTokenLimit,
      this.#blend(work, this.#output.value(now), "meanOutput"),
    );
    const firstTokenTime = this.prefillTime(work.promptTokens, now);
    return {
      outputTokens,
      firstTokenTime,
      runTime: firstTokenTime + this.decodeTime(outputTokens, now),
    };
  }

  /** Real over estimated slot time. */
  calibration(now: number): number {
    return this.#calibration.value(now);
  }

  /** Milliseconds to compute a prompt that is not cached. */
  prefillTime(promptTokens: number, now: number): number {
    return promptTokens * this.#promptTime.value(now);
  }

  /** Milliseconds to generate some tokens. */
  decodeTime(outputTokens: number, now: number): number {
    return outputTokens * this.#outputTime.value(now);
  }

  /** Geometric mean of run times, which a few stragglers hardly move. */
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

  /** Learns the speed of a prompt on an engine of a split pool. */
  learnPromptSpeed(
    prompt: {
      readonly tokens: number;
      readonly elapsed: number;
      readonly onPrefillEngine: boolean;
    },
  ): void {
    if (prompt.tokens < tellingPromptTokens) return;
    const quantile = prompt.onPrefillEngine
      ? this.#prefillEngineTime
      : this.#decodeEngineTime;
    quantile.add(prompt.elapsed / prompt.tokens);
  }

  /** Learns which part of the prompts is computed on which engines. */
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

  /** Time of prefill engines for each offered prompt token, without queues. */
  prefillEngineTimePerToken(now: number): number {
    return this.#prefillEngineTime.value * this.#onPrefillEngines.value(now);
  }

  /** Time of decode engines for each offered prompt token, without queues. */
  decodeEngineTimePerToken(now: number): number {
    return this.#decodeEngineTime.value * this.#onDecodeEngines.value(now);
  }

  /** Stream time for each output token, without queues. */
  decodeTimePerToken(): number {
    return this.#fastOutputTime.value;
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
    const runTime = this.#blend(
      work,
      this.#serviceTime.value(now),
      "meanRunTime",
    );
    return { outputTokens: 0, firstTokenTime: runTime, runTime };
  }

  #blend(
    work: Work,
    poolMean: number,
    field: "meanOutput" | "meanRunTime",
  ): number {
    const kind = this.#kinds.get(kindKey(work));
    if (kind === undefined) return poolMean;
    return (kind.count * kind[field] + kindConfidence * poolMean) /
      (kind.count + kindConfidence);
  }
}

function kindKey(work: Work): string {
  return `${work.customer}\n${work.kind}`;
}
