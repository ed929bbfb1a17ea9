/**
 * Errors of the command and their exit codes.
 *
 * @module
 */

import { RhubarbstageError } from "rhubarbstage";
import { exitCodes } from "./constants.ts";

/** The command was used in a wrong way. */
export class UsageError extends Error {
  override readonly name = "UsageError";
}

/** No host answered. */
export class NoAnswerError extends Error {
  override readonly name = "NoAnswerError";
  /** Whether a request was sent whose answer was lost. */
  readonly mayHaveRun: boolean;

  constructor(message: string, options: { mayHaveRun: boolean }) {
    super(message);
    this.mayHaveRun = options.mayHaveRun;
  }
}

/** Whether a file that the user named cannot be read. */
function isFileError(thrown: unknown): boolean {
  return typeof thrown === "object" && thrown !== null &&
    "syscall" in thrown && "path" in thrown;
}

/** Exit code for what a command threw. */
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
