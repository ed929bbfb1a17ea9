/**
 * A file of lines that is rotated at a maximum size.
 *
 * @module
 */

import { appendFile, mkdir, rename, rm, stat } from "node:fs/promises";
import { dirname } from "node:path";

/** Options of a {@linkcode RotatingFile}. */
export interface RotatingFileOptions {
  /** Size at which the file is rotated, in bytes. */
  readonly maxBytes: number;
  /** Maximum number of files, including the current one. */
  readonly maxFiles: number;
  /** Maximum lines that wait for the disk; more are dropped. */
  readonly maxPending: number;
  /**
   * Receives file system errors; a failed write may lose its lines, not later
   * ones.
   */
  readonly onError: (error: unknown) => void;
}

/** Returns the file name after a number of rotations; 0 is the current file. */
export function rotatedFileName(file: string, age: number): string {
  return age === 0 ? file : `${file}.${age}`;
}

function joinLines(lines: readonly string[]): string {
  return `${lines.join("\n")}\n`;
}

/** Appends lines in order and rotates the file when it is full. */
export class RotatingFile {
  readonly #file: string;
  readonly #options: RotatingFileOptions;
  #pending: string[] = [];
  #writing: Promise<void> | undefined;
  #size: number | undefined;
  #dropped = 0;

  constructor(file: string, options: RotatingFileOptions) {
    this.#file = file;
    this.#options = options;
  }

  /** Lines that were dropped because the disk was too slow. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Queues a line without its line end for appending. */
  write(line: string): void {
    if (this.#pending.length >= this.#options.maxPending) {
      this.#dropped += 1;
      return;
    }
    this.#pending.push(line);
    this.#writing ??= this.#writePending();
  }

  /** Resolves when all lines so far are passed to the operating system. */
  async flush(): Promise<void> {
    while (this.#writing !== undefined) await this.#writing;
  }

  async #writePending(): Promise<void> {
    // Lines of the same turn of the event loop share one write.
    await new Promise((resolve) => setImmediate(resolve));
    while (this.#pending.length > 0) {
      const lines = this.#pending;
      this.#pending = [];
      try {
        await this.#append(lines);
      } catch (error) {
        this.#options.onError(error);
      }
    }
    this.#writing = undefined;
  }

  async #append(lines: readonly string[]): Promise<void> {
    this.#size ??= await this.#open();
    let batch: string[] = [];
    for (const line of lines) {
      batch.push(line);
      this.#size += Buffer.byteLength(line) + 1;
      if (this.#size < this.#options.maxBytes) continue;
      await appendFile(this.#file, joinLines(batch));
      batch = [];
      await this.#rotate();
    }
    if (batch.length > 0) await appendFile(this.#file, joinLines(batch));
  }

  async #open(): Promise<number> {
    await mkdir(dirname(this.#file), { recursive: true });
    try {
      return (await stat(this.#file)).size;
    } catch {
      return 0;
    }
  }

  async #rotate(): Promise<void> {
    const last = this.#options.maxFiles - 1;
    await rm(rotatedFileName(this.#file, last), { force: true });
    for (let age = last - 1; age >= 0; age -= 1) {
      try {
        const from = rotatedFileName(this.#file, age);
        await rename(from, rotatedFileName(this.#file, age + 1));
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "ENOENT") throw error;
      }
    }
    this.#size = 0;
  }
}
