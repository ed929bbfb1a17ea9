/**
 * Metrics that are sampled from other components when metrics are rendered.
 *
 * @module
 */

import type { BackendServerState } from "@rhubarbstage/telemetry";
import { backendStateOf } from "./backend_state.ts";
import type { HostContext } from "./host_context.ts";
import type { Replication } from "./replication.ts";
import type { ServingComponents } from "./serving.ts";

const states: readonly BackendServerState[] = [
  "ready",
  "drained",
  "leaving",
  "stale",
];

/** Samples configuration, control traffic, requests and servers. */
export function sampleMetrics(
  context: HostContext,
  replication: Replication,
  serving: ServingComponents,
): void {
  const { metrics, settings, timeline } = context;
  if (settings.revision !== undefined) {
    metrics.setConfiguration(settings.revision, settings.confirmationAge);
  }
  metrics.setTimelineDropped(timeline.dropped);
  metrics.updateControlTraffic(replication.transport.counters());
  metrics.setRequestCounts(serving.dispatcher.countRequests());
  const counts = countServers(serving);
  for (const state of states) {
    metrics.setBackendServers(state, counts.get(state) ?? 0);
  }
}

function countServers(
  serving: ServingComponents,
): Map<BackendServerState, number> {
  const counts = new Map<BackendServerState, number>();
  for (const view of serving.membership.listServers()) {
    const state = backendStateOf(view, serving.backends);
    counts.set(state, (counts.get(state) ?? 0) + 1);
  }
  return counts;
}
