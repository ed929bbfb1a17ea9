/**
 * Orders of one service that the present holder made: which of them have yet to
 * show in the observed servers, which must be repeated, and where the platform
 * has no servers.
 *
 * @module
 */

import type { AvailabilityZone } from "rhubarbstage";
import type { ServerKind } from "./scale_types.ts";
import type { PlatformCallResult, ServerOrder } from "./types.ts";

/** Minimum time between two orders for one zone, in milliseconds. */
export const orderInterval = 2_000;
/**
 * Time beyond `bootTime` until an ordered server must show: announcements and
 * gossip take a second or more.
 */
const bootAllowance = 5_000;
/** Time until lowered numbers must show in the observed servers, in ms. */
const settleTime = 10_000;
/** First and longest time in which a kind isn't ordered again after a 409. */
const firstBlock = 30_000;
const longestBlock = 120_000;
/** Time in which a reclaimed kind isn't ordered again, in milliseconds. */
const reclaimBlock = 45_000;
/** First and longest delay before an unclear order is repeated, in ms. */
const firstRepeatDelay = 2_000;
const longestRepeatDelay = 8_000;
/** Repeats of one order; then the plan is made from what is observed. */
const maxRepeats = 5;
/** Time in which draining servers may be those of an order, in ms. */
const drainTime = 60_000;

/** Servers of one zone and kind, as far as they can be counted on. */
export interface EffectiveCount {
  /** Servers that serve and aren't about to be drained. */
  readonly serving: number;
  /** Servers that will serve once all orders have taken effect. */
  readonly expected: number;
}

interface KindState {
  /** Number ordered last, until it shows in the observed servers. */
  pending?: { readonly count: number; readonly isRaise: boolean; at: number };
  blockedUntil: number;
  block: number;
  loweredAt: number;
  /** Smallest number that the platform accepts. */
  lowest: number;
  loweringBlockedUntil: number;
}

/** An order that has to be sent again. */
export interface RepeatedOrder {
  readonly order: ServerOrder;
  readonly isRaise: boolean;
}

interface ZoneState {
  readonly kinds: Readonly<Record<ServerKind, KindState>>;
  sentAt: number;
  inFlight: RepeatedOrder | undefined;
  repeat?: RepeatedOrder & { readonly due: number };
  repeats: number;
}

/** Remembers the orders of one service. */
export class OrderMemory {
  readonly #zones = new Map<AvailabilityZone, ZoneState>();

  /** Whether an order may be made for the zone now. */
  isReady(zone: AvailabilityZone, now: number): boolean {
    const state = this.#zoneOf(zone);
    return state.inFlight === undefined && state.repeat === undefined &&
      now - state.sentAt >= orderInterval;
  }

  /** Whether the platform has no more servers of the kind in the zone. */
  isBlocked(zone: AvailabilityZone, kind: ServerKind, now: number): boolean {
    return now < this.#kindOf(zone, kind).blockedUntil;
  }

  /** Returns the smallest number that may be ordered; infinite if none may. */
  lowestCount(zone: AvailabilityZone, kind: ServerKind, now: number): number {
    const { lowest, loweringBlockedUntil } = this.#kindOf(zone, kind);
    return now < loweringBlockedUntil ? Infinity : lowest;
  }

  /** Whether an order to lower the number has yet to show. */
  isLowering(zone: AvailabilityZone, kind: ServerKind): boolean {
    return this.#kindOf(zone, kind).pending?.isRaise === false;
  }

  /** Compares the observed servers with the orders. */
  observe(
    subject: {
      readonly zone: AvailabilityZone;
      readonly kind: ServerKind;
      readonly serving: number;
      readonly draining: number;
      readonly bootTime: number;
    },
    now: number,
  ): EffectiveCount {
    const { zone, kind, serving, draining, bootTime } = subject;
    const state = this.#kindOf(zone, kind);
    this.#noticeReclaim(state, subject, now);
    const { pending } = state;
    if (pending === undefined) return { serving, expected: serving };
    const { count, isRaise, at } = pending;
    const hasShown = isRaise ? serving >= count : serving <= count;
    const allowance = isRaise ? bootTime + bootAllowance : settleTime;
    if (hasShown || now - at > allowance) {
      delete state.pending;
      if (hasShown && isRaise) state.block = firstBlock;
      // The platform accepted the order but has no servers for it.
      if (!hasShown && isRaise && draining === 0) block(state, now);
      return { serving, expected: serving };
    }
    return { serving: Math.min(serving, count), expected: count };
  }

