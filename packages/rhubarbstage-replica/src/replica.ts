/**
 * All groups of one host with a data folder.
 *
 * @module
 */

import { randomInt } from "node:crypto";
import { delay, RhubarbstageError } from "rhubarbstage";
import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import type { Message, Seat, SeatChange } from "@rhubarbstage/consensus";
import { DataFolder } from "@rhubarbstage/storage";
import {
  BootstrapParticipant,
  bootstrapRequest,
  runBootstrap,
} from "./bootstrap.ts";
import { consensusMessage, fromWire } from "./codec.ts";
import type { ConsensusBatch } from "./codec.ts";
import {
  defaultCallTimeout,
  defaultTickInterval,
  leadershipTransferTimeout,
} from "./constants.ts";
import { forwardRequest } from "./forward.ts";
import type { ForwardedAnswer, ForwardedCall } from "./forward.ts";
import type { GroupReplica } from "./group_replica.ts";
import { LeaderCaller } from "./leader_caller.ts";
import { LocalGroup } from "./local_group.ts";
import type {
  BootstrapOptions,
  RepairOptions,
  ReplicaOptions,
} from "./options.ts";
import { Outbox } from "./outbox.ts";
import { replicaIdRequest, runRepair } from "./repair.ts";
import type { GroupCallOptions } from "./replicated_group.ts";
import {
  sendSnapshot,
  SnapshotAssembler,
  snapshotRequest,
} from "./snapshot_transfer.ts";
import type { SnapshotChunk } from "./snapshot_transfer.ts";
import type { GroupStatus, Leadership, ReplicaStatus } from "./types.ts";

type AnyLocalGroup = LocalGroup<unknown, unknown, unknown>;

/** Runs several replicated groups over one data folder and one transport. */
export class Replica {
  readonly #options: ReplicaOptions;
  readonly #folder: DataFolder;
  readonly #groups = new Map<GroupName, AnyLocalGroup>();
  readonly #outbox: Outbox;
  readonly #snapshotAssembler = new SnapshotAssembler();
  readonly #bootstrapParticipant: BootstrapParticipant;
  /** Hosts by sending replica, for replicas without a seat known here. */
  readonly #senderHosts = new Map<ReplicaId, HostId>();
  readonly #failures = new Map<GroupName, Error>();
  #timer: ReturnType<typeof setInterval> | undefined;
  #lastTick = performance.now();

