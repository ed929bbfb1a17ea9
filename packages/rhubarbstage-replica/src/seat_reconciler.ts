/**
 * Moves seats of the groups to responding hosts.
 *
 * @module
 */

import { every, RhubarbstageError } from "rhubarbstage";
import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import { type Transport, TransportError } from "@rhubarbstage/transport";
import { replicaIdRequest } from "./repair.ts";
import type { Replica } from "./replica.ts";
import { planSeatChange } from "./seat_plan.ts";

/** Interval between checks of the seats, in milliseconds. */
const reconcileInterval = 250;
/** Timeout of a request for a host's replica id, in milliseconds. */
const replicaIdTimeout = 600;
/**
 * Time without an answer after which a seat may be replaced, in milliseconds;
 * longer than an election, so that a brief pause moves no seat.
 */
const defaultUnresponsiveTimeout = 2_500;

/** Options of a {@linkcode SeatReconciler}. */
export interface SeatReconcilerOptions {
  readonly replica: Replica;
  readonly transport: Transport;
  readonly groups: readonly GroupName[];
  /** Target number of voters per group. */
  readonly targetVoterCount: number;
  /** Known hosts with a data folder, the local one included. */
  readonly hosts: () => readonly HostId[];
  /** Time without an answer before a seat is replaced; defaults to 2,500 ms. */
  readonly unresponsiveTimeout?: number;
  readonly signal: AbortSignal;
  /**
   * Called for each attempted seat change, with its result, and for each
   * failure.
   */
  readonly onEvent: (
    event: string,
    fields: Readonly<Record<string, string | number>>,
  ) => void;
}

/** Changes seats of the groups that this host leads, one step at a time. */
export class SeatReconciler {
  #options: SeatReconcilerOptions;
  /** Time of the last answer, or of the first request if there was none. */
  #lastAnswerAt = new Map<HostId, number>();
  #respondingReplicas = new Map<HostId, ReplicaId>();
  #isReconciling = false;

  constructor(options: SeatReconcilerOptions) {
    this.#options = options;
  }

  /** Checks the seats periodically until the signal is aborted. */
  start(): void {
    const reconcile = () => void this.#reconcile();
    every(reconcileInterval, reconcile, { signal: this.#options.signal });
  }

  async #reconcile(): Promise<void> {
    const { replica, groups } = this.#options;
    const ledGroups = groups.filter((group) =>
      replica.leadership(group).isLeader
    );
    if (ledGroups.length === 0) {
      // Answer times from an earlier leadership must not make a host count as
      // unresponsive.
      this.#lastAnswerAt.clear();
      return;
    }
    if (this.#isReconciling) return;
    this.#isReconciling = true;
    try {
      await this.#refreshReplicaIds(ledGroups);
      for (const group of ledGroups) await this.#reconcileGroup(group);
    } finally {
      this.#isReconciling = false;
    }
  }

  async #refreshReplicaIds(groups: readonly GroupName[]): Promise<void> {
    const { replica, transport, hosts } = this.#options;
    const seatedHosts = groups.flatMap((group) =>
      replica.groupStatus(group).seats.map(({ host }) => host)
    );
    const queriedHosts = new Set([...seatedHosts, ...hosts()]);
    queriedHosts.delete(transport.host);
    await Promise.all(
      [...queriedHosts].map((host) => this.#refreshReplicaId(host)),
    );
  }

  async #refreshReplicaId(host: HostId): Promise<void> {
    const { transport } = this.#options;
    const now = performance.now();
    if (!this.#lastAnswerAt.has(host)) this.#lastAnswerAt.set(host, now);
    try {
      const request = { to: host, body: null, timeout: replicaIdTimeout };
      const id = await transport.request(replicaIdRequest, request);
      this.#respondingReplicas.set(host, id);
      this.#lastAnswerAt.set(host, performance.now());
    } catch (thrown) {
      if (!isUnreachable(thrown)) {
        this.#options.onEvent("seat_identity_failed", {
          host,
          cause: String(thrown),
        });
      }
      this.#respondingReplicas.delete(host);
    }
  }

  #unresponsiveHosts(): Set<HostId> {
    const { unresponsiveTimeout: timeout = defaultUnresponsiveTimeout } =
      this.#options;
    const now = performance.now();
    const unresponsive = new Set<HostId>();
    for (const [host, lastAnswerAt] of this.#lastAnswerAt) {
      if (now - lastAnswerAt >= timeout) unresponsive.add(host);
    }
    return unresponsive;
  }

  async #reconcileGroup(group: GroupName): Promise<void> {
    const {
      replica,
      transport,
      targetVoterCount: target,
      onEvent: reportEvent,
    } = this.#options;
    const { seats, commitIndex } = replica.groupStatus(group);
    const responding = new Map(this.#respondingReplicas).set(
      transport.host,
      replica.id,
    );
    const change = planSeatChange({
      seats,
      commitIndex,
      self: replica.id,
      targetVoterCount: target,
      respondingReplicas: responding,
      unresponsiveHosts: this.#unresponsiveHosts(),
    });
    if (change === undefined) return;
    const subject = change.kind === "add_learner"
      ? change.seat.replica
      : change.replica;
    try {
      const result = await replica.changeSeat(group, change);
      reportEvent("seat_changed", {
        group,
        step: change.kind,
        subject,
        result,
      });
    } catch (thrown) {
      const cause = thrown instanceof Error ? thrown.message : String(thrown);
      reportEvent("seat_change_failed", {
        group,
        step: change.kind,
        subject,
        cause,
      });
    }
  }
}

function isUnreachable(thrown: unknown): boolean {
  return thrown instanceof TransportError ||
    thrown instanceof RhubarbstageError && thrown.kind === "no_quorum";
}
