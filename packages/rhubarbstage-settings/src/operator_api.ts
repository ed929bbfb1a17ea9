/**
 * The operator interface of a host: paths and JSON shapes that the gateway and
 * the command line share. Each request carries `authorization: Bearer TOKEN`
 * with an operator token. Errors have the body of all errors of the system.
 *
 * @module
 */

import type {
  AvailabilityZone,
  BackendServerId,
  EditId,
  GroupName,
  HostId,
  Incarnation,
  ModelName,
  OrderId,
  Region,
  ReplicaId,
  RequestId,
  Revision,
  ServiceName,
  Timestamp,
} from "rhubarbstage";
import type {
  Endpoint,
  ExplainedSetting,
  TreeDocument,
  TreeOperation,
} from "./types.ts";

/** Paths of the operator interface. */
export const operatorPaths = {
  /** `GET`: {@linkcode TreeAnswer}. */
  tree: "/operator/tree",
  /**
   * `GET` with the query `region`, `service`, `customer` and `kind`:
   * {@linkcode EffectiveAnswer}.
   */
  effective: "/operator/tree/effective",
  /** `POST` {@linkcode EditRequest}: {@linkcode EditAnswer}. */
  edits: "/operator/tree/edits",
  /** `GET` with the query `limit`: {@linkcode HistoryAnswer}. */
  history: "/operator/tree/history",
  /** `GET`: {@linkcode StatusAnswer}. */
  status: "/operator/status",
  /** `GET`: {@linkcode BackendsAnswer}. */
  backends: "/operator/backends",
  /** `POST` {@linkcode DrainRequest}: {@linkcode DrainAnswer}. */
  drains: "/operator/drains",
  /**
   * `GET` with the query `request`, `server`, `revision`, `from`, `to`,
   * `limit` and `scope`: {@linkcode TimelineAnswer}.
   */
  timeline: "/operator/timeline",
  /** `POST` {@linkcode BootstrapRequest}: {@linkcode BootstrapAnswer}. */
  bootstrap: "/operator/bootstrap",
  /** `POST` {@linkcode RepairRequest}: {@linkcode RepairAnswer}. */
  repairs: "/operator/repairs",
  /** `POST` {@linkcode OrderEndRequest}: {@linkcode OrderEndAnswer}. */
  orderEnds: "/operator/orders/ends",
} as const;

/** The tree in force after a quorum read. */
export interface TreeAnswer {
  readonly revision: Revision;
  readonly tree: TreeDocument;
}

/** Settings in force on the answering host. */
export interface EffectiveAnswer {
  readonly revision: Revision;
  readonly settings: readonly ExplainedSetting[];
}

/** A change of the tree. */
export interface EditRequest {
  /** The same for each resend of one edit. */
  readonly edit_id: EditId;
  readonly expected_revision: Revision;
  readonly operations: readonly TreeOperation[];
}

/**
 * The change took effect. A resend under the same edit id returns the first
 * answer. Errors: `revision_conflict` (409), `invalid_request` (400),
 * `no_quorum` (503, `may_have_run`: send again under the same edit id).
 */
export interface EditAnswer {
  readonly edit_id: EditId;
  readonly revision: Revision;
  /** Whether an earlier send of this edit took effect. */
  readonly replayed: boolean;
}

/** One accepted change. */
export interface HistoryEntry {
  readonly revision: Revision;
  readonly edit_id: EditId;
  /** Name of the operator's token; empty when the token file names none. */
  readonly operator: string;
  /** Milliseconds since the Unix epoch on the host that accepted the edit. */
  readonly at: number;
  readonly operations: readonly TreeOperation[];
}

/** Accepted changes, newest first. */
export interface HistoryAnswer {
  readonly revision: Revision;
  readonly entries: readonly HistoryEntry[];
}

/** One seat of a replicated group. */
export interface SeatStatus {
  readonly host: HostId;
  readonly replica: ReplicaId;
  readonly voter: boolean;
  /** Highest log index that the leader has recorded as durable there. */
  readonly durable_index: number;
}

/** One replicated group in the view of the answering host. */
export interface GroupStatus {
  readonly group: GroupName;
  readonly term: number;
  readonly leader?: HostId;
  readonly commit_index: number;
  readonly seats: readonly SeatStatus[];
}

/** One host in the view of the answering host. */
export interface HostStatus {
  readonly host: HostId;
  readonly region: Region;
  readonly availability_zone: AvailabilityZone;
  readonly incarnation: Incarnation;
  readonly alive: boolean;
  /** Revision in force there; absent when unknown. */
  readonly revision?: Revision;
  readonly replica: boolean;
  /** Address of its HTTP interface; absent when unknown. */
  readonly http?: Endpoint;
}

