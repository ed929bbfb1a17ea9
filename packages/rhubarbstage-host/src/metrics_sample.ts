/**
 * Metrics that are read from other parts when they are asked for.
 *
 * @module
 */

import type { BackendServerState } from "@rhubarbstage/telemetry";
import { backendStateOf } from "./backend_state.ts";
import type { Foundation } from "./foundation.ts";
import type { Replication } from "./replication.ts";
import type { Serving } from "./serving.ts";

const states: readonly BackendServerState[] = [
  "ready",
  "drained",
  "leaving",
  "stale",
];

/** Updates the sampled metrics. */
export function sampleMetrics(
  foundation: Foundation,
  replication: Replication,
  serving: Serving,
): void {
  const { metrics, settings, timeline } = foundation;
  if (settings.revision !== undefined) {
    metrics.configuration(settings.revision, settings.confirmationAge);
  }
  metrics.timelineDropped(timeline.dropped);
  metrics.controlTotals(replication.transport.counters());
  metrics.queues(serving.dispatcher.countRequests());
  const counts = countServers(serving);
  for (const state of states) {
    metrics.backendServers(state, counts.get(state) ?? 0);
  }
}

function countServers(serving: Serving): Map<BackendServerState, number> {
  const counts = new Map<BackendServerState, number>();
  for (const view of serving.membership.listServers()) {
    const state = backendStateOf(view, serving.backends);
    counts.set(state, (counts.get(state) ?? 0) + 1);
  }
  return counts;
}
