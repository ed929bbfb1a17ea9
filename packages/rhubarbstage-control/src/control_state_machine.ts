/**
 * State machine of the control group and its queries.
 *
 * @module
 */

import { StateMachine } from "@rhubarbstage/replica";
import {
  type ControlState,
  copyControlState,
  initialControlState,
} from "./control_state.ts";
import { applyPublication, readDocument } from "./documents.ts";
import { acceptUsage, agreeUsage, readUsage, takeDuty } from "./duties.ts";
import { applyDrain, applyEdit, rememberedResult } from "./edits.ts";
import {
  applyIntent,
  applyOrderEnd,
  applyTakeOver,
  observeEngine,
} from "./orders.ts";
import type {
  Confirmation,
  ConfirmationRequest,
  ControlCommand,
  ControlResult,
  DocumentAnswer,
  DocumentRequest,
  Drain,
  Edit,
  EditLookup,
  HistoryEntry,
  OrderIntent,
  UsageAgreements,
} from "./types.ts";

/** Applies commands to the tree, drains, orders and documents. */
export class ControlStateMachine
  extends StateMachine<ControlState, ControlCommand, ControlResult> {
  override initial(): ControlState {
    return initialControlState();
  }

  override apply(
    state: ControlState,
    command: ControlCommand,
    index: number,
  ): ControlResult {
    switch (command.type) {
      case "edit":
        return { type: "edit", result: applyEdit(state, command) };
      case "set_drain":
        return { type: "set_drain", drained: applyDrain(state, command) };
      case "intend":
        return { type: "intend", result: applyIntent(state, command, index) };
      case "take_over":
        return { type: "take_over", intent: applyTakeOver(state, command) };
      case "end_order":
        return { type: "end_order", intent: applyOrderEnd(state, command) };
      case "publish": {
        const version = applyPublication(state, command.document);
        return { type: "publish", version };
      }
      case "observe_engine": {
        const { backendServer, incarnation } = command;
        const ended = observeEngine(state, backendServer, incarnation);
        return { type: "observe_engine", ended };
      }
      case "take_duty":
        return { type: "take_duty", record: takeDuty(state, command, index) };
      case "agree_usage":
        return { type: "agree_usage", result: agreeUsage(state, command) };
      case "usage_accepted":
        acceptUsage(state, command.window);
        return { type: "usage_accepted" };
    }
  }

  override snapshot(state: ControlState): unknown {
    return copyControlState(state);
  }

  override restore(data: unknown): ControlState {
    return copyControlState(data as ControlState);
  }
}

/** Queries of the control group, by name. Answers share no mutable data. */
export const controlQueries = {
  /** See {@linkcode Confirmation}. */
  confirm(state: ControlState, argument: unknown): Confirmation {
    const request = argument as ConfirmationRequest;
    const drains = [...state.drains.keys()];
    const { revision, tree, drainVersion } = state;
    const changes = changesSince(state, request.revision);
    if (changes === undefined) return { revision, tree, drains, drainVersion };
    return { revision, changes, drains, drainVersion };
  },

  /** See {@linkcode EditLookup}. */
  edit(state: ControlState, argument: unknown): EditLookup {
    const first = rememberedResult(state, argument as Edit);
    const { revision, tree } = state;
    return first === undefined ? { revision, tree } : { first, revision, tree };
  },

  /** See {@linkcode DocumentAnswer}. */
  document(state: ControlState, argument: unknown): DocumentAnswer {
    return readDocument(state, argument as DocumentRequest);
  },

  /** See {@linkcode UsageAgreements}. */
  usage(state: ControlState): UsageAgreements {
    return readUsage(state);
  },

  /** Latest edits, newest first. */
  history(state: ControlState, argument: unknown): readonly HistoryEntry[] {
    const { limit } = argument as { readonly limit: number };
    return limit > 0 ? state.history.slice(-limit).reverse() : [];
  },

  /** Backend servers that operators took out of service. */
  drains(state: ControlState): readonly Drain[] {
    return [...state.drains.values()];
  },

  /** Orders that may still take effect. */
  open_orders(state: ControlState): readonly OrderIntent[] {
    return [...state.orders.values()].filter((intent) =>
      intent.ending === undefined
    );
  },

  /** One order, if it is remembered. */
  order(state: ControlState, argument: unknown): OrderIntent | undefined {
    const { orderId } = argument as Pick<OrderIntent, "orderId">;
    return state.orders.get(orderId);
  },
};

function changesSince(
  state: ControlState,
  revision: number | undefined,
): Confirmation["changes"] {
  if (revision === undefined || revision > state.revision) return undefined;
  const missing = state.revision - revision;
  if (missing > state.history.length) return undefined;
  return state.history.slice(state.history.length - missing)
    .map(({ revision, operations }) => ({ revision, operations }));
}
