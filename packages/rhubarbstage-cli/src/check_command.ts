/**
 * `rhubarbstage check`.
 *
 * @module
 */

import { access, constants } from "node:fs/promises";
import {
  formatProblem,
  loadProcessSettings,
  loadTokens,
  loadTree,
  type ProcessSettings,
  SettingsError,
} from "@rhubarbstage/settings";
import { exitCodes } from "./constants.ts";
import type { CommandContext } from "./context.ts";
import { UsageError } from "./errors.ts";

/** Problems found in one file; empty if it is valid. */
interface FileCheckResult {
  readonly file: string;
  readonly kind: "settings" | "tree";
  readonly problems: readonly string[];
}

async function findProblems(
  run: () => Promise<unknown>,
): Promise<readonly string[]> {
  try {
    await run();
    return [];
  } catch (error) {
    if (error instanceof SettingsError) {
      return error.problems.map(formatProblem);
    }
    return [(error as Error).message];
  }
}

/** Checks that the token and TLS files of the settings are readable. */
async function checkReferencedFiles(settings: ProcessSettings): Promise<void> {
  const { tokenFiles, tls } = settings;
  for (const file of Object.values(tokenFiles)) await loadTokens(file);
  for (const file of Object.values(tls ?? {})) {
    await access(file, constants.R_OK);
  }
}

/** Validates settings and tree files without a running host. */
export async function check(
  { options, output }: CommandContext,
): Promise<number> {
  const settings = options.list("settings");
  const trees = options.list("tree");
  if (settings.length + trees.length === 0) {
    throw new UsageError("--settings or --tree is missing");
  }
  const results: FileCheckResult[] = [];
  for (const file of settings) {
    const problems = await findProblems(async () => {
      const loaded = await loadProcessSettings(file);
      if (options.flag("files")) await checkReferencedFiles(loaded);
    });
    results.push({ file, kind: "settings", problems });
  }
  for (const file of trees) {
    const problems = await findProblems(() => loadTree(file));
    results.push({ file, kind: "tree", problems });
  }
  if (options.flag("json")) {
    output.json({ files: results });
  } else {
    for (const { file, problems } of results) {
      if (problems.length === 0) {
        output.line(`${file}: ${output.style("valid", "good")}`);
      }
      for (const problem of problems) output.line(output.style(problem, "bad"));
    }
  }
  const isValid = results.every(({ problems }) => problems.length === 0);
  return isValid ? exitCodes.ok : exitCodes.invalid;
}
