/**
 * When moving KV cache between servers pays.
 *
 * @module
 */

import type { FleetSettings } from "./fleet_settings.ts";

/** Time to move the KV cache of some tokens, in milliseconds. */
export function kvTransferTime(
  settings: FleetSettings,
  tokens: number,
  path: { readonly crossRegion: boolean },
): number {
  const factor = path.crossRegion ? settings.kvCrossRegionFactor : 1;
  return (settings.kvFixedCost + tokens * settings.kvCostPerToken) * factor;
}

/** Whether the prefill time that a move saves is worth the move. */
export function kvTransferPays(
  settings: FleetSettings,
  tokens: number,
  path: { readonly crossRegion: boolean; readonly savedTime: number },
): boolean {
  const time = kvTransferTime(settings, tokens, path);
  return path.savedTime > time * settings.kvBreakEven;
}
