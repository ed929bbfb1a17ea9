/**
 * Evidence about the paths from one host to the servers. Pattern: events in,
 * probes answered by a script, verdicts out.
 */

import fc from "fast-check";
import type { BackendServerId } from "rhubarbstage";
import {
  isDirect,
  type PathEffect,
  PathReducer,
  type PathState,
  type ProbeResult,
} from "../../src/path_reducer.ts";

const checkInterval = 250;
const probeTimeout = 500;

function serverNames(count: number): BackendServerId[] {
  return Array.from(
    { length: count },
    (_, index) => `server-${index}` as BackendServerId,
  );
}

interface Network {
  /** How a server takes a probe at a time. */
  readonly probe: (server: BackendServerId, now: number) => ProbeResult;
  /** Whether other hosts reach a server; by default, they reach all. */
  readonly peers?: (server: BackendServerId) => boolean;
}

/** Plays a host: probes take a round trip or their timeout. */
class PlayedHost {
  readonly #reducer = new PathReducer({ seed: 7, probesWhenIdle: true });
  readonly state: PathState = this.#reducer.initial();
  readonly servers: readonly BackendServerId[];
  readonly notes: string[] = [];
  readonly broken = new Set<BackendServerId>();
  network: Network;
  probes = 0;
  now = 0;
  #lastByteAt = 0;
  #pending: { at: number; run: () => void }[] = [];
  /** Servers with a request, and since when they are silent. */
  readonly waiting = new Map<BackendServerId, number>();

  constructor(servers: number, network: Network) {
    this.servers = serverNames(servers);
    this.network = network;
    // The first check names the servers.
    this.play(checkInterval, { isBusy: true });
  }

  get detoured(): number {
    return this.servers.filter((id) => !isDirect(this.state, id)).length;
  }

  hear(): void {
    this.#lastByteAt = this.now;
  }

  fail(server: BackendServerId): void {
    this.#reduce({ type: "connection_failed", server, now: this.now });
  }

  play(milliseconds: number, options: { readonly isBusy?: boolean } = {}) {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += 10;
      if (options.isBusy === true) this.hear();
      const due = this.#pending.filter(({ at }) => at <= this.now);
      this.#pending = this.#pending.filter(({ at }) => at > this.now);
      for (const { run } of due) run();
      if (this.now % checkInterval !== 0) continue;
      this.#reduce({
        type: "tick",
        now: this.now,
        servers: this.servers,
        silences: new Map(
          [...this.waiting].map(([id, since]) => [id, this.now - since]),
        ),
        silence: this.now - this.#lastByteAt,
      });
    }
  }

  #reduce(event: Parameters<PathReducer["reduce"]>[1]): void {
    for (const effect of this.#reducer.reduce(this.state, event)) {
      this.#execute(effect);
    }
  }

  #execute(effect: PathEffect): void {
    switch (effect.type) {
      case "probe":
        return this.#probe(effect.server);
      case "ask_peers": {
        const { server } = effect;
        const isReachable = this.network.peers?.(server) ?? true;
        return this.#later(5, () =>
          this.#reduce({
            type: "peer_reported",
            server,
            isReachable,
            now: this.now,
          }));
      }
      case "break_silent":
        for (const server of effect.servers) this.broken.add(server);
        return;
      case "note":
        this.notes.push(effect.event);
        return;
      default:
    }
  }

  #probe(server: BackendServerId): void {
    this.probes += 1;
    const result = this.network.probe(server, this.now);
    this.#later(result === "silent" ? probeTimeout : 5, () => {
      if (result === "answered") this.hear();
      this.#reduce({
        type: "probe_ended",
        server,
        result,
        now: this.now,
        silence: this.now - this.#lastByteAt,
      });
    });
  }

  #later(delay: number, run: () => void): void {
    this.#pending.push({ at: this.now + delay, run });
  }
}

const answered = () => "answered" as const;
const [first, second] = serverNames(2) as [BackendServerId, BackendServerId];

