/**
 * Repeats file operations that a disk refuses for a while.
 *
 * @module
 */

import { delay } from "rhubarbstage";
import { maxRetryDelay, minRetryDelay } from "./constants.ts";

/** Codes of errors that may pass: a full, faulty or read-only disk. */
const refusalCodes = new Set(["ENOSPC", "EDQUOT", "EIO", "EROFS"]);

/** Whether an error of the file system says that the disk refuses to work. */
export function isDiskRefusal(thrown: unknown): boolean {
  const { code } = (thrown ?? {}) as { code?: string };
  return code !== undefined && refusalCodes.has(code);
}

/** Options of {@linkcode DiskRetry}. */
export interface DiskRetryOptions {
  /** Called with the error when the disk starts to refuse. */
  readonly onRefused?: (error: Error) => void;
  /** Called with the time of refusals in milliseconds when one has passed. */
  readonly onAccepted?: (milliseconds: number) => void;
}

/** Repeats operations of one file until the disk accepts them. */
export class DiskRetry {
  readonly #options: DiskRetryOptions;
  #isStopped = false;

  constructor(options: DiskRetryOptions = {}) {
    this.#options = options;
  }

  /** Lets the next refusal fail its operation. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Runs an operation, and again from its start after each refusal. Throws other
   * errors, and the refusal once stopped.
   */
  async run<Result>(operation: () => Promise<Result>): Promise<Result> {
    let refusedAt: number | undefined;
    for (
      let pause = minRetryDelay;;
      pause = Math.min(maxRetryDelay, pause * 2)
    ) {
      try {
        const result = await operation();
        if (refusedAt !== undefined) {
          this.#options.onAccepted?.(performance.now() - refusedAt);
        }
        return result;
      } catch (thrown) {
        if (!isDiskRefusal(thrown) || this.#isStopped) throw thrown;
        if (refusedAt === undefined) {
          refusedAt = performance.now();
          this.#options.onRefused?.(thrown as Error);
        }
      }
      await delay(pause);
    }
  }
}
