/**
 * Options and records of the fake engine.
 *
 * @module
 */

/** Role of a fake engine. */
export type FakeEngineRole = "prefill" | "decode" | "mixed";

/** Settings of a fake engine that tests may switch while it runs. */
export interface FakeEngineSwitches {
  /** Factor by which all work is slowed. */
  slowdown: number;
  /** The process exits when it runs a prompt that contains this text. */
  crashOnPrompt: string;
  /** Age of the load in announcements, in milliseconds. */
  reportDelay: number;
  /** The connection breaks once a stream reaches this position; 0 is never. */
  breakAtToken: number;
  /** Streams end without terminator at this position; 0 is never. */
  endAtToken: number;
  /** Streams fall silent at this position; 0 is never. */
  stallAtToken: number;
  /** Streams to which the three positions above apply; then they are reset. */
  faultyStreams: number;
  /** Each n-th batch of cache events is lost; 0 is none. */
  dropCacheEvents: number;
  /** Whether announcements are sent. */
  announcing: boolean;
}

/** Options of a fake engine. Rates are per second, times in milliseconds. */
export interface FakeEngineOptions extends FakeEngineSwitches {
  id: string;
  address: string;
  port: number;
  region: string;
  availabilityZone: string;
  models: readonly string[];
  role: FakeEngineRole;
  slots: number;
  queueLimit: number;
  prefillTokensPerSecond: number;
  decodeTokensPerSecond: number;
  /** Growth of the time per step with each further sequence. */
  batchSlowdown: number;
  /** Speed of prefill and decode by role. */
  roleSpeed: Readonly<Record<FakeEngineRole, FakeRoleSpeed>>;
  step: number;
  /** Memory of the prefix cache in blocks of 1,000 tokens. */
  cacheBlocks: number;
  bytesPerToken: number;
  /** Speed of KV cache transfers. */
  transferBytesPerSecond: number;
  /** Time for which a role change takes the engine away. */
  roleChangeTime: number;
  loadTime: number;
  /** Whether orders with a stale fencing number are refused. */
  checksFencing: boolean;
  /** Bearer token that orders need; empty if none is checked. */
  orderToken: string;
  /** Origins of the hosts to which the engine announces itself. */
  entryHosts: readonly string[];
  announceToken: string;
  announceInterval: number;
  cacheEventDelay: number;
  /** Silence after which a stream carries a comment. */
  heartbeatInterval: number;
}

/** Relative speed of one role. */
export interface FakeRoleSpeed {
  readonly prefill: number;
  readonly decode: number;
}

/** An order that reached the fake engine. */
export interface FakeOrderRecord {
  readonly order: string;
  readonly kind: string;
  readonly argument: string;
  readonly fencing: number;
  readonly receivedAt: number;
  /** Whether another order was still being carried out. */
  readonly overlapping: boolean;
  result: "running" | "done" | "repeated" | "stale_fencing" | "refused";
  /** Streams that the change interrupted. */
  interruptedStreams: number;
}

/** A generation that reached the fake engine. */
export interface FakeGenerationRecord {
  readonly request: string;
  readonly attempt: string;
  readonly prompt: string;
  readonly priority: number;
  readonly resumeFrom: number;
  readonly arrivedAt: number;
  startedAt?: number;
  endedAt?: number;
  /** Position of the next token. */
  position: number;
  cachedTokens: number;
  end: "running" | "finished" | "cancelled" | "interrupted" | "refused";
}

/** What a fake engine has done so far. */
export interface FakeEngineRecords {
  readonly incarnation: number;
  readonly orders: readonly FakeOrderRecord[];
  readonly generations: readonly FakeGenerationRecord[];
}

/** Defaults of all options. */
export const fakeEngineDefaults: FakeEngineOptions = {
  id: "engine-1",
  address: "127.0.0.1",
  port: 0,
  region: "lombardia",
  availabilityZone: "lombardia-1",
  models: ["small"],
  role: "mixed",
  slots: 16,
  queueLimit: 1_000,
  prefillTokensPerSecond: 20_000,
  decodeTokensPerSecond: 100,
  batchSlowdown: 0.02,
  roleSpeed: {
    prefill: { prefill: 1.5, decode: 0.25 },
    decode: { prefill: 0.25, decode: 1.5 },
    mixed: { prefill: 1, decode: 1 },
  },
  step: 5,
  cacheBlocks: 64,
  bytesPerToken: 20_000,
  transferBytesPerSecond: 1_000_000_000,
  roleChangeTime: 3_000,
  loadTime: 1_000,
  checksFencing: true,
  orderToken: "",
  entryHosts: [],
  announceToken: "",
  announceInterval: 2_000,
  cacheEventDelay: 500,
  heartbeatInterval: 1_000,
  slowdown: 1,
  crashOnPrompt: "",
  reportDelay: 0,
  breakAtToken: 0,
  endAtToken: 0,
  stallAtToken: 0,
  faultyStreams: 1_000_000_000,
  dropCacheEvents: 0,
  announcing: true,
};
