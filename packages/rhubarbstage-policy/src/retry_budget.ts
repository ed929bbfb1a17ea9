/**
 * Budgets for retries and for hedged and moved requests.
 *
 * @module
 */

import type { CustomerId } from "rhubarbstage";

/** Maximum burst of extra attempts. */
const maxExtraAttempts = 10;

/** Token bucket of extra attempts, refilled in proportion to first attempts. */
export class AttemptBudget {
  #level = maxExtraAttempts;
  #capacity = maxExtraAttempts;

  /** Bounds the burst, to at least one extra attempt. */
  setCapacity(capacity: number): void {
    this.#capacity = Math.max(1, Math.min(maxExtraAttempts, capacity));
    this.#level = Math.min(this.#level, this.#capacity);
  }

  /** Records a first attempt, which allows `ratio` extra attempts. */
  earn(ratio: number): void {
    this.#level = Math.min(this.#capacity, this.#level + ratio);
  }

  /** Consumes one extra attempt; returns false if none is left. */
  spend(): boolean {
    if (this.#level < 1) return false;
    this.#level -= 1;
    return true;
  }
}

/** Retry budgets by customer. */
export class RetryBudgets {
  #budgets = new Map<CustomerId, AttemptBudget>();
  #capacity = Infinity;

  /** Bounds the retry burst of each customer on this host. */
  setCapacity(capacity: number): void {
    this.#capacity = capacity;
    for (const budget of this.#budgets.values()) budget.setCapacity(capacity);
  }

  earn(customer: CustomerId, ratio: number): void {
    this.#budgetOf(customer).earn(ratio);
  }

  spend(customer: CustomerId): boolean {
    return this.#budgetOf(customer).spend();
  }

  #budgetOf(customer: CustomerId): AttemptBudget {
    let budget = this.#budgets.get(customer);
    if (budget === undefined) {
      budget = new AttemptBudget();
      budget.setCapacity(this.#capacity);
      this.#budgets.set(customer, budget);
    }
    return budget;
  }
}
