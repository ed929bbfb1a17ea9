/**
 * Header lists.
 *
 * @module
 */

import type { HeaderList } from "./types.ts";

/** Headers that concern one connection only (RFC 9110, 7.6.1). */
const connectionHeaders = new Set([
  "connection",
  // The own server has answered it.
  "expect",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Pairs of name and value. */
export function* headerPairs(
  headers: HeaderList,
): Generator<readonly [name: string, value: string]> {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    yield [headers[index] as string, headers[index + 1] as string];
  }
}

/** First value of a header; the name is given in lower case. */
export function headerValue(
  headers: HeaderList,
  name: string,
): string | undefined {
  for (const [key, value] of headerPairs(headers)) {
    if (key.length === name.length && key.toLowerCase() === name) return value;
  }
  return undefined;
}

/**
 * Headers without those of the connection, those that `Connection` names and
 * others in lower case.
 */
export function endToEndHeaders(
  headers: HeaderList,
  options: { readonly without?: ReadonlySet<string> } = {},
): string[] {
  const named = connectionTokens(headers);
  const kept: string[] = [];
  for (const [name, value] of headerPairs(headers)) {
    const key = name.toLowerCase();
    if (connectionHeaders.has(key) || named.has(key)) continue;
    if (options.without?.has(key)) continue;
    kept.push(name, value);
  }
  return kept;
}

function connectionTokens(headers: HeaderList): Set<string> {
  const tokens = new Set<string>();
  for (const [name, value] of headerPairs(headers)) {
    if (name.toLowerCase() !== "connection") continue;
    for (const token of value.split(",")) {
      tokens.add(token.trim().toLowerCase());
    }
  }
  return tokens;
}
