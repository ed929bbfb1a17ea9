/** Ways to choose a plain server that the replay compares. */

import { SeededRandom } from "rhubarbstage";
import type { Region } from "rhubarbstage";
import { defaultFleetSettings } from "../../src/constants.ts";
import { distanceCost, expectCompletion } from "../../src/completion_time.ts";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import type { FleetState } from "../../src/fleet_state.ts";
import { RequestCosts } from "../../src/request_cost.ts";
import type { RoutingView } from "../../src/routing.ts";
import { type ServerEntry, ServerTable } from "../../src/server_table.ts";
import type { PolicyEvent, WorkFigures } from "../../src/types.ts";
import { makeServer, makeWork } from "./fixtures.ts";
import {
  type Assignment,
  type Call,
  Chooser,
  customer,
  hostCount,
  type LoadReport,
  pathTime,
  regionOf,
  runTime,
  serverCount,
  service,
  slots,
  type World,
  zoneOf,
  zoneOfHost,
} from "./plain_replay.ts";

const crossZonePenalty = 5;
const roundTrips = (zone: number): ReadonlyMap<Region, number> =>
  new Map(
    [0, 2, 4].filter((other) => other >> 1 !== zone >> 1)
      .map((other) => [regionOf(other), 60]),
  );

function serverOf(index: number, report?: LoadReport) {
  return makeServer(`server-${index}`, {
    region: regionOf(index),
    availabilityZone: zoneOf(index),
    models: [],
    services: [service],
    capacity: slots,
    ...(report === undefined ? {} : {
      load: {
        runningRequests: report.running,
        queuedRequests: report.queued,
        cacheTokensUsed: 0,
        cacheTokensTotal: 0,
        pace: report.pace,
      },
    }),
  });
}

function workOf(call: Call) {
  const work = makeWork(call.id, {
    customer,
    service,
    kind: service as never,
    promptTokens: 0,
    repeatable: false,
    resumable: false,
    maxAttempts: 1,
    arrivedAt: call.at,
    deadlineAt: call.at + 3_000,
    settings: { firstTokenTarget: 353 },
  });
  const { model: _model, ...plain } = work;
  return plain;
}

/** The policy of every host, with or without the setting. */
export class PolicyChooser extends Chooser {
  readonly #hosts: { policy: FleetPolicy; state: FleetState }[] = [];
  readonly #figures = new Map<number, WorkFigures>();
  readonly #calls = new Map<string, Assignment>();
  readonly #attempts = new Map<string, string>();
  #sharedAt = 0;

  constructor(options: { readonly isOn: boolean }) {
    super();
    for (let host = 0; host < hostCount; host += 1) {
      const zone = zoneOfHost(host);
      const policy = new FleetPolicy({
        region: regionOf(zone),
        availabilityZone: zoneOf(zone),
        seed: host + 1,
        hosts: hostCount,
        position: host,
        settings: {
          shareEngineState: true,
          longCostFactor: 1e6,
          routeByRemainingWork: options.isOn,
        },
      });
      const state = policy.initial();
      this.#hosts.push({ policy, state });
      for (let index = 0; index < serverCount; index += 1) {
        policy.reduce(state, {
          type: "server_seen",
          now: 0,
          server: serverOf(index),
        });
      }
      for (const [region, roundTrip] of roundTrips(zone)) {
        policy.reduce(state, {
          type: "path_measured",
          now: 0,
          region,
          roundTrip,
        });
      }
    }
  }

  override arrive(call: Call, now: number): Assignment[] {
    this.#calls.set(call.id, { call, server: -1 });
    return this.#send(call.host, { type: "arrived", now, work: workOf(call) });
  }

  override finish(
    { call, server }: Assignment,
    report: LoadReport,
    now: number,
  ): Assignment[] {
    const seen = this.#send(call.host, {
      type: "server_seen",
      now,
      server: serverOf(server, report),
    });
    const finished = this.#send(call.host, {
      type: "finished",
      now,
      request: call.id as never,
      attempt: this.#attempts.get(call.id) as never,
      promptTokens: 0,
      outputTokens: 0,
    });
    return [...seen, ...finished];
  }

  override tick(now: number): Assignment[] {
    if (now - this.#sharedAt >= 1_000) this.#share(now);
    return this.#hosts.flatMap((_host, index) =>
      this.#send(index, { type: "tick", now })
    );
  }

  #share(now: number): void {
    this.#sharedAt = now;
    const figures = new Map<string, readonly [number, number]>();
    for (const published of this.#figures.values()) {
      for (const [subject, [sum, count]] of published) {
        const [total, counts] = figures.get(subject) ?? [0, 0];
        figures.set(subject, [total + sum, counts + count]);
      }
    }
    for (const { policy, state } of this.#hosts) {
      policy.reduce(state, {
        type: "demand_reported",
        now,
        total: new Map(),
        hosts: hostCount,
        position: 0,
        ...(figures.size === 0 ? {} : { figures }),
      });
    }
  }

  #send(host: number, event: PolicyEvent): Assignment[] {
    const { policy, state } = this.#hosts[host]!;
    const assignments: Assignment[] = [];
    for (const effect of policy.reduce(state, event)) {
      if (effect.type === "publish_demand" && effect.figures !== undefined) {
        this.#figures.set(host, effect.figures);
      }
      if (effect.type !== "dispatch") continue;
      const { call } = this.#calls.get(effect.request)!;
      this.#attempts.set(call.id, effect.attempt);
      const server = Number(effect.server.slice("server-".length));
      assignments.push({ call, server });
    }
    return assignments;
  }
}

