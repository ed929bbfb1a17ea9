/**
 * Defaults of the fleet policy. Times are milliseconds.
 *
 * @module
 */

import type { FleetSettings } from "./fleet_settings.ts";

/** Settings that apply unless the tree says otherwise. */
export const defaultFleetSettings: FleetSettings = {
  queueLimit: 5_000,
  admissionTargetFactor: 0.6,
  oversubscriptionFactor: 1.25, // 1.1 left slots idle: short p99 419 ms, not 311 ms
  priorityOvercommit: 0.25,
  longCostFactor: 4,
  maxLongRequestsPerServer: 1,
  reservedCapacityFraction: 0.25,
  longRequestAgeingDelay: 5_000,
  preemptionLimit: 2,
  crossRegionPenalty: 20,
  sampledServersPerRegion: 6,
  bestServers: 3,
  shareEngineState: false,
  prefixEntries: 20_000,
  prefixTimeToLive: 120_000,
  slowThreshold: 2,
  probeInterval: 4_000,
  retryBurst: Infinity,
  hedgeBurst: Infinity,
  hedgeRatio: 0.05,
  hedgeDelayFactor: 3,
  quarantinePeriod: 600_000,
  quarantinePropagationTime: 1_500,
  kvFixedCost: 10,
  kvCostPerToken: 0.01,
  kvCrossRegionFactor: 10,
  kvBreakEven: 1.5,
  roleFloor: 1,
  maxConcurrentRoleChanges: 1,
  roleChangeCost: 4_000,
  roleHorizon: 30_000,
  roleChangeCooldown: 120_000,
  roleStabilisationWindow: 2_000,
};

/** Blocks in which engines count cached prompt prefixes, in tokens. */
export const tokensPerBlock = 1_000;

/** Time in which the weight of a past sample falls to 1/e. */
export const demandTimeConstant = 2_000;

/** How often own demand is published for gossip. */
export const demandPeriod = 500;

/** Oldest evidence on which membership vouches for a server. */
export const evidenceAge = 5_000;

/** Part of a limit that hosts may use evenly before gossip knows of demand. */
export const evenlySharedFraction = 0.1;

/** Seconds of a limit that may be used at once after a quiet time. */
export const limitBurstSeconds = 1;

/**
 * Samples of a pool needed before its split of roles may change. The first
 * requests of a pool finish on idle engines and make its work look cheaper.
 */
export const samplesForRoles = 40;

/** Samples of a pool needed before its estimates may refuse or delay work. */
export const samplesForAdmission = 20;

/** Weight below which a slowed server gets probes only. */
export const smallestWeight = 0.02;

/** Fixed time of each prompt, counted in tokens. */
export const promptOverhead = 100;
