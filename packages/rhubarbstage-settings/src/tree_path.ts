/**
 * Paths of branches and settings in the tree.
 *
 * @module
 */

import { z } from "zod";
import { branchNameSchema, treeLevels } from "./tree_schema.ts";
import { nearestName } from "./validation.ts";

/** Splits a path such as `regions/crete/services/intake/priority`. */
export function splitPath(path: string): string[] {
  return path === "" ? [] : path.split("/");
}

/** Result of looking up a path in the schema of the tree. */
export type PathTarget =
  /** A branch, a map of branches or a setting, with the schema of its value. */
  | { readonly found: true; readonly schema: z.ZodType }
  /** A segment that the tree cannot have. */
  | {
    readonly found: false;
    /** Index of the faulty segment. */
    readonly index: number;
    readonly allowed: string;
    readonly nearest?: string;
  };

function notFound(
  index: number,
  allowed: string,
  nearest?: string,
): PathTarget {
  return {
    found: false,
    index,
    allowed,
    ...(nearest === undefined ? {} : { nearest }),
  };
}

/** Finds the schema of the value at a path. */
export function findTarget(segments: readonly string[]): PathTarget {
  let index = 0;
  for (const level of treeLevels) {
    const key = segments[index];
    if (key === undefined) return { found: true, schema: level.schema };
    const names = Object.keys(level.schema.shape);
    const schema = level.schema.shape[key] as z.ZodOptional | undefined;
    if (!names.includes(key) || schema === undefined) {
      const allowed = `on a ${level.label}, one of the keys ${
        names.join(", ")
      }`;
      return notFound(index, allowed, nearestName(key, names));
    }
    const isMap = key === level.childrenKey;
    const rest = segments.slice(index + 1);
    if (rest.length === 0) {
      return { found: true, schema: schema.unwrap() as z.ZodType };
    }
    if (!isMap) return notFound(index + 1, "no further segment");
    const name = branchNameSchema.safeParse(rest[0]);
    if (!name.success) {
      return notFound(index + 1, name.error.issues[0]?.message ?? "a name");
    }
    index += 2;
  }
  return notFound(index, "no further segment");
}
