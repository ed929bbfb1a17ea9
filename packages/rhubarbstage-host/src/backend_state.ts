/**
 * State of a backend server as operators and metrics see it.
 *
 * @module
 */

import type { ServerView } from "@rhubarbstage/membership";
import type { BackendServerState } from "@rhubarbstage/telemetry";
import type { BackendRegistry } from "./backend_registry.ts";

/** The first state that applies decides. */
export function backendStateOf(
  view: ServerView,
  backends: BackendRegistry,
): BackendServerState {
  if (view.record.leaving) return "leaving";
  if (backends.isDrained(view.record.id)) return "drained";
  return view.usable ? "ready" : "stale";
}
