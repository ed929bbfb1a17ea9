/**
 * Finds the leader of a group and calls it.
 *
 * @module
 */

import { delay, RhubarbstageError } from "rhubarbstage";
import type { ErrorKind, HostId } from "rhubarbstage";
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
  /** Hosts with a replica of the group, the likeliest leader first. */
  readonly hosts: () => readonly HostId[];
  /** Timeout of each attempt, in milliseconds; defaults to 1,500. */
  readonly attemptTimeout?: number;
  /** Handles calls to the local host, if it has a replica. */
  readonly handleLocally?: (
    call: ForwardedCall,
    signal: AbortSignal,
  ) => Promise<ForwardedAnswer>;
}

/** Progress of one call across its attempts. */
interface CallProgress {
  readonly call: ForwardedCall;
  readonly deadline: number;
  readonly signal: AbortSignal | undefined;
  maybeDelivered: boolean;
  lastFailure: unknown;
  /** Leader hints followed in a row without a delay. */
  redirects: number;
}

/** Calls the leader; follows leader hints and fails over to other replicas. */
export class LeaderCaller {
  readonly #options: LeaderCallerOptions;
  #leader: HostId | undefined;
  /**
   * Index of the host to call when no leader is known. Kept between calls, so
   * that a call does not start with the unresponsive host that failed the last.
   */
  #hostIndex = 0;

  constructor(options: LeaderCallerOptions) {
    this.#options = options;
  }

  /** Returns the leader's answer. Throws `no_quorum` after the timeout. */
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

  /** Returns the answers of all reachable replicas, without a leader. */
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
        // Unreachable replicas are left out of the answers.
        return undefined;
      }
    }));
    return answers.flatMap((answer) =>
      answer?.kind === "done" ? [answer.value] : []
    );
  }

  /** Returns one replica's answer, or undefined after a retryable failure. */
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
    // Jitter spreads the retries of callers that lost the same leader.
    const pause = retryDelay * (0.5 + Math.random());
    const remaining = Math.max(0, progress.deadline - performance.now());
    const { signal } = progress;
    await delay(
      Math.min(pause, remaining),
      signal === undefined ? {} : { signal },
    );
  }

  /** Yields the known leader if there is one, else the hosts in turn. */
  *#candidates(): Generator<HostId | undefined, never> {
    let lastHint: HostId | undefined;
    while (true) {
      // A hint that lagging replicas repeat is not followed twice in a row.
      if (this.#leader !== undefined && this.#leader !== lastHint) {
        lastHint = this.#leader;
        yield lastHint;
        continue;
      }
      const hosts = this.#options.hosts();
      // The host that was just called as the leader is not called again at once.
      if (hosts.length > 1 && this.#nextHost(hosts) === lastHint) {
        this.#hostIndex += 1;
      }
      lastHint = undefined;
      yield this.#nextHost(hosts);
      this.#hostIndex += 1;
    }
  }

  #nextHost(hosts: readonly HostId[]): HostId | undefined {
    return hosts.length === 0
      ? undefined
      : hosts[this.#hostIndex % hosts.length];
  }
}

/** Kinds of errors of a replica that cannot handle calls, as others may. */
const replicaErrorKinds: ReadonlySet<ErrorKind> = new Set([
  "no_quorum",
  "shutting_down",
  "internal",
]);

/** Whether another replica may answer after this failure. */
function isRetryable(thrown: unknown): boolean {
  if (thrown instanceof TransportError) return true;
  return thrown instanceof RhubarbstageError &&
    replicaErrorKinds.has(thrown.kind);
}

function mayHaveRun(thrown: unknown): boolean {
  if (thrown instanceof TransportError) return thrown.maybeDelivered;
  return thrown instanceof RhubarbstageError && thrown.outcome !== "not_run";
}
