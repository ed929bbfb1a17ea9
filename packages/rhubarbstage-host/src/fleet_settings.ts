/**
 * Fleet-wide settings of the policy, read from the settings tree.
 *
 * @module
 */

import type { Region } from "rhubarbstage";
import type { FleetSettings } from "@rhubarbstage/policy";
import type { PoolSettings, SettingsTree } from "@rhubarbstage/settings";

/**
 * Returns the settings for the pools of a region. The policy has one value of
 * each setting for all pools, so the strictest one applies.
 */
export function fleetSettingsOf(
  tree: SettingsTree,
  region: Region,
): Partial<FleetSettings> {
  const pools: PoolSettings[] = tree.services(region)
    .filter(({ type }) => type === "model")
    .map(({ pool }) => pool);
  if (pools.length === 0) return {};
  return {
    roleFloor: Math.max(
      ...pools.map(({ prefillFloor, decodeFloor }) =>
        Math.max(prefillFloor, decodeFloor)
      ),
    ),
    maxConcurrentRoleChanges: Math.min(
      ...pools.map(({ maxUnavailableEngines }) => maxUnavailableEngines),
    ),
  };
}
