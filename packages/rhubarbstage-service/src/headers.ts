/**
 * Headers that pass between callers and plain services.
 *
 * @module
 */

import { hopByHopHeaders } from "./constants.ts";

/** Header values as `undici` reports them. */
export type ReceivedHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** Copy with lower-case names and without headers of the connection. */
export function endToEndHeaders(
  headers: ReceivedHeaders,
): Record<string, string> {
  const named = new Set(
    String(headers["connection"] ?? "").toLowerCase().split(/\s*,\s*/),
  );
  const passed: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerCase = name.toLowerCase();
    if (value === undefined || hopByHopHeaders.has(lowerCase)) continue;
    if (named.has(lowerCase)) continue;
    passed[lowerCase] = typeof value === "string" ? value : value.join(", ");
  }
  return passed;
}