  private constructor(options: ReplicaOptions, folder: DataFolder) {
    this.#options = options;
    this.#folder = folder;
    this.#outbox = new Outbox(options.transport, this.id);
    this.#bootstrapParticipant = new BootstrapParticipant({
      folder,
      isEmpty: () => [...this.#groups.values()].every((group) => group.isEmpty),
      writeInitialEntries: (seats) => this.#writeSeats(seats),
    });
  }

  /**
   * Opens the data folder, restores every group and starts serving. Throws
   * `CorruptionError` when files are damaged and `FolderInUseError` when
   * another process has the folder open.
   */
  static async open(options: ReplicaOptions): Promise<Replica> {
    const { host } = options.transport;
    const { disk } = options;
    const folder = await DataFolder.open(options.dataFolder, {
      host,
      ...(disk === undefined ? {} : { disk }),
    });
    try {
      const replica = new Replica(options, folder);
      for (const name of options.groups.keys()) await replica.#openGroup(name);
      replica.#start();
      return replica;
    } catch (thrown) {
      await folder.close();
      throw thrown;
    }
  }

  /** Random id generated when the data folder was created. */
  get id(): ReplicaId {
    return this.#folder.identity.replica;
  }

  /** Returns a group. Throws `not_found` if it is not in the options. */
  group<State, Command, Result>(
    name: GroupName,
  ): GroupReplica<State, Command, Result> {
    return this.#group(name) as unknown as GroupReplica<State, Command, Result>;
  }

  /** Returns a group's leadership known here, which may be out of date. */
  leadership(name: GroupName): Leadership {
    return this.#group(name).leadership();
  }

  /** Calls `listener` on each change of a group's leadership, until aborted. */
  onLeadership(
    name: GroupName,
    listener: (leadership: Leadership) => void,
    options: { signal?: AbortSignal } = {},
  ): void {
    this.#group(name).onLeadership(listener, options);
  }

  /**
   * Confirms through a quorum round that this replica leads, and returns the
   * term. Must be called again after any wait before acting as the leader.
   * Throws `no_quorum`.
   */
  confirmLeadership(
    name: GroupName,
    options: GroupCallOptions = {},
  ): Promise<number> {
    return this.#group(name).confirmLeadership(options);
  }

  /**
   * Forms a cluster with a seat for every listed host; can be retried on this
   * host until it succeeds. Throws `forbidden` when a host cannot grant or
   * commit it, for example after another grant, as each grants at most one, and
   * `no_quorum` when one does not answer.
   */
  async bootstrap(options: BootstrapOptions): Promise<readonly Seat[]> {
    const { transport } = this.#options;
    const local = this.#bootstrapParticipant;
    return await runBootstrap({
      ...options,
      transport,
      replica: this.id,
      local,
    });
  }

  /**
   * Replaces a lost replica by that of another host, or of the same host with a
   * new data folder, once the replacement has caught up as a learner. Resolves
   * once every voter has on disk all entries committed when the seats were
   * complete, so that losing another host loses none; throws a retryable
   * `no_quorum`, and `invalid_request` when the replacement host runs the lost
   * replica.
   */
  async repair(options: RepairOptions): Promise<void> {
    const { transport } = this.#options;
    const callers = new Map(
      [...this.#groups].map(([name, group]) => [
        name,
        new LeaderCaller({
          transport,
          hosts: () => this.#voterHosts(group),
          handleLocally: (call, signal) => group.handleCall(call, signal),
        }),
      ]),
    );
    await runRepair({ ...options, transport, callers, replica: this.id });
  }

  /** Returns this replica's status of one group. */
  groupStatus(name: GroupName): GroupStatus {
    return this.#group(name).status();
  }

  /**
   * Changes a seat and returns `committed`, `not_leader` or the refusal. Throws
   * a `TimeoutError` after 5 s, `no_quorum` if the result is unknown, or the
   * error of a stopped group.
   */
  async changeSeat(name: GroupName, change: SeatChange): Promise<string> {
    const signal = AbortSignal.timeout(defaultCallTimeout);
    const call = { kind: "change_seats", group: name, change } as const;
    const answer = await this.#group(name).handleCall(call, signal);
    return answer.kind === "done" ? String(answer.value) : "not_leader";
  }

  /** Returns this replica's and its groups' status for operators. */
  status(): ReplicaStatus {
    const { identity } = this.#folder;
    const groups = [...this.#groups.values()].map((group) => group.status());
    return {
      replica: identity.replica,
      host: identity.host,
      isBootstrapped: identity.isBootstrapped,
      isSeated: groups.every((group) => group.role !== "none"),
      groups,
      failures: [...this.#failures].map(([group, { message }]) => ({
        group,
        message,
      })),
    };
  }

  /** Transfers leadership, finishes pending writes and unlocks the folder. */
  async close(): Promise<void> {
    await this.#transferLeadership();
    clearInterval(this.#timer);
    for (const group of this.#groups.values()) group.stop();
    await this.#folder.close();
  }

  async #openGroup(name: GroupName): Promise<void> {
    const { groups, transport, seed = randomInt(2 ** 31) } = this.#options;
    const { heartbeatTicks, electionTicks, snapshotEntries } = this.#options;
    const definition = groups.get(name);
    if (definition === undefined) return;
    const group: AnyLocalGroup = new LocalGroup({
      name,
      self: this.id,
      definition,
      log: await this.#folder.openLog(name),
      transport,
      seed: seed + this.#groups.size,
      ...(heartbeatTicks === undefined ? {} : { heartbeatTicks }),
      ...(electionTicks === undefined ? {} : { electionTicks }),
      ...(snapshotEntries === undefined ? {} : { snapshotEntries }),
      send: (message) => this.#send(group, message),
      sendSnapshot: async ({ to, term, snapshot }) => {
        const host = this.#hostOf(group, to);
        if (host === undefined) return false;
        const from = this.id;
        const transfer = { group: name, from, to, host, term, snapshot };
        return await sendSnapshot(transport, transfer);
      },
      onFailure: (error) => this.#recordFailure(name, error),
    });
    this.#groups.set(name, group);
  }

  #start(): void {
    const { transport, tickInterval = defaultTickInterval } = this.#options;
    transport.onMessage(
      consensusMessage,
      (batch, sender) => this.#receiveBatch(batch, sender.host),
    );
    transport.onRequest(
      forwardRequest,
      (call, { signal }) => this.#handleForwardedCall(call, signal),
    );
    transport.onRequest(
      snapshotRequest,
      (chunk, { sender }) => this.#receiveSnapshotChunk(chunk, sender.host),
    );
    transport.onRequest(
      bootstrapRequest,
      (step) => this.#bootstrapParticipant.handleStep(step),
    );
    transport.onRequest(replicaIdRequest, () => this.id);
    this.#timer = setInterval(() => this.#tick(tickInterval), tickInterval);
  }

  /** Ticks all groups, with the ticks missed while the process was paused. */
  #tick(interval: number): void {
    const now = performance.now();
    const count = Math.max(1, Math.round((now - this.#lastTick) / interval));
    this.#lastTick = now;
    for (const group of this.#groups.values()) group.tick(count);
  }

  #receiveBatch(batch: ConsensusBatch, host: HostId): void {
    const [from, to, messages] = batch;
    if (to !== this.id || this.#awaitsBootstrapCommit()) return;
    this.#senderHosts.set(from, host);
    for (const wire of messages) {
      const group = this.#groups.get(wire[0] as GroupName);
      group?.step({ kind: "message", message: fromWire(wire, { from, to }) });
    }
  }

  /**
   * Whether this host is between grant and commit, when groups drop messages:
   * hosts that have committed may already hold elections, and a vote cast now
   * would be lost when the first entry is written.
   */
  #awaitsBootstrapCommit(): boolean {
    const { grant, isBootstrapped } = this.#folder.identity;
    return grant !== undefined && !isBootstrapped;
  }

  async #handleForwardedCall(
    call: ForwardedCall,
    signal: AbortSignal,
  ): Promise<ForwardedAnswer> {
    return await this.#group(call.group).handleCall(call, signal);
  }

  #receiveSnapshotChunk(chunk: SnapshotChunk, host: HostId): boolean {
    const { group, from, to } = chunk;
    if (to !== this.id || this.#awaitsBootstrapCommit()) return false;
    this.#senderHosts.set(from, host);
    const message = this.#snapshotAssembler.add(chunk);
    if (typeof message === "boolean") return message;
    this.#group(group).step({
      kind: "message",
      message: { ...message, from, to },
    });
    return true;
  }

  #send(group: AnyLocalGroup, message: Message): void {
    const host = this.#hostOf(group, message.to);
    if (host === undefined) return;
    this.#outbox.add(message, { group: group.name, host });
  }

  #hostOf(group: AnyLocalGroup, replica: ReplicaId): HostId | undefined {
    return group.hostOf(replica) ?? this.#senderHosts.get(replica);
  }

  #voterHosts(group: AnyLocalGroup): readonly HostId[] {
    const { leader } = group.leadership();
    const hosts = group.status().seats
      .filter((seat) => seat.role === "voter")
      .map((seat) => seat.host);
    return leader === undefined ? hosts : [leader, ...hosts];
  }

  async #writeSeats(seats: readonly Seat[]): Promise<void> {
    for (const group of this.#groups.values()) {
      await group.bootstrap({ voters: seats, learners: [] });
    }
  }

  async #transferLeadership(): Promise<void> {
    const leading = () =>
      [...this.#groups.values()].filter((group) => group.leadership().isLeader);
    for (const group of leading()) group.transferLeadership();
    const deadline = performance.now() + leadershipTransferTimeout;
    while (leading().length > 0 && performance.now() < deadline) {
      const hasOtherReplicas = leading().some((group) =>
        group.status().seats.some((seat) => seat.replica !== this.id)
      );
      if (!hasOtherReplicas) return;
      await delay(10);
    }
  }

  #recordFailure(group: GroupName, error: Error): void {
    this.#failures.set(group, error);
    this.#options.onFailure?.({ group, error });
  }

  #group(name: GroupName): AnyLocalGroup {
    const group = this.#groups.get(name);
    if (group !== undefined) return group;
    throw new RhubarbstageError("not_found", {
      message: `Group "${name}" does not exist on this host`,
    });
  }
}
