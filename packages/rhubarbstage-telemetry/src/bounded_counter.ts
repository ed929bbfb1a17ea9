/**
 * Counters and labels with a bound on the number of names.
 *
 * @module
 */

/** Counts by name; names beyond the bound are not counted. */
export class BoundedCounter {
  readonly #counts = new Map<string, number>();
  readonly #maxNames: number;

  constructor(maxNames: number) {
    this.#maxNames = maxNames;
  }

  /** Adds to the count of a name. */
  add(name: string, amount = 1): void {
    const count = this.#counts.get(name);
    if (count === undefined && this.#counts.size >= this.#maxNames) return;
    this.#counts.set(name, (count ?? 0) + amount);
  }

  /** Returns the names with the largest counts, largest first. */
  top(size: number): [string, number][] {
    return [...this.#counts]
      .sort(([leftName, left], [rightName, right]) =>
        right - left || (leftName < rightName ? -1 : 1)
      )
      .slice(0, size);
  }
}

/** Bounds the values of a label: later values become `other`. */
export class LabelLimiter {
  readonly #values = new Set<string>();
  readonly #maxValues: number;

  constructor(maxValues: number) {
    this.#maxValues = maxValues;
  }

  /** Returns the value itself below the limit, or `other`. */
  limit(value: string): string {
    if (this.#values.has(value)) return value;
    if (this.#values.size >= this.#maxValues) return "other";
    this.#values.add(value);
    return value;
  }
}
