/**
 * `rhubarbstage tree`: reads and changes the settings tree.
 *
 * @module
 */

import {
  applyOperations,
  diffTrees,
  type EditAnswer,
  type EditRequest,
  type EffectiveAnswer,
  formatYaml,
  type HistoryAnswer,
  loadTree,
  operatorPaths,
  parseYamlValue,
  toOperations,
  type TreeAnswer,
  type TreeDocument,
  type TreeOperation,
  valueAtPath,
} from "@rhubarbstage/settings";
import { createTwoFilesPatch } from "diff";
import { type EditId, type Revision, RhubarbstageError } from "rhubarbstage";
import { type CommandContext, sendEdit, withClient } from "./context.ts";
import { UsageError } from "./errors.ts";
import type { OperatorClient } from "./operator_client.ts";
import type { ParsedOptions } from "./options.ts";
import type { Output } from "./output.ts";

const effectivePathUsage =
  "--effective needs region/service/customer, optionally followed by /kind";

async function showEffective(
  context: CommandContext,
  path: string,
): Promise<void> {
  const { options, output } = context;
  const [region, service, customer, kind, ...rest] = path.split("/");
  if (!region || !service || !customer || rest.length > 0) {
    throw new UsageError(`${effectivePathUsage}, not "${path}"`);
  }
  const query = { region, service, customer, kind: kind ?? "default" };
  const answer = await withClient(
    context,
    (client) => client.get<EffectiveAnswer>(operatorPaths.effective, query),
  );
  if (options.flag("json")) return output.json(answer);
  output.table(
    ["setting", "value", "from"],
    answer.settings.map(({ name, value, from }) => [name, String(value), from]),
  );
}

/** Prints the tree in force, a part of it, or effective settings. */
export async function getTree(context: CommandContext): Promise<void> {
  const { options, output } = context;
  const effective = options.text("effective");
  if (effective !== undefined) return await showEffective(context, effective);
  const answer = await withClient(
    context,
    (client) => client.get<TreeAnswer>(operatorPaths.tree),
  );
  const path = options.text("path") ?? "";
  const value = valueAtPath(answer.tree, path);
  if (value === undefined) {
    throw new RhubarbstageError("not_found", {
      message: `The tree in force has no value at path "${path}"`,
    });
  }
  if (options.flag("json")) {
    return output.json({ revision: answer.revision, path, value });
  }
  output.line(output.style(`# revision ${answer.revision}`, "muted"));
  output.line(formatYaml(value).trimEnd());
}

function printDifference(
  output: Output,
  left: { readonly name: string; readonly tree: TreeDocument },
  right: { readonly name: string; readonly tree: TreeDocument },
): void {
  const patch = createTwoFilesPatch(
    left.name,
    right.name,
    formatYaml(left.tree),
    formatYaml(right.tree),
    undefined,
    undefined,
    { context: 3 },
  );
  for (const line of patch.trimEnd().split("\n").slice(1)) {
    const textStyle = line.startsWith("+")
      ? "added"
      : line.startsWith("-")
      ? "removed"
      : undefined;
    output.line(textStyle === undefined ? line : output.style(line, textStyle));
  }
}

/** Prints how a file differs from the tree in force or `--against`. */
export async function diffTree(
  context: CommandContext,
  file: string,
): Promise<void> {
  const { options, output } = context;
  const tree = await loadTree(file);
  const against = options.text("against");
  const current = against === undefined
    ? await withClient(
      context,
      (client) => client.get<TreeAnswer>(operatorPaths.tree),
    )
    : { tree: await loadTree(against), revision: undefined };
  const differences = diffTrees(current.tree, tree);
  if (options.flag("json")) {
    const { revision } = current;
    return output.json({ revision, differences });
  }
  if (differences.length === 0) return output.line("no differences");
  const name = against ?? `revision ${current.revision}`;
  printDifference(output, { name, tree: current.tree }, { name: file, tree });
}

