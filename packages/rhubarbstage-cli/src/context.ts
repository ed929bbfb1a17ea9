/**
 * What commands work with.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { EditId } from "rhubarbstage";
import { RhubarbstageError } from "rhubarbstage";
import { NoAnswerError, UsageError } from "./errors.ts";
import {
  type PendingEdit,
  pendingEditsFolder,
  PendingEditStore,
} from "./kept_edits.ts";
import {
  OperatorClient,
  type OperatorClientOptions,
  readClientOptions,
} from "./operator_client.ts";
import type { ParsedOptions } from "./options.ts";
import { Output, type OutputOptions } from "./output.ts";

/** The surroundings of the process. */
export type Environment = OutputOptions;

/** One run of a command. */
export interface CommandContext {
  readonly options: ParsedOptions;
  readonly output: Output;
  readonly env: Environment["env"];
}

/** Runs an action with a client of the operator interface. */
export async function withClient<Result>(
  context: CommandContext,
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
export type RequestBodyFactory = (
  editId: EditId,
) => PendingEdit["body"] | Promise<PendingEdit["body"]>;

function isAnswered(error: unknown): boolean {
  return error instanceof RhubarbstageError &&
    (error.outcome === "not_run" || error.kind === "revision_conflict");
}

async function findOrMakeEdit(
  kept: PendingEditStore,
  change: { path: string; editId?: EditId; makeBody: RequestBodyFactory },
): Promise<PendingEdit> {
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
  context: CommandContext,
  client: OperatorClient,
  change: { readonly path: string; readonly makeBody: RequestBodyFactory },
): Promise<Answer> {
  const kept = new PendingEditStore(pendingEditsFolder(context.env));
  const editId = context.options.text("edit-id") as EditId | undefined;
  const edit = await findOrMakeEdit(kept, {
    ...change,
    ...(editId === undefined ? {} : { editId }),
  });
  const id = edit.body.edit_id;
  await kept.save(edit);
  context.output.diagnostic(`edit id ${id}`);
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
      context.output.diagnostic(
        `The edit ${state}; send it again with --edit-id ${id}`,
      );
    }
    throw error;
  }
}
