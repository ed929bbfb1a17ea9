/**
 * Access to the replicated groups, through seats on this host or as a client of
 * other hosts.
 *
 * @module
 */

import {
  type GroupName,
  type HostId,
  type ReplicaId,
  RhubarbstageError,
} from "rhubarbstage";
import {
  type ControlCommand,
  type ControlGroup,
  controlQueries,
  type ControlResult,
  type ControlState,
  ControlStateMachine,
  type JournalCommand,
  type JournalGroup,
  journalQueries,
  type JournalResult,
  JournalStateMachine,
} from "@rhubarbstage/control";
import {
  type AnyGroupDefinition,
  GroupClient,
  type GroupReplica,
  type GroupStatus,
  Replica,
} from "@rhubarbstage/replica";
import type {
  BootstrapAnswer,
  ProcessSettings,
  RepairRequest,
} from "@rhubarbstage/settings";
import type { DiskRetryOptions } from "@rhubarbstage/storage";
import type { Transport } from "@rhubarbstage/transport";

/** Name of the group that replicates configuration, orders and drains. */
export const controlGroupName = "control" as GroupName;

function journalName(number: number): GroupName {
  return `journal-${number}` as GroupName;
}

/** Options of {@linkcode ReplicatedGroups.open}. */
export interface ReplicatedGroupsOptions {
  readonly process: Pick<
    ProcessSettings,
    "cluster" | "dataFolder" | "journalGroups" | "peers" | "region"
  >;
  readonly transport: Transport;
  /**
   * Hosts that may have seats, nearest first; defaults to the replicas in the
   * process settings.
   */
  readonly replicaHosts?: () => readonly HostId[];
  /** Timeout of a call to one host, in milliseconds; defaults to 1,500. */
  readonly attemptTimeout?: number;
  readonly onFailure: (failure: { group: GroupName; error: Error }) => void;
  /** Called when the disk starts or ends to refuse operations. */
  readonly disk: DiskRetryOptions;
}

type ControlSeat = GroupReplica<ControlState, ControlCommand, ControlResult>;

/** Replicated groups; without a data folder, calls go to other hosts. */
export class ReplicatedGroups {
  readonly control: ControlGroup;
  readonly journals: readonly JournalGroup[];
  #options: ReplicatedGroupsOptions;
  #replica: Replica | undefined;

  private constructor(
    options: ReplicatedGroupsOptions,
    replica: Replica | undefined,
  ) {
    this.#options = options;
    this.#replica = replica;
    const { journalGroups } = options.process;
    this.control = this.#group<ControlCommand, ControlResult>(controlGroupName);
    this.journals = Array.from(
      { length: journalGroups },
      (_, number) =>
        this.#group<JournalCommand, JournalResult>(journalName(number)),
    );
  }

  /** Opens the replica, if the process settings name a data folder. */
  static async open(
    options: ReplicatedGroupsOptions,
  ): Promise<ReplicatedGroups> {
    const { process, transport, onFailure, disk } = options;
    const { dataFolder, journalGroups } = process;
    if (dataFolder === undefined) {
      return new ReplicatedGroups(options, undefined);
    }
    const groups = defineGroups(journalGroups);
    const replica = await Replica.open({
      dataFolder,
      transport,
      groups,
      onFailure,
      disk,
    });
    return new ReplicatedGroups(options, replica);
  }

  /** Seat of the control group, if this host has a data folder. */
  get controlSeat(): ControlSeat | undefined {
    return this.#replica?.group(controlGroupName) as ControlSeat | undefined;
  }

  /** The replica of this host, if it has a data folder. */
  get replica(): Replica | undefined {
    return this.#replica;
  }

  /** Id of this host's replica, if it has a data folder. */
  get replicaId(): ReplicaId | undefined {
    return this.#replica?.id;
  }

  /** Whether the bootstrap was committed here; true without a data folder. */
  get isBootstrapped(): boolean {
    return this.#replica?.status().isBootstrapped ?? true;
  }

  /** Status of the groups that have a seat on this host. */
  status(): readonly GroupStatus[] {
    return this.#replica?.status().groups ?? [];
  }

  /** Bootstraps the system; repeated calls return the seats with `replayed`. */
  async bootstrap(
    hosts: readonly HostId[],
  ): Promise<Omit<BootstrapAnswer, "revision">> {
    const replica = this.#requireReplica();
    const replayed = replica.status().isBootstrapped;
    const seats = await replica.bootstrap({ hosts });
    const { cluster } = this.#options.process;
    return {
      cluster,
      seats: seats.map(({ host, replica }) => ({ host, replica })),
      replayed,
    };
  }

  /**
   * Moves a lost replica's seats. Returns true if the named replica no longer
   * has a seat; throws `invalid_request` if a lost host named alone has none.
   */
  async repair(request: RepairRequest): Promise<boolean> {
    const replica = this.#requireReplica();
    const { lost, replacement } = request;
    const seats = replica.status().groups.flatMap((group) => group.seats);
    const seat = seats.find((seat) =>
      request.replica === undefined
        ? seat.host === lost
        : seat.replica === request.replica
    );
    if (seat !== undefined) {
      await replica.repair({ lost: seat.replica, replacement });
      return false;
    }
    if (request.replica !== undefined) return true;
    throw new RhubarbstageError("invalid_request", {
      message: `Host "${lost}" has no seat in any group`,
    });
  }

  /** Closes the data folder. */
  async close(): Promise<void> {
    await this.#replica?.close();
  }

  #requireReplica(): Replica {
    if (this.#replica !== undefined) return this.#replica;
    throw new RhubarbstageError("invalid_request", {
      message:
        "This host has no data folder; send the request to a host that has one",
    });
  }

  #group<Command, Result>(
    name: GroupName,
  ): GroupClient<Command, Result> | GroupReplica<unknown, Command, Result> {
    if (this.#replica !== undefined) {
      return this.#replica.group(name) as GroupReplica<
        unknown,
        Command,
        Result
      >;
    }
    const { transport, process, replicaHosts } = this.#options;
    if (replicaHosts !== undefined) {
      const { attemptTimeout } = this.#options;
      return new GroupClient({
        transport,
        group: name,
        hosts: replicaHosts,
        ...(attemptTimeout === undefined ? {} : { attemptTimeout }),
      });
    }
    const hosts = process.peers
      .filter(({ replica }) => replica)
      .toSorted((left, right) =>
        Number(right.region === process.region) -
        Number(left.region === process.region)
      )
      .map(({ host }) => host);
    return new GroupClient({ transport, group: name, hosts: () => hosts });
  }
}

function defineGroups(
  journalGroups: number,
): ReadonlyMap<GroupName, AnyGroupDefinition> {
  const groups = new Map<GroupName, AnyGroupDefinition>();
  groups.set(controlGroupName, {
    stateMachine: new ControlStateMachine(),
    queries: controlQueries,
  });
  for (let number = 0; number < journalGroups; number += 1) {
    groups.set(journalName(number), {
      stateMachine: new JournalStateMachine(),
      queries: journalQueries,
    });
  }
  return groups;
}
