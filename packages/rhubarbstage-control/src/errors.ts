/**
 * Errors of the clients of the control group.
 *
 * @module
 */

import { type Revision, RhubarbstageError } from "rhubarbstage";

/** Thrown when the expected revision of an edit is not the tree's revision. */
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

/** Reports whether an error is `no_quorum` and thus retryable. */
export function isNoQuorum(error: unknown): boolean {
  return error instanceof RhubarbstageError && error.kind === "no_quorum";
}
