/**
 * Start of a host.
 *
 * @module
 */

import type { ProcessSettings } from "@rhubarbstage/settings";
import { RhubarbstageError } from "rhubarbstage";

/** Options of {@linkcode runHost}. */
export interface HostOptions {
  /** Starts the graceful shutdown. */
  readonly signal: AbortSignal;
}

/** Runs a host until its graceful shutdown is complete. */
export function runHost(
  _settings: ProcessSettings,
  _options: HostOptions,
): Promise<void> {
  return Promise.reject(
    new RhubarbstageError("internal", {
      message: "This build contains no host",
    }),
  );
}
