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

/** The verdict on one file. */
interface CheckedFile {
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

/** Checks that a host can read the files that its settings name. */
async function checkFiles(settings: ProcessSettings): Promise<void> {
  const { tokenFiles, tls } = settings;
  for (const file of Object.values(tokenFiles)) await loadTokens(file);
  for (const file of Object.values(tls ?? {})) {
    await access(file, constants.R_OK);
  }
}

/** Checks files without a running host. */
export async function check(
  { options, output }: CommandContext,
): Promise<number> {
  const settings = options.list("settings");
  const trees = options.list("tree");
  if (settings.length + trees.length === 0) {
    throw new UsageError("--settings or --tree is missing");
  }
  const checked: CheckedFile[] = [];
  for (const file of settings) {
    const problems = await findProblems(async () => {
      const loaded = await loadProcessSettings(file);
      if (options.flag("files")) await checkFiles(loaded);
    });
    checked.push({ file, kind: "settings", problems });
  }
  for (const file of trees) {
    const problems = await findProblems(() => loadTree(file));
    checked.push({ file, kind: "tree", problems });
  }
  if (options.flag("json")) {
    output.json({ files: checked });
  } else {
    for (const { file, problems } of checked) {
      if (problems.length === 0) {
        output.line(`${file}: ${output.style("valid", "good")}`);
      }
      for (const problem of problems) output.line(output.style(problem, "bad"));
    }
  }
  const isValid = checked.every(({ problems }) => problems.length === 0);
  return isValid ? exitCodes.ok : exitCodes.invalid;
}