/** State of the answering host and its view of the others. */
export interface StatusAnswer {
  readonly host: HostId;
  readonly cluster: string;
  readonly version: string;
  readonly region: Region;
  readonly availability_zone: AvailabilityZone;
  readonly incarnation: Incarnation;
  readonly ready: boolean;
  /** Why the host refuses requests, for example `empty_tree`. */
  readonly not_ready_reason?: string;
  readonly shutting_down: boolean;
  readonly isolated: boolean;
  /** Absent before the first confirmation. */
  readonly revision?: Revision;
  /** Milliseconds; absent before the first confirmation. */
  readonly confirmation_age_ms?: number;
  readonly running_requests: number;
  readonly queued_requests: number;
  /** Whether the system was bootstrapped, in the view of the host. */
  readonly bootstrapped: boolean;
  /** Present on hosts with a data folder. */
  readonly replica?: ReplicaId;
  readonly groups: readonly GroupStatus[];
  readonly hosts: readonly HostStatus[];
}

/** An order to a backend server that has not ended. */
export interface OpenOrder {
  readonly order_id: OrderId;
  readonly kind: string;
  readonly fencing_number: number;
}

/** One backend server in the view of the answering host. */
export interface BackendStatus {
  readonly server: BackendServerId;
  readonly incarnation: Incarnation;
  readonly address: string;
  readonly region: Region;
  readonly availability_zone: AvailabilityZone;
  readonly models: readonly ModelName[];
  readonly services: readonly ServiceName[];
  readonly role: string;
  readonly state: "ready" | "drained" | "leaving" | "stale";
  readonly honours_fencing: boolean;
  /** Age of the newest evidence that the server is alive. */
  readonly evidence_age_ms: number;
  readonly running_requests: number;
  readonly queued_requests: number;
  readonly order?: OpenOrder;
}

/** Backend servers, sorted by id. */
export interface BackendsAnswer {
  readonly backends: readonly BackendStatus[];
}

/** Starts or ends a drain. Idempotent by `edit_id`. */
export interface DrainRequest {
  readonly edit_id: EditId;
  readonly server: BackendServerId;
  readonly drained: boolean;
}

/** The drain is committed; requests that run on the server finish. */
export interface DrainAnswer {
  readonly edit_id: EditId;
  readonly server: BackendServerId;
  readonly drained: boolean;
  readonly replayed: boolean;
}

/** Which hosts a timeline query covers; defaults to `all`. */
export type TimelineScope = "host" | "all";

/** One event, in the form of the timeline file. */
export interface TimelineAnswerEvent {
  readonly at: Timestamp;
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly sequence: number;
  readonly event: string;
  readonly request?: RequestId;
  readonly server?: BackendServerId;
  readonly revision?: Revision;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Events in causal order, oldest first. */
export interface TimelineAnswer {
  readonly events: readonly TimelineAnswerEvent[];
  /** Hosts that did not answer; their events are missing. */
  readonly missing_hosts: readonly HostId[];
}

/**
 * Forms the system once. The host that receives it asks every host in `hosts`,
 * which must include itself, for a grant. A resend with the same tree after a
 * lost answer returns the first answer. Errors: `invalid_request`, `forbidden`
 * when it is not in `hosts` or a host has granted another system, `no_quorum`
 * when a host cannot be reached (nothing is formed; send again).
 */
export interface BootstrapRequest {
  readonly edit_id: EditId;
  /** Hosts with a data folder; all must grant. */
  readonly hosts: readonly HostId[];
  /** First tree, applied as an edit of the empty one. */
  readonly tree: TreeDocument;
}

/** The system is formed. */
export interface BootstrapAnswer {
  readonly cluster: string;
  readonly revision: Revision;
  readonly seats: readonly {
    readonly host: HostId;
    readonly replica: ReplicaId;
  }[];
  readonly replayed: boolean;
}

/** Moves the seats of a lost replica to the new replica of a host. */
export interface RepairRequest {
  readonly edit_id: EditId;
  /** Host whose old seat is lost. */
  readonly lost: HostId;
  /**
   * Lost replica. Keeps a resend from removing the new seat when the host
   * replaces itself; defaults to the current replica of the host.
   */
  readonly replica?: ReplicaId;
  /** Host of the new seat; the same host if it lost its data folder. */
  readonly replacement: HostId;
}

/** Every group has its new seat and all seats are caught up. */
export interface RepairAnswer {
  readonly edit_id: EditId;
  readonly groups: readonly GroupStatus[];
  readonly replayed: boolean;
}

/** An operator's statement that an order can have no further effect. */
export interface OrderEndRequest {
  readonly edit_id: EditId;
  readonly order_id: OrderId;
}

/** The order has ended. */
export interface OrderEndAnswer {
  readonly edit_id: EditId;
  readonly order_id: OrderId;
  readonly replayed: boolean;
}

/** Body of every error answer. */
export interface ErrorBody {
  readonly error: {
    /** Error kind of the closed list. */
    readonly type: string;
    readonly message: string;
    readonly outcome: "not_run" | "may_have_run" | "ran";
    readonly request_id: string;
    /** Revision in force, with `revision_conflict`. */
    readonly revision?: Revision;
  };
}
