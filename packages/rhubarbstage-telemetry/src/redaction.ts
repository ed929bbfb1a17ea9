/**
 * Redacts secrets in log lines and events.
 *
 * @module
 */

import type { FieldValue } from "./types.ts";

const redacted = "[redacted]";

/** Names of fields with secrets; does not match counts like `prompt_tokens`. */
const secretName =
  /(^|_)(token|secret|password|authorization|cookie|api_key|private_key)$/i;

/** Secrets inside free text, such as headers quoted in an error. */
const secretText =
  /\b(Bearer|Basic)\s+[A-Za-z0-9._~+/=-]+|\bsk-[A-Za-z0-9_-]{8,}/g;

/** Replaces secrets in one field. */
export function redactField(name: string, value: FieldValue): FieldValue {
  if (typeof value !== "string") return value;
  if (secretName.test(name)) return redacted;
  return value.replace(secretText, redacted);
}
