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

/** Interval between polls for a newer version, in milliseconds. */
const pollInterval = 700;
/** Timeout of one poll for a newer version, in milliseconds. */
const pollTimeout = 1_500;
/** Interval between uncommitted reads, in milliseconds. */
const uncommittedPollInterval = 100;
/**
 * Timeout of one uncommitted read, in milliseconds; allows one round trip
 * between regions.
 */
const uncommittedReadTimeout = 300;

/** Options of a {@linkcode DocumentClient}. */
export interface DocumentClientOptions {
  readonly group: ControlGroup;
  readonly name: string;
  readonly clock?: Clock;
}

/** Options of {@linkcode DocumentClient.follow}. */
export interface DocumentFollowOptions {
  readonly signal: AbortSignal;
  readonly onDocument: (document: VersionedDocument) => void;
  /** Called for each failed poll. */
  readonly onFailure?: (error: unknown) => void;
  /**
   * Replicas that must have stored a version or a newer one before it is used
   * unconfirmed, as the first one only. If absent, only versions confirmed by a
   * leader are used.
   */
  readonly requiredCopies?: number;
}

/** One versioned document of the control group. */
export class DocumentClient {
  #options: DocumentClientOptions;
  #clock: Clock;
  #version: number | undefined;
  #confirmedAt: number | undefined;
  #isPolling = false;

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
   * quorum has it on disk. Throws `no_quorum`; the call may be retried.
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
      (callOptions) => group.propose(command, callOptions),
      options,
    );
    if (result.type !== "publish") throw new Error("Expected a publish result");
    return result.version;
  }

  /** Reads the document in force. Throws `no_quorum` if it is unconfirmed. */
  async read(
    options: CallOptions = {},
  ): Promise<VersionedDocument | undefined> {
    const answer = await this.#query(undefined, options);
    return answer.document;
  }

  /** Polls for newer versions until the signal is aborted. */
  follow(followOptions: DocumentFollowOptions): void {
    const poll = () => void this.#pollOnce(followOptions);
    every(pollInterval, poll, { signal: followOptions.signal });
    poll();
    if (followOptions.requiredCopies !== undefined) {
      void this.#pollUncommitted(followOptions);
    }
  }

  /**
   * Reads uncommitted versions until one is available, so that a host that
   * starts while there is no leader need not wait for one.
   */
  async #pollUncommitted(followOptions: DocumentFollowOptions): Promise<void> {
    const { group, name } = this.#options;
    const { signal, requiredCopies: copies = Infinity } = followOptions;
    while (this.#version === undefined && !signal.aborted) {
      const answers = await group.queryUncommitted<DocumentAnswer>(
        "document",
        { name },
        { signal, timeout: uncommittedReadTimeout },
      );
      const document = newestUncommittedDocument(answers, copies);
      if (document !== undefined) this.#useIfNewer(document, followOptions);
      // An aborted wait ends the loop.
      await delay(uncommittedPollInterval, { signal }).catch(() => {});
    }
  }

  /** Uses a document only if it is newer; answers may arrive out of order. */
  #useIfNewer(
    document: VersionedDocument,
    followOptions: DocumentFollowOptions,
  ): void {
    if (this.#version !== undefined && document.version <= this.#version) {
      return;
    }
    this.#version = document.version;
    followOptions.onDocument(document);
  }

  async #pollOnce(followOptions: DocumentFollowOptions): Promise<void> {
    if (this.#isPolling) return;
    this.#isPolling = true;
    try {
      const { signal } = followOptions;
      const sentAt = this.#clock.monotonicMilliseconds();
      const { document } = await this.#query(this.#version, {
        signal,
        timeout: pollTimeout,
      });
      this.#confirmedAt = sentAt;
      if (document !== undefined) this.#useIfNewer(document, followOptions);
    } catch (error) {
      if (!followOptions.signal.aborted) followOptions.onFailure?.(error);
    } finally {
      this.#isPolling = false;
    }
  }

  #query(
    version: number | undefined,
    options: CallOptions,
  ): Promise<DocumentAnswer> {
    const { group, name } = this.#options;
    const request = version === undefined ? { name } : { name, version };
    return callWithRetry(
      (callOptions) =>
        group.query<DocumentAnswer>("document", request, callOptions),
      options,
    );
  }
}

/** Returns the newest document whose version enough replicas have reached. */
function newestUncommittedDocument(
  answers: readonly DocumentAnswer[],
  copies: number,
): VersionedDocument | undefined {
  return answers
    .flatMap(({ document }) => document === undefined ? [] : [document])
    .toSorted((left, right) => right.version - left.version)
    .at(copies - 1);
}
