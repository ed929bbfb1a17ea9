/**
 * Evidence about prompt parts that crash servers, kept on a control host's disk.
 *
 * @module
 */

import { join } from "node:path";
import type { PartMark } from "@rhubarbstage/policy";
import {
  DiskRetry,
  type DiskRetryOptions,
  readRecordFile,
  writeRecordFile,
} from "@rhubarbstage/storage";

/** Name of the file below the data folder. */
const fileName = "part-marks";

/** Options of {@linkcode PartMarksFile}. */
export interface PartMarksFileOptions {
  readonly dataFolder: string;
  /** Called when the file cannot be read or written. */
  readonly onFailure: (error: unknown) => void;
  /** Called when the disk starts or ends to refuse writes. */
  readonly disk?: DiskRetryOptions;
}

/**
 * File with a host's evidence about prompt parts. Gossip alone loses it when all
 * hosts end together.
 */
export class PartMarksFile {
  readonly #options: PartMarksFileOptions;
  readonly #retry: DiskRetry;
  #pending: readonly PartMark[] | undefined;
  #isWriting = false;

  constructor(options: PartMarksFileOptions) {
    this.#options = options;
    this.#retry = new DiskRetry(options.disk);
  }

  /** Returns the stored evidence; empty if there is none. Never rejects. */
  async read(): Promise<readonly PartMark[]> {
    try {
      const value = await readRecordFile(this.#path);
      return Array.isArray(value) ? value as PartMark[] : [];
    } catch (thrown) {
      this.#options.onFailure(thrown);
      return [];
    }
  }

  /** Replaces the evidence in the background; the newest call wins. */
  write(marks: readonly PartMark[]): void {
    this.#pending = marks;
    if (!this.#isWriting) void this.#writePending();
  }

  get #path(): string {
    return join(this.#options.dataFolder, fileName);
  }

  async #writePending(): Promise<void> {
    this.#isWriting = true;
    while (this.#pending !== undefined) {
      let latest = this.#pending;
      try {
        await this.#retry.run(() => {
          const marks = this.#pending ?? latest;
          latest = marks;
          this.#pending = undefined;
          return writeRecordFile(this.#path, marks);
        });
      } catch (thrown) {
        this.#options.onFailure(thrown);
      }
    }
    this.#isWriting = false;
  }
}
