/**
 * Edits of the tree and drains, as the control state machine applies them.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Revision } from "rhubarbstage";
import { setBounded } from "./bounded.ts";
import {
  editByteLimit,
  historyByteLimit,
  historyLimit,
  rememberedDrainLimit,
  rememberedEditLimit,
} from "./constants.ts";
import type { ControlState } from "./control_state.ts";
import { applyOperations, TreeOperationError } from "./tree.ts";
import type {
  ControlCommand,
  Edit,
  EditResult,
  HistoryEntry,
  Tree,
} from "./types.ts";

type EditCommand = Extract<ControlCommand, { type: "edit" }>;
type DrainCommand = Extract<ControlCommand, { type: "set_drain" }>;

/** Returns a SHA-256 of an edit's content, to detect a reused edit id. */
export function digestOfEdit(edit: Edit): string {
  const content = JSON.stringify([edit.expectedRevision, edit.operations]);
  return createHash("sha256").update(content).digest("hex");
}

/** Returns the first answer to the edit, if it is remembered. */
export function rememberedResult(
  state: ControlState,
  edit: Edit,
): EditResult | undefined {
  const remembered = state.edits.get(edit.editId);
  if (remembered === undefined) return undefined;
  if (remembered.digest === digestOfEdit(edit)) return remembered.result;
  return { type: "edit_id_reused" };
}

/** Applies an edit by compare-and-set on the revision, once for each id. */
export function applyEdit(
  state: ControlState,
  command: EditCommand,
): EditResult {
  const { edit } = command;
  const first = rememberedResult(state, edit);
  if (first !== undefined) return first;
  const result = applyNewEdit(state, command);
  const remembered = { digest: digestOfEdit(edit), result };
  setBounded(state.edits, [edit.editId, remembered], rememberedEditLimit);
  return result;
}

function applyNewEdit(state: ControlState, command: EditCommand): EditResult {
  const { edit } = command;
  if (edit.expectedRevision !== state.revision) {
    return { type: "conflict", revision: state.revision };
  }
  const outcome = treeAfterEdit(state.tree, edit);
  if ("message" in outcome) {
    return { type: "invalid", message: outcome.message };
  }
  state.tree = outcome.tree;
  state.revision = (state.revision + 1) as Revision;
  addToHistory(state, {
    revision: state.revision,
    editId: edit.editId,
    author: edit.author,
    at: command.at,
    operations: edit.operations,
  });
  return { type: "accepted", revision: state.revision };
}

/** Returns the tree after an edit, or why the edit is invalid. */
export function treeAfterEdit(
  tree: Tree,
  edit: Edit,
): { readonly tree: Tree } | { readonly message: string } {
  if (jsonLength(edit.operations) > editByteLimit) {
    return { message: `An edit may have at most ${editByteLimit} bytes` };
  }
  try {
    return { tree: applyOperations(tree, edit.operations) };
  } catch (error) {
    if (error instanceof TreeOperationError) return { message: error.message };
    throw error;
  }
}

function jsonLength(value: unknown): number {
  return JSON.stringify(value).length;
}

function addToHistory(state: ControlState, entry: HistoryEntry): void {
  state.history.push(entry);
  state.historyBytes += jsonLength(entry.operations);
  while (
    state.history.length > historyLimit || state.historyBytes > historyByteLimit
  ) {
    const dropped = state.history.shift() as HistoryEntry;
    state.historyBytes -= jsonLength(dropped.operations);
  }
}

/** Sets or lifts a drain, once for each command id. */
export function applyDrain(
  state: ControlState,
  command: DrainCommand,
): boolean {
  const first = state.drainCommands.get(command.commandId);
  if (first !== undefined) return first;
  const { backendServer, author, at, drained } = command;
  state.drainVersion += 1;
  if (drained) state.drains.set(backendServer, { backendServer, author, at });
  else state.drains.delete(backendServer);
  setBounded(
    state.drainCommands,
    [command.commandId, drained],
    rememberedDrainLimit,
  );
  return drained;
}
