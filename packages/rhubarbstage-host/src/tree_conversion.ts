/**
 * Conversion between the operator interface and the control state.
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

/** Operation with a path of names from one with a path of joined segments. */
export function toControlOperation(operation: TreeOperation): ControlOperation {
  const path = operation.path === "" ? [] : operation.path.split("/");
  if ("remove" in operation) return { path, remove: true };
  return { path, set: operation.set as TreeValue };
}

/** Operation with a path of joined segments. */
export function fromControlOperation(
  operation: ControlOperation,
): TreeOperation {
  const path = operation.path.join("/");
  if ("remove" in operation) return { path, remove: true };
  return { path, set: operation.set };
}

/** History entry as operators see it. */
export function toHistoryEntry(entry: ControlEntry): HistoryEntry {
  return {
    revision: entry.revision,
    edit_id: entry.editId,
    operator: entry.author,
    at: entry.at,
    operations: entry.operations.map(fromControlOperation),
  };
}

/** Problems of a whole tree, in plain sentences. */
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
