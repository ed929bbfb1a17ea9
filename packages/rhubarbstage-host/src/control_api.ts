/**
 * Interface for servers and operators of a host in the control group.
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
 * Timeout of an operator's call, in milliseconds; operators try another host
 * after a second.
 */
const callTimeout = 2_500;

/** Options of a {@linkcode ControlApi}. */
export interface ControlApiOptions {
  readonly documents: DocumentClient;
  readonly membership: Membership;
  readonly replica: Replica;
  /** Voters needed for an acknowledged version to survive tolerated losses. */
  readonly requiredVoters: number;
  readonly events: HostEvents;
}

/** Handles announcements of servers and configurations from operators. */
export class ControlApi {
  readonly #options: ControlApiOptions;

  constructor(options: ControlApiOptions) {
    this.#options = options;
  }

  /** Handles an announcement; returns the HTTP address for the next one. */
  announce(record: ServerRecord): string {
    return this.#options.membership.handleAnnouncement(record).httpAddress;
  }

  /** Handles a departure; without an incarnation, of the known process. */
  leave(id: BackendServerId, incarnation: Incarnation | undefined): void {
    const { membership, events } = this.#options;
    const known = membership.listServers()
      .find(({ record }) => record.id === id)?.record;
    const departing = incarnation ?? known?.incarnation;
    events.record("server_left", { server: id, incarnation: departing });
    if (departing !== undefined) membership.handleDeparture(id, departing);
  }

  /**
   * Publishes a version and returns the active one afterwards. Throws
   * `no_quorum`, also while the group has too few voters.
   */
  async publish(
    document: Omit<VersionedDocument, "name">,
  ): Promise<number> {
    const { documents, events } = this.#options;
    const { version } = document;
    this.#requireEnoughVoters();
    const inForce = await documents.publish(document, { timeout: callTimeout });
    events.record("configuration_published", { version, in_force: inForce });
    return inForce;
  }

  /** Reads the newest version. Throws `no_quorum` if it cannot be confirmed. */
  async read(): Promise<VersionedDocument | undefined> {
    return await this.#options.documents.read({ timeout: callTimeout });
  }

  #requireEnoughVoters(): void {
    const { replica, requiredVoters } = this.#options;
    const status: GroupStatus = replica.groupStatus(controlGroupName);
    const voters = status.seats.filter(({ role }) => role === "voter");
    if (voters.length >= requiredVoters) return;
    throw new RhubarbstageError("no_quorum", {
      message:
        `Control group has ${voters.length} voters; ${requiredVoters} are required`,
    });
  }
}
