/**
 * Observations about routes that hosts add up: each host publishes
 * a sum and a count, and the totals over all hosts give the mean.
 *
 * @module
 */

import { DecayedSum } from "./decayed.ts";
import type { WorkFigures } from "./types.ts";

/** Time constant of the published sums, in milliseconds. */
const timeConstant = 2_000;
/** Most subjects of one host, about 40 bytes a second each. */
const maxSubjects = 32;
/** Significant digits of published numbers. */
const precision = 4;

interface Figure {
  readonly sum: DecayedSum;
  readonly count: DecayedSum;
}

/** Recent observations of this host by subject. */
export class SharedFigures {
  readonly #figures = new Map<string, Figure>();

  /** Adds one observation; ignores new subjects beyond the limit. */
  add(subject: string, value: number, now: number): void {
    const figure = this.#figures.get(subject) ?? this.#create(subject);
    if (figure === undefined || !Number.isFinite(value)) return;
    figure.sum.add(value, now);
    figure.count.add(1, now);
  }

  /** Returns the sums and counts to publish. */
  publish(now: number): WorkFigures {
    const rows = new Map<string, readonly [number, number]>();
    for (const [subject, { sum, count }] of this.#figures) {
      rows.set(subject, [round(sum.value(now)), round(count.value(now))]);
    }
    return rows;
  }

  #create(subject: string): Figure | undefined {
    if (this.#figures.size >= maxSubjects) return undefined;
    const figure = {
      sum: new DecayedSum(timeConstant),
      count: new DecayedSum(timeConstant),
    };
    this.#figures.set(subject, figure);
    return figure;
  }
}

function round(value: number): number {
  return Number(value.toPrecision(precision));
}
