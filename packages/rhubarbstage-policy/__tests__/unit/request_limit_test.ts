import type { BackendServerId, Region, ServiceName } from "rhubarbstage";
import { FleetPolicy } from "../../src/mod.ts";
import {
  chat,
  type Dispatch,
  makeServer,
  makeWork,
  PolicyDriver,
} from "./fixtures.ts";

const step = 20;
/** Window in which servers compare the requests that they get with a limit. */
const window = 4_000;
const limited = "limited" as BackendServerId;
const service = "charges" as ServiceName;

/** Options of {@linkcode LimitedFleet}. */
interface LimitedFleetOptions {
  readonly kind: "service" | "engines";
  /** Hosts, each with its region; engines are placed by one host a region. */
  readonly regions: readonly string[];
  /** Requests a second that the limited server takes from all hosts. */
  readonly limit: number;
  /** Requests a second of all callers. */
  readonly rate: number;
}

/** Plays hosts whose servers answer after 100 ms, one with a named limit. */
class LimitedFleet {
  readonly sends: number[] = [];
  refused = 0;
  finished = 0;
  arrivals = 0;
  #hosts: PolicyDriver<unknown>[];
  #running: { host: number; dispatch: Dispatch; endsAt: number }[] = [];

  constructor(readonly options: LimitedFleetOptions) {
    const { regions } = options;
    this.#hosts = regions.map((region, position) => {
      const policy = new FleetPolicy({
        region: region as Region,
        seed: position + 1,
        hosts: regions.length,
        position,
        settings: { shareEngineState: true },
      });
      const driver = new PolicyDriver<unknown>(policy as never);
      for (const id of [limited, "b", "c"]) driver.seeServer(this.#server(id));
      for (const other of new Set(regions)) {
        driver.send({
          type: "path_measured",
          now: 0,
          region: other as Region,
          roundTrip: other === region ? 1 : 60,
        });
      }
      return driver;
    });
  }

  play(length: number): void {
    const { rate } = this.options;
    for (let now = step; now < length; now += step) {
      for (const running of [...this.#running]) {
        if (running.endsAt <= now) this.#answer(running, now);
      }
      while (this.arrivals < now * rate / 1_000) this.#arrive(now);
      for (const [host, driver] of this.#hosts.entries()) {
        this.#track(host, driver.tick(now), now);
      }
    }
  }

  /** Most requests that the limited server got in a window after a time. */
  busiestWindow(from: number): number {
    const sends = this.sends.filter((at) => at >= from);
    return Math.max(
      0,
      ...sends.map((start) =>
        sends.filter((at) => at >= start && at < start + window).length
      ),
    );
  }

  #server(id: string) {
    const region = this.options.regions[0] as Region;
    const role = "mixed";
    return this.options.kind === "engines"
      ? makeServer(id, { region, role, capacity: 64, cacheTokens: 400_000 })
      : makeServer(id, {
        region,
        role,
        capacity: 6,
        models: [],
        services: [service],
      });
  }

  #arrive(now: number): void {
    const host = this.arrivals % this.#hosts.length;
    this.arrivals += 1;
    const common = {
      arrivedAt: now,
      deadlineAt: now + 6_000,
      settings: { firstTokenTarget: 1_000 },
    };
    const id = `${this.arrivals}`;
    const work = this.options.kind === "engines"
      ? makeWork(id, { ...common, promptTokens: 100, model: chat })
      : makeWork(id, {
        ...common,
        service,
        model: undefined as never,
        promptTokens: 0,
      });
    this.#track(host, this.#hosts[host]!.arrive(work, now), now);
  }

  #answer(
    running: { readonly host: number; readonly dispatch: Dispatch },
    now: number,
  ): void {
    const { host, dispatch } = running;
    const driver = this.#hosts[host]!;
    const { server } = dispatch;
    this.#running = this.#running.filter((other) => other !== running);
    this.finished += 1;
    driver.send({
      type: "request_limit_observed",
      now,
      server,
      ...(server === limited ? { limit: this.options.limit } : {}),
    });
    this.#track(host, driver.finish(dispatch, now), now);
  }

  #track(
    host: number,
    effects: ReturnType<PolicyDriver<unknown>["send"]>,
    now: number,
  ): void {
    for (const effect of effects) {
      if (effect.type === "refuse") this.refused += 1;
      if (effect.type !== "dispatch") continue;
      const servers = [effect.server, effect.prefillServer];
      if (servers.includes(limited)) this.sends.push(now);
      this.#running.push({ host, dispatch: effect, endsAt: now + 100 });
    }
  }
}

/** Requests that a server with a limit may get in a window. */
function allowedIn(limit: number): number {
  return 1.5 * limit * window / 1_000 + 5;
}

describe("a server that names a limit on its requests", () => {
  // Guards against hosts that ignore the limit that a server names, or that keep
  // to it each by itself.
  test.each(
    [
      ["a service, 8 hosts", "service", Array(8).fill("attica"), 2.5, 60],
      ["a service, 60 hosts", "service", Array(60).fill("attica"), 6, 90],
      ["engines, a host", "engines", ["attica"], 2.5, 40],
      [
        "engines, 3 regions",
        "engines",
        ["attica", "crete", "macedonia"],
        4,
        60,
      ],
    ] as const,
  )(
    "gets no more than that from all hosts together (%s)",
    (_name, kind, regions, limit, rate) => {
      const fleet = new LimitedFleet({ kind, regions, limit, rate });
      fleet.play(16_000);
      expect(fleet.busiestWindow(4_000)).toBeLessThanOrEqual(allowedIn(limit));
      // It stays in use, and the others do the rest.
      expect(fleet.sends.filter((at) => at > 4_000).length)
        .toBeGreaterThan(limit);
      expect(fleet.finished / fleet.arrivals).toBeGreaterThan(0.9);
    },
  );
});
