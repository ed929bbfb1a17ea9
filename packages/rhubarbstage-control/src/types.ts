/**
 * Types of the control state, the claim journal and their clients.
 *
 * @module
 */

import type {
  AttemptId,
  BackendServerId,
  ClaimKey,
  Clock,
  CustomerId,
  EditId,
  FencingNumber,
  HostId,
  Incarnation,
  OrderId,
  Revision,
} from "rhubarbstage";
import type { ReplicatedGroup } from "@rhubarbstage/replica";

/** Plain JSON value of the settings tree. */
export type TreeValue =
  | null
  | boolean
  | number
  | string
  | readonly TreeValue[]
  | Tree;

/** The settings tree, or a branch of it. */
export interface Tree {
  readonly [name: string]: TreeValue;
}

/** Names from the root of the tree; names may contain any character. */
export type TreePath = readonly string[];

/** One change of the tree. */
export type TreeOperation =
  | { readonly path: TreePath; readonly set: TreeValue }
  | { readonly path: TreePath; readonly remove: true };

/** An operator's change of the tree. */
export interface Edit {
  /** Unchanged in resends; each id takes effect once. */
  readonly editId: EditId;
  /** The edit is applied only when the tree has this revision. */
  readonly expectedRevision: Revision;
  readonly operations: readonly TreeOperation[];
  /** Operator who sent the edit, for the history. */
  readonly author: string;
}

/** First answer to an edit, returned again for every resend. */
export type EditResult =
  | { readonly type: "accepted"; readonly revision: Revision }
  | { readonly type: "conflict"; readonly revision: Revision }
  /** An operation does not fit the tree, for example a path through a number. */
  | { readonly type: "invalid"; readonly message: string }
  /** The edit id was used with other content. */
  | { readonly type: "edit_id_reused" };

/** One accepted edit. */
export interface HistoryEntry {
  readonly revision: Revision;
  readonly editId: EditId;
  readonly author: string;
  /** Wall time of the host that proposed the edit, in milliseconds. */
  readonly at: number;
  readonly operations: readonly TreeOperation[];
}

/** A backend server that an operator has taken out of service. */
export interface Drain {
  readonly backendServer: BackendServerId;
  readonly author: string;
  /** Wall time of the host that proposed the drain, in milliseconds. */
  readonly at: number;
}

/** Changes that an order can request from an engine. */
export type OrderKind =
  | "load_model"
  | "load_adapter"
  | "load_version"
  | "set_role"
  | "drain"
  | "undrain";

