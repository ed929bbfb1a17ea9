/**
 * Intents of orders to engines, as the control state machine applies them.
 *
 * @module
 */

import type {
  BackendServerId,
  FencingNumber,
  Incarnation,
  OrderId,
} from "rhubarbstage";
import { setBounded } from "./bounded.ts";
import { rememberedOrderLimit, trackedEngineLimit } from "./constants.ts";
import type { ControlState, TrackedEngine } from "./control_state.ts";
import type {
  ControlCommand,
  HostProcess,
  IntentResult,
  OrderEnding,
  OrderIntent,
} from "./types.ts";

type IntendCommand = Extract<ControlCommand, { type: "intend" }>;
type EndCommand = Extract<ControlCommand, { type: "end_order" }>;
type TakeOverCommand = Extract<ControlCommand, { type: "take_over" }>;

/** Reports whether two senders are the same process. */
export function isSameProcess(left: HostProcess, right: HostProcess): boolean {
  return left.host === right.host && left.incarnation === right.incarnation;
}

/** Records an intent unless an earlier one may still take effect. */
export function applyIntent(
  state: ControlState,
  command: IntendCommand,
  index: number,
): IntentResult {
  const { order, incarnation } = command;
  const repeated = state.orders.get(order.orderId);
  if (repeated !== undefined) return { type: "accepted", intent: repeated };
  if (state.withdrawn.has(order.orderId)) return { type: "withdrawn" };
  const known = state.engines.get(order.backendServer);
  if (known !== undefined && known.incarnation > incarnation) {
    return { type: "stale_incarnation", known: known.incarnation };
  }
  observeEngine(state, order.backendServer, incarnation);
  const open = openIntent(state, order.backendServer);
  if (open !== undefined && !maySupersede(open, command)) {
    return { type: "conflict", open };
  }
  if (open !== undefined) endIntent(state, open, "superseded");
  const intent: OrderIntent = {
    ...order,
    fencingNumber: index as FencingNumber,
    incarnation,
    honoursFencing: command.honoursFencing,
    sender: command.sender,
    takenOver: false,
  };
  state.orders.set(order.orderId, intent);
  setEngine(state, order.backendServer, { incarnation, open: order.orderId });
  return { type: "accepted", intent };
}

/**
 * Reports whether a new intent may supersede an open one. Log indexes grow, so
 * a later intent has the higher fencing number.
 */
function maySupersede(open: OrderIntent, command: IntendCommand): boolean {
  return open.honoursFencing && command.honoursFencing;
}

function openIntent(
  state: ControlState,
  backendServer: BackendServerId,
): OrderIntent | undefined {
  const open = state.engines.get(backendServer)?.open;
  return open === undefined ? undefined : state.orders.get(open);
}

/** Records an incarnation and ends the intent of an earlier process. */
export function observeEngine(
  state: ControlState,
  backendServer: BackendServerId,
  incarnation: Incarnation,
): readonly OrderId[] {
  const known = state.engines.get(backendServer);
  if (known !== undefined && known.incarnation >= incarnation) return [];
  const open = openIntent(state, backendServer);
  if (open !== undefined) endIntent(state, open, "new_incarnation");
  setEngine(state, backendServer, { incarnation });
  return open === undefined ? [] : [open.orderId];
}

/** Reassigns an open order to another sender if the engine honours fencing. */
export function applyTakeOver(
  state: ControlState,
  command: TakeOverCommand,
): OrderIntent | undefined {
  const intent = state.orders.get(command.orderId);
  if (intent === undefined || intent.ending !== undefined) return undefined;
  if (!intent.honoursFencing) return undefined;
  const taken = { ...intent, sender: command.sender, takenOver: true };
  state.orders.set(command.orderId, taken);
  return taken;
}

/**
 * Ends an intent if allowed; withdraws an unknown unsent order, to refuse
 * delayed copies.
 */
export function applyOrderEnd(
  state: ControlState,
  command: EndCommand,
): OrderIntent | undefined {
  const intent = state.orders.get(command.orderId);
  if (intent === undefined) {
    if (command.ending === "not_sent") {
      setBounded(
        state.withdrawn,
        [command.orderId, true],
        rememberedOrderLimit,
      );
    }
    return undefined;
  }
  if (intent.ending !== undefined || !mayEnd(intent, command)) return intent;
  return endIntent(state, intent, command.ending);
}

/**
 * Reports whether a process may end an intent. Only the one that could have
 * written the order may report `not_sent`; any may pass on the engine's own
 * answer or report.
 */
function mayEnd(intent: OrderIntent, command: EndCommand): boolean {
  if (command.ending !== "not_sent") return true;
  return isSameProcess(intent.sender, command.sender) && !intent.takenOver;
}

function endIntent(
  state: ControlState,
  intent: OrderIntent,
  ending: OrderEnding,
): OrderIntent {
  const ended = { ...intent, ending };
  state.orders.set(intent.orderId, ended);
  const engine = state.engines.get(intent.backendServer);
  if (engine?.open === intent.orderId) {
    setEngine(state, intent.backendServer, { incarnation: engine.incarnation });
  }
  state.endedOrders.set(intent.orderId, true);
  while (state.endedOrders.size > rememberedOrderLimit) {
    const oldest = state.endedOrders.keys().next().value as OrderId;
    state.endedOrders.delete(oldest);
    state.orders.delete(oldest);
  }
  return ended;
}

function setEngine(
  state: ControlState,
  backendServer: BackendServerId,
  engine: TrackedEngine,
): void {
  state.engines.delete(backendServer);
  state.engines.set(backendServer, engine);
  if (state.engines.size <= trackedEngineLimit) return;
  for (const [id, { open }] of state.engines) {
    if (open !== undefined) continue;
    state.engines.delete(id);
    return;
  }
}
