/**
 * A region whose engines are placed by one host, driven by a list of arrivals.
 * Engines compute one prompt at a time, by rank, and run as many streams as they
 * have slots. Messages take no time.
 */

import TinyQueue from "tinyqueue";
import type {
  BackendServerId,
  CustomerId,
  HostId,
  ModelName,
  Region as RegionName,
  RequestId,
  WorkKind,
} from "rhubarbstage";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import { hasFreeStream } from "../../src/engine_routing.ts";
import type {
  EngineWork,
  Placement,
  PlacementQuery,
  PolicyEffect,
} from "../../src/types.ts";
import { makeServer, PolicyDriver } from "./fixtures.ts";

const name = "north" as RegionName;
const model = "assistant" as ModelName;
const asker = "asker" as HostId;

/** A kind of requests. Times in milliseconds. */
export interface Kind {
  readonly name: string;
  /** Tokens that all its prompts share. */
  readonly shared: number;
  readonly own: number;
  readonly output: number;
  readonly target: number;
  readonly deadline: number;
  readonly rank: number;
}

/** A caller's request, with the returns after refusals. */
export interface Arrival {
  readonly at: number;
  readonly customer: string;
  readonly kind: Kind;
  /** Whether the caller returns at once, whatever delay it is told. */
  readonly isImpatient?: boolean;
}

export interface Result {
  readonly arrival: Arrival;
  outcome: "on_time" | "late" | "failed" | "refused";
  tries: number;
  /** Longest hold that ended in a refusal, as a part of the target. */
  lostHold: number;
  /** Whether it was refused while an engine had a free slot. */
  isRefusedBesideFreeSlot: boolean;
}

export interface RegionOptions {
  readonly engines: number;
  readonly slots: number;
  /** Prompt tokens that an engine computes in a millisecond. */
  readonly promptSpeed: number;
  /** Time between the tokens of a stream, in milliseconds. */
  readonly tokenInterval: number;
  /** Whether queries name their customer. */
  readonly hasCustomers: boolean;
  readonly maxReturns?: number;
}

interface Stream {
  readonly result: Result;
  readonly work: EngineWork;
  readonly arrivedAt: number;
  readonly uncachedTokens: number;
}

interface Engine {
  readonly id: BackendServerId;
  waiting: Stream[];
  /** Streams with a slot. */
  running: number;
  isComputing: boolean;
}

interface Task {
  readonly at: number;
  readonly run: () => void;
}

/** Time after which an impatient caller returns, in milliseconds. */
const impatience = 20;

/** Plays arrivals and collects their results. */
export class Region {
  readonly results: Result[] = [];
  readonly host: PolicyDriver<ReturnType<FleetPolicy["initial"]>>;
  readonly #options: RegionOptions;
  readonly #engines = new Map<BackendServerId, Engine>();
  readonly #tasks = new TinyQueue<Task>([], (a, b) => a.at - b.at);
  readonly #open = new Map<
    RequestId,
    { result: Result; query: PlacementQuery; at: number; returns: number }
  >();
  now = 0;
  #count = 0;

