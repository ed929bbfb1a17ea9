/**
 * The configuration in force on one host and the age of its confirmation.
 *
 * @module
 */

import {
  type Clock,
  every,
  type Revision,
  RhubarbstageError,
  SystemClock,
} from "rhubarbstage";
import {
  confirmationInterval,
  confirmationTimeout,
  maxConfirmationAge,
} from "./constants.ts";
import { applyOperations } from "./tree.ts";
import type {
  Configuration,
  ConfigurationClientOptions,
  Confirmation,
  ConfirmationRequest,
  Tree,
} from "./types.ts";

/**
 * Confirms the configuration periodically. The age of a confirmation counts
 * from the monotonic time at which its request was sent, because edits may be
 * accepted while the answer is in flight.
 */
export class ConfigurationClient {
  #options: ConfigurationClientOptions;
  #clock: Clock;
  #maxConfirmationAge: number;
  #configuration: Configuration | undefined;
  #confirmedAt: number | undefined;
  #whenReady: Promise<void>;
  #markReady: () => void = () => {};

  constructor(options: ConfigurationClientOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
    this.#maxConfirmationAge = options.maxConfirmationAge ?? maxConfirmationAge;
    this.#whenReady = new Promise((resolve) => this.#markReady = resolve);
  }

  /** Confirms now and then at each interval until the signal is aborted. */
  start(): void {
    const { signal, interval = confirmationInterval } = this.#options;
    const confirm = () => void this.#confirmOrReport();
    every(interval, confirm, { signal });
    confirm();
  }

  /** The configuration in force. Throws `isolated` before the first one. */
  get configuration(): Configuration {
    if (this.#configuration === undefined) {
      throw new RhubarbstageError("isolated", {
        message: "This host has no configuration yet",
      });
    }
    return this.#configuration;
  }

  /** Whether the first confirmation has arrived. */
  get ready(): boolean {
    return this.#configuration !== undefined;
  }

  /** Resolves at the first confirmation. */
  whenReady(): Promise<void> {
    return this.#whenReady;
  }

  /** Age of the last confirmation in milliseconds; infinite without one. */
  get confirmationAge(): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return this.#clock.monotonicMilliseconds() - this.#confirmedAt;
  }

  /**
   * Whether the confirmation is too old. Reads the clock on each call, so that
   * a process that was paused notices at once.
   */
  get isolated(): boolean {
    return this.confirmationAge > this.#maxConfirmationAge;
  }

  /**
   * Queries the group once. Throws the group's errors, such as `no_quorum`, and
   * `internal` for a revision older than this host's.
   */
  async confirm(): Promise<void> {
    const { group, signal, timeout = confirmationTimeout } = this.#options;
    const sentAt = this.#clock.monotonicMilliseconds();
    const revision = this.#configuration?.revision;
    const request: ConfirmationRequest = { revision };
    const answer = await group.query<Confirmation>("confirm", request, {
      signal,
      timeout,
    });
    this.#applyConfirmation(answer, { sentAt, revision });
  }

  async #confirmOrReport(): Promise<void> {
    try {
      await this.confirm();
    } catch (error) {
      if (!this.#options.signal.aborted) this.#options.onFailure?.(error);
    }
  }

  #applyConfirmation(
    answer: Confirmation,
    request: { readonly sentAt: number; readonly revision?: Revision },
  ): void {
    if (answer.revision < (request.revision ?? 0)) {
      throw new RhubarbstageError("internal", {
        message: `The group confirmed revision ${answer.revision} after ` +
          `revision ${request.revision}`,
      });
    }
    const previous = this.#configuration;
    const next = nextConfiguration(answer, previous);
    this.#confirmedAt = Math.max(request.sentAt, this.#confirmedAt ?? 0);
    if (next === previous) return;
    this.#configuration = next;
    this.#markReady();
    this.#options.onConfiguration?.(next);
  }
}

/** Merges an answer that may be out of order; tree and drains never revert. */
function nextConfiguration(
  answer: Confirmation,
  current: Configuration | undefined,
): Configuration {
  const newTree = answer.revision > (current?.revision ?? 0);
  const newDrains = answer.drainVersion > (current?.drainVersion ?? -1);
  if (current !== undefined && !newTree && !newDrains) return current;
  const currentDrains = newDrains ? undefined : current;
  return {
    revision: newTree || !current ? answer.revision : current.revision,
    tree: newTree || !current
      ? treeAfterConfirmation(answer, current)
      : current.tree,
    drains: currentDrains?.drains ?? new Set(answer.drains),
    drainVersion: currentDrains?.drainVersion ?? answer.drainVersion,
  };
}

/** Skips changes that are in force, because answers may arrive out of order. */
function treeAfterConfirmation(
  answer: Confirmation,
  current: Configuration | undefined,
): Tree {
  if (answer.tree !== undefined) return answer.tree;
  let tree = current?.tree ?? {};
  let revision = current?.revision ?? 0;
  for (const change of answer.changes ?? []) {
    if (change.revision <= revision) continue;
    tree = applyOperations(tree, change.operations);
    revision = change.revision;
  }
  return tree;
}
