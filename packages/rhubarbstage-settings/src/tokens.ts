/**
 * Token files of operators, hosts and backend servers, and key hashes.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import { readFile } from "node:fs/promises";
import { RhubarbstageError } from "rhubarbstage";

/** Shortest token that is accepted, in characters. */
const minTokenLength = 16;

/** One token of a token file. */
export interface Token {
  /** Owner of the token; empty when the file does not name one. */
  readonly name: string;
  readonly value: string;
}

/** Returns the SHA-256 hash of an API key or token, in hexadecimal. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key, "utf8").digest("hex");
}

/**
 * Reads tokens, one per line, optionally as `name:token`. Empty lines and lines
 * that start with `#` are skipped. A process sends the first token and accepts
 * all of them, so that tokens can be replaced one host at a time.
 */
export function parseTokens(content: string): Token[] {
  return content.split("\n").map((line) => line.trim())
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map((line) => {
      const colon = line.indexOf(":");
      if (colon < 0) return { name: "", value: line };
      return { name: line.slice(0, colon), value: line.slice(colon + 1) };
    });
}

/**
 * Reads a token file. Throws `invalid_request` when it contains no token or
 * one with fewer than 16 characters; the message never quotes a token.
 */
export async function loadTokens(file: string): Promise<readonly Token[]> {
  const tokens = parseTokens(await readFile(file, "utf8"));
  if (tokens.length === 0) {
    throw new RhubarbstageError("invalid_request", {
      message: `The token file ${file} contains no token`,
    });
  }
  if (tokens.some((token) => token.value.length < minTokenLength)) {
    throw new RhubarbstageError("invalid_request", {
      message:
        `The token file ${file} contains a token of fewer than ${minTokenLength} characters`,
    });
  }
  return tokens;
}

/** Finds the accepted token that equals a presented one, in constant time. */
export function findToken(
  tokens: readonly Token[],
  presented: string,
): Token | undefined {
  const digest = createHash("sha256").update(presented).digest();
  let found: Token | undefined;
  for (const token of tokens) {
    const expected = createHash("sha256").update(token.value).digest();
    if (timingSafeEqual(digest, expected)) found = token;
  }
  return found;
}
