/**
 * Client of the journal groups: finds the group of a key and adds process and
 * time to commands.
 *
 * @module
 */

import { createHash } from "node:crypto";
import {
  type AttemptId,
  type ClaimKey,
  type Clock,
  type CustomerId,
  type Incarnation,
  type ServiceName,
  SystemClock,
} from "rhubarbstage";
import type { GroupCallOptions } from "@rhubarbstage/replica";
import type {
  ClaimView,
  HostProcess,
  JournalCommand,
  JournalGroup,
  JournalResult,
  StoredAnswer,
} from "./types.ts";

/** Fields from which a claim key is derived. */
export interface ClaimKeyFields {
  readonly customer: CustomerId;
  readonly service: ServiceName;
  readonly idempotencyKey: string;
}

/** One attempt to claim a key. */
export interface ClaimAttempt {
  readonly key: ClaimKey;
  readonly attempt: AttemptId;
}

/** Options of a {@linkcode ClaimJournal}. */
export interface ClaimJournalOptions {
  /**
   * The journal groups in the order of their numbers. Their count must never
   * change: a key that moved to another group would be free there.
   */
  readonly groups: readonly JournalGroup[];
  /** This process. */
  readonly claimer: HostProcess;
  readonly clock?: Clock;
}

/** Returns the SHA-256 of customer, service and idempotency key. */
export function claimKeyOf(fields: ClaimKeyFields): ClaimKey {
  const { customer, service, idempotencyKey } = fields;
  const content = JSON.stringify([customer, service, idempotencyKey]);
  return createHash("sha256").update(content).digest("hex") as ClaimKey;
}

/** Returns the number of the journal group that stores a key. */
export function journalGroupNumberOf(
  key: ClaimKey,
  groupCount: number,
): number {
  return Number.parseInt(key.slice(0, 8), 16) % groupCount;
}

/**
 * Claims of all journal groups. Each call is sent once and throws the errors of
 * the group; every command may be repeated with the same attempt.
 */
export class ClaimJournal {
  #groups: readonly JournalGroup[];
  #claimer: HostProcess;
  #clock: Clock;

  constructor(options: ClaimJournalOptions) {
    this.#groups = options.groups;
    this.#claimer = options.claimer;
    this.#clock = options.clock ?? new SystemClock();
  }

  /** Claims a key for an attempt. */
  claim(
    claim: ClaimAttempt & { readonly bodyHash: string },
    options?: GroupCallOptions,
  ): Promise<JournalResult> {
    return this.#propose(
      { type: "claim", ...claim, ...this.#proposerFields() },
      options,
    );
  }

  /** Records that the attempt ran and stores its answer. */
  settle(
    claim: ClaimAttempt & { readonly answer: StoredAnswer },
    options?: GroupCallOptions,
  ): Promise<JournalResult> {
    return this.#propose(
      { type: "settle", ...claim, ...this.#proposerFields() },
      options,
    );
  }

  /** Records that the attempt did not run and never will. */
  release(
    claim: ClaimAttempt,
    options?: GroupCallOptions,
  ): Promise<JournalResult> {
    return this.#propose(
      { type: "release", ...claim, ...this.#proposerFields() },
      options,
    );
  }

  /** Records that it is unknown whether the attempt ran. */
  markUnknown(
    claim: ClaimAttempt,
    options?: GroupCallOptions,
  ): Promise<JournalResult> {
    return this.#propose(
      { type: "unknown", ...claim, ...this.#proposerFields() },
      options,
    );
  }

  /** Records that the claimer's host runs a newer process. */
  abandon(
    claim: ClaimAttempt & { readonly newer: Incarnation },
    options?: GroupCallOptions,
  ): Promise<JournalResult> {
    return this.#propose(
      { type: "abandon", ...claim, ...this.#proposerFields() },
      options,
    );
  }

  /** Returns the linearizable state of a key. */
  readClaim(key: ClaimKey, options?: GroupCallOptions): Promise<ClaimView> {
    return this.#groupOf(key).query<ClaimView>("claim", { key }, options);
  }

  /**
   * Reports this host's wall time to all groups. Hosts call it every few
   * minutes, so that claims expire while there is no traffic.
   */
  async reportTime(options?: GroupCallOptions): Promise<void> {
    const command = { type: "time", ...this.#proposerFields() } as const;
    await Promise.all(
      this.#groups.map((group) => group.propose(command, options)),
    );
  }

  #propose(
    command: Exclude<JournalCommand, { type: "time" }>,
    options?: GroupCallOptions,
  ): Promise<JournalResult> {
    return this.#groupOf(command.key).propose(command, options);
  }

  #groupOf(key: ClaimKey): JournalGroup {
    const number = journalGroupNumberOf(key, this.#groups.length);
    return this.#groups[number] as JournalGroup;
  }

  #proposerFields(): { readonly claimer: HostProcess; readonly now: number } {
    return { claimer: this.#claimer, now: this.#clock.wallMilliseconds() };
  }
}
