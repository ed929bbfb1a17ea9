/**
 * Defaults of the fleet policy. Times are milliseconds.
 *
 * @module
 */

import type { FleetSettings } from "./fleet_settings.ts";

/** Defaults for settings that the settings tree does not override. */
export const defaultFleetSettings: FleetSettings = {
  queueLimit: 5_000,
  admissionTargetFactor: 0.6,
  // With 1.1, slots stayed idle: the p99 latency of short requests was 419 ms
  // instead of 311 ms.
  oversubscriptionFactor: 1.25,
  priorityOvercommit: 0.25,
  longCostFactor: 4,
  maxLongRequestsPerServer: 1,
  reservedCapacityFraction: 0.25,
  longRequestAgeingDelay: 5_000,
  preemptionLimit: 2,
  crossRegionPenalty: 20,
  crossZonePenalty: 5,
  routeByRemainingWork: false,
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
  partQuarantinePeriod: 600_000,
  maxServerPause: 60_000,
  kvFixedCost: 10,
  kvCostPerToken: 0.01,
  kvCrossRegionFactor: 10,
  kvBreakEven: 1.5,
  customersCompete: true,
  shareComputeTime: false,
  rolesFollowDemand: true,
  roleFloor: 1,
  maxConcurrentRoleChanges: 1,
  roleChangeCost: 4_000,
  roleHorizon: 30_000,
  roleChangeCooldown: 120_000,
  roleStabilisationWindow: 2_000,
};

/** Block size in which engines report cached prompt prefixes, in tokens. */
export const tokensPerBlock = 1_000;

/** Time in which the weight of a demand sample decays to 1/e. */
export const demandTimeConstant = 2_000;

/** Interval at which local demand is published for gossip. */
export const demandPublishInterval = 500;

/** Maximum age of evidence on which membership reports a server as alive. */
export const maxEvidenceAge = 5_000;

/** Fraction of a limit divided evenly among hosts, the least each may use. */
export const evenlySharedFraction = 0.1;

/** Burst capacity of a limit, in seconds of its rate. */
export const limitBurstSeconds = 1;

/**
 * Samples of a pool needed before its engine roles may change. The first
 * requests of a pool run on idle engines and underestimate the cost of work.
 */
export const samplesForRoles = 40;

/** Samples of a pool needed before its estimates may refuse or delay work. */
export const samplesForAdmission = 20;

/** Minimum traffic weight of a slow server, however slow it is. */
export const minTrafficWeight = 0.02;

/** Fixed cost of each prompt, in equivalent prompt tokens. */
export const promptOverhead = 100;
