/**
 * Probes of servers on new connections.
 *
 * @module
 */

import type { BackendServerAddress } from "@rhubarbstage/engine";
import {
  type Dialect,
  type ProbeResult,
  probeTimeout,
  readWhole,
  type ServerConnections,
} from "@rhubarbstage/relay";
import type { BackendServerId } from "rhubarbstage";

/** Options of {@linkcode ServerProbes}. */
export interface ServerProbesOptions {
  readonly dialect: Dialect;
  readonly connections: Pick<ServerConnections, "sendProbe" | "activities">;
  /** Returns a server's address and health path; undefined if unknown. */
  readonly targetOf: (server: BackendServerId) => ProbeTarget | undefined;
  readonly signal: AbortSignal;
}

/** Where to probe a server. */
export interface ProbeTarget {
  readonly server: BackendServerAddress;
  readonly healthPath: string;
}

/** Options of one probe. */
export interface ProbeOptions {
  /** In milliseconds. */
  readonly timeout?: number;
}

/** Outcome of one probe. */
export interface Probe {
  readonly result: ProbeResult;
  /** Whether the expected process has answered that it is healthy. */
  readonly isHealthy: boolean;
  /** Whether another process has answered. */
  readonly isWrongServer: boolean;
}

const silentProbe: Probe = {
  result: "silent",
  isHealthy: false,
  isWrongServer: false,
};

/** Probes servers by their health path, one probe per server at a time. */
export class ServerProbes {
  readonly #options: ServerProbesOptions;
  readonly #probes = new Map<BackendServerId, Promise<Probe>>();

  constructor(options: ServerProbesOptions) {
    this.#options = options;
  }

  /** Probes a server, or waits for the probe under way. Never rejects. */
  probe(
    server: BackendServerId,
    { timeout = probeTimeout }: ProbeOptions = {},
  ): Promise<Probe> {
    const existing = this.#probes.get(server);
    if (existing !== undefined) return existing;
    const probe = this.#send(server, timeout)
      .finally(() => this.#probes.delete(server));
    this.#probes.set(server, probe);
    return probe;
  }

  async #send(id: BackendServerId, milliseconds: number): Promise<Probe> {
    const { dialect, connections, targetOf, signal } = this.#options;
    const target = targetOf(id);
    if (target === undefined) return silentProbe;
    const timeout = new AbortController();
    const stopTimer = startTimer(milliseconds, () => timeout.abort());
    try {
      const response = await connections.sendProbe(target.server, {
        method: "GET",
        path: target.healthPath,
        headers: dialect.attemptHeaders([], {
          server: id,
          timeLeft: milliseconds,
          step: "run",
        }),
        body: undefined,
      }, { signal: AbortSignal.any([signal, timeout.signal]) });
      connections.activities.touch(id);
      await readWhole(response);
      return {
        result: "answered",
        isHealthy: response.status === 200,
        isWrongServer: response.metadata.isWrongServer,
      };
    } catch {
      const result = timeout.signal.aborted ? "silent" : "refused";
      return { ...silentProbe, result };
    } finally {
      stopTimer();
    }
  }
}

/**
 * Runs a function after a time, in two steps: after a pause of this process, what
 * arrived meanwhile is read before the second one ends.
 */
function startTimer(milliseconds: number, run: () => void): () => void {
  let timer = setTimeout(() => {
    timer = setTimeout(run, milliseconds / 2);
  }, milliseconds / 2);
  return () => clearTimeout(timer);
}