/** One host's table of servers, for ways without a policy. */
interface HostView {
  readonly table: ServerTable;
  readonly entries: readonly ServerEntry[];
  readonly view: RoutingView;
}

/** Ways that use only what each host knows itself. */
export abstract class LocalChooser extends Chooser {
  readonly random = new SeededRandom(9);
  readonly #hosts: HostView[] = [];

  constructor() {
    super();
    for (let host = 0; host < hostCount; host += 1) {
      const zone = zoneOfHost(host);
      const table = new ServerTable({
        oversubscriptionFactor: 1.25,
        sampled: 18,
        shareEngineState: true,
      });
      for (let index = 0; index < serverCount; index += 1) {
        table.upsert(serverOf(index), 0);
      }
      const view = {
        costs: new RequestCosts(runTime),
        region: regionOf(zone),
        zone: zoneOf(zone),
        roundTrips: roundTrips(zone),
        settings: { ...defaultFleetSettings, crossZonePenalty },
        now: 0,
      } as RoutingView;
      this.#hosts.push({ table, entries: [...table.servers.values()], view });
    }
  }

  hostOf({ host }: Call): HostView {
    return this.#hosts[host]!;
  }

  abstract choose(host: HostView, call: Call, now: number): number;

  override arrive(call: Call, now: number): Assignment[] {
    const host = this.#hosts[call.host]!;
    const server = this.choose(host, call, now);
    host.table.adjustAttempts(host.entries[server]!, 1, now);
    return [{ call, server }];
  }

  override finish(
    { call, server }: Assignment,
    report: LoadReport,
    now: number,
  ): Assignment[] {
    const { table, entries, view } = this.#hosts[call.host]!;
    const entry = entries[server]!;
    const requests = report.running + report.queued;
    entry.remaining.report({ requests, own: entry.localAttempts }, now);
    entry.pace.report(report.pace, now);
    table.adjustAttempts(entry, -1, now);
    const elapsed = now - call.at - 2 * pathTime(call.host, server);
    if (report.queued === 0) {
      view.costs.learn(service, elapsed / report.pace);
    }
    return [];
  }

  /** Index of the least score; equal ones at random. */
  least(scores: readonly number[]): number {
    const best = Math.min(...scores);
    const equal = [...scores.keys()].filter((index) => scores[index] === best);
    return this.random.pick(equal);
  }

  expected({ view, entries }: HostView, call: Call, now: number): number[] {
    const current = { ...view, now };
    return entries.map((entry) => {
      const { wait, run, distance } = expectCompletion(
        current,
        workOf(call),
        entry,
      );
      return wait + run + distance;
    });
  }
}

/** Fewest open requests of the host itself, then the nearest server. */
export class FewestOpenChooser extends LocalChooser {
  override choose({ entries, view }: HostView): number {
    return this.least(
      entries.map(({ localAttempts, server }) =>
        localAttempts * 1_000 + distanceCost(view, server)
      ),
    );
  }
}

/** Least work in the last reports, whatever their age. */
export class LastReportChooser extends LocalChooser {
  readonly #reports = new Map<ServerEntry, LoadReport>();

  override choose({ entries, view }: HostView): number {
    return this.least(entries.map((entry) => {
      const { running = 0, queued = 0, pace = 1 } = this.#reports.get(entry) ??
        {};
      const ahead = Math.max(0, running + queued + 1 - slots) / slots;
      return (1 + ahead) * runTime * pace + distanceCost(view, entry.server);
    }));
  }

  override finish(
    assignment: Assignment,
    report: LoadReport,
    now: number,
  ): Assignment[] {
    const { call, server } = assignment;
    this.#reports.set(this.hostOf(call).entries[server]!, report);
    return super.finish(assignment, report, now);
  }
}

/** Least expected completion by aged figures of the host itself. */
export class LeastWorkChooser extends LocalChooser {
  override choose(host: HostView, call: Call, now: number): number {
    return this.least(this.expected(host, call, now));
  }
}

/** The better of two random servers. */
export class TwoChoicesChooser extends LocalChooser {
  override choose(host: HostView, call: Call, now: number): number {
    const scores = this.expected(host, call, now);
    const first = this.random.integer(serverCount);
    const second = (first + 1 + this.random.integer(serverCount - 1)) %
      serverCount;
    return scores[first]! <= scores[second]! ? first : second;
  }
}

/** One place that knows all servers as they are, which no host does. */
export class FullViewChooser extends LocalChooser {
  readonly #world: World;

  constructor(world: World) {
    super();
    this.#world = world;
  }

  override choose({ entries, view }: HostView, _call: Call, now: number) {
    const { servers, underway, paces } = this.#world;
    return this.least(entries.map(({ server }, index) => {
      const { running, queue } = servers[index]!;
      const requests = running + queue.length + underway[index]!;
      const ahead = Math.max(0, requests + 1 - slots) / slots;
      return (1 + ahead) * runTime * paces.at(index, now) +
        distanceCost(view, server);
    }));
  }
}
