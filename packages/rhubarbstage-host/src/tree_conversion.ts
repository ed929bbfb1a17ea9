/**
 * Conversion between types of the operator interface and of the control state.
 *
 * @module
 */

import type {
  HistoryEntry as ControlEntry,
  Tree,
  TreeOperation as ControlOperation,
  TreeValue,
} from "@rhubarbstage/control";
import {
  checkTree,
  formatProblem,
  type HistoryEntry,
  SettingsError,
  type TreeOperation,
} from "@rhubarbstage/settings";

/** Converts an operation; splits its path at slashes. */
export function toControlOperation(operation: TreeOperation): ControlOperation {
  const path = operation.path === "" ? [] : operation.path.split("/");
  if ("remove" in operation) return { path, remove: true };
  return { path, set: operation.set as TreeValue };
}

/** Converts an operation; joins its path segments with slashes. */
export function fromControlOperation(
  operation: ControlOperation,
): TreeOperation {
  const path = operation.path.join("/");
  if ("remove" in operation) return { path, remove: true };
  return { path, set: operation.set };
}

/** Converts a history entry for the operator interface. */
export function toHistoryEntry(entry: ControlEntry): HistoryEntry {
  return {
    revision: entry.revision,
    edit_id: entry.editId,
    operator: entry.author,
    at: entry.at,
    operations: entry.operations.map(fromControlOperation),
  };
}

/** Returns a settings tree's problems, one message each; empty if valid. */
export function validateTree(tree: Tree): readonly string[] {
  try {
    checkTree(tree);
    return [];
  } catch (thrown) {
    if (thrown instanceof SettingsError) {
      return thrown.problems.map(formatProblem);
    }
    throw thrown;
  }
}