  constructor(options: RegionOptions) {
    this.#options = options;
    this.host = new PolicyDriver(
      new FleetPolicy({
        region: name,
        seed: 5,
        settings: { shareEngineState: true, longCostFactor: 1e6 },
      }),
    );
    for (let index = 0; index < options.engines; index += 1) {
      const id = `engine-${index}` as BackendServerId;
      this.#engines.set(id, {
        id,
        waiting: [],
        running: 0,
        isComputing: false,
      });
      this.host.seeServer(makeServer(id, {
        models: [model],
        region: name,
        capacity: options.slots,
        cacheTokens: 746_187,
      }));
    }
  }

  /** Plays all arrivals until everything has ended. */
  play(arrivals: readonly Arrival[]): Result[] {
    for (const arrival of arrivals) {
      const result: Result = {
        arrival,
        outcome: "refused",
        tries: 0,
        lostHold: 0,
        isRefusedBesideFreeSlot: false,
      };
      this.results.push(result);
      const own = `own-${this.results.length}`;
      this.#schedule(arrival.at, () => this.#ask(result, { own, returns: 0 }));
    }
    for (let task = this.#tasks.pop(); task; task = this.#tasks.pop()) {
      this.now = task.at;
      task.run();
    }
    return this.results;
  }

  #schedule(at: number, run: () => void): void {
    this.#tasks.push({ at, run });
  }

  #ask(result: Result, call: { own: string; returns: number }): void {
    const { kind, customer } = result.arrival;
    const { hasCustomers } = this.#options;
    this.#count += 1;
    result.tries += 1;
    const request = `request-${this.#count}` as RequestId;
    const query: PlacementQuery = {
      request,
      model,
      promptTokens: kind.shared + kind.own,
      outputTokens: kind.output,
      parts: [
        { id: `shared-${kind.name}`, tokens: kind.shared },
        { id: call.own, tokens: kind.own },
      ],
      rank: kind.rank,
      waited: 0,
      firstTokenTarget: kind.target,
      startTimeout: Math.min(kind.deadline, Math.max(2_000, 4 * kind.target)),
      excludedServers: [],
      suspect: false,
      ...(hasCustomers
        ? {
          customer: customer as CustomerId,
          kind: kind.name as WorkKind,
          timeLeft: kind.deadline,
        }
        : {}),
    };
    const { returns } = call;
    this.#open.set(request, { result, query, at: this.now, returns });
    this.#apply(this.host.send({
      type: "placement_requested",
      now: this.now,
      from: asker,
      query,
    }));
  }

  #apply(effects: readonly PolicyEffect[]): void {
    for (const effect of effects) {
      if (effect.type !== "answer_placement") continue;
      this.#answer(effect.request, effect.placement, effect.works);
    }
  }

  #answer(
    request: RequestId,
    placement: Placement,
    works: readonly EngineWork[],
  ): void {
    const open = this.#open.get(request)!;
    const { result, query, at, returns } = open;
    if (placement.type === "waiting") {
      this.#schedule(
        this.now + placement.limit,
        () =>
          this.#apply(this.host.send({ type: "placement_due", now: this.now })),
      );
      return;
    }
    this.#open.delete(request);
    if (placement.type === "placed") {
      const engine = this.#engines.get(placement.server)!;
      const { uncachedTokens } = placement;
      const [work] = works as [EngineWork];
      engine.waiting.push({ result, work, arrivedAt: at, uncachedTokens });
      return this.#run(engine);
    }
    const { isImpatient = false, kind } = result.arrival;
    result.lostHold = Math.max(result.lostHold, (this.now - at) / kind.target);
    const members = [...this.host.state.table.servers.values()];
    result.isRefusedBesideFreeSlot ||= members
      .some((entry) => hasFreeStream(entry, this.now));
    if (returns >= (this.#options.maxReturns ?? 3)) return;
    const delay = isImpatient ? impatience : placement.retryAfter;
    const own = query.parts.at(-1)!.id;
    this.#schedule(
      this.now + delay,
      () => this.#ask(result, { own, returns: returns + 1 }),
    );
  }

  /** Gives slots to waiting requests and computes the next prompt. */
  #run(engine: Engine): void {
    const { slots, promptSpeed } = this.#options;
    if (engine.isComputing || engine.running >= slots) return;
    engine.waiting.sort((left, right) => left.work.rank - right.work.rank);
    const stream = engine.waiting.shift();
    if (stream === undefined) return;
    engine.isComputing = true;
    engine.running += 1;
    this.#schedule(this.now + stream.uncachedTokens / promptSpeed + 1, () => {
      engine.isComputing = false;
      this.#begin(engine, stream);
      this.#run(engine);
    });
  }

  #begin(engine: Engine, stream: Stream): void {
    const { tokenInterval } = this.#options;
    const { result, arrivedAt, work } = stream;
    const { target, deadline, output } = result.arrival.kind;
    const { server, id } = work;
    this.#apply(this.host.send({
      type: "work_ended",
      now: this.now,
      end: { server, id, ended: "computed" },
    }));
    const elapsed = this.now - arrivedAt;
    const duration = output * tokenInterval;
    const isBegun = elapsed <= Math.max(2_000, 4 * target);
    const isWhole = isBegun && elapsed + duration <= deadline;
    result.outcome = elapsed <= target ? "on_time" : "late";
    if (!isWhole) result.outcome = "failed";
    const occupied = !isBegun
      ? 0
      : isWhole
      ? duration
      : Math.max(0, deadline - elapsed);
    this.#schedule(this.now + occupied, () => {
      engine.running -= 1;
      this.#apply(this.host.send({
        type: "work_ended",
        now: this.now,
        end: {
          server,
          id,
          ended: "answered",
          observed: { tokenInterval, fixedTime: 3 },
        },
      }));
      this.#run(engine);
    });
  }
}
