/**
 * The key=value form of log lines.
 *
 * @module
 */

import { redactField } from "./redaction.ts";
import type { Fields, FieldValue } from "./types.ts";

/** Longest value in a line, in characters; longer ones are cut. */
const maxValueLength = 2_000;

const plainValue = /^[^\s"=\\\p{Cc}]+$/u;

/** Formats a value, as a JSON string where it needs quotes. */
function formatValue(value: FieldValue): string {
  const text = String(value);
  const short = text.length > maxValueLength
    ? `${text.slice(0, maxValueLength)}…`
    : text;
  return plainValue.test(short) ? short : JSON.stringify(short);
}

/** Formats fields as `key=value` pairs; secrets are redacted. */
export function formatFields(fields: Fields): string {
  return Object.entries(fields)
    .filter((entry): entry is [string, FieldValue] => entry[1] !== undefined)
    .map(([name, value]) => {
      const key = name.replace(/[^A-Za-z0-9_]/g, "_");
      return `${key}=${formatValue(redactField(name, value))}`;
    })
    .join(" ");
}
