/**
 * Documents with versions that their publishers choose.
 *
 * @module
 */

import type { ControlState } from "./control_state.ts";
import type {
  DocumentAnswer,
  DocumentRequest,
  VersionedDocument,
} from "./types.ts";

/**
 * Stores a document if its version is higher than the one in force; otherwise
 * nothing changes, so that a resent or reordered version is harmless. Returns
 * the version in force.
 */
export function applyPublication(
  state: ControlState,
  document: VersionedDocument,
): number {
  const known = state.documents.get(document.name);
  if (known !== undefined && known.version >= document.version) {
    return known.version;
  }
  state.documents.set(document.name, document);
  return document.version;
}

/** Returns the document in force, or only its version if the caller has it. */
export function readDocument(
  state: ControlState,
  request: DocumentRequest,
): DocumentAnswer {
  const document = state.documents.get(request.name);
  if (document === undefined) return {};
  const { version } = document;
  const isKnown = request.version !== undefined && request.version >= version;
  return isKnown ? { version } : { version, document };
}