/** Parses `--set PATH=VALUE` and `--remove PATH`. */
function readOperations(options: ParsedOptions): TreeOperation[] {
  const sets = options.list("set").map((text) => {
    const at = text.indexOf("=");
    if (at < 0) throw new UsageError(`--set needs PATH=VALUE, not "${text}"`);
    return { path: text.slice(0, at), set: parseYamlValue(text.slice(at + 1)) };
  });
  const removals = options.list("remove")
    .map((path) => ({ path, remove: true as const }));
  return [...sets, ...removals];
}

async function makeOperations(
  options: ParsedOptions,
  change: { readonly file: string | undefined; readonly tree: TreeDocument },
): Promise<TreeOperation[]> {
  const operations = readOperations(options);
  if (change.file === undefined) {
    if (operations.length > 0) return operations;
    throw new UsageError("tree apply needs a file, --set or --remove");
  }
  if (operations.length > 0) {
    throw new UsageError("A file cannot be combined with --set or --remove");
  }
  return toOperations(diffTrees(change.tree, await loadTree(change.file)));
}

/** Thrown when the file equals the tree in force. */
class NoChangesError extends Error {}

async function makeEdit(
  context: CommandContext,
  client: OperatorClient,
  change: { readonly file: string | undefined; readonly editId: EditId },
): Promise<EditRequest & Record<string, unknown>> {
  const { options, output } = context;
  const { revision, tree } = await client.get<TreeAnswer>(operatorPaths.tree);
  const expected = options.integer("expected-revision") as Revision | undefined;
  const operations = await makeOperations(options, { ...change, tree });
  if (operations.length === 0) throw new NoChangesError();
  const result = applyOperations(tree, operations);
  if (!options.flag("json")) {
    printDifference(
      output,
      { name: `revision ${revision}`, tree },
      { name: change.file ?? "edit", tree: result },
    );
  }
  return {
    edit_id: change.editId,
    expected_revision: expected ?? revision,
    operations,
  };
}

/** Changes the tree to that of a file, or by `--set` and `--remove`. */
export async function applyTree(
  context: CommandContext,
  file: string | undefined,
): Promise<void> {
  const { options, output } = context;
  const isJson = options.flag("json");
  try {
    const answer = await withClient(context, async (client) => {
      if (options.flag("dry-run")) {
        const editId = "dry-run" as EditId;
        return await makeEdit(context, client, { file, editId });
      }
      return await sendEdit<EditAnswer>(context, client, {
        path: operatorPaths.edits,
        makeBody: (editId) => makeEdit(context, client, { file, editId }),
      });
    });
    if (isJson) return output.json(answer);
    if (!("revision" in answer)) return output.line("not sent (dry run)");
    const replayed = answer.replayed ? " (an earlier send took effect)" : "";
    output.line(`revision ${answer.revision}${replayed}`);
  } catch (error) {
    if (!(error instanceof NoChangesError)) throw error;
    if (isJson) return output.json({ changed: false });
    output.line("no differences");
  }
}

/** Length at which `tree history` truncates an operation, in characters. */
const maxOperationLength = 120;

function formatOperation(operation: TreeOperation): string {
  const path = operation.path || "/";
  const text = "set" in operation
    ? `${path}=${JSON.stringify(operation.set)}`
    : `-${path}`;
  if (text.length <= maxOperationLength) return text;
  return `${text.slice(0, maxOperationLength)}…`;
}

/** Prints accepted changes, newest first. */
export async function showHistory(context: CommandContext): Promise<void> {
  const { options, output } = context;
  const query = { limit: options.integer("limit") };
  const answer = await withClient(
    context,
    (client) => client.get<HistoryAnswer>(operatorPaths.history, query),
  );
  if (options.flag("json")) return output.json(answer);
  output.table(
    ["revision", "time", "operator", "edit id", "operations"],
    answer.entries.map((entry) => [
      String(entry.revision),
      new Date(entry.at).toISOString(),
      entry.operator || "-",
      entry.edit_id,
      entry.operations.map(formatOperation).join("; "),
    ]),
  );
}
