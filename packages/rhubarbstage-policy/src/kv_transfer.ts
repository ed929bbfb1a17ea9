/**
 * Cost model of KV cache transfers between servers.
 *
 * @module
 */

import type { FleetSettings } from "./fleet_settings.ts";

/** Milliseconds to transfer the KV cache of `tokens` tokens. */
export function kvTransferTime(
  settings: FleetSettings,
  tokens: number,
  path: { readonly crossRegion: boolean },
): number {
  const factor = path.crossRegion ? settings.kvCrossRegionFactor : 1;
  return (settings.kvFixedCost + tokens * settings.kvCostPerToken) * factor;
}

/** Whether the saved prefill time outweighs the transfer. */
export function kvTransferPays(
  settings: FleetSettings,
  tokens: number,
  path: { readonly crossRegion: boolean; readonly savedTime: number },
): boolean {
  const time = kvTransferTime(settings, tokens, path);
  return path.savedTime > time * settings.kvBreakEven;
}
