import type { BackendServerId, Incarnation, Region } from "rhubarbstage";
import { FleetPolicy, type PolicyEffect } from "../../src/mod.ts";
import {
  type Dispatch,
  makeServer,
  makeWork,
  PolicyDriver,
} from "./fixtures.ts";

const step = 100;
const gossipDelay = 200;
/** Time from dispatch to the first token and from there to the end. */
const startTime = 500;
const runTime = 1_000;
const downTime = 3_000;
/** Time in which hosts must act on the fifth crash. */
const stableWindow = 4_000;
const serverCount = 8;
const firstParts = 12;

interface Running {
  readonly host: number;
  readonly dispatch: Dispatch;
  readonly deadly: boolean;
  readonly at: number;
  begun: boolean;
}

type Publication = Extract<PolicyEffect, { type: "publish_part_marks" }>;

/** Options of {@linkcode FleetDay}. */
interface FleetDayOptions {
  /** Milliseconds between two requests with the deadly part. */
  readonly deadlyInterval: number;
  /** Hosts that are replaced by new processes, and when. */
  readonly restarts?: readonly { readonly host: number; readonly at: number }[];
  /** Host that handles nothing for a while. */
  readonly freeze?: {
    readonly host: number;
    readonly from: number;
    readonly to: number;
  };
}

/**
 * Plays hosts that share engines, of which each crashes when it begins to answer
 * a request with the deadly part. No two requests are alike: sound ones share
 * their first parts with the deadly ones.
 */
class FleetDay {
  readonly crashes: number[] = [];
  readonly deadlySends: number[] = [];
  readonly soundSends: number[] = [];
  readonly soundArrivals: number[] = [];
  #incarnations = new Map<string, number>();
  #hosts = [0, 1, 2].map((position) => this.#startHost(position));
  #published = new Map<number, { at: number; publication: Publication }>();
  #running: Running[] = [];
  #down = new Map<string, number>();
  #requestCount = 0;

  constructor(readonly options: FleetDayOptions) {}

  play(length: number): void {
    for (let now = 0; now < length; now += step) {
      this.#restartHosts(now);
      this.#restoreServers(now);
      this.#deliverGossip(now);
      this.#progress(now);
      const host = this.#requestCount % this.#hosts.length;
      this.#arrive(this.#isFrozen(host, now) ? (host + 1) % 3 : host, now);
      for (const [index, driver] of this.#hosts.entries()) {
        if (this.#isFrozen(index, now)) continue;
        this.#apply(index, driver.tick(now), now);
      }
    }
  }

  /** Sends of deadly requests that come too late after the fifth crash. */
  get lateSends(): number {
    const fifth = this.crashes[4] ?? Infinity;
    return this.deadlySends.filter((at) => at > fifth + stableWindow).length;
  }

  /** Share of sound requests since a time that were sent to a server. */
  soundShare(from: number): number {
    const sent = this.soundSends.filter((at) => at >= from).length;
    return sent / this.soundArrivals.filter((at) => at >= from).length;
  }

  #startHost(position: number) {
    const region = "attica" as Region;
    const options = { region, seed: position + 1, hosts: 3, position };
    const driver = new PolicyDriver(new FleetPolicy(options));
    for (let index = 0; index < serverCount; index += 1) {
      driver.seeServer(this.#server(`s${index}`));
    }
    return driver;
  }

  #server(id: string) {
    const incarnation = (this.#incarnations.get(id) ?? 1) as Incarnation;
    return makeServer(id, { incarnation, capacity: 64 });
  }

  #isFrozen(host: number, now: number): boolean {
    const { freeze } = this.options;
    return freeze?.host === host && now >= freeze.from && now < freeze.to;
  }

