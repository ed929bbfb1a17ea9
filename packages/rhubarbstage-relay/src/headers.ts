/**
 * Reads and filters header lists.
 *
 * @module
 */

import type { HeaderList } from "./types.ts";

/** Hop-by-hop headers (RFC 9110, 7.6.1). */
const hopByHopHeaders = new Set([
  "connection",
  // Node.js answers it with `100 Continue`.
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

/** Iterates over the headers as pairs of name and value. */
export function* headerPairs(
  headers: HeaderList,
): Generator<readonly [name: string, value: string]> {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    yield [headers[index] as string, headers[index + 1] as string];
  }
}

/** Returns the first value of a header; `name` must be in lower case. */
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
 * Returns the value of a header that must not differ where it is repeated;
 * undefined if it does or is absent. `name` must be in lower case.
 */
export function unambiguousHeaderValue(
  headers: HeaderList,
  name: string,
): string | undefined {
  const values = new Set<string>();
  for (const [key, value] of headerPairs(headers)) {
    if (key.length !== name.length || key.toLowerCase() !== name) continue;
    values.add(value);
  }
  const [value] = values;
  return values.size === 1 ? value : undefined;
}

/** Returns the media type of a body in lower case; empty if none is named. */
export function mediaTypeOf(headers: HeaderList): string {
  const [type = ""] = (headerValue(headers, "content-type") ?? "").split(";");
  return type.trim().toLowerCase();
}

/**
 * Removes hop-by-hop headers, those listed in `Connection` and those in
 * `without`, whose names must be in lower case.
 */
export function endToEndHeaders(
  headers: HeaderList,
  options: { readonly without?: ReadonlySet<string> } = {},
): string[] {
  const connectionOptions = connectionOptionsOf(headers);
  const kept: string[] = [];
  for (const [name, value] of headerPairs(headers)) {
    const key = name.toLowerCase();
    if (hopByHopHeaders.has(key) || connectionOptions.has(key)) continue;
    if (options.without?.has(key)) continue;
    kept.push(name, value);
  }
  return kept;
}

function connectionOptionsOf(headers: HeaderList): Set<string> {
  const tokens = new Set<string>();
  for (const [name, value] of headerPairs(headers)) {
    if (name.toLowerCase() !== "connection") continue;
    for (const token of value.split(",")) {
      tokens.add(token.trim().toLowerCase());
    }
  }
  return tokens;
}

/** Whether a response with these headers ends with its connection. */
export function isCloseDelimited(headers: HeaderList): boolean {
  return headerValue(headers, "content-length") === undefined &&
    headerValue(headers, "transfer-encoding") === undefined;
}
