/**
 * What an engine probably has in its cache of prompts.
 *
 * @module
 */

import type { PromptPart } from "./types.ts";

/** Tokens of one block of the belief; a tenth of a typical shared part. */
const blockTokens = 1_000;
/**
 * Part of an engine's memory that is believed to hold idle parts; the rest
 * belongs to running requests.
 */
const idlePart = 0.7;

/** Least recently used blocks of prompts on one engine. */
export class PromptCacheEstimate {
  /** Block names, least recently used first. */
  #blocks = new Set<string>();
  #limit: number;
  #ownCount = 0;

  /** @param tokens Memory of the engine, in tokens. */
  constructor(tokens: number) {
    this.#limit = Math.max(1, Math.floor(tokens * idlePart / blockTokens));
  }

  /** Tokens at the beginning of a prompt that are probably cached. */
  cachedTokens(parts: readonly PromptPart[]): number {
    let cached = 0;
    for (const name of blockNames(parts)) {
      if (!this.#blocks.has(name)) break;
      cached += 1;
    }
    return cached * blockTokens;
  }

  /** Takes a prompt that is being computed or used there. */
  store(parts: readonly PromptPart[]): void {
    for (const name of blockNames(parts)) this.#touch(name);
    const own = Math.ceil((parts.at(-1)?.tokens ?? 0) / blockTokens);
    for (let count = 0; count < own; count += 1) {
      this.#ownCount += 1;
      this.#touch(`own ${this.#ownCount}`);
    }
  }

  /** Takes back a prompt that was not computed after all. */
  forget(parts: readonly PromptPart[]): void {
    for (const name of blockNames(parts)) this.#blocks.delete(name);
  }

  #touch(name: string): void {
    this.#blocks.delete(name);
    this.#blocks.add(name);
    if (this.#blocks.size <= this.#limit) return;
    for (const oldest of this.#blocks) {
      this.#blocks.delete(oldest);
      return;
    }
  }
}

/** Names of the whole blocks of the shared parts; the last part is not shared. */
function* blockNames(parts: readonly PromptPart[]): Generator<string> {
  let tokens = 0;
  let count = 0;
  let path = "";
  for (const { id, tokens: length } of parts.slice(0, -1)) {
    tokens += length;
    path = `${path}/${id}`;
    while ((count + 1) * blockTokens <= tokens) {
      yield `${path}#${count}`;
      count += 1;
    }
  }
}
