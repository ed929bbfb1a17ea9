/**
 * Health checks of servers that refused or lost a connection.
 *
 * @module
 */

import { type BackendServerId, delay } from "rhubarbstage";

/** Delays before checks of a lost server, in ms; the last one repeats. */
const checkDelays = [150, 300, 600, 1_000] as const;
/** Options of {@linkcode ServerHealthChecks}. */
export interface ServerHealthChecksOptions {
  /** Checks a server; true if it can be used again. */
  readonly check: (server: BackendServerId) => Promise<boolean>;
  /** Whether a server is still known. */
  readonly isKnown: (server: BackendServerId) => boolean;
  /** Called when a server passes its check again. */
  readonly onRecovered: (server: BackendServerId) => void;
  readonly signal: AbortSignal;
}

/** Checks lost servers until they recover or leave, one check per server. */
export class ServerHealthChecks {
  readonly #options: ServerHealthChecksOptions;
  readonly #serversInCheck = new Set<BackendServerId>();

  constructor(options: ServerHealthChecksOptions) {
    this.#options = options;
  }

  /** Starts to check a server, unless its checks are already running. */
  start(server: BackendServerId): void {
    if (this.#serversInCheck.has(server)) return;
    this.#serversInCheck.add(server);
    void this.#checkUntilHealthy(server).finally(() =>
      this.#serversInCheck.delete(server)
    );
  }

  async #checkUntilHealthy(server: BackendServerId): Promise<void> {
    const { signal, isKnown, check, onRecovered } = this.#options;
    for (const checkDelay of generateCheckDelays()) {
      await delay(checkDelay, { signal }).catch(() => {});
      if (signal.aborted || !isKnown(server)) return;
      // A check of a lost server is expected to fail.
      const isHealthy = await check(server).catch(() => false);
      if (!isHealthy) continue;
      onRecovered(server);
      return;
    }
  }
}

function* generateCheckDelays(): Generator<number> {
  yield* checkDelays;
  while (true) yield checkDelays[checkDelays.length - 1] as number;
}