/** One process of a host. */
export interface HostProcess {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** An order before it is committed. */
export interface Order {
  readonly orderId: OrderId;
  readonly backendServer: BackendServerId;
  readonly kind: OrderKind;
  /** Model, adapter, version or role; empty for `drain` and `undrain`. */
  readonly argument: string;
}

/** How an intent ended. */
export type OrderEnding =
  /** The engine confirmed the order. */
  | "confirmed"
  /** The sender reports that it wrote no byte and never will. */
  | "not_sent"
  /** The engine refused the order. */
  | "refused"
  /** The engine process that could have received the order is gone. */
  | "new_incarnation"
  /** A later intent for an engine that honours fencing numbers. */
  | "superseded"
  /** An operator reports that the order can have no further effect. */
  | "operator";

/** A committed order. */
export interface OrderIntent extends Order {
  /** Log index of the intent. */
  readonly fencingNumber: FencingNumber;
  /** Engine process that the order is for. */
  readonly incarnation: Incarnation;
  readonly honoursFencing: boolean;
  readonly sender: HostProcess;
  /** Whether a second process may have written the same order. */
  readonly takenOver: boolean;
  /** Absent while the order may still take effect. */
  readonly ending?: OrderEnding;
}

/** Answer to an intent. */
export type IntentResult =
  | { readonly type: "accepted"; readonly intent: OrderIntent }
  /** Another order to the same engine has not ended. */
  | { readonly type: "conflict"; readonly open: OrderIntent }
  /** A newer process of the engine is known. */
  | { readonly type: "stale_incarnation"; readonly known: Incarnation }
  /** The sender withdrew the order before its intent was applied. */
  | { readonly type: "withdrawn" };

/** Commands of the control group. */
export type ControlCommand =
  | { readonly type: "edit"; readonly edit: Edit; readonly at: number }
  | {
    readonly type: "set_drain";
    readonly commandId: EditId;
    readonly backendServer: BackendServerId;
    readonly drained: boolean;
    readonly author: string;
    readonly at: number;
  }
  | {
    readonly type: "intend";
    readonly order: Order;
    readonly incarnation: Incarnation;
    readonly honoursFencing: boolean;
    readonly sender: HostProcess;
  }
  /** A new leader finishes an order of an engine that honours fencing. */
  | {
    readonly type: "take_over";
    readonly orderId: OrderId;
    readonly sender: HostProcess;
  }
  /** Publishes a document under a version that the publisher chose. */
  | {
    readonly type: "publish";
    readonly document: VersionedDocument;
  }
  | {
    readonly type: "end_order";
    readonly orderId: OrderId;
    readonly ending: "confirmed" | "not_sent" | "refused" | "operator";
    /** Process that reports the ending. */
    readonly sender: HostProcess;
  }
  | {
    readonly type: "observe_engine";
    readonly backendServer: BackendServerId;
    readonly incarnation: Incarnation;
  }
  /** Makes a process the holder of a duty, under a new fencing token. */
  | {
    readonly type: "take_duty";
    readonly duty: string;
    readonly holder: HostProcess;
    /** Distinguishes a resent command from a new one of the same process. */
    readonly takeId: string;
  }
  /** Fixes the counts of a usage window before they are reported. */
  | {
    readonly type: "agree_usage";
    /** Fencing token under which the proposer holds the duty. */
    readonly fence: FencingNumber;
    readonly duty: string;
    readonly window: number;
    /** Absent to leave out this window and all earlier ones. */
    readonly counts?: UsageCounts;
  }
  /** Records that the platform has accepted the report of a window. */
  | { readonly type: "usage_accepted"; readonly window: number };

/** Results of the control group's commands. */
export type ControlResult =
  | { readonly type: "edit"; readonly result: EditResult }
  | { readonly type: "set_drain"; readonly drained: boolean }
  | { readonly type: "intend"; readonly result: IntentResult }
  /** `intent` is absent when the order cannot be taken over. */
  | { readonly type: "take_over"; readonly intent?: OrderIntent }
  /** `intent` is absent when the order is unknown or no longer remembered. */
  | { readonly type: "end_order"; readonly intent?: OrderIntent }
  | { readonly type: "observe_engine"; readonly ended: readonly OrderId[] }
  /** Version in force after the publication. */
  | { readonly type: "publish"; readonly version: number }
  | { readonly type: "take_duty"; readonly record: DutyRecord }
  | { readonly type: "agree_usage"; readonly result: UsageAgreementResult }
  | { readonly type: "usage_accepted" };

/** Holder of a duty. */
export interface DutyRecord {
  readonly holder: HostProcess;
  readonly takeId: string;
  /** Log index of the command that took the duty. */
  readonly fence: FencingNumber;
}

/** Counts by customer, in the order in which they are reported. */
export type UsageCounts = readonly (readonly [CustomerId, number])[];

/** Counts of one window that the control group has agreed on. */
export interface AgreedUsage {
  readonly window: number;
  readonly counts: UsageCounts;
  readonly accepted: boolean;
}

/** Answer to an agreement. */
export type UsageAgreementResult =
  /** The counts in force, which are those of the first agreement. */
  | { readonly type: "agreed"; readonly usage: AgreedUsage }
  /** The window must not be reported: a later one was agreed before. */
  | { readonly type: "left_out"; readonly last: number }
  /** Another process has taken the duty. */
  | { readonly type: "not_holder" };

/** Answer of the query `usage`. */
export interface UsageAgreements {
  /** Highest window that was agreed or left out; absent before the first. */
  readonly last?: number;
  /** Agreed windows that are not accepted, oldest first. */
  readonly open: readonly AgreedUsage[];
}

/** The control group as its clients use it. */
export type ControlGroup = ReplicatedGroup<ControlCommand, ControlResult>;

/**
 * A whole document whose versions are chosen by its publishers, for example a
 * table of routes. The highest published version is in force, with the first
 * content that was committed under it.
 */
export interface VersionedDocument {
  readonly name: string;
  readonly version: number;
  readonly content: unknown;
}

/** Argument of the query `document`. */
export interface DocumentRequest {
  readonly name: string;
  /** Version that the caller has; absent at its start. */
  readonly version?: number;
}

/**
 * Answer of the query `document`; with `queryUncommitted`, it may be stale or
 * uncommitted.
 */
export interface DocumentAnswer {
  /** Absent while no version was published. */
  readonly version?: number;
  /** Absent when the caller has the version in force. */
  readonly document?: VersionedDocument;
}

/** Argument of the query `confirm`. */
export interface ConfirmationRequest {
  /** Revision that the host has; absent at its start. */
  readonly revision?: Revision;
}

/** Answer of the query `confirm`, valid at the time of the request. */
export interface Confirmation {
  readonly revision: Revision;
  /** Accepted edits after the host's revision, oldest first. */
  readonly changes?: readonly Pick<HistoryEntry, "revision" | "operations">[];
  /**
   * The whole tree, if the history cannot update the host's tree.
   */
  readonly tree?: Tree;
  /** Backend servers that operators took out of service. */
  readonly drains: readonly BackendServerId[];
  /** Increases with each change of the drains. */
  readonly drainVersion: number;
}

/** Answer of the query `edit`: the first answer or the tree to validate. */
export interface EditLookup {
  readonly first?: EditResult;
  readonly revision: Revision;
  readonly tree: Tree;
}

/** The configuration that is in force on a host. */
export interface Configuration {
  readonly revision: Revision;
  readonly tree: Tree;
  readonly drains: ReadonlySet<BackendServerId>;
  /** Increases with each change of the drains. */
  readonly drainVersion: number;
}

/** Options of a `ConfigurationClient`. */
export interface ConfigurationClientOptions {
  readonly group: ControlGroup;
  /** Stops the client. */
  readonly signal: AbortSignal;
  readonly clock?: Clock;
  /** Time between confirmations in milliseconds; defaults to 1,000. */
  readonly interval?: number;
  /** Timeout of one confirmation in milliseconds; defaults to 2,000. */
  readonly timeout?: number;
  /** Confirmation age that isolates, in milliseconds; defaults to 6,000. */
  readonly maxConfirmationAge?: number;
  /** Called when a new configuration is in force. */
  readonly onConfiguration?: (configuration: Configuration) => void;
  /** Called when a confirmation fails. */
  readonly onFailure?: (error: unknown) => void;
}

/**
 * Checks a whole tree. Returns problems in plain sentences, an empty list for a
 * valid tree.
 */
export type TreeValidator = (tree: Tree) => readonly string[];

/** Options of an `EditClient`. */
export interface EditClientOptions {
  readonly group: ControlGroup;
  readonly validate: TreeValidator;
  readonly clock?: Clock;
  /** Whether the host's confirmation is too old; defaults to never. */
  readonly isolated?: () => boolean;
}

/** Options of one call of a client. */
export interface CallOptions {
  readonly signal?: AbortSignal;
  /** Timeout in milliseconds; defaults to 5,000. */
  readonly timeout?: number;
}

/** Where an engine is reached. */
export interface EngineTarget {
  readonly backendServer: BackendServerId;
  /** Base address, for example `http://10.0.0.7:9000`. */
  readonly address: string;
}

/** Status that an engine returns over an order connection. */
export interface EngineStatus {
  readonly backendServer: BackendServerId;
  readonly incarnation: Incarnation;
  readonly honoursFencing: boolean;
  /** Last order that the engine's process accepted, if it reports one. */
  readonly lastOrder?: {
    readonly fencingNumber: FencingNumber;
    readonly state: "running" | "done" | "failed";
  };
}

/** Result of sending an order. */
export type OrderSendResult =
  | { readonly type: "confirmed" }
  | { readonly type: "refused"; readonly message: string }
  /** No byte of the order was written. */
  | { readonly type: "not_sent"; readonly message: string }
  /** Bytes were written and no complete answer was received. */
  | { readonly type: "unknown"; readonly message: string };

/**
 * One connection to one engine process. It never reconnects: once the
 * connection is lost, every call fails without a byte written.
 */
export abstract class OrderConnection {
  /** Status of the engine, read over this connection. */
  abstract status(options?: CallOptions): Promise<EngineStatus>;
  /**
   * Writes the order once, over this connection, and waits for the answer as
   * long as the change may take. Never throws.
   */
  abstract send(
    intent: OrderIntent,
    options?: CallOptions,
  ): Promise<OrderSendResult>;
  /** Closes the connection; idempotent. */
  abstract close(): void;
}

/** Opens order connections; implemented by the engine adapter. */
export abstract class OrderConnector {
  /** Opens a connection. Throws `backend_unreachable` when it fails. */
  abstract open(
    target: EngineTarget,
    options?: CallOptions,
  ): Promise<OrderConnection>;
}

/** Options of an `OrderExecutor`. */
export interface OrderExecutorOptions {
  readonly group: ControlGroup;
  readonly connector: OrderConnector;
  readonly sender: HostProcess;
  /** Whether this host leads the control group according to its own state. */
  readonly isLeader: () => boolean;
  /** Stops the retries that commit how orders ended, when the process stops. */
  readonly signal?: AbortSignal;
  readonly clock?: Clock;
  /**
   * Maximum milliseconds from proposing an intent or takeover to writing;
   * defaults to 5,000.
   */
  readonly writeWindow?: number;
}

/** Outcome of an order. */
export interface OrderReport {
  readonly intent: OrderIntent;
  /** Absent while the order may still take effect. */
  readonly ending?: OrderEnding;
  readonly message?: string;
}

/** Process of an engine, as its announcement reports it. */
export interface EngineAnnouncement {
  readonly backendServer: BackendServerId;
  readonly incarnation: Incarnation;
}

/** Answer of a plain service, stored for resends. */
export interface StoredAnswer {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Absent when the answer is too large to store. */
  readonly body?: Uint8Array;
  /** SHA-256 of the body in hexadecimal. */
  readonly digest: string;
}

/** Commands of the journal groups; `now` is the proposer's wall time in ms. */
export type JournalCommand =
  | {
    readonly type: "claim";
    readonly key: ClaimKey;
    readonly attempt: AttemptId;
    readonly bodyHash: string;
    readonly claimer: HostProcess;
    readonly now: number;
  }
  | {
    readonly type: "settle";
    readonly key: ClaimKey;
    readonly attempt: AttemptId;
    readonly answer: StoredAnswer;
    readonly claimer: HostProcess;
    readonly now: number;
  }
  /** The attempt wrote no byte, or the service states that it did not run. */
  | {
    readonly type: "release";
    readonly key: ClaimKey;
    readonly attempt: AttemptId;
    readonly claimer: HostProcess;
    readonly now: number;
  }
  | {
    readonly type: "unknown";
    readonly key: ClaimKey;
    readonly attempt: AttemptId;
    readonly claimer: HostProcess;
    readonly now: number;
  }
  /** The claimer's host runs a newer process. */
  | {
    readonly type: "abandon";
    readonly key: ClaimKey;
    readonly attempt: AttemptId;
    /** Newer incarnation of the claimer's host. */
    readonly newer: Incarnation;
    /** Process that proposes the command. */
    readonly claimer: HostProcess;
    readonly now: number;
  }
  /** Advances the journal's time when there are no claims. */
  | {
    readonly type: "time";
    readonly claimer: HostProcess;
    readonly now: number;
  };

/** State of a claim that the journal returns. */
export type ClaimView =
  | { readonly type: "free" }
  | {
    readonly type: "open";
    readonly attempt: AttemptId;
    readonly claimer: HostProcess;
    readonly bodyHash: string;
  }
  | {
    readonly type: "settled";
    readonly answer: StoredAnswer;
    readonly bodyHash: string;
  }
  /** It ran; the answer is no longer stored. */
  | { readonly type: "expired"; readonly bodyHash: string }
  | { readonly type: "unknown"; readonly bodyHash: string };

/** Results of the journal groups' commands. */
export type JournalResult =
  | { readonly type: "granted" }
  /** The key was claimed with another body. */
  | { readonly type: "reused" }
  /** The journal has reached its limit of claims. */
  | { readonly type: "full" }
  /** The attempt ended before its claim was applied. */
  | { readonly type: "attempt_ended" }
  /** The key is claimed already; `claim` is the state of that claim. */
  | { readonly type: "held"; readonly claim: ClaimView }
  /** Result of all commands but `claim`. */
  | { readonly type: "recorded"; readonly claim: ClaimView };

/** One journal group as its clients use it. */
export type JournalGroup = ReplicatedGroup<JournalCommand, JournalResult>;

/** Limits of one journal group. */
export interface JournalLimits {
  /** Claims and tombstones; defaults to 1,000,000. */
  readonly maxClaims?: number;
  /** Bytes of stored answers; defaults to 128 MiB. */
  readonly maxAnswerBytes?: number;
}