  #restartHosts(now: number): void {
    for (const { host, at } of this.options.restarts ?? []) {
      if (at !== now) continue;
      this.#hosts[host] = this.#startHost(host);
      this.#running = this.#running.filter((running) => running.host !== host);
      // The log of the former process is gone with it.
      this.#published.delete(host);
      for (const { publication } of this.#published.values()) {
        this.#report(host, publication, now);
      }
    }
  }

  #restoreServers(now: number): void {
    for (const [id, at] of this.#down) {
      if (now < at) continue;
      this.#down.delete(id);
      for (const [host, driver] of this.#hosts.entries()) {
        this.#apply(host, driver.seeServer(this.#server(id), now), now);
      }
    }
  }

  #deliverGossip(now: number): void {
    for (const [from, { at, publication }] of this.#published) {
      for (const host of this.#hosts.keys()) {
        if (host === from || this.#isFrozen(host, now)) continue;
        const { freeze } = this.options;
        const isThawed = freeze?.host === host && freeze.to === now;
        if (now - at === gossipDelay || isThawed) {
          this.#report(host, publication, now);
        }
      }
    }
  }

  #report(host: number, { marks }: Publication, now: number): void {
    const driver = this.#hosts[host]!;
    const event = { type: "part_marks_reported", now, marks } as const;
    this.#apply(host, driver.send(event), now);
  }

  #progress(now: number): void {
    for (const running of [...this.#running]) {
      if (!this.#running.includes(running)) continue;
      const { host, dispatch, at } = running;
      const driver = this.#hosts[host]!;
      const { request, attempt } = dispatch;
      if (!running.begun && now - at >= startTime) {
        if (running.deadly) {
          this.#crash(dispatch.server, now);
          continue;
        }
        running.begun = true;
        const event = { type: "first_token", now, request, attempt } as const;
        this.#apply(host, driver.send(event), now);
      }
      if (now - at < runTime) continue;
      this.#running = this.#running.filter((other) => other !== running);
      this.#apply(host, driver.finish(dispatch, now), now);
    }
  }

  #crash(server: BackendServerId, now: number): void {
    this.crashes.push(now);
    this.#down.set(server, now + downTime);
    this.#incarnations.set(server, now + 2);
    const lost = this.#running.filter(({ dispatch }) =>
      dispatch.server === server
    );
    this.#running = this.#running.filter((running) => !lost.includes(running));
    for (const { host, dispatch } of lost) {
      const { request, attempt } = dispatch;
      const effects = this.#hosts[host]!.send({
        type: "failed",
        now,
        request,
        attempt,
        kind: "backend_failed",
        outcome: "may_have_run",
        deliveredTokens: 0,
        connectionLost: true,
      });
      this.#apply(host, effects, now);
    }
    for (const [host, driver] of this.#hosts.entries()) {
      const event = {
        type: "server_gone",
        now,
        server,
        crashed: true,
      } as const;
      this.#apply(host, driver.send(event), now);
    }
  }

  #arrive(host: number, now: number): void {
    const count = this.#requestCount += 1;
    const deadly = now > 0 && now % this.options.deadlyInterval === 0;
    const id = deadly ? `deadly-${count}` : `sound-${count}`;
    if (!deadly) this.soundArrivals.push(now);
    const work = makeWork(id, {
      arrivedAt: now,
      deadlineAt: now + 60_000,
      repeatable: false,
      resumable: false,
      promptParts: [
        { id: `first-${count * 7 % firstParts}`, tokens: 1_000 },
        ...(deadly ? [{ id: "deadly", tokens: 100 }] : []),
        { id: `own-${count}`, tokens: 200 },
      ],
    });
    this.#apply(host, this.#hosts[host]!.arrive(work, now), now);
  }

  #apply(
    host: number,
    effects: readonly PolicyEffect[],
    now: number,
  ): void {
    for (const effect of effects) {
      if (effect.type === "publish_part_marks") {
        this.#published.set(host, { at: now, publication: effect });
      }
      if (effect.type !== "dispatch") continue;
      const deadly = effect.request.startsWith("deadly");
      (deadly ? this.deadlySends : this.soundSends).push(now);
      this.#running.push({
        host,
        dispatch: effect,
        deadly,
        at: now,
        begun: false,
      });
    }
  }
}

describe("a prompt part that crashes every server that answers it", () => {
  // Guards against unlike requests that crash server after server because only
  // whole requests are recognised, and against refusing their first parts.
  test.each([400, 1_000, 2_500])(
    "is refused after a few crashes when it comes every %p ms",
    (deadlyInterval) => {
      const day = new FleetDay({ deadlyInterval });
      day.play(30_000);
      expect(day.crashes.length).toBeGreaterThan(2);
      expect(day.lateSends).toBeLessThanOrEqual(3);
      expect(day.soundShare(15_000)).toBeGreaterThan(0.95);
    },
  );

  // Guards against forgetting the part with the hosts that saw the crashes.
  test("stays refused while all hosts restart in turn and one was frozen", () => {
    const day = new FleetDay({
      deadlyInterval: 700,
      freeze: { host: 0, from: 2_000, to: 5_000 },
      // Three rounds over all hosts.
      restarts: Array.from({ length: 9 }, (_, index) => ({
        host: index % 3,
        at: 8_000 + index * 4_000,
      })),
    });
    day.play(60_000);
    expect(day.crashes.length).toBeGreaterThan(2);
    expect(day.lateSends).toBeLessThanOrEqual(3);
    expect(day.soundShare(15_000)).toBeGreaterThan(0.9);
  });
});
