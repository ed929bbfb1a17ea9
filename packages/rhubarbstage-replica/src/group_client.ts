/**
 * A group as seen from a host without a data folder.
 *
 * @module
 */

import { delay, RhubarbstageError } from "rhubarbstage";
import type { GroupName, HostId } from "rhubarbstage";
import { encode, TransportError } from "@rhubarbstage/transport";
import type { Transport } from "@rhubarbstage/transport";
import {
  defaultAttemptTimeout,
  defaultCallTimeout,
  retryDelay,
} from "./constants.ts";
import { forwardRequest } from "./forward.ts";
import type { ForwardedCall } from "./forward.ts";
import { ReplicatedGroup } from "./replicated_group.ts";
import type { GroupCallOptions } from "./replicated_group.ts";

/** Options of a {@linkcode GroupClient}. */
export interface GroupClientOptions {
  readonly transport: Transport;
  readonly group: GroupName;
  /** Hosts with a replica of the group; nearer ones first. */
  readonly hosts: () => readonly HostId[];
  /** Longest wait for one replica, in milliseconds; defaults to 1,500. */
  readonly attemptTimeout?: number;
}

/** Calls the leader of a group over the transport, wherever it is. */
export class GroupClient<Command, Result>
  extends ReplicatedGroup<Command, Result> {
  readonly #options: GroupClientOptions;
  #leader: HostId | undefined;

  constructor(options: GroupClientOptions) {
    super();
    this.#options = options;
  }

  override propose(
    command: Command,
    options: GroupCallOptions = {},
  ): Promise<Result> {
    return this.#call<Result>({
      kind: "propose",
      group: this.#options.group,
      command: encode(command),
    }, options);
  }

  override query<Answer>(
    name: string,
    argument: unknown,
    options: GroupCallOptions = {},
  ): Promise<Answer> {
    return this.#call<Answer>({
      kind: "query",
      group: this.#options.group,
      name,
      argument: encode(argument),
    }, options);
  }

  async #call<Answer>(
    call: ForwardedCall,
    options: GroupCallOptions,
  ): Promise<Answer> {
    const deadline = performance.now() +
      (options.timeout ?? defaultCallTimeout);
    const rotation = this.#candidates();
    let maybeDelivered = false;
    let lastFailure: unknown;
    while (true) {
      options.signal?.throwIfAborted();
      const remaining = deadline - performance.now();
      if (remaining <= 0) break;
      const to = rotation.next().value;
      if (to !== undefined) {
        try {
          const answer = await this.#options.transport.request(forwardRequest, {
            to,
            body: call,
            timeout: Math.min(remaining, this.#attemptTimeout()),
            ...(options.signal === undefined ? {} : { signal: options.signal }),
          });
          if (answer.kind === "done") {
            this.#leader = to;
            return answer.value as Answer;
          }
          this.#leader = answer.leader ?? undefined;
          if (this.#leader !== undefined && this.#leader !== to) continue;
        } catch (thrown) {
          if (!isWorthAnotherReplica(thrown)) throw thrown;
          lastFailure = thrown;
          maybeDelivered ||= mayHaveRun(thrown);
          if (this.#leader === to) this.#leader = undefined;
        }
      }
      const pause = retryDelay * (0.5 + Math.random());
      await delay(Math.min(pause, Math.max(0, deadline - performance.now())), {
        ...(options.signal === undefined ? {} : { signal: options.signal }),
      });
    }
    throw new RhubarbstageError("no_quorum", {
      outcome: maybeDelivered && call.kind === "propose"
        ? "may_have_run"
        : "not_run",
      cause: lastFailure,
    });
  }

  #attemptTimeout(): number {
    return this.#options.attemptTimeout ?? defaultAttemptTimeout;
  }

  /** The known leader whenever there is one, else every host in turn. */
  *#candidates(): Generator<HostId | undefined, never> {
    let turn = 0;
    let hinted: HostId | undefined;
    while (true) {
      // The same hint twice in a row may be two replicas that are both behind.
      if (this.#leader !== undefined && this.#leader !== hinted) {
        hinted = this.#leader;
        yield hinted;
        continue;
      }
      hinted = undefined;
      const hosts = this.#options.hosts();
      yield hosts.length === 0 ? undefined : hosts[turn++ % hosts.length];
    }
  }
}

/** Whether a failure says nothing about what another replica would answer. */
function isWorthAnotherReplica(thrown: unknown): boolean {
  if (thrown instanceof TransportError) return true;
  if (!(thrown instanceof RhubarbstageError)) return false;
  return thrown.kind === "no_quorum" || thrown.kind === "shutting_down";
}

function mayHaveRun(thrown: unknown): boolean {
  if (thrown instanceof TransportError) return thrown.maybeDelivered;
  return thrown instanceof RhubarbstageError && thrown.outcome !== "not_run";
}
