/**
 * Records, messages, events and effects of membership. Times are monotonic
 * milliseconds of the local host; ages in messages are milliseconds.
 *
 * @module
 */

import type {
  AvailabilityZone,
  BackendServerId,
  HostId,
  Incarnation,
  ModelName,
  Region,
  Revision,
  ServiceName,
  SoftwareVersion,
} from "rhubarbstage";

/** Description that a backend server sends when it announces or renews. */
export interface ServerRecord {
  readonly id: BackendServerId;
  readonly incarnation: Incarnation;
  /** Incremented with each change that the server announces. */
  readonly sequence: number;
  /**
   * Incremented when a host takes over the record from another one or restores
   * it after it had expired; set by hosts only.
   */
  readonly takeover: number;
  /** Base address, for example `http://127.0.0.1:9000`. */
  readonly address: string;
  readonly region: Region;
  readonly availabilityZone: AvailabilityZone;
  /** Models that an engine serves; empty for plain services. */
  readonly models: readonly ModelName[];
  /** Plain services that the server runs; empty for engines. */
  readonly services: readonly ServiceName[];
  readonly role: "prefill" | "decode" | "mixed";
  /** Absent if the server names none. */
  readonly softwareVersion?: SoftwareVersion;
  /** Requests that the server can run at the same time. */
  readonly capacity: number;
  /** Whether the server refuses orders with an outdated fencing number. */
  readonly honoursFencing: boolean;
  /** Servers in any state but `serving` get no new work. */
  readonly state: "serving" | "changing" | "draining" | "leaving";
  /** Whether the server is departing and accepts no new work. */
  readonly leaving: boolean;
  /** Whether the platform may reclaim the server; false when absent. */
  readonly spot?: boolean;
  /**
   * Time from the announcement until the server's process ends, in
   * milliseconds; absent unless the server names it.
   */
  readonly leavesIn?: number;
  /** Adapters and versions that the server reports as loaded. */
  readonly loaded: readonly string[];
}

/** Load that a backend server reports with a renewal. */
export interface ServerLoad {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly cacheTokensUsed: number;
  readonly cacheTokensTotal: number;
  /**
   * Time of work on the server at this moment, relative to its usual time. It is
   * known to the host that received it only; gossip would be too late.
   */
  readonly pace?: number;
}

/** Gossiped description of a host. */
export interface HostRecord {
  readonly host: HostId;
  readonly region: Region;
  readonly availabilityZone: AvailabilityZone;
  /** Address for peer links, `ip:port`. */
  readonly peerAddress: string;
  /** Base address of its HTTP interface. */
  readonly httpAddress: string;
  /** Whether the host has a data folder. */
  readonly replica: boolean;
  /**
   * Whether the host accepts announcements of backend servers and may own their
   * records; true when absent.
   */
  readonly registrar?: boolean;
  /** Whether the host sends requests to backend servers; true when absent. */
  readonly servesCallers?: boolean;
}

/** A request fingerprint suspected of crashing servers; see the policy. */
export interface SharedQuarantineMark {
  readonly fingerprint: string;
  readonly crashes: number;
  readonly blocked: boolean;
  /** Age in milliseconds when the message was sent. */
  readonly age: number;
  readonly crash?: { readonly id: string; readonly hasAnswered: boolean };
  readonly spared?: boolean;
}

/** Limit that a server names for its requests; see the policy. */
export interface SharedRequestLimit {
  readonly server: BackendServerId;
  readonly incarnation: Incarnation;
  /** Requests a second for all hosts together; absent once it has ended. */
  readonly limit?: number;
  /** Age in milliseconds when the message was sent. */
  readonly age: number;
}

/** Evidence that a prompt part crashes servers; see the policy. */
export interface SharedPartMark {
  readonly part: string;
  /** Whether an answer with the part has ever begun. */
  readonly sound: boolean;
  readonly crashes: readonly {
    readonly crash: string;
    /** Age in milliseconds when the message was sent. */
    readonly age: number;
    /** Whether an answer with the part has begun since. */
    readonly cleared: boolean;
  }[];
}

