import fc from "fast-check";
import type {
  BackendServerId,
  CustomerId,
  Incarnation,
  Region,
  RequestId,
} from "rhubarbstage";
import { SeededRandom } from "rhubarbstage";
import { FleetPolicy, type FleetState } from "../../src/mod.ts";
import { CustomerLimits } from "../../src/customer_limits.ts";
import {
  type Dispatch,
  makeServer,
  makeWork,
  PolicyDriver,
} from "./fixtures.ts";

interface Run {
  readonly dispatch: Dispatch;
  readonly repeatable: boolean;
}

/** Generates random callers, servers and faults and checks each decision. */
class RandomHistory {
  readonly driver: PolicyDriver<FleetState>;
  readonly #random: SeededRandom;
  readonly #accepting = new Set<string>();
  readonly #deadlines = new Map<string, number>();
  readonly #repeatable = new Map<string, boolean>();
  readonly #running = new Map<string, Run>();
  readonly #ended = new Set<string>();
  readonly #failedOn = new Set<string>();
  #now = 0;
  #requests = 0;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    const settings = {
      hedgeRatio: 0.5,
      roleStabilisationWindow: 0,
      roleChangeCooldown: 0,
    };
    this.driver = new PolicyDriver(
      new FleetPolicy({ region: "attica" as Region, seed, settings }),
    );
  }

  play(steps: number): void {
    for (let step = 0; step < steps; step += 1) {
      this.#now += this.#random.integer(120);
      const choice = this.#random.integer(12);
      if (choice < 4) this.#arrive();
      else if (choice < 7) this.#endAttempt();
      else if (choice < 8) this.#changeServer();
      else if (choice < 9) this.#abandon();
      else if (choice < 10) this.#progress();
      else this.#check(this.driver.tick(this.#now));
    }
  }

  #arrive(): void {
    this.#requests += 1;
    const id = `r${this.#requests}`;
    const repeatable = this.#random.next() < 0.6;
    const deadlineAt = this.#now + 100 + this.#random.integer(3_000);
    this.#deadlines.set(id, deadlineAt);
    this.#repeatable.set(id, repeatable);
    const work = makeWork(id, {
      customer: `c${this.#random.integer(4)}` as CustomerId,
      promptTokens: this.#random.pick([100, 500, 20_000]),
      fingerprint: `f${this.#random.integer(30)}`,
      prefixHashes: [`p${this.#random.integer(5)}`],
      arrivedAt: this.#now,
      deadlineAt,
      repeatable,
      resumable: repeatable,
      settings: {
        priority: this.#random.integer(3),
        floorRequestsPerSecond: this.#random.integer(2),
        retryRatio: 0.5,
      },
    });
    this.#check(this.driver.arrive(work, this.#now));
  }

  #endAttempt(): void {
    const run = this.#pickRun();
    if (run === undefined) return;
    const { request, attempt, server } = run.dispatch;
    this.#running.delete(attempt);
    if (this.#random.next() < 0.6) {
      this.#ended.add(request);
      this.#check(this.driver.finish(run.dispatch, this.#now));
      return;
    }
    const outcome = this.#random.pick(["not_run", "may_have_run"] as const);
    if (outcome !== "not_run" && !run.repeatable) this.#ended.add(request);
    this.#failedOn.add(`${request} ${server}`);
    this.#check(this.driver.send({
      type: "failed",
      now: this.#now,
      request,
      attempt,
      kind: "backend_unreachable",
      outcome,
      deliveredTokens: 0,
      connectionLost: this.#random.next() < 0.3,
    }));
  }

  #progress(): void {
    const run = this.#pickRun();
    if (run === undefined) return;
    const { request, attempt } = run.dispatch;
    const now = this.#now;
    const type = "tokens" as const;
    this.#check(this.driver.send({ type, now, request, attempt, count: 30 }));
  }

  #changeServer(): void {
    const id = `s${this.#random.integer(5)}`;
    const server = id as BackendServerId;
    if (this.#random.next() < 0.2) {
      this.#accepting.delete(id);
      const crashed = this.#random.next() < 0.5;
      const now = this.#now;
      this.#check(
        this.driver.send({ type: "server_gone", now, server, crashed }),
      );
      return;
    }
    const acceptsNewWork = this.#random.next() < 0.7;
    if (acceptsNewWork) this.#accepting.add(id);
    else this.#accepting.delete(id);
    const incarnation = 1 as Incarnation;
    const seen = makeServer(id, { acceptsNewWork, incarnation });
    this.#check(this.driver.seeServer(seen, this.#now));
  }

  #abandon(): void {
    const request = `r${this.#random.integer(this.#requests + 1)}` as RequestId;
    const now = this.#now;
    // Work that is not repeatable continues after its caller disconnects.
    if (this.#repeatable.get(request) === true) this.#ended.add(request);
    this.#check(this.driver.send({ type: "caller_gone", now, request }));
  }

  #pickRun(): Run | undefined {
    const runs = [...this.#running.values()];
    return runs.length === 0 ? undefined : this.#random.pick(runs);
  }

  #check(effects: PolicyDriver<FleetState>["effects"] | readonly unknown[]) {
    for (const effect of effects as PolicyDriver<FleetState>["effects"]) {
      if (effect.type === "dispatch") this.#checkDispatch(effect);
      if (effect.type === "cancel") {
        expect(this.#running.get(effect.attempt)?.repeatable).toBe(true);
        this.#running.delete(effect.attempt);
      }
      if (effect.type === "refuse") {
        expect(this.#runsOf(effect.request)).toHaveLength(0);
        this.#ended.add(effect.request);
      }
    }
  }

  #checkDispatch(dispatch: Dispatch): void {
    const { request, server, attempt } = dispatch;
    const repeatable = this.#repeatable.get(request) as boolean;
    expect(this.#accepting).toContain(server);
    expect(this.#ended).not.toContain(request);
    expect(this.#failedOn).not.toContain(`${request} ${server}`);
    expect(this.#now).toBeLessThan(this.#deadlines.get(request) as number);
    if (!repeatable) expect(this.#runsOf(request)).toHaveLength(0);
    this.#running.set(attempt, { dispatch, repeatable });
    const onServer = [...this.#running.values()]
      .filter((run) => run.dispatch.server === server);
    expect(onServer.length).toBeLessThanOrEqual(4 + 1);
  }

  #runsOf(request: RequestId): Run[] {
    return [...this.#running.values()]
      .filter((run) => run.dispatch.request === request);
  }
}

describe("invariants of fleet decisions", () => {
  // Guards against concurrent attempts of work that is not repeatable, dispatch
  // to a server that accepts none, dispatch after refusal, deadline or end,
  // retries on the failed server, and cancelling work that is not repeatable.
  test("hold for random histories of arrivals and faults", () => {
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        new RandomHistory(seed).play(250);
      }),
      { seed: 41, numRuns: 120 },
    );
  });

  // Guards against a customer who exceeds the limit by moving load between
  // hosts faster than gossip spreads.
  test("bound a customer's requests over all hosts", () => {
    const limit = 40;
    const seconds = 20;
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 15 }), {
          minLength: 20,
          maxLength: 20,
        }),
        (hostMasks) => {
          const admitted = admitOverHosts(hostMasks, limit);
          expect(admitted).toBeLessThanOrEqual(
            limit * (1.1 * seconds + 1) + 4,
          );
          expect(admitted).toBeGreaterThan(limit);
        },
      ),
      { seed: 42, numRuns: 40 },
    );
  });
});

