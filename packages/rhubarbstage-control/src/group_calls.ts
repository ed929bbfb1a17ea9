/**
 * Retries of calls to a replicated group while it has no leader.
 *
 * @module
 */

import { delay, RhubarbstageError } from "rhubarbstage";
import type { GroupCallOptions } from "@rhubarbstage/replica";
import { callAttemptTimeout, callTimeout, retryBackoff } from "./constants.ts";
import { isNoQuorum } from "./errors.ts";
import type { CallOptions } from "./types.ts";

/**
 * Retries a call until it succeeds, fails for another reason than `no_quorum`,
 * or times out. Only for queries and for commands that are idempotent by their
 * own id. The final `no_quorum` has the outcome `not_run` only if each attempt
 * had it.
 */
export async function callWithRetry<Result>(
  call: (options: GroupCallOptions) => Promise<Result>,
  options: CallOptions = {},
): Promise<Result> {
  const signal = options.signal;
  const endsAt = performance.now() + (options.timeout ?? callTimeout);
  let notRun = true;
  let pause: number = retryBackoff.initial;
  while (true) {
    const remaining = endsAt - performance.now();
    try {
      return await call({
        signal,
        timeout: Math.min(remaining, callAttemptTimeout),
      });
    } catch (error) {
      if (!isNoQuorum(error)) throw error;
      if ((error as RhubarbstageError).outcome !== "not_run") notRun = false;
      if (endsAt - performance.now() <= pause || signal?.aborted) {
        const outcome = notRun ? "not_run" : "may_have_run";
        throw new RhubarbstageError("no_quorum", { outcome, cause: error });
      }
    }
    await delay(pause, { signal });
    pause = Math.min(pause * 2, retryBackoff.max);
  }
}

/**
 * Retries a call until it succeeds or the signal is aborted. Used for results
 * that only this process can report, such as the settlement of its own claim.
 */
export async function callUntilSuccess<Result>(
  call: (options: GroupCallOptions) => Promise<Result>,
  options: {
    readonly signal?: AbortSignal;
    readonly onFailure?: (error: unknown) => void;
  } = {},
): Promise<Result> {
  const { signal } = options;
  let pause: number = retryBackoff.initial;
  while (true) {
    try {
      return await call({ signal, timeout: callAttemptTimeout });
    } catch (error) {
      if (signal?.aborted) throw error;
      options.onFailure?.(error);
    }
    await delay(pause, { signal });
    pause = Math.min(pause * 2, retryBackoff.max);
  }
}
