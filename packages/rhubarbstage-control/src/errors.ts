/**
 * Errors of the clients of the control group.
 *
 * @module
 */

import { type Revision, RhubarbstageError } from "rhubarbstage";

/** Thrown when an edit expects another revision than that of the tree. */
export class RevisionConflictError extends RhubarbstageError {
  /** Revision of the tree when the edit was rejected. */
  readonly currentRevision: Revision;

  constructor(currentRevision: Revision) {
    super("revision_conflict", {
      message: `The tree has revision ${currentRevision}, not the expected one`,
    });
    this.currentRevision = currentRevision;
  }
}

/** Reports whether a call may succeed on a retry. */
export function isNoQuorum(error: unknown): boolean {
  return error instanceof RhubarbstageError && error.kind === "no_quorum";
}
