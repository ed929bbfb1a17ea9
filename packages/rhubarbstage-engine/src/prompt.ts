/**
 * Extracts the prompt of a caller's body and hashes its prefixes.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { cacheBlockTokens, charactersPerToken } from "./constants.ts";
import type { GenerationEndpoint, JsonObject } from "./types.ts";

/** Returns the text of the prompt in one string, roles included. */
export function promptText(
  endpoint: GenerationEndpoint,
  body: JsonObject,
): string {
  if (endpoint === "text") return contentText(body.prompt);
  if (!Array.isArray(body.messages)) return "";
  return body.messages
    .map((message) => `${message?.role}: ${contentText(message?.content)}`)
    .join("\n");
}

/** Estimates the number of tokens in a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}

/**
 * Hashes the prefixes of a prompt, one for each full block of 1,000 tokens.
 * Equal prefixes have equal hashes.
 */
export function promptPrefixHashes(text: string): readonly string[] {
  const blockLength = cacheBlockTokens * charactersPerToken;
  const blocks = Math.floor(text.length / blockLength);
  const hash = createHash("sha256");
  return Array.from({ length: blocks }, (_, block) => {
    hash.update(text.slice(block * blockLength, (block + 1) * blockLength));
    return hash.copy().digest("hex").slice(0, prefixHashLength);
  });
}

/**
 * 64 bits: the probability that any two of a million prefixes collide is below
 * 1 in 10^7.
 */
const prefixHashLength = 16;

function contentText(content: unknown): string {
  if (typeof content === "string") return content;
  if (!Array.isArray(content)) return "";
  return content
    .map((part) => typeof part === "string" ? part : part?.text ?? "")
    .join("");
}
