/**
 * Logs, timeline and metrics.
 *
 * @module
 */

export type {
  EventSubject,
  Fields,
  FieldValue,
  LogLevel,
  TimelineEvent,
  TimelineFilter,
} from "./types.ts";
export { formatFields } from "./key_value.ts";
export type { LoggerOptions } from "./logger.ts";
export { createLogger, createNullLogger, Logger } from "./logger.ts";
export type {
  BackendServerState,
  CompletedRequest,
  ControlTrafficTotals,
  PredictedCost,
} from "./metrics.ts";
export { Metrics } from "./metrics.ts";
export type { EventDetails, TimelineOptions } from "./timeline.ts";
export {
  formatTimestamp,
  matchesFilter,
  mergeTimelines,
  readTimelineFile,
  Timeline,
} from "./timeline.ts";
