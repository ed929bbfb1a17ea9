/**
 * What commands work with.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { EditId } from "rhubarbstage";
import { RhubarbstageError } from "rhubarbstage";
import { NoAnswerError, UsageError } from "./errors.ts";
import { type KeptEdit, KeptEdits, keptEditsFolder } from "./kept_edits.ts";
import { OperatorClient, readClientOptions } from "./operator_client.ts";
import type { Options } from "./options.ts";
import { Output, type OutputOptions } from "./output.ts";

/** The surroundings of the process. */
export type Environment = OutputOptions;

/** One run of a command. */
export interface Context {
  readonly options: Options;
  readonly output: Output;
  readonly env: Environment["env"];
}

/** Runs an action with a client of the operator interface. */
export async function withClient<Result>(
  context: Context,
  run: (client: OperatorClient) => Promise<Result>,
): Promise<Result> {
  const client = new OperatorClient(
    await readClientOptions(context.options, context.env),
  );
  try {
    return await run(client);
  } finally {
    await client.close();
  }
}

/** A change before it has an edit id. */
export interface Change {
  /** Command that makes the change; a resend has to use the same. */
  readonly command: string;
  readonly make: (
    editId: EditId,
  ) => EditContent | Promise<EditContent>;
}

/** What a change sends beside its edit id. */
export type EditContent = Pick<KeptEdit, "method" | "path" | "body">;

function isAnswered(error: unknown): boolean {
  return error instanceof RhubarbstageError &&
    (error.outcome === "not_run" || error.kind === "revision_conflict");
}

async function findOrMakeEdit(
  kept: KeptEdits,
  options: { readonly change: Change; readonly editId: EditId | undefined },
): Promise<KeptEdit> {
  const { change, editId = randomUUID() as EditId } = options;
  const { command, make } = change;
  const earlier = await kept.find(editId);
  if (earlier === undefined) {
    return { command, editId, ...await make(editId) };
  }
  if (earlier.command === command) return earlier;
  throw new UsageError(`Edit ${editId} belongs to "${earlier.command}"`);
}

/**
 * Sends a change that is idempotent by its edit id. The request is kept until
 * it is answered; `--edit-id` with the id of a kept one sends it again as it
 * was.
 */
export async function sendEdit<Answer>(
  context: Context,
  client: OperatorClient,
  change: Change,
): Promise<Answer> {
  const kept = new KeptEdits(keptEditsFolder(context.env));
  const named = context.options.text("edit-id") as EditId | undefined;
  const edit = await findOrMakeEdit(kept, { change, editId: named });
  const { editId } = edit;
  await kept.save(edit);
  context.output.note(`edit id ${editId}`);
  try {
    const answer = await client.send<Answer>(edit);
    await kept.remove(editId);
    return answer;
  } catch (error) {
    const isUnsent = error instanceof NoAnswerError && !error.mayHaveRun;
    if (isAnswered(error)) {
      await kept.remove(editId);
    } else {
      const state = isUnsent ? "was not sent" : "may have taken effect";
      context.output.note(
        `The edit ${state}; send it again with --edit-id ${editId}`,
      );
    }
    throw error;
  }
}
