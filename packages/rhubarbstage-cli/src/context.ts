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
import {
  OperatorClient,
  type OperatorClientOptions,
  readClientOptions,
} from "./operator_client.ts";
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
  defaults: Pick<OperatorClientOptions, "timeout"> = {},
): Promise<Result> {
  const client = new OperatorClient({
    ...defaults,
    ...await readClientOptions(context.options, context.env),
  });
  try {
    return await run(client);
  } finally {
    await client.close();
  }
}

/** Makes the body of a change from its edit id. */
export type BodyMaker = (
  editId: EditId,
) => KeptEdit["body"] | Promise<KeptEdit["body"]>;

function isAnswered(error: unknown): boolean {
  return error instanceof RhubarbstageError &&
    (error.outcome === "not_run" || error.kind === "revision_conflict");
}

async function findOrMakeEdit(
  kept: KeptEdits,
  change: { path: string; editId?: EditId; makeBody: BodyMaker },
): Promise<KeptEdit> {
  const { path, editId, makeBody } = change;
  const earlier = editId === undefined ? undefined : await kept.find(editId);
  if (earlier === undefined) {
    return { path, body: await makeBody(editId ?? randomUUID() as EditId) };
  }
  if (earlier.path === path) return earlier;
  throw new UsageError(
    `Edit ${editId} belongs to another command (${earlier.path})`,
  );
}

/**
 * Sends a change that is idempotent by its edit id. The request is kept until
 * it is answered; `--edit-id` with the id of a kept one sends it again as it
 * was.
 */
export async function sendEdit<Answer>(
  context: Context,
  client: OperatorClient,
  change: { readonly path: string; readonly makeBody: BodyMaker },
): Promise<Answer> {
  const kept = new KeptEdits(keptEditsFolder(context.env));
  const editId = context.options.text("edit-id") as EditId | undefined;
  const edit = await findOrMakeEdit(kept, {
    ...change,
    ...(editId === undefined ? {} : { editId }),
  });
  const id = edit.body.edit_id;
  await kept.save(edit);
  context.output.note(`edit id ${id}`);
  try {
    const answer = await client.post<Answer>(edit.path, edit.body);
    await kept.remove(id);
    return answer;
  } catch (error) {
    const isUnsent = error instanceof NoAnswerError && !error.mayHaveRun;
    if (isAnswered(error)) {
      await kept.remove(id);
    } else {
      const state = isUnsent ? "was not sent" : "may have taken effect";
      context.output.note(
        `The edit ${state}; send it again with --edit-id ${id}`,
      );
    }
    throw error;
  }
}
