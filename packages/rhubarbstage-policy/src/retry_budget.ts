/**
 * Budgets for retries, hedged and moved requests.
 *
 * @module
 */

import type { CustomerId } from "rhubarbstage";

/** Extra runs that are allowed at once after a quiet time. */
const largestBudget = 10;

/** A number of extra runs in proportion to first runs. */
export class AttemptBudget {
  #level = largestBudget;
  #largest = largestBudget;

  /** Bounds what may be saved up; at least one extra run. */
  bound(largest: number): void {
    this.#largest = Math.max(1, Math.min(largestBudget, largest));
    this.#level = Math.min(this.#level, this.#largest);
  }

  /** Counts a first run, which allows `ratio` extra runs. */
  earn(ratio: number): void {
    this.#level = Math.min(this.#largest, this.#level + ratio);
  }

  /** Takes one extra run, if there is one left. */
  spend(): boolean {
    if (this.#level < 1) return false;
    this.#level -= 1;
    return true;
  }
}

/** One retry budget for each customer. */
export class RetryBudgets {
  #budgets = new Map<CustomerId, AttemptBudget>();
  #largest = Infinity;

  /** Bounds what each customer may save up on this host. */
  bound(largest: number): void {
    this.#largest = largest;
    for (const budget of this.#budgets.values()) budget.bound(largest);
  }

  earn(customer: CustomerId, ratio: number): void {
    this.#of(customer).earn(ratio);
  }

  spend(customer: CustomerId): boolean {
    return this.#of(customer).spend();
  }

  #of(customer: CustomerId): AttemptBudget {
    let budget = this.#budgets.get(customer);
    if (budget === undefined) {
      budget = new AttemptBudget();
      budget.bound(this.#largest);
      this.#budgets.set(customer, budget);
    }
    return budget;
  }
}
