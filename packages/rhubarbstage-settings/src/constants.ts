/**
 * Defaults and limits of settings.
 *
 * @module
 */

import type { EffectiveSettings, PoolSettings } from "./types.ts";

/** Branch name that matches every name of its level. */
export const wildcardName = "*";

/** Default of each setting, in force when no matching branch sets it. */
export const defaultSettings: EffectiveSettings = {
  priority: 0,
  share: 1,
  requestsPerSecond: Infinity,
  tokensPerSecond: Infinity,
  floorRequestsPerSecond: 0,
  firstTokenTarget: 2_000,
  retryRatio: 0.1,
  deadline: 60_000,
  bodyLimit: 4 * 1_024 * 1_024,
  whenIsolated: "serve",
};

/** Default of each pool setting that no matching branch sets. */
export const defaultPoolSettings: PoolSettings = {
  prefillFloor: 0,
  decodeFloor: 0,
  maxUnavailableEngines: 1,
};

/** Default time from failing `/readyz` to refusals, in milliseconds. */
export const defaultShutdownNotice = 5_000;

/** Default number of journal groups. */
export const defaultJournalGroups = 4;

/** Longest part of a faulty value that an error quotes, in characters. */
export const maxQuotedValueLength = 80;

/**
 * Maximum entries in the cache of one tree. 20,000 entries cover the working
 * set of 1,700 customers with a few kinds of work each in one region.
 */
export const maxCachedSettings = 20_000;

/** Largest body limit, in bytes; the gateway reads no larger body. */
export const maxBodyLimit = 8 * 1_048_576;

/** Maximum operations in one edit. */
export const maxOperationsPerEdit = 1_000;

/** Maximum customers that one tree names; a tree with more is refused. */
export const maxCustomers = 20_000;
