/**
 * Options and records of the fake engine.
 *
 * @module
 */

/** Role of a fake engine. */
export type FakeEngineRole = "prefill" | "decode" | "mixed";

/** Settings of a fake engine that tests can change while it runs. */
export interface FakeEngineSwitches {
  /** Factor by which prefill and decode are slowed down. */
  slowdown: number;
  /** Prompts that contain this text crash the engine; empty disables it. */
  crashOnPrompt: string;
  /** Age of the load in announcements, in milliseconds. */
  reportDelay: number;
  /** Position at which the connection of a stream is closed; 0 disables it. */
  breakAtToken: number;
  /** Position at which a stream ends without `[DONE]`; 0 disables it. */
  endAtToken: number;
  /** Position at which a stream stops sending but stays open; 0 disables it. */
  stallAtToken: number;
  /** Number of streams to which the three positions above still apply. */
  faultyStreams: number;
  /** Drops every n-th batch of cache events; 0 drops none. */
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
  /** Relative growth of the time per step with each further sequence. */
  batchSlowdown: number;
  /** Relative speed of prefill and decode by role. */
  roleSpeed: Readonly<Record<FakeEngineRole, FakeRoleSpeed>>;
  step: number;
  /** Capacity of the prefix cache in blocks of 1,000 tokens. */
  cacheBlocks: number;
  bytesPerToken: number;
  /** Bandwidth of KV cache transfers. */
  transferBytesPerSecond: number;
  /** Time for which a role change takes the engine out of service. */
  roleChangeTime: number;
  loadTime: number;
  /** Whether orders with a stale fencing number are refused. */
  checksFencing: boolean;
  /** Bearer token that orders must carry; empty disables the check. */
  orderToken: string;
  /** Origins of the hosts to which the engine announces itself. */
  announceOrigins: readonly string[];
  announceToken: string;
  announceInterval: number;
  cacheEventDelay: number;
  /** Idle time after which a stream sends a comment. */
  heartbeatInterval: number;
}

/** Relative speed of one role. */
export interface FakeRoleSpeed {
  readonly prefill: number;
  readonly decode: number;
}

/** An order that the fake engine received. */
export interface FakeOrderRecord {
  readonly order: string;
  readonly kind: string;
  readonly argument: string;
  readonly fencing: number;
  readonly receivedAt: number;
  /** Whether another order was still being executed. */
  readonly overlapping: boolean;
  result: "running" | "done" | "repeated" | "stale_fencing" | "refused";
  /** Number of streams that the order interrupted. */
  interruptedStreams: number;
}

/** A generation request that the fake engine received. */
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

/** Orders and generations of a fake engine since its start. */
export interface FakeEngineRecords {
  readonly incarnation: number;
  readonly orders: readonly FakeOrderRecord[];
  readonly generations: readonly FakeGenerationRecord[];
}

/** Default values of all options. */
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
  announceOrigins: [],
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
