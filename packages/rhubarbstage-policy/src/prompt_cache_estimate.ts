/**
 * Estimate of the contents of an engine's prompt cache.
 *
 * @module
 */

import type { PromptPart } from "./types.ts";

/** Tokens of one estimated block; a tenth of a typical shared part. */
const blockTokens = 1_000;
/**
 * Part of an engine's KV cache that is assumed to cache idle prompt parts; the
 * rest is used by running requests.
 */
const idleFraction = 0.7;

/** Simulates the LRU cache of prompt blocks on one engine. */
export class PromptCacheEstimate {
  /** Block names, least recently used first. */
  #blocks = new Set<string>();
  #limit: number;
  #uniqueBlockCount = 0;

  /** @param tokens KV cache capacity of the engine, in tokens. */
  constructor(tokens: number) {
    this.#limit = Math.max(1, Math.floor(tokens * idleFraction / blockTokens));
  }

  /** Tokens of a prompt's prefix that are probably cached. */
  cachedTokens(parts: readonly PromptPart[]): number {
    return this.cachedTokensOf([...blockNames(parts)]);
  }

  /** The same, for the names that `promptBlocks` returns. */
  cachedTokensOf(blocks: readonly string[]): number {
    let cached = 0;
    while (cached < blocks.length) {
      if (!this.#blocks.has(blocks[cached] as string)) break;
      cached += 1;
    }
    return cached * blockTokens;
  }

  /** Records a prompt that is being computed or used on the engine. */
  store(parts: readonly PromptPart[]): void {
    for (const name of blockNames(parts)) this.#touch(name);
    const uniqueBlocks = Math.ceil((parts.at(-1)?.tokens ?? 0) / blockTokens);
    for (let count = 0; count < uniqueBlocks; count += 1) {
      this.#uniqueBlockCount += 1;
      this.#touch(`own ${this.#uniqueBlockCount}`);
    }
  }

  /** Removes the shared blocks of a prompt that was not computed after all. */
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

/** Names of the blocks of a prompt, to look them up on several engines. */
export function promptBlocks(parts: readonly PromptPart[]): readonly string[] {
  return [...blockNames(parts)];
}

/** Yields names of whole blocks of the shared parts, which exclude the last. */
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
