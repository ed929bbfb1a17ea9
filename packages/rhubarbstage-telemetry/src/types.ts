/**
 * Types of log lines and of the timeline.
 *
 * @module
 */

import type {
  BackendServerId,
  HostId,
  Incarnation,
  RequestId,
  Revision,
  Timestamp,
} from "rhubarbstage";

/** A value in a log line or an event. */
export type FieldValue = string | number | boolean;

/** Fields of a log line or an event; absent values are left out. */
export type Fields = Readonly<Record<string, FieldValue | undefined>>;

/** Level of a log line, from most to least severe. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Request, server and revision of an event; queries filter by these. */
export interface EventSubject {
  readonly request?: RequestId;
  readonly server?: BackendServerId;
  readonly revision?: Revision;
}

/** One event of the timeline. */
export interface TimelineEvent extends EventSubject {
  readonly at: Timestamp;
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Order within one incarnation of a host, from 1. */
  readonly sequence: number;
  /** Name in snake_case, for example `request_routed`. */
  readonly event: string;
  readonly fields: Readonly<Record<string, FieldValue>>;
}

/** Conditions of a timeline query; a matching event meets all of them. */
export interface TimelineFilter extends EventSubject {
  /** First wall time, in milliseconds since the Unix epoch. */
  readonly from?: number;
  /** Last wall time, in milliseconds since the Unix epoch. */
  readonly to?: number;
  /** Maximum events to return, the newest ones; defaults to 1,000. */
  readonly limit?: number;
}
