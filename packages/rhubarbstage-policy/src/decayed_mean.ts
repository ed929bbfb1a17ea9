/**
 * Mean and variance of recent observations, which return to a prior mean when
 * there are none. One exponential a reading keeps decisions cheap.
 *
 * @module
 */

/** Options of a {@linkcode DecayedMean}. */
export interface DecayedMeanOptions {
  /** Mean without observations. */
  readonly prior: number;
  /** Weight of the prior mean in observations. */
  readonly priorWeight?: number;
  /** Milliseconds in which the weight of an observation decays to 1/e. */
  readonly timeConstant?: number;
}

/** Mean of observations whose weights decay exponentially. */
export class DecayedMean {
  readonly #prior: number;
  readonly #priorWeight: number;
  readonly #timeConstant: number;
  #sum = 0;
  #squares = 0;
  #count = 0;
  #at = 0;

  constructor(options: DecayedMeanOptions) {
    const { prior, priorWeight = 1, timeConstant = 10_000 } = options;
    this.#prior = prior;
    this.#priorWeight = priorWeight;
    this.#timeConstant = timeConstant;
  }

  add(value: number, now: number): void {
    const decay = this.#decay(now);
    this.#sum = this.#sum * decay + value;
    this.#squares = this.#squares * decay + value * value;
    this.#count = this.#count * decay + 1;
    this.#at = Math.max(this.#at, now);
  }

  mean(now: number): number {
    if (this.#count === 0) return this.#prior;
    const decay = this.#decay(now);
    const weight = this.#count * decay + this.#priorWeight;
    return (this.#sum * decay + this.#prior * this.#priorWeight) / weight;
  }

  /** Variance of the observations, with the prior mean among them. */
  variance(now: number): number {
    if (this.#count === 0) return 0;
    const decay = this.#decay(now);
    const weight = this.#count * decay + this.#priorWeight;
    const mean = (this.#sum * decay + this.#prior * this.#priorWeight) / weight;
    const squares = this.#squares * decay +
      this.#prior ** 2 * this.#priorWeight;
    return Math.max(0, squares / weight - mean * mean);
  }

  /** Forgets all observations. */
  clear(): void {
    this.#sum = 0;
    this.#squares = 0;
    this.#count = 0;
  }

  #decay(now: number): number {
    return now <= this.#at
      ? 1
      : Math.exp((this.#at - now) / this.#timeConstant);
  }
}
