/**
 * Runs the path reducer of one host.
 *
 * @module
 */

import { type BackendServerId, every } from "rhubarbstage";
import { pathCheckInterval } from "./constants.ts";
import {
  isDirect,
  type PathEffect,
  type PathEvent,
  PathReducer,
  type PathState,
  type ProbeResult,
} from "./path_reducer.ts";
import type { ServerConnections } from "./server_connections.ts";

/** Options of a {@linkcode PathMonitor}. */
export interface PathMonitorOptions {
  readonly reducer: PathReducer;
  readonly connections: Pick<
    ServerConnections,
    "activities" | "closeWhenIdle"
  >;
  /** Returns the servers that this host may use. */
  readonly servers: () => readonly BackendServerId[];
  /** Probes a server on a new connection. Never rejects. */
  readonly probe: (server: BackendServerId) => Promise<ProbeResult>;
  /** Asks other hosts whether they reach a server. Never rejects. */
  readonly askPeers: (server: BackendServerId) => Promise<boolean>;
  /** Called when servers can be used again. */
  readonly onRestore: (servers: readonly BackendServerId[]) => void;
  /** Called at each check while the host needs others to reach servers. */
  readonly onDetour: () => void;
  readonly onNote: (
    event: string,
    fields: Readonly<Record<string, string | number>>,
  ) => void;
  readonly signal: AbortSignal;
}

/** Knows which servers this host reaches on its own connections. */
export class PathMonitor {
  readonly #options: PathMonitorOptions;
  readonly #state: PathState;

  constructor(options: PathMonitorOptions) {
    this.#options = options;
    this.#state = options.reducer.initial();
  }

  /** Whether this host reaches no server. */
  get isCutOff(): boolean {
    return this.#state.isCutOff;
  }

  /** Whether some servers are reached through other hosts only. */
  get needsPeers(): boolean {
    return this.#state.isCutOff || this.#state.lost.size > 0;
  }

  start(): void {
    const { signal } = this.#options;
    every(pathCheckInterval, () => this.#check(), { signal });
  }

  /** Whether to use this host's own connections to a server. */
  isDirect(server: BackendServerId): boolean {
    return isDirect(this.#state, server);
  }

  /** Handles a connection that was refused, reset or not answered. */
  recordFailure(server: BackendServerId): void {
    const now = performance.now();
    this.#reduce({ type: "connection_failed", server, now });
  }

  /** Handles the result of a probe that another component has sent. */
  recordProbe(server: BackendServerId, result: ProbeResult): void {
    const now = performance.now();
    const silence = this.#options.connections.activities.silence(now);
    this.#reduce({ type: "probe_ended", server, result, now, silence });
  }

  #check(): void {
    const { activities } = this.#options.connections;
    const now = performance.now();
    const servers = this.#options.servers();
    activities.retain(new Set(servers));
    this.#reduce({
      type: "tick",
      now,
      servers,
      silences: activities.silences(now),
      silence: activities.silence(now),
    });
    if (this.needsPeers) this.#options.onDetour();
  }

  #reduce(event: PathEvent): void {
    if (this.#options.signal.aborted) return;
    const { reducer } = this.#options;
    for (const effect of reducer.reduce(this.#state, event)) {
      this.#execute(effect);
    }
  }

  #execute(effect: PathEffect): void {
    const { onNote, onRestore, onDetour, connections } = this.#options;
    switch (effect.type) {
      case "probe":
        return void this.#probe(effect.server);
      case "ask_peers":
        return void this.#askPeers(effect.server);
      case "restore":
        if (this.needsPeers) onDetour();
        return onRestore(effect.servers);
      case "renew_connections":
        return effect.servers.forEach((id) => connections.closeWhenIdle(id));
      case "break_silent":
        return connections.activities.breakSilent(effect);
      case "note":
        return onNote(effect.event, effect.fields);
    }
  }

  async #probe(server: BackendServerId): Promise<void> {
    const result = await this.#options.probe(server);
    this.recordProbe(server, result);
  }

  async #askPeers(server: BackendServerId): Promise<void> {
    const isReachable = await this.#options.askPeers(server);
    const now = performance.now();
    this.#reduce({ type: "peer_reported", server, isReachable, now });
  }
}