/**
 * Counts admissions if each host in a second's mask is offered 3 times the
 * limit; gossip is 1 s late.
 */
function admitOverHosts(hostMasks: number[], limit: number): number {
  const customer = "c" as CustomerId;
  const { settings } = makeWork("r", {
    settings: { requestsPerSecond: limit },
  });
  const hosts = Array.from({ length: 4 }, () => new CustomerLimits(4));
  let rounds = hosts.map((host) => host.publish(0).localDemand);
  let admitted = 0;
  for (const [second, mask] of hostMasks.entries()) {
    for (let step = 0; step < limit * 3; step += 1) {
      const now = second * 1_000 + step * 1_000 / (limit * 3);
      for (const [index, host] of hosts.entries()) {
        if ((mask >> index & 1) === 0) continue;
        host.observe(customer, 1, now);
        if (host.check(customer, { tokens: 0, settings }, now)) continue;
        host.charge(customer, 0);
        admitted += 1;
      }
    }
    const requestsPerSecond = rounds
      .reduce(
        (sum, own) => sum + (own.get(customer)?.requestsPerSecond ?? 0),
        0,
      );
    const total = new Map([[customer, {
      requestsPerSecond,
      tokensPerSecond: 0,
    }]]);
    for (const [index, host] of hosts.entries()) {
      host.updateDemand(total, { hosts: 4, localDemand: rounds[index]! });
    }
    rounds = hosts.map((host) =>
      host.publish((second + 1) * 1_000).localDemand
    );
  }
  return admitted;
}
