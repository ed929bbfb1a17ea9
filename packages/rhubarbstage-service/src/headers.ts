/**
 * Headers that are forwarded between callers and plain services.
 *
 * @module
 */

import { hopByHopHeaders } from "./constants.ts";

/** Header values as `undici` reports them. */
export type ReceivedHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** Copies headers with lower-case names, without hop-by-hop headers. */
export function endToEndHeaders(
  headers: ReceivedHeaders,
): Record<string, string> {
  const connectionOptions = new Set(
    String(headers["connection"] ?? "").toLowerCase().split(/\s*,\s*/),
  );
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerCase = name.toLowerCase();
    if (value === undefined || hopByHopHeaders.has(lowerCase)) continue;
    if (connectionOptions.has(lowerCase)) continue;
    forwarded[lowerCase] = typeof value === "string" ? value : value.join(", ");
  }
  return forwarded;
}
