/**
 * What servers and operators ask of a host that takes part in control.
 *
 * @module
 */

import {
  type BackendServerId,
  type Incarnation,
  RhubarbstageError,
} from "rhubarbstage";
import type { DocumentClient, VersionedDocument } from "@rhubarbstage/control";
import type { Membership, ServerRecord } from "@rhubarbstage/membership";
import type { GroupStatus, Replica } from "@rhubarbstage/replica";
import type { HostEvents } from "./host_events.ts";
import { controlGroupName } from "./seat_operations.ts";

/**
 * Longest time for an operator's call, in milliseconds; operators ask another
 * host after a second.
 */
const callTimeout = 2_500;

/** Options of a {@linkcode ControlApi}. */
export interface ControlApiOptions {
  readonly documents: DocumentClient;
  readonly membership: Membership;
  readonly replica: Replica;
  /** Voters from which an acknowledged version survives the tolerated loss. */
  readonly requiredVoters: number;
  readonly events: HostEvents;
}

/** Takes announcements of servers and configurations of operators. */
export class ControlApi {
  readonly #options: ControlApiOptions;

  constructor(options: ControlApiOptions) {
    this.#options = options;
  }

  /** Takes an announcement; returns where the next one should go. */
  announce(record: ServerRecord): string {
    return this.#options.membership.handleAnnouncement(record).httpAddress;
  }

  /** Takes the word of a server that it leaves. */
  leave(id: BackendServerId, incarnation: Incarnation | undefined): void {
    const { membership, events } = this.#options;
    const known = membership.listServers()
      .find(({ record }) => record.id === id)?.record;
    const leaving = incarnation ?? known?.incarnation;
    events.record("server_left", { server: id, incarnation: leaving });
    if (leaving !== undefined) membership.handleDeparture(id, leaving);
  }

  /**
   * Publishes a version and returns the one in force after it. Throws
   * `no_quorum`, also while too few disks would hold it.
   */
  async publish(
    document: Omit<VersionedDocument, "name">,
  ): Promise<number> {
    const { documents, events } = this.#options;
    const { version } = document;
    this.#requireSafeSeats();
    const inForce = await documents.publish(document, { timeout: callTimeout });
    events.record("configuration_published", { version, in_force: inForce });
    return inForce;
  }

  /** The newest version. Throws `no_quorum` when it is not certain. */
  async read(): Promise<VersionedDocument | undefined> {
    return await this.#options.documents.read({ timeout: callTimeout });
  }

  #requireSafeSeats(): void {
    const { replica, requiredVoters: safeVoters } = this.#options;
    const status: GroupStatus = replica.groupStatus(controlGroupName);
    const voters = status.seats.filter(({ role }) => role === "voter");
    if (voters.length >= safeVoters) return;
    throw new RhubarbstageError("no_quorum", {
      message: `Only ${voters.length} of ${safeVoters} seats are taken`,
    });
  }
}
