/**
 * State of the control group. Entries are replaced, never changed in place, so
 * that answers and snapshots may share them.
 *
 * @module
 */

import type {
  BackendServerId,
  EditId,
  Incarnation,
  OrderId,
  Revision,
} from "rhubarbstage";
import { firstRevision } from "./constants.ts";
import type {
  AgreedUsage,
  Drain,
  DutyRecord,
  EditResult,
  HistoryEntry,
  OrderIntent,
  Tree,
  VersionedDocument,
} from "./types.ts";

/** First answer to an edit, with a digest of the edit. */
export interface RememberedEdit {
  /** SHA-256 of expected revision and operations. */
  readonly digest: string;
  readonly result: EditResult;
}

/** Newest known incarnation and open order of one engine. */
export interface TrackedEngine {
  readonly incarnation: Incarnation;
  /** Order that may still take effect. */
  readonly open?: OrderId;
}

/** State of the control group. */
export interface ControlState {
  revision: Revision;
  tree: Tree;
  /** Latest accepted edits, oldest first. */
  history: HistoryEntry[];
  /** Length of the history's operations as JSON, in UTF-16 code units. */
  historyBytes: number;
  edits: Map<EditId, RememberedEdit>;
  drains: Map<BackendServerId, Drain>;
  drainVersion: number;
  drainCommands: Map<EditId, boolean>;
  orders: Map<OrderId, OrderIntent>;
  /** Ids of ended orders, oldest first. */
  endedOrders: Map<OrderId, true>;
  /** Orders that were withdrawn before their intent was applied. */
  withdrawn: Map<OrderId, true>;
  engines: Map<BackendServerId, TrackedEngine>;
  /** Document in force by name. */
  documents: Map<string, VersionedDocument>;
  /** Absent until the first duty is taken, and in snapshots of older builds. */
  duties?: DutyState;
}

/** Holders of duties and agreed usage. */
export interface DutyState {
  /** Holder by duty. */
  readonly holders: Map<string, DutyRecord>;
  /** Latest agreed usage windows by number, oldest first. */
  readonly usage: Map<number, AgreedUsage>;
  /** Highest window that was agreed or left out; -1 before the first. */
  lastUsageWindow: number;
}

/** Returns the state before the first command. */
export function initialControlState(): ControlState {
  return {
    revision: firstRevision as Revision,
    tree: {},
    history: [],
    historyBytes: 0,
    edits: new Map(),
    drains: new Map(),
    drainVersion: 0,
    drainCommands: new Map(),
    orders: new Map(),
    endedOrders: new Map(),
    withdrawn: new Map(),
    engines: new Map(),
    documents: new Map(),
  };
}

/** Copies a state, so that later changes do not affect the copy. */
export function copyControlState(state: ControlState): ControlState {
  return {
    ...state,
    history: [...state.history],
    edits: new Map(state.edits),
    drains: new Map(state.drains),
    drainCommands: new Map(state.drainCommands),
    orders: new Map(state.orders),
    endedOrders: new Map(state.endedOrders),
    withdrawn: new Map(state.withdrawn),
    engines: new Map(state.engines),
    // Snapshots of earlier versions have no documents.
    documents: new Map(state.documents ?? []),
    ...(state.duties === undefined ? {} : {
      duties: {
        holders: new Map(state.duties.holders),
        usage: new Map(state.duties.usage),
        lastUsageWindow: state.duties.lastUsageWindow,
      },
    }),
  };
}