/** Value of one entry of a host's log. */
export type LogValue =
  | { readonly type: "host"; readonly record: HostRecord }
  | { readonly type: "server"; readonly record: ServerRecord }
  | {
    readonly type: "server_gone";
    readonly id: BackendServerId;
    readonly incarnation: Incarnation;
    readonly sequence: number;
    readonly takeover: number;
    /** Whether the server announced its departure. */
    readonly left: boolean;
  }
  | { readonly type: "marks"; readonly marks: readonly SharedQuarantineMark[] }
  | { readonly type: "part_marks"; readonly marks: readonly SharedPartMark[] }
  | {
    readonly type: "request_limits";
    readonly limits: readonly SharedRequestLimit[];
  }
  | { readonly type: "revision"; readonly revision: Revision }
  /** Stands for a received value that is not valid; it says nothing. */
  | { readonly type: "unreadable" };

/** State of the sender's copy of one host's log. */
export interface DigestEntry {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly heartbeat: number;
  readonly version: number;
  /** Time since the host sent this heartbeat, summed over the hops. */
  readonly age: number;
}

/** Entries of one host's log, in ascending version. */
export interface Delta {
  readonly digest: DigestEntry;
  /** Version after which the entries start. */
  readonly fromVersion: number;
  readonly entries: readonly {
    readonly key: string;
    readonly version: number;
    readonly value: LogValue;
  }[];
  /** Whether the entries reach the version of the digest. */
  readonly complete: boolean;
}

/** A request for the part of a host's log after a version. */
export interface Want {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly version: number;
}

/** Load report of one server in gossip. */
export interface SharedLoad {
  readonly id: BackendServerId;
  readonly incarnation: Incarnation;
  readonly load: ServerLoad;
  readonly age: number;
}

/** Gossip message, both for rounds and for replies. */
export interface GossipMessage {
  readonly digest: readonly DigestEntry[];
  readonly wants: readonly Want[];
  readonly deltas: readonly Delta[];
  readonly loads: readonly SharedLoad[];
}

/** Input of the membership reducer. */
export type MembershipEvent =
  | {
    readonly type: "announced";
    readonly now: number;
    readonly record: ServerRecord;
    readonly load?: ServerLoad;
    /** Whether another host forwarded it; such events are not forwarded again. */
    readonly forwarded?: boolean;
    /** Set when the owner of the record could not be reached. */
    readonly takeOver?: boolean;
  }
  | {
    readonly type: "left";
    readonly now: number;
    readonly id: BackendServerId;
    readonly incarnation: Incarnation;
  }
  | {
    readonly type: "checked";
    readonly now: number;
    readonly id: BackendServerId;
    /** Start of the check; the answer is no evidence for later times. */
    readonly startedAt: number;
    readonly incarnation: Incarnation;
    readonly leaving: boolean;
  }
  | {
    readonly type: "received";
    readonly now: number;
    readonly from: HostId;
    readonly message: GossipMessage;
  }
  | {
    readonly type: "marks_published";
    readonly now: number;
    readonly marks: readonly SharedQuarantineMark[];
  }
  | {
    readonly type: "request_limits_published";
    readonly now: number;
    readonly limits: readonly SharedRequestLimit[];
  }
  | {
    readonly type: "part_marks_published";
    readonly now: number;
    readonly marks: readonly SharedPartMark[];
  }
  | {
    readonly type: "revision_changed";
    readonly now: number;
    readonly revision: Revision;
  }
  | {
    readonly type: "linked";
    readonly now: number;
    readonly host: HostId;
  }
  | { readonly type: "tick"; readonly now: number };

/** Output of the membership reducer, executed by the runtime. */
export type MembershipEffect =
  | {
    readonly type: "send";
    readonly to: HostId;
    readonly message: GossipMessage;
  }
  | {
    readonly type: "forward";
    /** Owner of the record, or the registrar that becomes its owner. */
    readonly to: HostId;
    readonly record: ServerRecord;
    readonly load?: ServerLoad;
  }
  | {
    readonly type: "check";
    readonly id: BackendServerId;
    readonly address: string;
  }
  | {
    readonly type: "server_seen";
    readonly record: ServerRecord;
    readonly load?: ServerLoad;
    /** Whether it is not leaving and has recent enough evidence. */
    readonly usable: boolean;
  }
  | {
    readonly type: "server_gone";
    readonly id: BackendServerId;
    /** Whether it disappeared without announcing its departure. */
    readonly crashed: boolean;
  }
  | { readonly type: "host_seen"; readonly record: HostRecord }
  | { readonly type: "host_gone"; readonly host: HostId }
  | {
    readonly type: "marks_heard";
    readonly marks: readonly SharedQuarantineMark[];
  }
  | {
    readonly type: "request_limits_heard";
    readonly limits: readonly SharedRequestLimit[];
  }
  | {
    readonly type: "part_marks_heard";
    readonly marks: readonly SharedPartMark[];
  };