  /** Returns the order that must be repeated now, if any. */
  dueRepeat(zone: AvailabilityZone, now: number): RepeatedOrder | undefined {
    const { repeat, inFlight } = this.#zoneOf(zone);
    if (repeat === undefined || inFlight !== undefined) return undefined;
    return now >= repeat.due ? repeat : undefined;
  }

  /** Gives up the repeat of an order that is no longer wanted. */
  dropRepeat(zone: AvailabilityZone): void {
    const state = this.#zoneOf(zone);
    delete state.repeat;
    state.repeats = 0;
  }

  /** Records that an order is about to be sent. */
  recordSent(
    order: ServerOrder,
    options: { readonly isRaise: boolean; readonly now: number },
  ): void {
    const { isRaise, now } = options;
    const { availabilityZone, count, spot } = order;
    const zone = this.#zoneOf(availabilityZone);
    const kind = zone.kinds[spot ? "spot" : "on_demand"];
    zone.inFlight = { order, isRaise };
    zone.sentAt = now;
    kind.pending = { count, isRaise, at: now };
    if (!isRaise) kind.loweredAt = now;
  }

  /** Records the result of an order. */
  recordResult(
    order: ServerOrder,
    result: PlatformCallResult,
    now: number,
  ): void {
    const zone = this.#zoneOf(order.availabilityZone);
    const kind = zone.kinds[order.spot ? "spot" : "on_demand"];
    const isRaise = zone.inFlight?.isRaise ?? true;
    const sent = { order, isRaise };
    zone.inFlight = undefined;
    delete zone.repeat;
    switch (result.type) {
      case "accepted":
        zone.repeats = 0;
        if (kind.pending !== undefined) kind.pending.at = now;
        return;
      case "unavailable":
      case "rejected":
        zone.repeats = 0;
        delete kind.pending;
        if (isRaise) block(kind, now);
        else refuseLowering(kind, { count: order.count, now });
        return;
      case "not_sent":
        delete kind.pending;
        this.#repeat(zone, sent, now);
        return;
      case "throttled":
        delete kind.pending;
        this.#repeat(zone, { ...sent, delay: result.retryDelay }, now);
        return;
      case "unclear":
        this.#repeat(zone, sent, now);
    }
  }

  #repeat(
    zone: ZoneState,
    call: RepeatedOrder & { readonly delay?: number },
    now: number,
  ): void {
    const { order, isRaise, delay = 0 } = call;
    if (zone.repeats >= maxRepeats) {
      zone.repeats = 0;
      return;
    }
    const backoff = firstRepeatDelay * 2 ** zone.repeats;
    const wait = Math.max(delay, Math.min(longestRepeatDelay, backoff));
    zone.repeats += 1;
    zone.repeat = { order, isRaise, due: now + wait };
  }

  /** Half of the spot servers drain although no order lowered their number. */
  #noticeReclaim(
    state: KindState,
    subject: {
      readonly kind: ServerKind;
      readonly serving: number;
      readonly draining: number;
    },
    now: number,
  ): void {
    const { kind, serving, draining } = subject;
    if (kind !== "spot" || draining === 0 || draining < serving) return;
    if (now - state.loweredAt < drainTime) return;
    delete state.pending;
    if (now >= state.blockedUntil) state.blockedUntil = now + reclaimBlock;
  }

  #kindOf(zone: AvailabilityZone, kind: ServerKind): KindState {
    return this.#zoneOf(zone).kinds[kind];
  }

  #zoneOf(zone: AvailabilityZone): ZoneState {
    let state = this.#zones.get(zone);
    if (state === undefined) {
      state = {
        kinds: { spot: newKindState(), on_demand: newKindState() },
        sentAt: -Infinity,
        inFlight: undefined,
        repeats: 0,
      };
      this.#zones.set(zone, state);
    }
    return state;
  }
}

function newKindState(): KindState {
  return {
    blockedUntil: -Infinity,
    block: firstBlock,
    loweredAt: -Infinity,
    lowest: 0,
    loweringBlockedUntil: -Infinity,
  };
}

function block(state: KindState, now: number): void {
  state.blockedUntil = now + state.block;
  state.block = Math.min(longestBlock, state.block * 2);
}

/** The platform may want one server of each kind; other refusals may end. */
function refuseLowering(
  state: KindState,
  { count, now }: { readonly count: number; readonly now: number },
): void {
  if (count === 0) state.lowest = 1;
  else state.loweringBlockedUntil = now + longestBlock;
}
