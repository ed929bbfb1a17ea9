/**
 * Calls of one group that are waiting for commit, apply or a quorum round.
 *
 * @module
 */

import { RhubarbstageError } from "rhubarbstage";
import type { Position } from "@rhubarbstage/consensus";
import { defaultCallTimeout } from "./constants.ts";
import type { ForwardedAnswer } from "./forward.ts";
import type { GroupCallOptions } from "./replicated_group.ts";

interface PendingCall<Answer> {
  readonly resolve: (answer: Answer) => void;
  readonly reject: (error: unknown) => void;
}

interface Proposal extends PendingCall<ForwardedAnswer> {
  readonly command: Uint8Array;
  /** Set once the caller aborted; the command may still be committed. */
  isAbandoned: boolean;
}

/** A proposal or seat change in the log, until its entry is applied. */
interface AppendedProposal extends PendingCall<ForwardedAnswer> {
  readonly term: number;
}

/** Matches effects of the reducer to the callers that wait for them. */
export class PendingCalls {
  #lastToken = 0;
  #queue: Proposal[] = [];
  readonly #batches = new Map<number, readonly Proposal[]>();
  readonly #appended = new Map<number, AppendedProposal>();
  /** Pending reads by token. */
  readonly #reads = new Map<number, PendingCall<unknown>>();
  /** Seat changes by token, until they are in the log. */
  readonly #seatChanges = new Map<number, PendingCall<ForwardedAnswer>>();

  /** Returns a new token that matches an event to its effects. */
  nextToken(): number {
    this.#lastToken += 1;
    return this.#lastToken;
  }

  /** Number of proposals queued or in the log, but not applied. */
  get proposalCount(): number {
    return this.#queue.length + this.#appended.size;
  }

  /** Resolves with the term of a confirmed read; undefined when refused. */
  waitForRead(
    token: number,
    signal: AbortSignal,
  ): Promise<{ term: number } | undefined> {
    return addCall(this.#reads as Map<number, PendingCall<never>>, {
      token,
      signal,
    });
  }

  /** Waits until a seat change is committed or refused. */
  waitForSeatChange(
    token: number,
    signal: AbortSignal,
  ): Promise<ForwardedAnswer> {
    return addCall(this.#seatChanges as Map<number, PendingCall<never>>, {
      token,
      signal,
    });
  }

  isRead(token: number): boolean {
    return this.#reads.has(token);
  }

  /** Resolves a read; undefined when it was refused. */
  resolveRead(token: number, answer: unknown): void {
    this.#reads.get(token)?.resolve(answer);
    this.#reads.delete(token);
  }

  /** Queues a command for the next batch. */
  addProposal(
    command: Uint8Array,
    signal: AbortSignal,
  ): Promise<ForwardedAnswer> {
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        proposal.isAbandoned = true;
        reject(signal.reason);
      };
      const removeListener = () => signal.removeEventListener("abort", onAbort);
      const proposal: Proposal = {
        command,
        isAbandoned: signal.aborted,
        resolve: (answer) => {
          removeListener();
          resolve(answer);
        },
        reject: (error) => {
          removeListener();
          reject(error);
        },
      };
      if (signal.aborted) return reject(signal.reason);
      signal.addEventListener("abort", onAbort, { once: true });
      this.#queue.push(proposal);
    });
  }

  /** Removes the queued commands as a batch; undefined when there are none. */
  nextProposalBatch():
    | { token: number; commands: readonly Uint8Array[] }
    | undefined {
    const batch = this.#queue.filter((proposal) => !proposal.isAbandoned);
    this.#queue = [];
    if (batch.length === 0) return undefined;
    const token = this.nextToken();
    this.#batches.set(token, batch);
    return { token, commands: batch.map((proposal) => proposal.command) };
  }

  /** Records that a batch or a seat change is in the log from `first` on. */
  markAppended(token: number, first: Position): void {
    const batch = this.#batches.get(token) ?? this.#removeSeatChange(token);
    this.#batches.delete(token);
    batch.forEach(({ resolve, reject }, offset) => {
      const { term } = first;
      this.#appended.set(first.index + offset, { term, resolve, reject });
    });
  }

  /** Resolves a batch or a seat change that did not enter the log. */
  resolveRejected(token: number, answer: ForwardedAnswer): void {
    const batch = this.#batches.get(token) ?? this.#removeSeatChange(token);
    this.#batches.delete(token);
    for (const call of batch) call.resolve(answer);
  }

  /** Resolves the call of an applied entry; rejects it if the term differs. */
  resolveApplied(entry: Position, answer: () => ForwardedAnswer): void {
    const call = this.#appended.get(entry.index);
    if (call === undefined) return;
    this.#appended.delete(entry.index);
    if (call.term !== entry.term) {
      return call.reject(new RhubarbstageError("no_quorum"));
    }
    try {
      call.resolve(answer());
    } catch (thrown) {
      call.reject(thrown);
    }
  }

  /** Rejects calls up to an index, as a snapshot lacks their results. */
  rejectCoveredBySnapshot(index: number): void {
    for (const [position, call] of [...this.#appended]) {
      if (position > index) continue;
      this.#appended.delete(position);
      call.reject(
        new RhubarbstageError("no_quorum", { outcome: "may_have_run" }),
      );
    }
  }

  /** Rejects all pending calls. */
  rejectAll(error: RhubarbstageError): void {
    const calls = [
      ...this.#queue,
      ...[...this.#batches.values()].flat(),
      ...this.#appended.values(),
      ...this.#reads.values(),
      ...this.#seatChanges.values(),
    ];
    this.#queue = [];
    this.#batches.clear();
    this.#appended.clear();
    this.#reads.clear();
    this.#seatChanges.clear();
    for (const call of calls) call.reject(error);
  }

  /** Runs a function and aborts its signal with `no_quorum` after a timeout. */
  async withTimeout<Answer>(
    options: GroupCallOptions,
    run: (signal: AbortSignal) => Promise<Answer>,
  ): Promise<Answer> {
    options.signal?.throwIfAborted();
    const controller = new AbortController();
    const timer = setTimeout(
      () => controller.abort(new RhubarbstageError("no_quorum")),
      options.timeout ?? defaultCallTimeout,
    );
    const onAbort = () => controller.abort(options.signal?.reason);
    options.signal?.addEventListener("abort", onAbort, { once: true });
    try {
      return await run(controller.signal);
    } finally {
      clearTimeout(timer);
      options.signal?.removeEventListener("abort", onAbort);
    }
  }

  #removeSeatChange(token: number): readonly PendingCall<ForwardedAnswer>[] {
    const call = this.#seatChanges.get(token);
    this.#seatChanges.delete(token);
    return call === undefined ? [] : [call];
  }
}

/** Adds a call, and removes it from the map when its signal is aborted. */
function addCall<Answer>(
  calls: Map<number, PendingCall<Answer>>,
  options: { token: number; signal: AbortSignal },
): Promise<Answer> {
  const { token, signal } = options;
  return new Promise<Answer>((resolve, reject) => {
    if (signal.aborted) return reject(signal.reason);
    const onAbort = () => {
      calls.delete(token);
      reject(signal.reason);
    };
    signal.addEventListener("abort", onAbort, { once: true });
    const removeListener = () => signal.removeEventListener("abort", onAbort);
    calls.set(token, {
      resolve: (answer) => {
        removeListener();
        resolve(answer);
      },
      reject: (error) => {
        removeListener();
        reject(error);
      },
    });
  });
}
