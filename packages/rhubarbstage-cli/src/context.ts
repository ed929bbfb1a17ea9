/**
 * Context of a command run and helpers to send requests.
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
} from "./pending_edits.ts";
import {
  OperatorClient,
  type OperatorClientOptions,
  readClientOptions,
} from "./operator_client.ts";
import type { ParsedOptions } from "./options.ts";
import { Output, type OutputOptions } from "./output.ts";

/** Output streams and environment variables of the process. */
export type Environment = OutputOptions;

/** One run of a command. */
export interface CommandContext {
  readonly options: ParsedOptions;
  readonly output: Output;
  readonly env: Environment["env"];
}

/** Runs an action with an operator client and closes the client afterwards. */
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

/** Creates the body of a change from its edit id. */
export type RequestBodyFactory = (
  editId: EditId,
) => PendingEdit["body"] | Promise<PendingEdit["body"]>;

function hasNoEffect(error: unknown): boolean {
  return error instanceof RhubarbstageError &&
    (error.outcome === "not_run" || error.kind === "revision_conflict");
}

async function findOrMakePendingEdit(
  pendingEdits: PendingEditStore,
  change: { path: string; editId?: EditId; makeBody: RequestBodyFactory },
): Promise<PendingEdit> {
  const { path, editId, makeBody } = change;
  const pending = editId === undefined
    ? undefined
    : await pendingEdits.find(editId);
  if (pending === undefined) {
    return { path, body: await makeBody(editId ?? randomUUID() as EditId) };
  }
  if (pending.path === path) return pending;
  throw new UsageError(
    `Edit ${editId} is stored for another command (${pending.path})`,
  );
}

/**
 * Sends a change that is idempotent by its edit id. The request is stored until
 * its outcome is known; `--edit-id` with a stored id resends it unchanged.
 */
export async function sendEdit<Answer>(
  context: CommandContext,
  client: OperatorClient,
  change: { readonly path: string; readonly makeBody: RequestBodyFactory },
): Promise<Answer> {
  const pendingEdits = new PendingEditStore(pendingEditsFolder(context.env));
  const editId = context.options.text("edit-id") as EditId | undefined;
  const edit = await findOrMakePendingEdit(pendingEdits, {
    ...change,
    ...(editId === undefined ? {} : { editId }),
  });
  const id = edit.body.edit_id;
  await pendingEdits.save(edit);
  context.output.diagnostic(`edit id ${id}`);
  try {
    const answer = await client.post<Answer>(edit.path, edit.body);
    await pendingEdits.remove(id);
    return answer;
  } catch (error) {
    const isNotRun = error instanceof NoAnswerError && !error.mayHaveRun;
    if (hasNoEffect(error)) {
      await pendingEdits.remove(id);
    } else {
      const state = isNotRun ? "did not take effect" : "may have taken effect";
      context.output.diagnostic(
        `The edit ${state}; send it again with --edit-id ${id}`,
      );
    }
    throw error;
  }
}
