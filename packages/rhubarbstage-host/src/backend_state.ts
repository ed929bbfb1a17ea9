/**
 * State of a backend server for operators and metrics.
 *
 * @module
 */

import type { ServerView } from "@rhubarbstage/membership";
import type { BackendServerState } from "@rhubarbstage/telemetry";
import type { BackendRegistry } from "./backend_registry.ts";

/** First state that applies of leaving, drained, ready, stale. */
export function backendStateOf(
  view: ServerView,
  backends: BackendRegistry,
): BackendServerState {
  if (view.record.leaving) return "leaving";
  if (backends.isDrained(view.record.id)) return "drained";
  return view.usable ? "ready" : "stale";
}
