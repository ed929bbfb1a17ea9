/**
 * Operations on the settings tree. Trees are never changed in place, so that
 * answers and snapshots may share them.
 *
 * @module
 */

import { pathDepthLimit } from "./constants.ts";
import type { Tree, TreeOperation, TreePath, TreeValue } from "./types.ts";

/** Thrown for an operation that cannot be applied to the tree. */
export class TreeOperationError extends Error {
  constructor(message: string) {
    super(message);
    this.name = "TreeOperationError";
  }
}

/** Reports whether a value is a branch of a tree. */
export function isBranch(value: TreeValue | undefined): value is Tree {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Returns the tree after the operations, applied in order; the given tree stays
 * unchanged. Throws {@linkcode TreeOperationError}.
 */
export function applyOperations(
  tree: Tree,
  operations: readonly TreeOperation[],
): Tree {
  return operations.reduce(applyOperation, tree);
}

function applyOperation(tree: Tree, operation: TreeOperation): Tree {
  checkPath(operation.path);
  if (operation.path.length > 0) return changeBranch(tree, operation, 0);
  if ("remove" in operation || !isBranch(operation.set)) {
    throw new TreeOperationError("The root of the tree must stay a branch");
  }
  return operation.set;
}

function checkPath(path: TreePath): void {
  if (path.length > pathDepthLimit) {
    throw new TreeOperationError(
      `A path has ${path.length} names; at most ${pathDepthLimit} are allowed`,
    );
  }
  if (path.includes("__proto__")) {
    throw new TreeOperationError('The name "__proto__" is not allowed');
  }
}

function changeBranch(
  branch: Tree,
  operation: TreeOperation,
  depth: number,
): Tree {
  const { path } = operation;
  const name = path[depth] as string;
  const known = Object.hasOwn(branch, name);
  if (depth === path.length - 1) {
    if ("set" in operation) return { ...branch, [name]: operation.set };
    if (!known) throw missing(path);
    const { [name]: _removed, ...rest } = branch;
    return rest;
  }
  if (!known && "remove" in operation) throw missing(path);
  const child = known ? branch[name] : {};
  if (!isBranch(child)) {
    const prefix = path.slice(0, depth + 1).join(" > ");
    throw new TreeOperationError(`"${prefix}" is a value, not a branch`);
  }
  return { ...branch, [name]: changeBranch(child, operation, depth + 1) };
}

function missing(path: TreePath): TreeOperationError {
  return new TreeOperationError(`"${path.join(" > ")}" does not exist`);
}
