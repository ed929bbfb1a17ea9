/**
 * Membership of hosts and backend servers as a pure reducer.
 *
 * @module
 */

import type { Incarnation } from "rhubarbstage";
import { Reducer, SeededRandom } from "rhubarbstage";
import { maxEvidenceAge, recheckAge } from "./constants.ts";
import { handleGossip, publishQuarantineMarks } from "./gossip_exchange.ts";
import { gossipWithLinkedHost, pushChanges, tick } from "./gossip_round.ts";
import { hashText } from "rhubarbstage";
import { createLog, ownLog, writeEntry } from "./host_logs.ts";
import {
  type Effects,
  handleAnnouncement,
  handleCheckAnswer,
  handleDeparture,
} from "./server_records.ts";
import type { MembershipState } from "./state.ts";
import type { HostRecord, MembershipEffect, MembershipEvent } from "./types.ts";

/** Options of a {@linkcode MembershipReducer}. */
export interface MembershipReducerOptions {
  /** Record of this host. */
  readonly self: HostRecord;
  /** Incarnation of this process. */
  readonly incarnation: Incarnation;
  /** Hosts known from the process settings. */
  readonly seeds?: readonly HostRecord[];
  /** Random seed for gossip targets; defaults to the hash of the host's id. */
  readonly seed?: number;
  /**
   * Maximum age of the evidence on which a server gets new work, in
   * milliseconds; defaults to 5,000. May be longer where requests name the
   * process they are meant for, so that a wrong server refuses them.
   */
  readonly maxEvidenceAge?: number;
  /** Evidence age that triggers a direct check; defaults to 3,500 ms. */
  readonly recheckAge?: number;
}

/** Reduces membership events on one host. See docs/design.md, section 4.6. */
export class MembershipReducer
  extends Reducer<MembershipState, MembershipEvent, MembershipEffect> {
  #options: MembershipReducerOptions;

  constructor(options: MembershipReducerOptions) {
    super();
    this.#options = options;
  }

  override initial(): MembershipState {
    const { self, incarnation, seeds = [], seed = hashText(self.host) } =
      this.#options;
    const state: MembershipState = {
      self,
      incarnation,
      logs: new Map([[self.host, createLog(self.host, incarnation)]]),
      servers: new Map(),
      removals: new Map(),
      maxEvidenceAge: this.#options.maxEvidenceAge ?? maxEvidenceAge,
      recheckAge: this.#options.recheckAge ?? recheckAge,
      urgentChange: false,
      pushedVersion: 0,
      seeds,
      random: new SeededRandom(seed),
      registrarsByRegion: new Map(
        self.registrar === false ? [] : [[self.region, [self.host]]],
      ),
      registrars: new Set(self.registrar === false ? [] : [self.host]),
      neighbours: [],
      peersSelectedAt: -Infinity,
      sliceStart: 0,
    };
    ownLog(state).alive = true;
    writeEntry(state, "host", { type: "host", record: self }, 0);
    return state;
  }

  override reduce(
    state: MembershipState,
    event: MembershipEvent,
  ): readonly MembershipEffect[] {
    const effects: Effects = [];
    switch (event.type) {
      case "announced":
        handleAnnouncement(state, event, effects);
        break;
      case "left":
        handleDeparture(state, event, effects);
        break;
      case "checked":
        handleCheckAnswer(state, event, effects);
        break;
      case "received":
        handleGossip(state, event, effects);
        break;
      case "marks_published":
        publishQuarantineMarks(state, event.marks, event.now);
        break;
      case "request_limits_published": {
        const { limits, now } = event;
        const value = { type: "request_limits", limits } as const;
        writeEntry(state, "request_limits", value, now);
        break;
      }
      case "part_marks_published": {
        const { marks, now } = event;
        writeEntry(state, "part_marks", { type: "part_marks", marks }, now);
        break;
      }
      case "revision_changed": {
        const { revision, now } = event;
        writeEntry(state, "revision", { type: "revision", revision }, now);
        break;
      }
      case "linked":
        gossipWithLinkedHost(state, event, effects);
        break;
      case "tick":
        tick(state, event.now, effects);
        break;
    }
    if (state.urgentChange) pushChanges(state, event.now, effects);
    return effects;
  }
}
