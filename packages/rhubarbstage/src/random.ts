/**
 * Seeded random numbers, so that decisions and tests can be repeated.
 *
 * @module
 */

/** Seeded generator (the mulberry32 algorithm, 32 bits of state). */
export class SeededRandom {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  /** Returns the next number in [0, 1). */
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  /** Returns a whole number in [0, limit). */
  integer(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** Picks one element of a list that is not empty. */
  pick<Element>(list: readonly Element[]): Element {
    return list[this.integer(list.length)] as Element;
  }
}
