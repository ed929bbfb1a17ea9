/**
 * Tracks when servers last sent anything to this host.
 *
 * @module
 */

import type { BackendServerId } from "rhubarbstage";

/** One exchange on a connection of this host. */
export class ExchangeActivity {
  readonly #server: ServerActivity;
  /** Time of the last sign of the server in this exchange, or of its start. */
  lastAt: number;
  /** Ends the exchange; set if its request may be repeated. */
  onBreak: ((reason: Error) => void) | undefined;

  constructor(server: ServerActivity) {
    this.#server = server;
    this.lastAt = performance.now();
    server.exchanges.add(this);
  }

  /** Records that the server has sent something. */
  touch(): void {
    this.lastAt = performance.now();
    this.#server.touch(this.lastAt);
  }

  /** Records the end of the exchange. */
  end(): void {
    this.#server.exchanges.delete(this);
  }
}

class ServerActivity {
  readonly exchanges = new Set<ExchangeActivity>();
  lastAt = -Infinity;
  readonly #onTouch: (now: number) => void;

  constructor(onTouch: (now: number) => void) {
    this.#onTouch = onTouch;
  }

  touch(now: number): void {
    this.lastAt = now;
    this.#onTouch(now);
  }
}

/** Activity of all servers. Times are monotonic milliseconds. */
export class ServerActivities {
  readonly #servers = new Map<BackendServerId, ServerActivity>();
  #lastAt = performance.now();

  /** Starts to track an exchange with a server. */
  begin(server: BackendServerId): ExchangeActivity {
    return new ExchangeActivity(this.#activityOf(server));
  }

  /** Records a sign of a server outside tracked exchanges. */
  touch(server: BackendServerId): void {
    this.#activityOf(server).touch(performance.now());
  }

  /** Drops what is known of other servers, unless they have open exchanges. */
  retain(servers: ReadonlySet<BackendServerId>): void {
    for (const [id, { exchanges }] of this.#servers) {
      if (exchanges.size === 0 && !servers.has(id)) this.#servers.delete(id);
    }
  }

  /** Time since any server has sent something. */
  silence(now: number): number {
    return now - this.#lastAt;
  }

  /** Returns for how long servers with open exchanges have been silent. */
  silences(now: number): Map<BackendServerId, number> {
    const silences = new Map<BackendServerId, number>();
    for (const [id, { exchanges, lastAt }] of this.#servers) {
      if (exchanges.size === 0) continue;
      let startedAt = Infinity;
      for (const exchange of exchanges) {
        startedAt = Math.min(startedAt, exchange.lastAt);
      }
      silences.set(id, now - Math.max(lastAt, startedAt));
    }
    return silences;
  }

  /** Ends exchanges that have been silent, if they may be repeated. */
  breakSilent(options: {
    readonly servers: readonly BackendServerId[];
    /** Shortest silence, in milliseconds. */
    readonly silence: number;
  }): void {
    const now = performance.now();
    for (const server of options.servers) {
      for (const exchange of [...this.#servers.get(server)?.exchanges ?? []]) {
        const silence = now - exchange.lastAt;
        if (silence < options.silence) continue;
        exchange.onBreak?.(
          new Error(`The server was silent for ${Math.round(silence)} ms`),
        );
      }
    }
  }

  #activityOf(server: BackendServerId): ServerActivity {
    let activity = this.#servers.get(server);
    if (activity === undefined) {
      activity = new ServerActivity((now) => this.#lastAt = now);
      this.#servers.set(server, activity);
    }
    return activity;
  }
}
