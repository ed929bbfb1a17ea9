/**
 * Replays one list of plain calls against six servers whose pace varies, with
 * different ways to choose the server. Hosts see a server only by its answers.
 */

import type {
  AvailabilityZone,
  CustomerId,
  Region,
  ServiceName,
} from "rhubarbstage";
import { SeededRandom } from "rhubarbstage";
import TinyQueue from "tinyqueue";

export const serverCount = 6;
export const slots = 6;
export const hostCount = 106;
export const runTime = 42.9;
/** Calls a second at a load of 1. */
const callRate = 125;
const duration = 30_000;
/** Calls of the first seconds, in which estimates begin, do not count. */
const warmUp = 5_000;
const target = 353;
const zoneWeights = [0.3, 0.2, 0.15, 0.15, 0.1, 0.1];
const oneWay = { zone: 0.3, region: 0.7, remote: 30 };
const slowPace = 2.5;
const phaseTime = 600;

export interface Call {
  readonly id: string;
  readonly at: number;
  readonly host: number;
  readonly work: number;
}

export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly pace: number;
}

export interface Assignment {
  readonly call: Call;
  readonly server: number;
}

/** One way to choose servers, for all hosts. */
export abstract class Chooser {
  /** Returns the calls that start now; others wait at their hosts. */
  abstract arrive(call: Call, now: number): Assignment[];
  abstract finish(
    assignment: Assignment,
    report: LoadReport,
    now: number,
  ): Assignment[];
  /** Called every 50 ms. */
  tick(_now: number): Assignment[] {
    return [];
  }
}

export function zoneOf(index: number): AvailabilityZone {
  return `zone-${index}` as AvailabilityZone;
}

/** Two zones make a region. */
export function regionOf(zone: number): Region {
  return `region-${zone >> 1}` as Region;
}

export const service = "charges" as ServiceName;
export const customer = "charges" as CustomerId;

/** Zone of each host: uneven, as callers are. */
export function zoneOfHost(host: number): number {
  let part = (host + 0.5) / hostCount;
  return Math.max(0, zoneWeights.findIndex((weight) => (part -= weight) < 0));
}

export function pathTime(host: number, server: number): number {
  const zone = zoneOfHost(host);
  if (zone === server) return oneWay.zone;
  return zone >> 1 === server >> 1 ? oneWay.region : oneWay.remote;
}

/** Pace of a server: short phases, and one server that is slow for 10 s. */
export class Paces {
  readonly #changes: number[][] = [];

  constructor(seed: number) {
    const random = new SeededRandom(seed);
    for (let server = 0; server < serverCount; server += 1) {
      const changes: number[] = [];
      for (let at = 0; at < duration * 2;) {
        at -= Math.log(1 - random.next()) *
          (changes.length % 2 === 0 ? phaseTime * 4 : phaseTime);
        changes.push(at);
      }
      this.#changes.push(changes);
    }
  }

  at(server: number, now: number): number {
    if (server === 1 && now > 10_000 && now < 20_000) return slowPace;
    const changes = this.#changes[server]!;
    const index = changes.findIndex((at) => at > now);
    return index % 2 === 1 ? slowPace : 1;
  }
}

/** The recorded calls: bursts of 2.4 times every 2.8 s. */
export function recordCalls(load: number, seed = 21): Call[] {
  const random = new SeededRandom(seed);
  const calls: Call[] = [];
  for (let at = 0; at < duration;) {
    const factor = at % 5_600 < 2_800 ? 2.4 : 0.8;
    at -= Math.log(1 - random.next()) * 1_000 / (callRate * load * factor);
    const spread = random.next() + random.next() + random.next() - 1.5;
    calls.push({
      id: `call-${calls.length}`,
      at,
      host: random.integer(hostCount),
      work: runTime * Math.exp(0.6 * spread),
    });
  }
  return calls;
}

interface Server {
  running: number;
  readonly queue: Assignment[];
}

/** State of the servers as it is, for the choice with the full view. */
export class World {
  readonly servers: Server[] = Array.from(
    { length: serverCount },
    () => ({ running: 0, queue: [] }),
  );
  readonly paces = new Paces(4);
  /** Calls on the way to each server. */
  readonly underway = Array.from({ length: serverCount }, () => 0);
}

export interface ReplayResult {
  readonly mean: number;
  readonly p95: number;
  readonly p99: number;
  /** Part of the calls that were late or never answered. */
  readonly late: number;
  /** Part of the calls that went to another region. */
  readonly remote: number;
  /** Part of the calls that went to another zone of the region. */
  readonly otherZone: number;
}

/** Replays calls with one way to choose. */
export function replay(
  calls: readonly Call[],
  createChooser: (world: World) => Chooser,
): ReplayResult {
  const world = new World();
  const chooser = createChooser(world);
  const queue = new TinyQueue<{ at: number; run: () => void }>(
    [],
    (left, right) => left.at - right.at,
  );
  let now = 0;
  const after = (delay: number, run: () => void) =>
    queue.push({ at: now + delay, run });
  const times: number[] = [];
  let remote = 0;
  let otherZone = 0;
  const start = (server: number, assignment: Assignment) => {
    const state = world.servers[server]!;
    state.running += 1;
    const pace = world.paces.at(server, now);
    after(assignment.call.work * pace, () => {
      state.running -= 1;
      const next = state.queue.shift();
      if (next !== undefined) start(server, next);
      const report = {
        running: state.running,
        queued: state.queue.length,
        pace: world.paces.at(server, now),
      };
      after(pathTime(assignment.call.host, server), () => {
        const { call } = assignment;
        if (call.at > warmUp) times.push(now - call.at);
        assign(chooser.finish(assignment, report, now));
      });
    });
  };
  const assign = (assignments: readonly Assignment[]) => {
    for (const assignment of assignments) {
      const { call, server } = assignment;
      const zone = zoneOfHost(call.host);
      if (zone >> 1 !== server >> 1) remote += 1;
      else if (zone !== server) otherZone += 1;
      world.underway[server]! += 1;
      after(pathTime(call.host, server), () => {
        world.underway[server]! -= 1;
        const state = world.servers[server]!;
        if (state.running < slots) start(server, assignment);
        else state.queue.push(assignment);
      });
    }
  };
  for (const call of calls) {
    queue.push({ at: call.at, run: () => assign(chooser.arrive(call, now)) });
  }
  for (let at = 0; at < duration + 5_000; at += 50) {
    queue.push({ at, run: () => assign(chooser.tick(now)) });
  }
  for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
    now = next.at;
    next.run();
  }
  times.sort((left, right) => left - right);
  const counted = calls.filter(({ at }) => at > warmUp).length;
  const onTime = times.filter((time) => time <= target).length;
  const quantile = (part: number) => times[Math.floor(times.length * part)]!;
  return {
    mean: times.reduce((sum, time) => sum + time, 0) / times.length,
    p95: quantile(0.95),
    p99: quantile(0.99),
    late: 1 - onTime / counted,
    remote: remote / calls.length,
    otherZone: otherZone / calls.length,
  };
}
