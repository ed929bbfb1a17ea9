/**
 * File operations that are durable when they return.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { open, readFile, rename, rm } from "node:fs/promises";
import { basename, dirname } from "node:path";
import { temporarySuffix } from "./constants.ts";
import { CorruptionError } from "./errors.ts";
import { decodeRecords, encodeRecord } from "./records.ts";

/** Syncs a folder to make new and renamed files in it durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/**
 * Replaces a file atomically: temporary file, sync, rename, directory sync. A
 * crash leaves either the old or the new content.
 */
export async function replaceFile(
  file: string,
  chunks: readonly Buffer[],
): Promise<void> {
  const temporary = file + temporarySuffix;
  const handle = await open(temporary, "w");
  try {
    for (const chunk of chunks) await handle.writeFile(chunk);
    await handle.sync();
  } catch (thrown) {
    // An incomplete file would keep space from a full disk.
    await rm(temporary, { force: true });
    throw thrown;
  } finally {
    await handle.close();
  }
  await rename(temporary, file);
  await syncFolder(dirname(file));
}

/** Reads a file; returns undefined when it does not exist. */
export async function readIfExists(file: string): Promise<Buffer | undefined> {
  try {
    return await readFile(file);
  } catch (thrown) {
    if ((thrown as { code?: string }).code === "ENOENT") return undefined;
    throw thrown;
  }
}

/** Replaces a file atomically by one record. */
export function writeRecordFile(file: string, value: unknown): Promise<void> {
  return replaceFile(file, [encodeRecord(value)]);
}

/**
 * Reads a file of {@linkcode writeRecordFile}, or undefined if there is none.
 * Such a file is never torn, so any damage throws `CorruptionError`.
 */
export async function readRecordFile(file: string): Promise<unknown> {
  const bytes = await readIfExists(file);
  if (bytes === undefined) return undefined;
  const { values, completeBytes } = decodeRecords(basename(file), bytes);
  if (values.length !== 1 || completeBytes !== bytes.length) {
    throw new CorruptionError(basename(file), {
      offset: completeBytes,
      detail: "the file is incomplete",
    });
  }
  return values[0];
}
