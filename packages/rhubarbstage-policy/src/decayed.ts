/**
 * Exponentially decayed sums and ratios.
 *
 * @module
 */

/** Sum whose past amounts decay exponentially. */
export class DecayedSum {
  #sum = 0;
  #at = 0;

  /** @param timeConstant Milliseconds in which an amount decays to 1/e. */
  constructor(readonly timeConstant: number) {}

  add(amount: number, now: number): void {
    this.#sum = this.value(now) + amount;
    this.#at = Math.max(this.#at, now);
  }

  value(now: number): number {
    if (now <= this.#at) return this.#sum;
    return this.#sum * Math.exp((this.#at - now) / this.timeConstant);
  }

  /** Returns the decayed rate, in amount per second. */
  rate(now: number): number {
    return this.value(now) * 1_000 / this.timeConstant;
  }
}

/** Ratio of two exponentially decayed sums: amounts over weights. */
export class DecayedRatio {
  #amounts: DecayedSum;
  #weights: DecayedSum;
  count = 0;

  constructor(readonly initial: number, timeConstant: number) {
    this.#amounts = new DecayedSum(timeConstant);
    this.#weights = new DecayedSum(timeConstant);
  }

  add(amount: number, weight: number, now: number): void {
    if (weight <= 0) return;
    this.count += 1;
    this.#amounts.add(amount, now);
    this.#weights.add(weight, now);
  }

  value(now: number): number {
    const weight = this.#weights.value(now);
    return weight > 1e-9 ? this.#amounts.value(now) / weight : this.initial;
  }
}
