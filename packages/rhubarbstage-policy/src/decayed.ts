/**
 * Sums over the recent past.
 *
 * @module
 */

/** A sum whose past parts lose weight exponentially. */
export class DecayedSum {
  #sum = 0;
  #at = 0;

  /** @param timeConstant Milliseconds in which a part falls to 1/e. */
  constructor(readonly timeConstant: number) {}

  add(amount: number, now: number): void {
    this.#sum = this.value(now) + amount;
    this.#at = Math.max(this.#at, now);
  }

  value(now: number): number {
    if (now <= this.#at) return this.#sum;
    return this.#sum * Math.exp((this.#at - now) / this.timeConstant);
  }

  /** Amount a second. */
  rate(now: number): number {
    return this.value(now) * 1_000 / this.timeConstant;
  }
}

/** A mean that forgets old samples; each sample has a weight. */
export class DecayedRatio {
  #amounts: DecayedSum;
  #weights: DecayedSum;
  count = 0;

  constructor(readonly initial: number, memory: number) {
    this.#amounts = new DecayedSum(memory);
    this.#weights = new DecayedSum(memory);
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
