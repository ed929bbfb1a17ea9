/**
 * Holders of duties and agreed counts of usage windows.
 *
 * @module
 */

import type { FencingNumber } from "rhubarbstage";
import { setBounded } from "./bounded.ts";
import { agreedUsageLimit } from "./constants.ts";
import type { ControlState } from "./control_state.ts";
import type {
  ControlCommand,
  DutyRecord,
  UsageAgreementResult,
  UsageAgreements,
} from "./types.ts";

type Command<Type> = Extract<ControlCommand, { readonly type: Type }>;

/**
 * Makes the proposer the holder. The fencing token is the log index, which grows
 * even where a state machine of an older build has skipped earlier commands. A
 * resent command returns the first record.
 */
export function takeDuty(
  state: ControlState,
  { duty, holder, takeId }: Command<"take_duty">,
  index: number,
): DutyRecord {
  state.duties ??= {
    holders: new Map(),
    usage: new Map(),
    lastUsageWindow: -1,
  };
  const { holders } = state.duties;
  const known = holders.get(duty);
  if (known?.takeId === takeId) return known;
  const record = { holder, takeId, fence: index as FencingNumber };
  holders.set(duty, record);
  return record;
}

/**
 * Fixes the counts of a window. Windows are agreed in ascending order, so that a
 * window whose agreement is no longer remembered is never agreed again with
 * other counts.
 */
export function agreeUsage(
  { duties }: ControlState,
  { duty, fence, window, counts }: Command<"agree_usage">,
): UsageAgreementResult {
  const known = duties?.usage.get(window);
  if (known !== undefined) return { type: "agreed", usage: known };
  if (duties?.holders.get(duty)?.fence !== fence) return { type: "not_holder" };
  if (counts === undefined || window <= duties.lastUsageWindow) {
    duties.lastUsageWindow = Math.max(duties.lastUsageWindow, window);
    return { type: "left_out", last: duties.lastUsageWindow };
  }
  const usage = { window, counts, accepted: false };
  duties.lastUsageWindow = window;
  setBounded(duties.usage, [window, usage], agreedUsageLimit);
  return { type: "agreed", usage };
}

/** Records that the report of a window needs no further repeats. */
export function acceptUsage({ duties }: ControlState, window: number): void {
  const usage = duties?.usage.get(window);
  if (usage === undefined) return;
  duties?.usage.set(window, { ...usage, accepted: true });
}

/** Returns the last window and the agreed windows that are not accepted. */
export function readUsage({ duties }: ControlState): UsageAgreements {
  if (duties === undefined) return { open: [] };
  const open = [...duties.usage.values()].filter(({ accepted }) => !accepted);
  const { lastUsageWindow: last } = duties;
  return last < 0 ? { open } : { last, open };
}
