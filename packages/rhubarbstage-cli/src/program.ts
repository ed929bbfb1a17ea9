/**
 * Defines the commands with their options and examples.
 *
 * @module
 */

import sade, { type Sade } from "sade";
import { bootstrap, repair } from "./bootstrap_command.ts";
import { check } from "./check_command.ts";
import { exitCodes, version } from "./constants.ts";
import type { CommandContext, Environment } from "./context.ts";
import { exitCodeOf, UsageError } from "./errors.ts";
import {
  changeDrain,
  endOrder,
  showBackends,
  showStatus,
} from "./fleet_commands.ts";
import { ParsedOptions } from "./options.ts";
import { Output } from "./output.ts";
import { serve } from "./serve_command.ts";
import { showTimeline } from "./timeline_command.ts";
import { applyTree, diffTree, getTree, showHistory } from "./tree_commands.ts";

/** Runs a command; resolves with its exit code, or undefined for success. */
type Action = (
  context: CommandContext,
  argument: string | undefined,
) => Promise<number | void>;

type Handler = (...values: unknown[]) => Promise<number>;

/** Options without a value. */
const flagOptions = [
  "json",
  "files",
  "dry-run",
  "host-only",
];

/** Options with a value; parsed as text, so that "007" is not a number. */
const valueOptions = [
  "settings",
  "tree",
  "hosts",
  "url",
  "token-file",
  "authority",
  "timeout",
  "edit-id",
  "path",
  "effective",
  "against",
  "set",
  "remove",
  "expected-revision",
  "limit",
  "request",
  "server",
  "revision",
  "from",
  "to",
  "file",
  "lost",
  "replacement",
  "replica",
];

function toHandler(environment: Environment, action: Action): Handler {
  return async (...values) => {
    const options = new ParsedOptions(values.at(-1) as Record<string, unknown>);
    const output = new Output(environment);
    try {
      if (options.extraArguments.length > 0) {
        throw new UsageError(
          `Unexpected argument "${options.extraArguments[0]}"`,
        );
      }
      const argument = values.length > 1 ? values[0] : undefined;
      const context = { options, output, env: environment.env };
      const text = argument === undefined ? undefined : String(argument);
      return await action(context, text) ?? exitCodes.ok;
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      environment.stderr.write(`${message}\n`);
      return exitCodeOf(error);
    }
  };
}

function addHostOptions(program: Sade): Sade {
  return program
    .option("--url", "Base URL of a host; may be repeated")
    .option("--settings", "Settings file with URL, token and authority")
    .option("--token-file", "File with the operator token")
    .option(
      "--authority",
      "PEM file with the certificate authority of the hosts",
    )
    .option("--timeout", "Timeout for one answer, in milliseconds");
}

function addEditOptions(program: Sade): Sade {
  return addHostOptions(program)
    .option("--edit-id", "Id of the edit; pass the same id to resend it")
    .option("--json", "Print JSON");
}

function addSetupCommands(
  program: Sade,
  handle: (action: Action) => Handler,
): void {
  program.command("serve", "Run a host until SIGTERM")
    .option("--settings", "Settings file of the host")
    .example("serve --settings /etc/rhubarbstage/host.yaml")
    .action(handle(serve));
  program.command("check", "Check settings and tree files without a host")
    .option("--settings", "Settings file; may be repeated")
    .option("--tree", "Tree file; may be repeated")
    .option("--files", "Also read the token and TLS files of the settings")
    .option("--json", "Print JSON")
    .example("check --settings host.yaml --tree tree.yaml")
    .action(handle(check));
  addEditOptions(
    program.command("bootstrap", "Form a new system; done once per system"),
  )
    .option("--tree", "Tree file, applied as the first edit of the empty tree")
    .option("--hosts", "All hosts with a data folder, comma-separated")
    .example("bootstrap --settings host.yaml --tree tree.yaml")
    .action(handle(bootstrap));
  addEditOptions(
    program.command("repair", "Replace the seats of a lost data folder"),
  )
    .option("--lost", "Host whose data folder is lost")
    .option("--replacement", "Host that receives the seats; defaults to --lost")
    .option("--replica", "Lost replica; defaults to the replica of --lost")
    .example("repair --settings host.yaml --lost veneto-1")
    .action(handle(repair));
}

