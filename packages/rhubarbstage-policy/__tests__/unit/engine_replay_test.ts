/**
 * Prompts on engines whose pace varies, placed by one host of the region with
 * and without `routeByRemainingWork`. Prints the table of
 * `docs/design/costs.md` if `PRINT_TABLE` is set.
 */

import type { AvailabilityZone, HostId, Region, RequestId } from "rhubarbstage";
import { SeededRandom } from "rhubarbstage";
import TinyQueue from "tinyqueue";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import type { EngineWork, PlacementQuery } from "../../src/types.ts";
import { chat, makeServer } from "./fixtures.ts";

const region = "attica" as Region;
const engineCount = 14;
const promptSpeed = 49.6;
const duration = 30_000;
const warmUp = 5_000;
const slowPace = 2.5;
const phaseTime = 600;
const tokenInterval = 5.18;
const outputTokens = 20;
/** Time on the network and until the end of a prompt is known, in ms. */
const messageTime = 1;
const isTablePrinted = process.env.PRINT_TABLE !== undefined;

interface Prompt {
  readonly work: EngineWork;
  readonly time: number;
  readonly askedAt: number;
}

interface Result {
  readonly mean: number;
  readonly p95: number;
  readonly p99: number;
  readonly refused: number;
}

/** Prompts a second: long ones of 13,300 shared tokens beside short ones. */
function replay(load: number, options: {
  readonly isOn: boolean;
  readonly seed: number;
}): Result {
  const { isOn, seed } = options;
  const random = new SeededRandom(seed);
  const policy = new FleetPolicy({
    region,
    availabilityZone: "attica-0" as AvailabilityZone,
    seed,
    hosts: 30,
    settings: {
      shareEngineState: true,
      longCostFactor: 1e6,
      routeByRemainingWork: isOn,
    },
  });
  const state = policy.initial();
  const queue = new TinyQueue<{ at: number; run: () => void }>(
    [],
    (left, right) => left.at - right.at,
  );
  let now = 0;
  const after = (delay: number, run: () => void) =>
    queue.push({ at: now + delay, run });
  const paces = Array.from({ length: engineCount }, () => 1);
  const engines = paces.map(() => ({
    queue: [] as Prompt[],
    isBusy: false,
    /** End of the prompt that is computed, without later phases. */
    cached: new Set<string>(),
  }));
  const phase = (index: number) => {
    paces[index] = paces[index] === 1 ? slowPace : 1;
    const mean = paces[index] === 1 ? phaseTime * 4 : phaseTime;
    after(-Math.log(1 - random.next()) * mean, () => phase(index));
  };
  for (const index of engines.keys()) {
    policy.reduce(state, {
      type: "server_seen",
      now,
      server: makeServer(`engine-${index}`, {
        availabilityZone: `attica-${index % 2}` as AvailabilityZone,
        capacity: 64,
        cacheTokens: 486_993,
      }),
    });
    after(random.next() * phaseTime * 5, () => phase(index));
  }
  const times: number[] = [];
  let asked = 0;
  let refused = 0;
  const end = (work: EngineWork, ended: "computed" | "answered") =>
    policy.reduce(state, {
      type: "work_ended",
      now,
      end: {
        server: work.server,
        id: work.id,
        ended,
        ...(isOn && ended === "computed"
          ? { pace: paces[indexOf(work)]! }
          : {}),
      },
    });
  const compute = (index: number) => {
    const engine = engines[index]!;
    engine.queue.sort((left, right) => left.work.rank - right.work.rank);
    const next = engine.queue.shift();
    engine.isBusy = next !== undefined;
    if (next === undefined) return;
    const { work, askedAt, time } = next;
    after(time * paces[index]!, () => {
      if (askedAt > warmUp) times.push(now + messageTime - askedAt);
      after(messageTime, () => {
        end(work, "computed");
        const answer = outputTokens * tokenInterval * paces[index]!;
        after(answer, () => end(work, "answered"));
      });
      compute(index);
    });
  };
  const ask = () => {
    asked += 1;
    const isLong = random.next() < 0.5;
    const shared = isLong ? 13_300 : 350;
    const own = isLong ? 3_720 : 1_110;
    const parts = [
      { id: `shared-${isLong}-${random.integer(12)}`, tokens: shared },
      { id: `own-${asked}`, tokens: own },
    ];
    const query: PlacementQuery = {
      request: `request-${asked}` as RequestId,
      model: chat,
      promptTokens: shared + own,
      outputTokens,
      parts,
      rank: isLong ? 1 : 0,
      waited: 0,
      firstTokenTarget: isLong ? 1_027 : 261,
      startTimeout: 5_000,
      excludedServers: [],
      suspect: false,
    };
    const from = "host-2" as HostId;
    const effects = policy.reduce(state, {
      type: "placement_requested",
      now,
      from,
      query,
    });
    for (const effect of effects) {
      if (effect.type !== "answer_placement") continue;
      if (effect.placement.type === "refused") refused += 1;
      for (const work of effect.works) {
        const index = indexOf(work);
        const engine = engines[index]!;
        const isCached = engine.cached.has(parts[0]!.id);
        engine.cached.add(parts[0]!.id);
        const tokens = own + (isCached ? 0 : shared);
        const prompt = { work, askedAt: now, time: tokens / promptSpeed };
        engine.queue.push(prompt);
        if (!engine.isBusy) compute(index);
      }
    }
  };
  for (let at = 0; at < duration;) {
    at -= Math.log(1 - random.next()) * 1_000 / load;
    queue.push({ at, run: ask });
  }
  while (queue.length > 0 && now < duration + 5_000) {
    const next = queue.pop()!;
    now = next.at;
    next.run();
  }
  times.sort((left, right) => left - right);
  const quantile = (part: number) => times[Math.floor(times.length * part)]!;
  return {
    mean: times.reduce((sum, time) => sum + time, 0) / times.length,
    p95: quantile(0.95),
    p99: quantile(0.99),
    refused: refused / asked,
  };
}

function indexOf({ server }: EngineWork): number {
  return Number(server.slice("engine-".length));
}

// Guards against prompts that wait behind the slow phase of an engine although
// its pace is known at the placing host.
test("prompts start earlier where the pace of engines is known", () => {
  const loads = isTablePrinted ? [80, 120, 160] : [120];
  const seeds = isTablePrinted ? [1, 2, 3] : [1];
  const means = { on: 0, off: 0 };
  const rows: string[] = [];
  for (const load of loads) {
    for (const name of ["off", "on"] as const) {
      const results = seeds.map((seed) =>
        replay(load, { isOn: name === "on", seed })
      );
      const mean = (field: keyof Result) =>
        results.reduce((sum, result) => sum + result[field], 0) /
        results.length;
      means[name] = mean("mean");
      const cells = [
        `setting ${name}`,
        load,
        mean("mean").toFixed(0),
        mean("p95").toFixed(0),
        mean("p99").toFixed(0),
        `${(mean("refused") * 100).toFixed(2)}%`,
      ];
      rows.push(`| ${cells.join(" | ")} |`);
    }
  }
  if (isTablePrinted) console.log(rows.join("\n"));
  expect(means.on).toBeLessThan(means.off);
});
