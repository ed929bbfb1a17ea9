/**
 * Operations on the tree and differences between trees.
 *
 * @module
 */

import { maxOperationsPerEdit } from "./constants.ts";
import { SettingsError, type SettingsProblem } from "./errors.ts";
import { findCrossBranchProblems } from "./tree_document.ts";
import { findTarget, splitPath } from "./tree_path.ts";
import { treeLevels } from "./tree_schema.ts";
import type { TreeDifference, TreeDocument, TreeOperation } from "./types.ts";
import { createProblem, findProblems } from "./validation.ts";

type PlainMap = Readonly<Record<string, unknown>>;

function isPlainMap(value: unknown): value is PlainMap {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Returns the value at a path; undefined when there is none. */
export function valueAtPath(tree: TreeDocument, path: string): unknown {
  let value: unknown = tree;
  for (const segment of splitPath(path)) {
    if (!isPlainMap(value) || !Object.hasOwn(value, segment)) return undefined;
    value = value[segment];
  }
  return value;
}

/** Sets a value in a copy of the maps along a path; all else is shared. */
function withValue(
  map: PlainMap,
  segments: readonly string[],
  value: unknown,
): PlainMap {
  const [key, ...rest] = segments;
  if (key === undefined) return isPlainMap(value) ? value : {};
  const child = Object.hasOwn(map, key) ? map[key] : undefined;
  if (rest.length > 0) {
    const copy = withValue(isPlainMap(child) ? child : {}, rest, value);
    return { ...map, [key]: copy };
  }
  return { ...map, [key]: value };
}

/** Removes a value from a copy; maps that become empty remain. */
function withoutValue(map: PlainMap, segments: readonly string[]): PlainMap {
  const [key, ...rest] = segments;
  if (key === undefined) return {};
  if (!Object.hasOwn(map, key)) return map;
  const child = map[key];
  if (rest.length > 0) {
    if (!isPlainMap(child)) return map;
    return { ...map, [key]: withoutValue(child, rest) };
  }
  const { [key]: _removed, ...kept } = map;
  return kept;
}

/**
 * Applies operations that were checked before, in order, to a copy; the input
 * is not modified. Hosts and replicas use this for committed edits.
 */
export function applyCheckedOperations(
  tree: TreeDocument,
  operations: readonly TreeOperation[],
): TreeDocument {
  let result: PlainMap = tree as PlainMap;
  for (const operation of operations) {
    const segments = splitPath(operation.path);
    result = "set" in operation
      ? withValue(result, segments, operation.set)
      : withoutValue(result, segments);
  }
  return result as TreeDocument;
}

function findPathProblems(operation: TreeOperation): SettingsProblem[] {
  const segments = splitPath(operation.path);
  const target = findTarget(segments);
  if (!target.found) {
    return [createProblem({}, segments, {
      value: segments[target.index],
      allowed: target.allowed,
      ...(target.nearest === undefined ? {} : { nearest: target.nearest }),
    })];
  }
  if (!("set" in operation)) {
    if (segments.length > 0) return [];
    return [createProblem({}, [], {
      value: operation,
      allowed: "a removal below the root",
    })];
  }
  return findProblems(target.schema, operation.set, { prefix: segments });
}

function findShapeProblems(operations: unknown): SettingsProblem[] {
  const allowed =
    `a list of 1 to ${maxOperationsPerEdit} operations {path, set} or ` +
    `{path, remove: true}`;
  if (
    !Array.isArray(operations) || operations.length === 0 ||
    operations.length > maxOperationsPerEdit
  ) return [createProblem({}, ["operations"], { value: operations, allowed })];
  return operations.flatMap((operation: unknown, index) => {
    const valid = isPlainMap(operation) &&
      typeof operation.path === "string" &&
      Object.keys(operation).length === 2 &&
      (operation.set !== undefined || operation.remove === true);
    if (valid) return [];
    const path = ["operations", index];
    return [createProblem({}, path, { value: operation, allowed })];
  });
}

/** Finds removals of paths that the tree does not have. */
function findMissingPaths(
  tree: TreeDocument,
  operations: readonly TreeOperation[],
): SettingsProblem[] {
  let current = tree;
  return operations.flatMap((operation) => {
    const before = current;
    current = applyCheckedOperations(current, [operation]);
    if ("set" in operation) return [];
    if (valueAtPath(before, operation.path) !== undefined) return [];
    return [createProblem({}, splitPath(operation.path), {
      allowed: "a path that the tree has",
    })];
  });
}

/**
 * Checks operations and applies them in order to a copy, all or none.
 * Deterministic, so that a state machine may call it. Throws `SettingsError`
 * with all problems of the first failing check.
 */
export function applyOperations(
  tree: TreeDocument,
  operations: readonly TreeOperation[],
): TreeDocument {
  const shapeProblems = findShapeProblems(operations);
  if (shapeProblems.length > 0) throw new SettingsError(shapeProblems);
  const pathProblems = operations.flatMap(findPathProblems);
  if (pathProblems.length > 0) throw new SettingsError(pathProblems);
  const missingPaths = findMissingPaths(tree, operations);
  if (missingPaths.length > 0) throw new SettingsError(missingPaths);
  const result = applyCheckedOperations(tree, operations);
  const crossBranchProblems = findCrossBranchProblems(result);
  if (crossBranchProblems.length > 0) {
    throw new SettingsError(crossBranchProblems);
  }
  return result;
}

const childrenKeys = new Set(treeLevels.map((level) => level.childrenKey));

function isEqual(left: unknown, right: unknown): boolean {
  return left === right || JSON.stringify(left) === JSON.stringify(right);
}

function* compareMaps(
  left: PlainMap,
  right: PlainMap,
  path: readonly string[],
): Generator<TreeDifference> {
  const keys = new Set([...Object.keys(left), ...Object.keys(right)]);
  for (const key of [...keys].sort()) {
    const before = Object.hasOwn(left, key) ? left[key] : undefined;
    const after = Object.hasOwn(right, key) ? right[key] : undefined;
    if (before === after) continue;
    const childPath = [...path, key];
    const isBranch = childrenKeys.has(key) || childrenKeys.has(path.at(-1));
    if (isBranch && isPlainMap(before) && isPlainMap(after)) {
      yield* compareMaps(before, after, childPath);
    } else if (!isEqual(before, after)) {
      yield {
        path: childPath.join("/"),
        ...(before === undefined ? {} : { before }),
        ...(after === undefined ? {} : { after }),
      };
    }
  }
}

/** Lists the differences from one tree to another, sorted by path. */
export function diffTrees(
  left: TreeDocument,
  right: TreeDocument,
): TreeDifference[] {
  return [...compareMaps(left as PlainMap, right as PlainMap, [])];
}

/** Converts differences to the operations that apply them to the left tree. */
export function toOperations(
  differences: readonly TreeDifference[],
): TreeOperation[] {
  return differences.map(({ path, after }) =>
    after === undefined ? { path, remove: true } : { path, set: after }
  );
}
