/**
 * Finds the leader of a group and calls it.
 *
 * @module
 */

import { delay, RhubarbstageError } from "rhubarbstage";
import type { HostId } from "rhubarbstage";
import { TransportError } from "@rhubarbstage/transport";
import type { Transport } from "@rhubarbstage/transport";
import {
  defaultAttemptTimeout,
  defaultCallTimeout,
  maxRedirects,
  retryDelay,
} from "./constants.ts";
import { forwardRequest } from "./forward.ts";
import type { ForwardedAnswer, ForwardedCall } from "./forward.ts";
import type { GroupCallOptions } from "./replicated_group.ts";

/** Options of a {@linkcode LeaderCaller}. */
export interface LeaderCallerOptions {
  readonly transport: Transport;
  /** Hosts with a replica of the group; the most promising first. */
  readonly hosts: () => readonly HostId[];
  /** Longest wait for one replica, in milliseconds; defaults to 1,500. */
  readonly attemptTimeout?: number;
  /** Answers calls to the own host, if it has a replica. */
  readonly handleLocally?: (
    call: ForwardedCall,
    signal: AbortSignal,
  ) => Promise<ForwardedAnswer>;
}

/** One call while it looks for the leader. */
interface CallProgress {
  readonly call: ForwardedCall;
  readonly deadline: number;
  readonly signal: AbortSignal | undefined;
  maybeDelivered: boolean;
  lastFailure: unknown;
  /** Hints followed without a pause. */
  redirects: number;
}

/** Calls the leader: follows hints, and fails over to another replica. */
export class LeaderCaller {
  readonly #options: LeaderCallerOptions;
  #leader: HostId | undefined;
  /**
   * Host to ask when no leader is known. Kept between calls, so that a call
   * does not begin with the silent host on which the last one ended.
   */
  #hostIndex = 0;

  constructor(options: LeaderCallerOptions) {
    this.#options = options;
  }

  /** Throws `no_quorum` when no leader answered in time. */
  async call(
    call: ForwardedCall,
    options: GroupCallOptions = {},
  ): Promise<unknown> {
    const timeout = options.timeout ?? defaultCallTimeout;
    const progress: CallProgress = {
      call,
      deadline: performance.now() + timeout,
      signal: options.signal,
      maybeDelivered: false,
      lastFailure: undefined,
      redirects: 0,
    };
    for (const to of this.#candidates()) {
      options.signal?.throwIfAborted();
      if (performance.now() >= progress.deadline) break;
      const answer = to === undefined
        ? undefined
        : await this.#attempt(to, progress);
      if (answer?.kind === "done") {
        this.#leader = to;
        return answer.value;
      }
      this.#leader = answer?.leader ?? undefined;
      progress.redirects += 1;
      const isHinted = this.#leader !== undefined && this.#leader !== to;
      if (isHinted && progress.redirects <= maxRedirects) continue;
      progress.redirects = 0;
      await this.#pause(progress);
    }
    const isProposal = call.kind === "propose" || call.kind === "change_seats";
    throw new RhubarbstageError("no_quorum", {
      outcome: progress.maybeDelivered && isProposal
        ? "may_have_run"
        : "not_run",
      cause: progress.lastFailure,
    });
  }

  /** Answers of all replicas that can be reached, whoever leads. */
  async callAllReplicas(
    call: ForwardedCall,
    options: GroupCallOptions = {},
  ): Promise<readonly unknown[]> {
    const { attemptTimeout = defaultAttemptTimeout } = this.#options;
    const { signal } = options;
    const timeout = Math.min(options.timeout ?? Infinity, attemptTimeout);
    const hosts = new Set(this.#options.hosts());
    const answers = await Promise.all([...hosts].map(async (to) => {
      try {
        return await this.#send(to, { call, timeout, signal });
      } catch {
        // Replicas that cannot be reached have no answer.
        return undefined;
      }
    }));
    return answers.flatMap((answer) =>
      answer?.kind === "done" ? [answer.value] : []
    );
  }

  /** Answer of one replica; undefined when another may do better. */
  async #attempt(
    to: HostId,
    progress: CallProgress,
  ): Promise<ForwardedAnswer | undefined> {
    const { call, deadline, signal } = progress;
    const { attemptTimeout = defaultAttemptTimeout } = this.#options;
    // The deadline may have passed since it was checked.
    const remaining = Math.max(1, Math.ceil(deadline - performance.now()));
    const timeout = Math.min(remaining, attemptTimeout);
    try {
      return await this.#send(to, { call, timeout, signal });
    } catch (thrown) {
      signal?.throwIfAborted();
      if (!isRetryable(thrown)) throw thrown;
      progress.lastFailure = thrown;
      progress.maybeDelivered ||= mayHaveRun(thrown);
      return undefined;
    }
  }

  async #send(
    to: HostId,
    options: {
      call: ForwardedCall;
      timeout: number;
      signal: AbortSignal | undefined;
    },
  ): Promise<ForwardedAnswer> {
    const { call, timeout, signal } = options;
    const { transport, handleLocally: local } = this.#options;
    if (to !== transport.host || local === undefined) {
      const request = { to, body: call, timeout };
      return await transport.request(
        forwardRequest,
        signal === undefined ? request : { ...request, signal },
      );
    }
    const controller = new AbortController();
    const onAbort = () =>
      controller.abort(
        new TransportError("timeout", { peer: to, maybeDelivered: true }),
      );
    const timer = setTimeout(onAbort, timeout);
    signal?.addEventListener("abort", onAbort, { once: true });
    try {
      return await local(call, controller.signal);
    } finally {
      clearTimeout(timer);
      signal?.removeEventListener("abort", onAbort);
    }
  }

  async #pause(progress: CallProgress): Promise<void> {
    // The jitter keeps callers apart that lost the same leader.
    const pause = retryDelay * (0.5 + Math.random());
    const remaining = Math.max(0, progress.deadline - performance.now());
    const { signal } = progress;
    await delay(
      Math.min(pause, remaining),
      signal === undefined ? {} : { signal },
    );
  }

  /** The known leader whenever there is one, else every host in turn. */
  *#candidates(): Generator<HostId | undefined, never> {
    let lastHint: HostId | undefined;
    while (true) {
      // The same hint twice in a row may come from replicas that are behind.
      if (this.#leader !== undefined && this.#leader !== lastHint) {
        lastHint = this.#leader;
        yield lastHint;
        continue;
      }
      lastHint = undefined;
      const hosts = this.#options.hosts();
      yield hosts.length === 0
        ? undefined
        : hosts[this.#hostIndex % hosts.length];
      this.#hostIndex += 1;
    }
  }
}

/** Whether a failure says nothing about what another replica would answer. */
function isRetryable(thrown: unknown): boolean {
  if (thrown instanceof TransportError) return true;
  if (!(thrown instanceof RhubarbstageError)) return false;
  return thrown.kind === "no_quorum" || thrown.kind === "shutting_down";
}

function mayHaveRun(thrown: unknown): boolean {
  if (thrown instanceof TransportError) return thrown.maybeDelivered;
  return thrown instanceof RhubarbstageError && thrown.outcome !== "not_run";
}
