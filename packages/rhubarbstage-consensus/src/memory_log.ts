/**
 * The part of a log that is not compacted.
 *
 * @module
 */

import { maxAppendBytes } from "./constants.ts";
import type { Entry, Position } from "./types.ts";

/** Entries by index, from the one after `base` on. */
export class MemoryLog {
  #base: Position;
  #entries: Entry[];

  constructor(base: Position, entries: readonly Entry[]) {
    this.#base = base;
    this.#entries = [...entries];
  }

  /** Position before the first entry. */
  get base(): Position {
    return this.#base;
  }

  /** Position of the last entry. */
  get last(): Position {
    return this.#entries.at(-1) ?? this.#base;
  }

  entry(index: number): Entry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /** Returns the term at an index; undefined when compacted or past the end. */
  term(index: number): number | undefined {
    if (index === this.#base.index) return this.#base.term;
    return this.entry(index)?.term;
  }

  /** Returns the entries with `from <= index <= to`. */
  range(from: number, to: number): Entry[] {
    return this.#entries.slice(
      from - this.#base.index - 1,
      to - this.#base.index,
    );
  }

  /** Returns the entries from an index on that fit into one message. */
  batch(from: number): Entry[] {
    const batch: Entry[] = [];
    let bytes = 0;
    for (let index = from; index <= this.last.index; index += 1) {
      const entry = this.entry(index) as Entry;
      bytes += entry.kind === "command" ? entry.data.length : 0;
      if (batch.length > 0 && bytes > maxAppendBytes) break;
      batch.push(entry);
    }
    return batch;
  }

  append(entries: readonly Entry[]): void {
    for (const entry of entries) this.#entries.push(entry);
  }

  /** Removes the entries from an index on. */
  truncate(from: number): void {
    this.#entries.length = from - this.#base.index - 1;
  }

  /** Discards the entries up to and including an index. */
  compact(index: number): void {
    const term = this.term(index);
    if (term === undefined || index <= this.#base.index) return;
    this.#entries = this.#entries.slice(index - this.#base.index);
    this.#base = { index, term };
  }

  /** Discards all entries; the log continues after a position. */
  reset(base: Position): void {
    this.#base = base;
    this.#entries = [];
  }
}