describe("a host that loses all servers", () => {
  // RECOVER: callers of hosts without a path to any server were refused.
  test("detours all requests as soon as new connections are refused", () => {
    const host = new PlayedHost(11, { probe: () => "refused" });
    host.play(1_000, { isBusy: true });
    host.fail(first);
    // Open connections live on and carry answers.
    host.play(300, { isBusy: true });
    expect(host.notes).toEqual(["host_cut_off"]);
    expect(host.detoured).toBe(11);
  });

  // RECOVER: requests on hanging connections were held until their deadline.
  test("detours all requests soon after all servers fell silent", () => {
    const host = new PlayedHost(11, { probe: () => "silent" });
    host.waiting.set(first, 0);
    host.play(2_000);
    expect(host.detoured).toBe(11);
    expect(host.broken.has(first)).toBe(true);
  });

  // RECOVER: the first callers after an idle time paid for the discovery.
  test("notices while it is idle", () => {
    const host = new PlayedHost(11, { probe: () => "silent" });
    host.play(3_500);
    expect(host.detoured).toBe(11);
    expect(host.probes).toBeLessThan(8);
  });

  test("uses its own paths again once several servers have answered", () => {
    const healsAt = 6_000;
    const host = new PlayedHost(11, {
      probe: (_, now) => now < healsAt ? "refused" : "answered",
    });
    host.fail(first);
    host.play(healsAt - host.now - 10);
    expect(host.detoured).toBe(11);
    host.play(1_000);
    expect(host.detoured).toBe(0);
    expect(host.notes).toEqual(["host_cut_off", "host_reconnected"]);
  });

  test("does not flap while single probes get through", () => {
    const host = new PlayedHost(11, { probe: () => "refused" });
    host.fail(first);
    host.play(500);
    host.network = {
      probe: (server) => server === second ? "answered" : "refused",
    };
    host.play(10_000);
    expect(host.notes).toEqual(["host_cut_off"]);
  });
});

describe("a host that reaches other servers", () => {
  test("leaves a server that has ended to the policy", () => {
    const host = new PlayedHost(11, {
      probe: (server) => server === first ? "refused" : "answered",
      peers: () => false,
    });
    host.fail(first);
    host.play(3_000, { isBusy: true });
    expect(host.detoured).toBe(0);
    expect(host.probes).toBe(2);
  });

  test("detours the servers that only other hosts reach", () => {
    const lost = new Set(serverNames(3));
    const host = new PlayedHost(11, {
      probe: (server) => lost.has(server) ? "refused" : "answered",
    });
    host.fail(first);
    host.play(2_000, { isBusy: true });
    expect(host.servers.filter((id) => !isDirect(host.state, id)))
      .toEqual([...lost]);
    host.network = { probe: answered };
    host.play(3_000, { isBusy: true });
    expect(host.detoured).toBe(0);
  });

  // A sound server may be silent for a second and go on.
  test("keeps a server that is silent for a moment", () => {
    const host = new PlayedHost(11, { probe: answered });
    host.waiting.set(first, 0);
    host.play(1_200, { isBusy: true });
    expect(host.notes).toEqual([]);
    expect(host.broken.size).toBe(0);
  });

  // Servers with many connections refuse new ones, from every host.
  test("is not cut off by servers that refuse all hosts", () => {
    const host = new PlayedHost(11, {
      probe: () => "refused",
      peers: () => false,
    });
    for (let round = 0; round < 10; round += 1) {
      host.fail(host.servers[round] as BackendServerId);
      host.play(500, { isBusy: true });
    }
    expect(host.notes).toEqual([]);
  });

  test("is not cut off by busy servers that are late with probes", () => {
    const host = new PlayedHost(11, { probe: () => "silent" });
    host.fail(first);
    host.play(5_000, { isBusy: true });
    expect(host.notes).toEqual([]);
  });
});

test("a verdict always follows the network, whatever it did before", () => {
  const results = fc.constantFrom<ProbeResult>("answered", "refused", "silent");
  fc.assert(
    fc.property(
      fc.array(
        fc.record({ result: results, lasts: fc.integer({ min: 1, max: 30 }) }),
      ),
      fc.integer({ min: 3, max: 20 }),
      (phases, servers) => {
        const host = new PlayedHost(servers, { probe: answered });
        for (const { result, lasts } of phases) {
          host.network = { probe: () => result };
          host.fail(host.servers[lasts % servers] as BackendServerId);
          host.play(lasts * 100);
        }
        host.network = { probe: answered };
        host.play(servers * 600 + 3_000);
        expect(host.detoured).toBe(0);
        host.network = { probe: () => "refused" };
        host.play(10);
        host.fail(first);
        host.play(3_000);
        expect(host.detoured).toBe(servers);
      },
    ),
    { numRuns: 100, seed: 43 },
  );
});
