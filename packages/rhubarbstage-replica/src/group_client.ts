/**
 * Client of a group for hosts without a data folder.
 *
 * @module
 */

import type { GroupName } from "rhubarbstage";
import { encode } from "@rhubarbstage/transport";
import { LeaderCaller } from "./leader_caller.ts";
import type { LeaderCallerOptions } from "./leader_caller.ts";
import { ReplicatedGroup } from "./replicated_group.ts";
import type { GroupCallOptions } from "./replicated_group.ts";

/** Options of a {@linkcode GroupClient}. */
export interface GroupClientOptions extends LeaderCallerOptions {
  readonly group: GroupName;
}

/** Calls the leader of a group over the transport. */
export class GroupClient<Command, Result>
  extends ReplicatedGroup<Command, Result> {
  readonly #group: GroupName;
  readonly #caller: LeaderCaller;

  constructor(options: GroupClientOptions) {
    super();
    this.#group = options.group;
    this.#caller = new LeaderCaller(options);
  }

  override async propose(
    command: Command,
    options: GroupCallOptions = {},
  ): Promise<Result> {
    const result = await this.#caller.call({
      kind: "propose",
      group: this.#group,
      command: encode(command),
    }, options);
    return result as Result;
  }

  override async query<Answer>(
    name: string,
    argument: unknown,
    options: GroupCallOptions = {},
  ): Promise<Answer> {
    const answer = await this.#caller.call({
      kind: "query",
      group: this.#group,
      name,
      argument: encode(argument),
    }, options);
    return answer as Answer;
  }

  override async queryUncommitted<Answer>(
    name: string,
    argument: unknown,
    options: GroupCallOptions = {},
  ): Promise<readonly Answer[]> {
    const answers = await this.#caller.callAllReplicas({
      kind: "stored",
      group: this.#group,
      name,
      argument: encode(argument),
    }, options);
    return answers as readonly Answer[];
  }
}
