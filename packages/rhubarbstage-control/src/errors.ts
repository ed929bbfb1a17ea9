/**
 * Errors of the clients of the control group.
 *
 * @module
 */

import { type Revision, RhubarbstageError } from "rhubarbstage";

/** An edit that expected another revision than the tree has. */
export class RevisionConflictError extends RhubarbstageError {
  /** Revision of the tree when the edit was decided. */
  readonly currentRevision: Revision;

  constructor(currentRevision: Revision) {
    super("revision_conflict", {
      message: `The tree has revision ${currentRevision}, not the expected one`,
    });
    this.currentRevision = currentRevision;
  }
}

/** Whether a call may succeed when it is tried again. */
export function isNoQuorum(error: unknown): boolean {
  return error instanceof RhubarbstageError && error.kind === "no_quorum";
}
