/**
 * Errors in settings, with the location, the value and what is allowed.
 *
 * @module
 */

import { RhubarbstageError } from "rhubarbstage";

/** One fault in a settings file, in a tree or in an edit. */
export interface SettingsProblem {
  /** File as it was named by the caller; absent for edits. */
  readonly file?: string;
  /** Line in the file, from 1. */
  readonly line?: number;
  /** Path of the faulty setting, segments joined by `/`. */
  readonly path: string;
  /**
   * Short JSON (of maps only keys), `[redacted]` if possibly secret, or a YAML
   * error code; absent for a missing key.
   */
  readonly value?: string;
  /** What is allowed at the path. */
  readonly allowed: string;
  /** Nearest allowed name, when one is close. */
  readonly nearest?: string;
}

/** Formats a problem as one line. */
export function formatProblem(problem: SettingsProblem): string {
  const location = [problem.file, problem.line].filter((part) =>
    part !== undefined
  );
  const value = problem.value === undefined
    ? "is missing"
    : `has the value ${problem.value}`;
  const hint = problem.nearest === undefined
    ? ""
    : `; did you mean ${JSON.stringify(problem.nearest)}?`;
  return [
    ...location,
    ` ${problem.path || "/"} ${value}; allowed: ${problem.allowed}${hint}`,
  ].join(":").trimStart();
}

/** Thrown when settings, a tree or an edit break the schema. */
export class SettingsError extends RhubarbstageError {
  /** Problems found by the first check that failed, in its order. */
  readonly problems: readonly SettingsProblem[];

  constructor(problems: readonly SettingsProblem[]) {
    super("invalid_request", {
      message: problems.map(formatProblem).join("\n"),
    });
    this.name = "SettingsError";
    this.problems = problems;
  }
}
