/**
 * Events of the host, written to both the log and the timeline.
 *
 * @module
 */

import type { BackendServerId, RequestId, Revision } from "rhubarbstage";
import type { DiskRetryOptions } from "@rhubarbstage/storage";
import type {
  Fields,
  Logger,
  LogLevel,
  Timeline,
} from "@rhubarbstage/telemetry";

/** Options of {@linkcode HostEvents}. */
export interface HostEventsOptions {
  readonly logger: Logger;
  readonly timeline: Timeline;
}

/** Writes each event to the log and to the timeline. */
export class HostEvents {
  #options: HostEventsOptions;

  constructor(options: HostEventsOptions) {
    this.#options = options;
  }

  /**
   * Records an event. The timeline can be filtered by the fields `request`,
   * `server` and `revision`.
   */
  record(event: string, fields: Fields = {}, level: LogLevel = "info"): void {
    const { request, server, revision, ...rest } = fields;
    this.#options.logger.log(level, event, fields);
    this.#options.timeline.record(event, {
      request: request as RequestId | undefined,
      server: server as BackendServerId | undefined,
      revision: revision as Revision | undefined,
      fields: rest,
    });
  }

  /** Returns callbacks that record when the disk refuses and accepts writes. */
  diskEvents(): DiskRetryOptions {
    return {
      onRefused: ({ message }) =>
        this.record("disk_refused", { cause: message }, "error"),
      onAccepted: (milliseconds) =>
        this.record("disk_accepted", {
          milliseconds: Math.round(milliseconds),
        }),
    };
  }
}
