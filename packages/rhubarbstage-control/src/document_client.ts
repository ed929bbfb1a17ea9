/**
 * Publishing, reading and following one versioned document.
 *
 * @module
 */

import { type Clock, delay, every, SystemClock } from "rhubarbstage";
import { callWithRetry } from "./group_calls.ts";
import type {
  CallOptions,
  ControlGroup,
  DocumentAnswer,
  VersionedDocument,
} from "./types.ts";

/** Time between two questions for a newer version, in milliseconds. */
const followInterval = 700;
/** Longest wait for the answer to such a question, in milliseconds. */
const followTimeout = 1_500;
/** Time between two questions for stored copies, in milliseconds. */
const recallInterval = 100;
/** Longest wait for the copies, in milliseconds: a trip between regions. */
const recallTimeout = 300;

/** Options of a {@linkcode DocumentClient}. */
export interface DocumentClientOptions {
  readonly group: ControlGroup;
  readonly name: string;
  readonly clock?: Clock;
}

/** What {@linkcode DocumentClient.follow} tells. */
export interface DocumentFollowOptions {
  readonly signal: AbortSignal;
  readonly onDocument: (document: VersionedDocument) => void;
  /** Called with each question that got no answer. */
  readonly onFailure?: (error: unknown) => void;
  /**
   * Replicas that must have a version, or a newer one, before it is used while
   * no leader can confirm it; without a number, unconfirmed ones are not used.
   */
  readonly requiredCopies?: number;
}

/** One versioned document of the control group. */
export class DocumentClient {
  #options: DocumentClientOptions;
  #clock: Clock;
  #version: number | undefined;
  #confirmedAt: number | undefined;
  #asking = false;

  constructor(options: DocumentClientOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
  }

  /** Time since the version in force was confirmed, in milliseconds. */
  get confirmationAge(): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return this.#clock.monotonicMilliseconds() - this.#confirmedAt;
  }

  /**
   * Publishes a version and returns the one in force after it. Resolves once a
   * quorum has it on disk. Throws `no_quorum`; it can be repeated.
   */
  async publish(
    document: Omit<VersionedDocument, "name">,
    options: CallOptions = {},
  ): Promise<number> {
    const { group, name } = this.#options;
    const command = {
      type: "publish",
      document: { ...document, name },
    } as const;
    const result = await callWithRetry(
      (limits) => group.propose(command, limits),
      options,
    );
    if (result.type !== "publish") throw new Error("The result has no version");
    return result.version;
  }

  /** Reads the document in force. Throws `no_quorum` when none is certain. */
  async read(
    options: CallOptions = {},
  ): Promise<VersionedDocument | undefined> {
    const answer = await this.#ask(undefined, options);
    return answer.document;
  }

  /** Asks for newer versions until the signal is aborted. */
  follow(follower: DocumentFollowOptions): void {
    const ask = () => void this.#followOnce(follower);
    every(followInterval, ask, { signal: follower.signal });
    ask();
    if (follower.requiredCopies !== undefined) void this.#recall(follower);
  }

  /**
   * Looks for stored copies until some version is known, so that a host that
   * starts while there is no leader need not wait for one.
   */
  async #recall(follower: DocumentFollowOptions): Promise<void> {
    const { group, name } = this.#options;
    const { signal, requiredCopies: copies = Infinity } = follower;
    while (this.#version === undefined && !signal.aborted) {
      const answers = await group.queryUncommitted<DocumentAnswer>(
        "document",
        { name },
        { signal, timeout: recallTimeout },
      );
      const document = pickStored(answers, copies);
      if (document !== undefined) this.#take(document, follower);
      // An aborted wait ends the loop.
      await delay(recallInterval, { signal }).catch(() => {});
    }
  }

  /** Answers may overtake each other; a version never goes back. */
  #take(document: VersionedDocument, follower: DocumentFollowOptions): void {
    if (this.#version !== undefined && document.version <= this.#version) {
      return;
    }
    this.#version = document.version;
    follower.onDocument(document);
  }

  async #followOnce(follower: DocumentFollowOptions): Promise<void> {
    if (this.#asking) return;
    this.#asking = true;
    try {
      const { signal } = follower;
      const sentAt = this.#clock.monotonicMilliseconds();
      const { document } = await this.#ask(this.#version, {
        signal,
        timeout: followTimeout,
      });
      this.#confirmedAt = sentAt;
      if (document !== undefined) this.#take(document, follower);
    } catch (error) {
      if (!follower.signal.aborted) follower.onFailure?.(error);
    } finally {
      this.#asking = false;
    }
  }

  #ask(
    version: number | undefined,
    options: CallOptions,
  ): Promise<DocumentAnswer> {
    const { group, name } = this.#options;
    const request = version === undefined ? { name } : { name, version };
    return callWithRetry(
      (limits) => group.query<DocumentAnswer>("document", request, limits),
      options,
    );
  }
}

/** The newest document that enough replicas have, or have a newer one of. */
function pickStored(
  answers: readonly DocumentAnswer[],
  copies: number,
): VersionedDocument | undefined {
  return answers
    .flatMap(({ document }) => document === undefined ? [] : [document])
    .toSorted((left, right) => right.version - left.version)
    .at(copies - 1);
}
