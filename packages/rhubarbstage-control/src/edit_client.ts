/**
 * Client for operators' changes of the settings tree and of drains.
 *
 * @module
 */

import {
  type BackendServerId,
  type Clock,
  type EditId,
  type Revision,
  RhubarbstageError,
  SystemClock,
} from "rhubarbstage";
import { RevisionConflictError } from "./errors.ts";
import { treeAfterEdit } from "./edits.ts";
import { callWithRetry } from "./group_calls.ts";
import type {
  CallOptions,
  ControlResult,
  Drain,
  Edit,
  EditClientOptions,
  EditLookup,
  EditResult,
  HistoryEntry,
} from "./types.ts";

/** A change that sets or lifts a drain; resends have the same id. */
export interface DrainChange {
  readonly commandId: EditId;
  readonly backendServer: BackendServerId;
  readonly drained: boolean;
  readonly author: string;
}

/**
 * Client of operators' changes. The tree is validated before the edit is
 * proposed: the compare-and-set on the revision makes sure that the validated
 * tree is the one that comes into force, and replicas of different versions
 * need not agree on what is valid.
 */
export class EditClient {
  #options: EditClientOptions;
  #clock: Clock;

  constructor(options: EditClientOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
  }

  /**
   * Applies an edit and returns the new revision; for a resend, the first
   * answer. Throws {@linkcode RevisionConflictError}, `invalid_request`,
   * `isolated`, and `no_quorum`, with the outcome `may_have_run` once the edit
   * was proposed: resend it under the same id to get its answer.
   */
  async submit(edit: Edit, options: CallOptions = {}): Promise<Revision> {
    this.#refuseIfIsolated();
    const { group } = this.#options;
    const lookup = await this.#read<EditLookup>("edit", edit, options);
    const known = lookup.first ?? this.#rejectionOf(edit, lookup);
    if (known !== undefined) return revisionOf(known);
    const command = {
      type: "edit",
      edit,
      at: this.#clock.wallMilliseconds(),
    } as const;
    const answer = await callWithRetry(
      (callOptions) => group.propose(command, callOptions),
      options,
    ) as Extract<ControlResult, { type: "edit" }>;
    return revisionOf(answer.result);
  }

  /** Sets or lifts a drain. Throws `isolated` and `no_quorum`. */
  async setDrain(
    request: DrainChange,
    options: CallOptions = {},
  ): Promise<void> {
    this.#refuseIfIsolated();
    const at = this.#clock.wallMilliseconds();
    const command = { type: "set_drain", ...request, at } as const;
    await callWithRetry(
      (callOptions) => this.#options.group.propose(command, callOptions),
      options,
    );
  }

  /** Latest accepted edits, newest first. Throws `no_quorum`. */
  history(
    limit: number,
    options: CallOptions = {},
  ): Promise<readonly HistoryEntry[]> {
    return this.#read("history", { limit }, options);
  }

  /** Drains that are set. Throws `no_quorum`. */
  drains(options: CallOptions = {}): Promise<readonly Drain[]> {
    return this.#read("drains", {}, options);
  }

  #rejectionOf(edit: Edit, lookup: EditLookup): EditResult | undefined {
    if (lookup.revision !== edit.expectedRevision) {
      return { type: "conflict", revision: lookup.revision };
    }
    const outcome = treeAfterEdit(lookup.tree, edit);
    if ("message" in outcome) {
      return { type: "invalid", message: outcome.message };
    }
    const problems = this.#options.validate(outcome.tree);
    if (problems.length === 0) return undefined;
    return { type: "invalid", message: problems.join("; ") };
  }

  async #read<Answer>(
    name: string,
    argument: unknown,
    options: CallOptions,
  ): Promise<Answer> {
    try {
      return await callWithRetry(
        (callOptions) =>
          this.#options.group.query<Answer>(name, argument, callOptions),
        options,
      );
    } catch (error) {
      if (!(error instanceof RhubarbstageError)) throw error;
      if (error.kind !== "no_quorum") throw error;
      throw new RhubarbstageError("no_quorum", {
        outcome: "not_run",
        cause: error,
      });
    }
  }

  #refuseIfIsolated(): void {
    if (this.#options.isolated?.()) throw new RhubarbstageError("isolated");
  }
}

function revisionOf(result: EditResult): Revision {
  switch (result.type) {
    case "accepted":
      return result.revision;
    case "conflict":
      throw new RevisionConflictError(result.revision);
    case "invalid":
      throw new RhubarbstageError("invalid_request", {
        message: result.message,
      });
    case "edit_id_reused":
      throw new RhubarbstageError("invalid_request", {
        message: "The edit id was used with another edit",
      });
  }
}
