/**
 * Errors of the command and their exit codes.
 *
 * @module
 */

import { RhubarbstageError } from "rhubarbstage";
import { exitCodes } from "./constants.ts";

/** Invalid command line: wrong arguments or option values. */
export class UsageError extends Error {
  override readonly name = "UsageError";
}

/** No host returned a usable answer. */
export class NoAnswerError extends Error {
  override readonly name = "NoAnswerError";
  /** Whether a change was sent whose outcome is unknown. */
  readonly mayHaveRun: boolean;

  constructor(message: string, options: { mayHaveRun: boolean }) {
    super(message);
    this.mayHaveRun = options.mayHaveRun;
  }
}

/** Returns whether an error comes from accessing a file. */
function isFileError(thrown: unknown): boolean {
  return typeof thrown === "object" && thrown !== null &&
    "syscall" in thrown && "path" in thrown;
}

/** Maps an error that a command threw to its exit code. */
export function exitCodeOf(thrown: unknown): number {
  if (thrown instanceof UsageError) return exitCodes.usage;
  if (thrown instanceof NoAnswerError) return exitCodes.noAnswer;
  if (isFileError(thrown)) return exitCodes.usage;
  if (!(thrown instanceof RhubarbstageError)) return exitCodes.internal;
  switch (thrown.kind) {
    case "invalid_request":
      return exitCodes.invalid;
    case "revision_conflict":
      return exitCodes.conflict;
    case "unauthenticated":
    case "forbidden":
      return exitCodes.unauthenticated;
    case "internal":
      return exitCodes.internal;
    default:
      return thrown.outcome === "not_run"
        ? exitCodes.refused
        : exitCodes.noAnswer;
  }
}
