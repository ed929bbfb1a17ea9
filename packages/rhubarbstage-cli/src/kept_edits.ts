/**
 * Edits that were sent and not answered, kept so that they can be sent again
 * under the same edit id.
 *
 * @module
 */

import { mkdir, readFile, rename, rm, writeFile } from "node:fs/promises";
import { homedir } from "node:os";
import { join } from "node:path";
import type { EditId } from "rhubarbstage";
import { UsageError } from "./errors.ts";

/** A request to the operator interface that changes something. */
export interface PendingEdit {
  readonly path: string;
  readonly body:
    & { readonly edit_id: EditId }
    & Readonly<
      Record<string, unknown>
    >;
}

/** Folder of kept edits. */
export function pendingEditsFolder(
  env: Readonly<Record<string, string | undefined>>,
): string {
  if (env.RHUBARBSTAGE_STATE_FOLDER) return env.RHUBARBSTAGE_STATE_FOLDER;
  const state = env.XDG_STATE_HOME || join(homedir(), ".local", "state");
  return join(state, "rhubarbstage");
}

/** The edits that a folder keeps. */
export class PendingEditStore {
  readonly #folder: string;

  constructor(folder: string) {
    this.#folder = folder;
  }

  /** Keeps an edit before it is sent for the first time. */
  async save(edit: PendingEdit): Promise<void> {
    await mkdir(this.#folder, { recursive: true, mode: 0o700 });
    const file = this.#fileOf(edit.body.edit_id);
    const temporary = `${file}.${process.pid}`;
    await writeFile(temporary, JSON.stringify(edit), { mode: 0o600 });
    await rename(temporary, file);
  }

  /** Finds a kept edit. */
  async find(editId: EditId): Promise<PendingEdit | undefined> {
    try {
      return JSON.parse(await readFile(this.#fileOf(editId), "utf8"));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
      throw error;
    }
  }

  /**
   * Forgets an edit after its answer. A file that stays does no harm, because a
   * resend of it gets the first answer.
   */
  async remove(editId: EditId): Promise<void> {
    await rm(this.#fileOf(editId), { force: true }).catch(() => {});
  }

  #fileOf(editId: EditId): string {
    if (!/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(editId)) {
      throw new UsageError(
        `--edit-id needs up to 64 letters, digits, ".", "_" and "-", not "${editId}"`,
      );
    }
    return join(this.#folder, `${editId}.json`);
  }
}
