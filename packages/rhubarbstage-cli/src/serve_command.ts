/**
 * `rhubarbstage serve`.
 *
 * @module
 */

import { loadProcessSettings } from "@rhubarbstage/settings";
import type { CommandContext } from "./context.ts";

/**
 * Runs a host until SIGTERM or SIGINT. A second signal does not interrupt
 * running requests.
 */
export async function serve({ options }: CommandContext): Promise<void> {
  const settings = await loadProcessSettings(options.required("settings"));
  // Imported lazily, because other commands start faster without the host.
  const { runHost } = await import("@rhubarbstage/host");
  const controller = new AbortController();
  const stop = () => controller.abort();
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  try {
    await runHost(settings, { signal: controller.signal });
  } finally {
    process.off("SIGTERM", stop);
    process.off("SIGINT", stop);
  }
}
