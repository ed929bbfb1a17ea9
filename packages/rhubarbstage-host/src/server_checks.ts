/**
 * Checks of servers that refused or lost a connection.
 *
 * @module
 */

import { type BackendServerId, delay } from "rhubarbstage";

/** Pauses before the first checks of a lost server; the last one repeats. */
const pauses = [150, 300, 600, 1_000] as const;
/** Longest wait for the answer to a check, in milliseconds. */
const checkTimeout = 800;

/** Options of {@linkcode ServerHealthChecks}. */
export interface ServerHealthChecksOptions {
  /** Asks a server; true if the expected process answers and is healthy. */
  readonly check: (
    server: BackendServerId,
    signal: AbortSignal,
  ) => Promise<boolean>;
  /** Whether a server is still known. */
  readonly isKnown: (server: BackendServerId) => boolean;
  /** Called once a server answers again. */
  readonly onRecovered: (server: BackendServerId) => void;
  readonly signal: AbortSignal;
}

/** Asks lost servers until they answer or leave, one check at a time each. */
export class ServerHealthChecks {
  readonly #options: ServerHealthChecksOptions;
  readonly #running = new Set<BackendServerId>();

  constructor(options: ServerHealthChecksOptions) {
    this.#options = options;
  }

  /** Starts to ask a server, unless it is being asked. */
  start(server: BackendServerId): void {
    if (this.#running.has(server)) return;
    this.#running.add(server);
    void this.#ask(server).finally(() => this.#running.delete(server));
  }

  async #ask(server: BackendServerId): Promise<void> {
    const { signal, isKnown, check, onRecovered: onAnswer } = this.#options;
    for (const pause of checkPauses()) {
      await delay(pause, { signal }).catch(() => {});
      if (signal.aborted || !isKnown(server)) return;
      const limit = AbortSignal.any([
        signal,
        AbortSignal.timeout(checkTimeout),
      ]);
      // No answer is the expected result for a server that is gone.
      const isWell = await check(server, limit).catch(() => false);
      if (!isWell) continue;
      onAnswer(server);
      return;
    }
  }
}

function* checkPauses(): Generator<number> {
  yield* pauses;
  while (true) yield pauses[pauses.length - 1] as number;
}
