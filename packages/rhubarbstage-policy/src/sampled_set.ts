/**
 * A set that can be sampled, so that a decision considers only a few servers.
 *
 * @module
 */

import type { SeededRandom } from "rhubarbstage";

/** Set with insertion, removal and random choice in constant time. */
export class SampledSet<Element> {
  #elements: Element[] = [];
  #positions = new Map<Element, number>();

  get size(): number {
    return this.#elements.length;
  }

  has(element: Element): boolean {
    return this.#positions.has(element);
  }

  add(element: Element): void {
    if (this.#positions.has(element)) return;
    this.#positions.set(element, this.#elements.length);
    this.#elements.push(element);
  }

  delete(element: Element): void {
    const position = this.#positions.get(element);
    if (position === undefined) return;
    this.#positions.delete(element);
    const last = this.#elements.pop() as Element;
    if (last === element) return;
    this.#elements[position] = last;
    this.#positions.set(last, position);
  }

  clear(): void {
    this.#elements = [];
    this.#positions.clear();
  }

  values(): readonly Element[] {
    return this.#elements;
  }

  /** At most `count` different elements, drawn at random. */
  sample(count: number, random: SeededRandom): Element[] {
    const size = this.#elements.length;
    if (size <= count) return [...this.#elements];
    const picked = new Set<number>();
    while (picked.size < count) picked.add(random.integer(size));
    return [...picked].map((position) => this.#elements[position] as Element);
  }
}
