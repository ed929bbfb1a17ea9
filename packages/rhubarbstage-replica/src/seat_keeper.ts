/**
 * Keeps the seats of all groups on hosts that answer.
 *
 * @module
 */

import { every, RhubarbstageError } from "rhubarbstage";
import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import { type Transport, TransportError } from "@rhubarbstage/transport";
import { replicaIdRequest } from "./repair.ts";
import type { Replica } from "./replica.ts";
import { planSeatChange } from "./seat_plan.ts";

/** Time between two looks at the seats, in milliseconds. */
const lookInterval = 250;
/** Longest wait for a host's replica id, in milliseconds. */
const identityTimeout = 600;
/**
 * Time without an answer after which a seat may be given away, in milliseconds;
 * longer than an election, so that a brief pause moves nothing.
 */
const defaultSilence = 2_500;

/** Options of a {@linkcode SeatReconciler}. */
export interface SeatReconcilerOptions {
  readonly replica: Replica;
  readonly transport: Transport;
  readonly groups: readonly GroupName[];
  /** Voters that each group should have. */
  readonly targetVoterCount: number;
  /** Hosts with a data folder that are known, the own one included. */
  readonly hosts: () => readonly HostId[];
  /** Silence after which a seat may be given away; defaults to 2,500 ms. */
  readonly unresponsiveTimeout?: number;
  readonly signal: AbortSignal;
  /** Called with each step that was taken and each that failed. */
  readonly onEvent: (
    event: string,
    fields: Readonly<Record<string, string | number>>,
  ) => void;
}

/** Gives seats to hosts that answer while this host leads a group. */
export class SeatReconciler {
  #options: SeatReconcilerOptions;
  #heardAt = new Map<HostId, number>();
  #present = new Map<HostId, ReplicaId>();
  #busy = false;

  constructor(options: SeatReconcilerOptions) {
    this.#options = options;
  }

  /** Looks at the seats until the signal is aborted. */
  start(): void {
    const look = () => void this.#look();
    every(lookInterval, look, { signal: this.#options.signal });
  }

  async #look(): Promise<void> {
    const { replica, groups } = this.#options;
    const led = groups.filter((group) => replica.leadership(group).isLeader);
    if (led.length === 0) {
      // A new term starts without the silence of an earlier one.
      this.#heardAt.clear();
      return;
    }
    if (this.#busy) return;
    this.#busy = true;
    try {
      await this.#askIdentities(led);
      for (const group of led) await this.#improve(group);
    } finally {
      this.#busy = false;
    }
  }

  async #askIdentities(groups: readonly GroupName[]): Promise<void> {
    const { replica, transport, hosts } = this.#options;
    const seated = groups.flatMap((group) =>
      replica.groupStatus(group).seats.map(({ host }) => host)
    );
    const asked = new Set([...seated, ...hosts()]);
    asked.delete(transport.host);
    await Promise.all([...asked].map((host) => this.#askIdentity(host)));
  }

  async #askIdentity(host: HostId): Promise<void> {
    const { transport } = this.#options;
    const now = performance.now();
    if (!this.#heardAt.has(host)) this.#heardAt.set(host, now);
    try {
      const request = { to: host, body: null, timeout: identityTimeout };
      const id = await transport.request(replicaIdRequest, request);
      this.#present.set(host, id);
      this.#heardAt.set(host, performance.now());
    } catch (thrown) {
      if (!isSilence(thrown)) {
        this.#options.onEvent("seat_identity_failed", {
          host,
          cause: String(thrown),
        });
      }
      this.#present.delete(host);
    }
  }

  #silentHosts(): Set<HostId> {
    const { unresponsiveTimeout: silence = defaultSilence } = this.#options;
    const now = performance.now();
    const silent = new Set<HostId>();
    for (const [host, at] of this.#heardAt) {
      if (now - at >= silence) silent.add(host);
    }
    return silent;
  }

  async #improve(group: GroupName): Promise<void> {
    const { replica, transport, targetVoterCount: target, onEvent: onNote } =
      this.#options;
    const { seats, commitIndex } = replica.groupStatus(group);
    const present = new Map(this.#present).set(transport.host, replica.id);
    const change = planSeatChange({
      seats,
      commitIndex,
      self: replica.id,
      targetVoterCount: target,
      respondingReplicas: present,
      unresponsiveHosts: this.#silentHosts(),
    });
    if (change === undefined) return;
    const subject = change.kind === "add_learner"
      ? change.seat.replica
      : change.replica;
    try {
      const result = await replica.changeSeat(group, change);
      onNote("seat_changed", { group, step: change.kind, subject, result });
    } catch (thrown) {
      const cause = thrown instanceof Error ? thrown.message : String(thrown);
      onNote("seat_change_failed", {
        group,
        step: change.kind,
        subject,
        cause,
      });
    }
  }
}

function isSilence(thrown: unknown): boolean {
  return thrown instanceof TransportError ||
    thrown instanceof RhubarbstageError && thrown.kind === "no_quorum";
}