function addTreeCommands(
  program: Sade,
  handle: (action: Action) => Handler,
): void {
  addHostOptions(program.command("tree get", "Print the tree in force"))
    .option("--path", "Print only the value at this path")
    .option("--effective", "Print settings of region/service/customer[/kind]")
    .option("--json", "Print JSON")
    .example("tree get --path regions/crete --url http://10.60.1.11:8080")
    .example("tree get --effective crete/intake/practice-heraklion/fiscal")
    .action(handle(getTree));
  addHostOptions(
    program.command(
      "tree diff <file>",
      "Compare a file with the tree in force",
    ),
  )
    .option("--against", "Compare with this file instead of the tree in force")
    .option("--json", "Print JSON")
    .example("tree diff tree.yaml --settings host.yaml")
    .action(handle((context, file) => diffTree(context, file ?? "")));
  addEditOptions(
    program.command(
      "tree apply [file]",
      "Change the tree, as a whole or by path",
    ),
  )
    .option("--set", "PATH=VALUE, the value in YAML; may be repeated")
    .option("--remove", "PATH; may be repeated")
    .option("--expected-revision", "Refuse when the tree has another revision")
    .option("--dry-run", "Show the change and do not send it")
    .example("tree apply tree.yaml --settings host.yaml")
    .example("tree apply --set regions/crete/priority=5 --settings host.yaml")
    .action(handle(applyTree));
  addHostOptions(program.command("tree history", "Print accepted changes"))
    .option("--limit", "Number of newest changes to print")
    .option("--json", "Print JSON")
    .example("tree history --limit 20 --settings host.yaml")
    .action(handle(showHistory));
}

function addFleetCommands(
  program: Sade,
  handle: (action: Action) => Handler,
): void {
  addHostOptions(program.command("status", "Print the state of the system"))
    .option("--json", "Print JSON")
    .example("status --settings host.yaml")
    .action(handle(showStatus));
  addHostOptions(program.command("backends", "Print the backend servers"))
    .option("--json", "Print JSON")
    .example("backends --settings host.yaml")
    .action(handle(showBackends));
  addEditOptions(
    program.command(
      "drain <server>",
      "Stop routing new work to a backend server",
    ),
  )
    .example("drain engine-7 --settings host.yaml")
    .action(
      handle((context, server = "") =>
        changeDrain(context, { server, drained: true })
      ),
    );
  addEditOptions(
    program.command(
      "undrain <server>",
      "Resume routing work to a backend server",
    ),
  )
    .example("undrain engine-7 --settings host.yaml")
    .action(
      handle((context, server = "") =>
        changeDrain(context, { server, drained: false })
      ),
    );
  addEditOptions(
    program.command(
      "order end <order>",
      "Declare that an order to an engine has ended",
    ),
  )
    .example("order end order-17 --settings host.yaml")
    .action(handle((context, order) => endOrder(context, order ?? "")));
  addHostOptions(
    program.command("timeline", "Print events of all hosts in causal order"),
  )
    .option("--request", "Only events of this request")
    .option("--server", "Only events of this backend server")
    .option("--revision", "Only events of this revision")
    .option("--from", "Only events since this ISO 8601 time")
    .option("--to", "Only events until this ISO 8601 time")
    .option("--limit", "Number of newest events to print")
    .option("--file", "Timeline file to read; may be repeated")
    .option("--host-only", "Do not query the other hosts")
    .option("--json", "Print JSON")
    .example("timeline --request 01J8 --settings host.yaml")
    .example("timeline --file a/timeline.jsonl --file b/timeline.jsonl")
    .action(handle(showTimeline));
}

function showVersion({ options, output }: CommandContext): Promise<void> {
  if (options.flag("json")) output.json({ version, node: process.version });
  else output.line(`rhubarbstage ${version}`);
  return Promise.resolve();
}

/**
 * Runs the command and resolves with its exit code; `args` excludes runtime and
 * program name. An unknown command or option or a missing command argument
 * exits the process with code 1.
 */
export async function runCommand(
  args: readonly string[],
  environment: Environment,
): Promise<number> {
  const handle = (action: Action) => toHandler(environment, action);
  const program = sade("rhubarbstage").version(version);
  addSetupCommands(program, handle);
  addTreeCommands(program, handle);
  addFleetCommands(program, handle);
  program.command("version", "Print the version")
    .option("--json", "Print JSON")
    .example("version")
    .action(handle(showVersion));
  const parsed = program.parse(["node", "rhubarbstage", ...args], {
    lazy: true,
    boolean: flagOptions,
    string: valueOptions,
    unknown: (option) => `Unknown option ${option}`,
  });
  // `--help` and `--version` print their text and return no handler.
  if (parsed === undefined) return exitCodes.ok;
  const handler = parsed.handler as Handler;
  return await handler(...parsed.args);
}
