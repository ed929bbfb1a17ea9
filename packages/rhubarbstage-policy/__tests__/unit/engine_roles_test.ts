/**
 * Split of shared engines between prefill and decode: a pool that starts with
 * too few prefill engines, and a mix of work that shifts lastingly or briefly.
 */

import type {
  AvailabilityZone,
  BackendServerId,
  Incarnation,
  ModelName,
  Region,
} from "rhubarbstage";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import type { FleetSettings } from "../../src/fleet_settings.ts";
import type { EngineRole, PolicyEffect, PolicyEvent } from "../../src/types.ts";

const model = "assistant" as ModelName;
const regions = ["north", "south", "east"] as Region[];

interface Engine {
  role: EngineRole;
  readonly region: Region;
}

/** A pool whose engines change roles `changeTime` ms after the order. */
class TestPool {
  readonly engines = new Map<string, Engine>();
  readonly changes: { at: number; region: Region; role: EngineRole }[] = [];
  readonly #reduce: (event: PolicyEvent) => readonly PolicyEffect[];
  readonly #changeTime: number;
  #pending: { at: number; server: string; role: EngineRole }[] = [];
  #now = 0;

  constructor(
    roles: readonly EngineRole[],
    options: {
      readonly changeTime?: number;
      readonly settings?: Partial<FleetSettings>;
    } = {},
  ) {
    this.#changeTime = options.changeTime ?? 0;
    const policy = new FleetPolicy({
      region: regions[0] as Region,
      seed: 5,
      settings: { shareEngineState: true, ...options.settings },
    });
    const state = policy.initial();
    this.#reduce = (event) => policy.reduce(state, event);
    for (const [index, role] of roles.entries()) {
      const region = regions[index % regions.length] as Region;
      this.engines.set(`e${index}`, { role, region });
      this.#reportServer(`e${index}`);
    }
    this.#reduce({ type: "role_authority_changed", now: 0, held: true });
  }

  /** Advances time under a demand in tokens a second. */
  run(seconds: number, demand?: { prompts: number; answers: number }): void {
    for (let step = 0; step < seconds * 2; step += 1) {
      this.#now += 500;
      if (demand !== undefined) {
        this.#reduce({
          type: "demand_reported",
          now: this.#now,
          total: new Map(),
          hosts: 8,
          models: new Map([[model, {
            promptTokensPerSecond: demand.prompts,
            outputTokensPerSecond: demand.answers,
          }]]),
        });
      }
      this.#tick();
    }
  }

  count(role: EngineRole, region?: Region): number {
    return [...this.engines.values()].filter((engine) =>
      engine.role === role &&
      (region === undefined || engine.region === region)
    ).length;
  }

  #tick(): void {
    const effects = this.#reduce({ type: "tick", now: this.#now });
    for (const effect of effects) {
      if (effect.type !== "set_role") continue;
      const { server, role } = effect;
      this.#pending.push({ at: this.#now + this.#changeTime, server, role });
    }
    const due = this.#pending.filter(({ at }) => at <= this.#now);
    this.#pending = this.#pending.filter(({ at }) => at > this.#now);
    for (const { server, role } of due) this.#changeRole(server, role);
  }

  #changeRole(server: string, role: EngineRole): void {
    const engine = this.engines.get(server) as Engine;
    engine.role = role;
    this.changes.push({ at: this.#now, region: engine.region, role });
    this.#reportServer(server);
  }

  #reportServer(id: string): void {
    const { role, region } = this.engines.get(id) as Engine;
    this.#reduce({
      type: "server_seen",
      now: this.#now,
      server: {
        id: id as BackendServerId,
        incarnation: 1 as Incarnation,
        region,
        availabilityZone: `${region}-a` as AvailabilityZone,
        models: [model],
        services: [],
        role,
        capacity: 64,
        acceptsNewWork: true,
      },
    });
  }
}

function roles(prefill: number, decode: number): EngineRole[] {
  return [
    ...Array.from({ length: prefill }, () => "prefill" as const),
    ...Array.from({ length: decode }, () => "decode" as const),
  ];
}

test("an idle pool is split before the first request", () => {
  const pool = new TestPool(roles(3, 5));
  pool.run(5);
  expect(pool.count("prefill")).toBe(5);
  expect(pool.changes.length).toBe(2);
});

test("each region keeps engines of both roles", () => {
  const pool = new TestPool(roles(3, 6));
  pool.run(10);
  for (const region of regions) {
    expect(pool.count("prefill", region)).toBeGreaterThanOrEqual(1);
    expect(pool.count("decode", region)).toBeGreaterThanOrEqual(1);
  }
});

test("a lasting shift to long answers changes roles one engine at a time", () => {
  const pool = new TestPool(roles(8, 5));
  pool.run(90, { prompts: 30_000, answers: 20_000 });
  expect(pool.count("decode")).toBeGreaterThanOrEqual(9);
  const times = pool.changes.map(({ at }) => at);
  expect(new Set(times).size).toBe(times.length);
});

test("a swing of a few seconds changes no role", () => {
  const pool = new TestPool(roles(5, 3));
  for (let cycle = 0; cycle < 6; cycle += 1) {
    pool.run(3, { prompts: 130_000, answers: 2_000 });
    pool.run(3, { prompts: 50_000, answers: 6_000 });
  }
  expect(pool.changes).toEqual([]);
});

test("a new policy restores the split of engines that returned to their initial roles", () => {
  const pool = new TestPool(roles(5, 3));
  pool.run(5);
  expect(pool.changes).toEqual([]);
  pool.engines.set("e0", { role: "decode", region: regions[0] as Region });
  pool.engines.set("e1", { role: "decode", region: regions[1] as Region });
  const restarted = new TestPool(
    [...pool.engines.values()].map(({ role }) => role),
  );
  restarted.run(5);
  expect(restarted.count("prefill")).toBe(5);
});

test("the last engine of a role in a region keeps it", () => {
  const pool = new TestPool(roles(3, 3));
  pool.run(90, { prompts: 200_000, answers: 100 });
  for (const region of regions) {
    expect(pool.count("decode", region)).toBeGreaterThanOrEqual(1);
  }
});

test("no role changes under load where engines refuse queued work", () => {
  const settings = { rolesFollowDemand: false };
  const pool = new TestPool(roles(5, 3), { settings });
  pool.run(90, { prompts: 30_000, answers: 40_000 });
  expect(pool.changes).toEqual([]);
});

test("a large pool changes several engines at a time", () => {
  const changeTime = 4_000;
  const pool = new TestPool(roles(70, 39), { changeTime });
  pool.run(60, { prompts: 200_000, answers: 100_000 });
  // One at a time, 60 s allow 15 changes at most.
  expect(pool.changes.length).toBeGreaterThan(15);
});
