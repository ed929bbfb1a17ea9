/**
 * Converts the issues that the schema library reports to settings problems.
 *
 * @module
 */

import { closest, distance } from "fastest-levenshtein";
import type { z } from "zod";
import { maxQuotedValueLength } from "./constants.ts";
import type { SettingsProblem } from "./errors.ts";

/** Returns the line of the key or list item at a path. */
export type LineFinder = (
  path: readonly PropertyKey[],
) => number | undefined;

/** Origin of the data that is checked. */
export interface SettingsOrigin {
  readonly file?: string;
  /** Prefix for all paths, for example the path of an edit. */
  readonly prefix?: readonly PropertyKey[];
  readonly lineOf?: LineFinder;
}

/**
 * Names of settings whose values are not quoted, because someone may have put a
 * key or a token there in place of its hash or its file.
 */
const secretName = /(^|_)(tokens?|secret|password|keys?|key_hashes)$/;

function isSecret(path: readonly PropertyKey[]): boolean {
  return path.some((segment) => secretName.test(String(segment)));
}

/** Formats a value as JSON, shortened; of a map only the keys. */
function quoteValue(value: unknown): string | undefined {
  if (value === undefined) return undefined;
  const isMap = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  const json = isMap
    ? `{${Object.keys(value).join(", ")}}`
    : JSON.stringify(value) ?? String(value);
  if (json.length <= maxQuotedValueLength) return json;
  return `${json.slice(0, maxQuotedValueLength)}…`;
}

/** Returns the nearest of several names if it is close enough to be a typo. */
export function nearestName(
  name: string,
  names: readonly string[],
): string | undefined {
  if (names.length === 0) return undefined;
  const nearest = closest(name, names);
  const maxDistance = Math.max(2, Math.floor(name.length / 3));
  return distance(name, nearest) <= maxDistance ? nearest : undefined;
}

/** Creates a problem at a path of a source. */
export function createProblem(
  source: SettingsOrigin,
  path: readonly PropertyKey[],
  details: { value?: unknown; allowed: string; nearest?: string },
): SettingsProblem {
  const value = isSecret(path) && details.value !== undefined
    ? "[redacted]"
    : quoteValue(details.value);
  const line = source.lineOf?.(path);
  return {
    ...(source.file === undefined ? {} : { file: source.file }),
    ...(line === undefined ? {} : { line }),
    path: [...(source.prefix ?? []), ...path].map(String).join("/"),
    ...(value === undefined ? {} : { value }),
    allowed: details.allowed,
    ...(details.nearest === undefined ? {} : { nearest: details.nearest }),
  };
}

function valueAt(data: unknown, path: readonly PropertyKey[]): unknown {
  let value = data;
  for (const key of path) {
    if (typeof value !== "object" || value === null) return undefined;
    if (!Object.hasOwn(value, key)) return undefined;
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return value;
}

interface SchemaDefinition {
  readonly type: string;
  readonly innerType?: z.ZodType;
  readonly valueType?: z.ZodType;
  readonly element?: z.ZodType;
  readonly shape?: Record<string, z.ZodType>;
}

/** Returns the keys that the schema allows at a path. */
function allowedKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): readonly string[] {
  let current: z.ZodType | undefined = schema;
  for (const key of [...path, undefined]) {
    let definition = current?.def as SchemaDefinition | undefined;
    while (definition?.innerType) {
      definition = definition.innerType.def as unknown as SchemaDefinition;
    }
    if (key === undefined) return Object.keys(definition?.shape ?? {});
    current = definition?.shape?.[String(key)] ?? definition?.valueType ??
      definition?.element;
  }
  return [];
}

/** Checks data against a schema and returns all problems. */
export function findProblems(
  schema: z.ZodType,
  data: unknown,
  source: SettingsOrigin = {},
): SettingsProblem[] {
  const result = schema.safeParse(data);
  if (result.success) return [];
  return result.error.issues.flatMap((issue) => {
    if (issue.code === "unrecognized_keys") {
      const names = allowedKeys(schema, issue.path);
      return issue.keys.map((key) => {
        const path = [...issue.path, key];
        const nearest = nearestName(key, names);
        return createProblem(source, path, {
          value: valueAt(data, path),
          allowed: `one of the keys ${names.join(", ")}`,
          ...(nearest === undefined ? {} : { nearest }),
        });
      });
    }
    if (issue.code === "invalid_key") {
      return [createProblem(source, issue.path, {
        value: issue.path.at(-1),
        allowed: issue.issues[0]?.message ?? issue.message,
      })];
    }
    const value = valueAt(data, issue.path);
    return [
      createProblem(source, issue.path, { value, allowed: issue.message }),
    ];
  });
}
