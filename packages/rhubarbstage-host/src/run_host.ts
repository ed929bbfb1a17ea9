/**
 * Composition, start and graceful shutdown of one host.
 *
 * @module
 */

import type { ProcessSettings } from "@rhubarbstage/settings";
import { Host } from "./host.ts";

/** Options of {@linkcode runHost}. */
export interface RunHostOptions {
  /** Aborted to shut the host down gracefully. */
  readonly signal: AbortSignal;
  /** Version in the operator status; defaults to `0.1.0`. */
  readonly version?: string;
  /** Called with the HTTP origin once the host listens. */
  readonly onListening?: (origin: string) => void;
}

/**
 * Runs a host until the signal is aborted and its requests have ended. Throws
 * when it cannot start, for example because its data folder is damaged.
 */
export async function runHost(
  settings: ProcessSettings,
  options: RunHostOptions,
): Promise<void> {
  const host = await Host.start(settings, { version: options.version });
  options.onListening?.(host.origin);
  await whenAborted(options.signal);
  await host.shutDown();
}

function whenAborted(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}
