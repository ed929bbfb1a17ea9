/**
 * Types of the engine client. The wire format itself is described in
 * `README.md`.
 *
 * @module
 */

import type {
  AttemptId,
  AvailabilityZone,
  BackendServerId,
  FencingNumber,
  Incarnation,
  ModelName,
  OrderId,
  Region,
  RequestId,
  ServiceName,
  SoftwareVersion,
} from "rhubarbstage";

/** Endpoint that a caller used. */
export type GenerationEndpoint = "chat" | "text";

/** A JSON object as a caller sent it. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** One attempt to generate an answer. */
export interface GenerationRequest {
  readonly endpoint: GenerationEndpoint;
  readonly request: RequestId;
  readonly attempt: AttemptId;
  /** Body of the caller; the client adds the fields of the wire format. */
  readonly body: JsonObject;
  /** Larger is served first. */
  readonly priority: number;
  /** Tokens that the caller already has. */
  readonly resumeFrom: number;
  /** Creation time of the answer, in seconds since the Unix epoch. */
  readonly created: number;
  /** Hashes of the prompt's prefixes, one for each cache block. */
  readonly prefixes: readonly string[];
  /** Imported KV cache to start from. */
  readonly cacheHandle?: string;
}

/** An event of an engine's answer. */
export type GenerationEvent =
  | {
    /** One or more tokens, in order and without a gap. */
    readonly type: "tokens";
    /** Position in tokens before the first event of `bytes`. */
    readonly from: number;
    /** Position in tokens after the last event of `bytes`. */
    readonly to: number;
    /** Complete events, each with its id, as they are sent to callers. */
    readonly bytes: Buffer;
  }
  | {
    /** A part of the answer that carries no token, such as the role. */
    readonly type: "part";
    readonly position: number;
    readonly data: string;
  }
  | {
    /** Token counts; sent to callers only if they asked for them. */
    readonly type: "usage";
    readonly position: number;
    readonly data: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
  }
  | {
    /** The terminator arrived: the answer is complete. */
    readonly type: "finished";
    readonly position: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
  };

/** Id and URL of an engine. */
export interface BackendServerAddress {
  readonly id: BackendServerId;
  /** Origin, for example `http://127.0.0.1:8000`. */
  readonly url: string;
  /** Process at the address, if known. */
  readonly incarnation?: Incarnation;
}

/** How an engine treats the fencing number of an order. */
export type FencingMode = "checked" | "ignored";

/** Wire names of the roles. */
export type EngineRole = "prefill" | "decode" | "mixed";

/** Load that an engine reports. */
export interface EngineLoad {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly cacheTokensUsed: number;
  readonly cacheTokensTotal: number;
}

/** Last order that an engine carried out or is carrying out. */
export interface ReportedOrder {
  readonly order: OrderId;
  readonly fencing: FencingNumber;
  readonly state: "running" | "done" | "failed";
}

/** Status of an engine. */
export interface EngineStatus {
  readonly id: BackendServerId;
  readonly incarnation: Incarnation;
  readonly models: readonly ModelName[];
  readonly adapters: readonly string[];
  readonly role: EngineRole;
  readonly capacity: number;
  readonly state: "serving" | "changing" | "draining" | "leaving";
  readonly fencing: FencingMode;
  readonly lastOrder?: ReportedOrder;
  readonly load: EngineLoad;
}

/** Change that an order requests. */
export type OrderKind =
  | "load_model"
  | "load_adapter"
  | "load_version"
  | "set_role"
  | "drain"
  | "undrain";

/** An order to an engine. */
export interface EngineOrder {
  readonly order: OrderId;
  readonly kind: OrderKind;
  /** Model, adapter, version or role; empty for `drain` and `undrain`. */
  readonly argument: string;
  readonly fencing: FencingNumber;
  /** Incarnation that the order is meant for. */
  readonly incarnation: Incarnation;
}

/** Answer of an engine to an order. */
export type OrderResponse =
  | { readonly type: "done"; readonly status: EngineStatus }
  | {
    readonly type: "refused";
    readonly reason:
      | "stale_fencing"
      | "wrong_incarnation"
      | "busy"
      | "unknown_argument"
      | "unauthenticated"
      | "failed";
    readonly message: string;
  };

/** KV cache that an engine has exported for another one or imported. */
export interface TransferredCache {
  readonly handle: string;
  readonly tokens: number;
  readonly bytes: number;
}

/** Announcement or renewal that a backend server sends. */
export interface Announcement {
  readonly id: BackendServerId;
  readonly incarnation: Incarnation;
  readonly sequence: number;
  readonly url: string;
  readonly region: Region;
  readonly availabilityZone: AvailabilityZone;
  readonly models: readonly ModelName[];
  readonly adapters: readonly string[];
  readonly services: readonly ServiceName[];
  readonly role: EngineRole;
  readonly softwareVersion?: SoftwareVersion;
  readonly capacity: number;
  readonly fencing: FencingMode;
  /** Servers that do not report a state are serving. */
  readonly state: EngineStatus["state"];
  readonly leaving: boolean;
  readonly lastOrder?: ReportedOrder;
  readonly load?: EngineLoad;
}

/** Cache changes that an engine reports. */
export interface CacheEvents {
  readonly id: BackendServerId;
  readonly incarnation: Incarnation;
  /** Number of the first event; a gap means that events were lost. */
  readonly sequence: number;
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}

/** Departure of a backend server. */
export interface Departure {
  readonly id: BackendServerId;
  readonly incarnation: Incarnation;
}
