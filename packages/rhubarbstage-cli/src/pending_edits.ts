/**
 * Stores edits whose outcome is unknown, so that they can be resent under the
 * same edit id.
 *
 * @module
 */

import { mkdir, readFile, rename, rm, writeFile } from "node:fs/promises";
import { homedir } from "node:os";
import { join } from "node:path";
import type { EditId } from "rhubarbstage";
import { UsageError } from "./errors.ts";

/** A change that is sent to the operator interface. */
export interface PendingEdit {
  readonly path: string;
  readonly body:
    & { readonly edit_id: EditId }
    & Readonly<
      Record<string, unknown>
    >;
}

/** Returns the folder of pending edits. */
export function pendingEditsFolder(
  env: Readonly<Record<string, string | undefined>>,
): string {
  if (env.RHUBARBSTAGE_STATE_FOLDER) return env.RHUBARBSTAGE_STATE_FOLDER;
  const state = env.XDG_STATE_HOME || join(homedir(), ".local", "state");
  return join(state, "rhubarbstage");
}

/** Stores pending edits as one JSON file each. */
export class PendingEditStore {
  readonly #folder: string;

  constructor(folder: string) {
    this.#folder = folder;
  }

  /** Stores an edit; called before it is first sent. */
  async save(edit: PendingEdit): Promise<void> {
    await mkdir(this.#folder, { recursive: true, mode: 0o700 });
    const file = this.#fileOf(edit.body.edit_id);
    const temporary = `${file}.${process.pid}`;
    await writeFile(temporary, JSON.stringify(edit), { mode: 0o600 });
    await rename(temporary, file);
  }

  /** Returns a pending edit, or undefined if none is stored. */
  async find(editId: EditId): Promise<PendingEdit | undefined> {
    try {
      return JSON.parse(await readFile(this.#fileOf(editId), "utf8"));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
      throw error;
    }
  }

  /**
   * Removes an edit once its outcome is known. Failures are ignored, because
   * resending a leftover edit returns its first answer.
   */
  async remove(editId: EditId): Promise<void> {
    await rm(this.#fileOf(editId), { force: true }).catch(() => {});
  }

  #fileOf(editId: EditId): string {
    if (!/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(editId)) {
      throw new UsageError(
        `--edit-id needs a letter or digit, then up to 63 letters, digits, ".", "_" and "-", not "${editId}"`,
      );
    }
    return join(this.#folder, `${editId}.json`);
  }
}
