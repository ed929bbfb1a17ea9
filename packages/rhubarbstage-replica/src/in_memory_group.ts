/**
 * In-memory group of one replica without a log.
 *
 * @module
 */

import { RhubarbstageError } from "rhubarbstage";
import type { GroupName, HostId } from "rhubarbstage";
import { decode, encode } from "@rhubarbstage/transport";
import { GroupReplica } from "./group_replica.ts";
import { Listeners } from "./listeners.ts";
import type { GroupCallOptions } from "./replicated_group.ts";
import type { AppliedCommand, GroupDefinition, Leadership } from "./types.ts";

/** Options of an {@linkcode InMemoryGroup}. */
export interface InMemoryGroupOptions {
  readonly name?: GroupName;
  readonly host?: HostId;
}

/**
 * A group in the memory of one process, for tests of code that uses groups. It
 * starts as the leader; `stopLeading` and `startLeading` simulate elections.
 */
export class InMemoryGroup<State, Command, Result>
  extends GroupReplica<State, Command, Result> {
  readonly #definition: GroupDefinition<State, Command, Result>;
  readonly #name: GroupName;
  readonly #host: HostId;
  readonly #leadershipListeners = new Listeners<Leadership>();
  readonly #appliedListeners = new Listeners<
    AppliedCommand<Command, Result>
  >();
  readonly #state: State;
  #appliedIndex = 0;
  #term = 1;
  #isLeader = true;

  constructor(
    definition: GroupDefinition<State, Command, Result>,
    options: InMemoryGroupOptions = {},
  ) {
    super();
    this.#definition = definition;
    this.#name = options.name ?? "control" as GroupName;
    this.#host = options.host ?? "local" as HostId;
    this.#state = definition.stateMachine.initial();
  }

  override get state(): State {
    return this.#state;
  }

  override get appliedIndex(): number {
    return this.#appliedIndex;
  }

  override async propose(
    command: Command,
    options: GroupCallOptions = {},
  ): Promise<Result> {
    await this.#requireLeadership(options);
    const copy = decode(encode(command)) as Command;
    this.#appliedIndex += 1;
    const index = this.#appliedIndex;
    const result = this.#definition.stateMachine.apply(
      this.#state,
      copy,
      index,
    );
    this.#appliedListeners.emit({
      index,
      term: this.#term,
      command: copy,
      result,
    });
    return decode(encode(result)) as Result;
  }

  override async queryUncommitted<Answer>(
    name: string,
    argument: unknown,
    options: GroupCallOptions = {},
  ): Promise<readonly Answer[]> {
    return [await this.query<Answer>(name, argument, options)];
  }

  override async query<Answer>(
    name: string,
    argument: unknown,
    options: GroupCallOptions = {},
  ): Promise<Answer> {
    await this.#requireLeadership(options);
    const query = this.#definition.queries?.[name];
    if (query === undefined) {
      throw new RhubarbstageError("not_found", {
        message: `Group "${this.#name}" has no query "${name}"`,
      });
    }
    return decode(encode(query(this.#state, argument))) as Answer;
  }

  override leadership(): Leadership {
    return {
      group: this.#name,
      term: this.#term,
      leader: this.#isLeader ? this.#host : undefined,
      isLeader: this.#isLeader,
    };
  }

  override async confirmLeadership(
    options: GroupCallOptions = {},
  ): Promise<number> {
    await this.#requireLeadership(options);
    return this.#term;
  }

  override onLeadership(
    listener: (leadership: Leadership) => void,
    options: { signal?: AbortSignal } = {},
  ): void {
    this.#leadershipListeners.add(listener, options);
  }

  override onApplied(
    listener: (applied: AppliedCommand<Command, Result>) => void,
    options: { signal?: AbortSignal } = {},
  ): void {
    this.#appliedListeners.add(listener, options);
  }

  /** Simulates a lost quorum: calls throw `no_quorum` until `startLeading`. */
  stopLeading(): void {
    this.#isLeader = false;
    this.#leadershipListeners.emit(this.leadership());
  }

  /** Simulates an election that this replica wins, in a new term. */
  startLeading(): void {
    this.#term += 1;
    this.#isLeader = true;
    this.#leadershipListeners.emit(this.leadership());
  }

  async #requireLeadership(options: GroupCallOptions): Promise<void> {
    options.signal?.throwIfAborted();
    await Promise.resolve();
    if (!this.#isLeader) throw new RhubarbstageError("no_quorum");
  }
}
