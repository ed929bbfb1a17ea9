import { delay } from "rhubarbstage";
import { request } from "undici";
import { Cluster } from "./cluster.ts";
import {
  EngineFleet,
  expectedText,
  type GenerationAnswer,
  type GenerationCall,
} from "./engine_fleet.ts";

const seed = 20_261_204;

function makeCalls(count: number, maxTokens: number): GenerationCall[] {
  return Array.from(
    { length: count },
    (_, index) => ({ prompt: `request ${index} of ${maxTokens}`, maxTokens }),
  );
}

function expectCompleteAnswers(
  calls: readonly GenerationCall[],
  answers: readonly GenerationAnswer[],
): void {
  answers.forEach((answer, index) => {
    expect(answer).toMatchObject({ status: 200, kind: "", complete: true });
    expect(answer.text).toBe(expectedText(calls[index] as GenerationCall));
  });
}

describe("serving through processes", () => {
  let cluster!: Cluster;
  let fleet: EngineFleet;

  afterEach(async () => {
    await (cluster as Cluster | undefined)?.stop();
  });

  async function start(engines: number, options = {}): Promise<void> {
    cluster = await Cluster.start({ seed, replicas: 3 });
    fleet = await EngineFleet.start(
      cluster,
      Array.from({ length: engines }, () => options),
    );
  }

  function send(calls: readonly GenerationCall[]): Promise<GenerationAnswer[]> {
    return Promise.all(
      calls.map((call, index) => {
        const host = cluster.host(index % cluster.hosts.length);
        return fleet.generate(host, call);
      }),
    );
  }

  // Guards against a caller that receives a partial answer, another caller's
  // answer or a token twice when an engine is killed (invariant 4 of
  // docs/invariants.md).
  test("returns complete answers when an engine is killed", async () => {
    await start(3);
    await cluster.check(async () => {
      const calls = makeCalls(12, 120);
      const answers = send(calls);
      await delay(250);
      await fleet.engines[0]?.process.kill();
      expectCompleteAnswers(calls, await answers);
    });
  });

  // Guards against new work for a leaving engine, also from an isolated host
  // that is not notified, and against cutting its streams (invariants 2
  // and 7 of docs/invariants.md).
  test("sends a leaving engine no new work after 5 s", async () => {
    await start(2);
    await cluster.check(async () => {
      const [leaving] = fleet.engines;
      if (leaving === undefined) throw new Error("The fleet has no engine");
      const running = makeCalls(6, 300);
      const answers = send(running);
      await delay(200);
      cluster.isolate(cluster.host(2), { loss: "discard" });
      await fleet.leave(leaving);
      await delay(5_000);
      const deadline = Date.now();
      for (let round = 0; round < 5; round += 1) {
        await send(makeCalls(6, 5));
      }
      expectCompleteAnswers(running, await answers);
      const { generations } = await fleet.records(leaving);
      const late = generations.filter(({ arrivedAt }) => arrivedAt > deadline);
      expect(late).toEqual([]);
    });
  });

  // Guards against shutdowns that cut streams or run requests
  // answered with "not run" (docs/invariants.md, 5 and 8).
  test("finishes streams on SIGTERM and then exits with 0", async () => {
    await start(2);
    await cluster.check(async () => {
      const host = cluster.host(1);
      const call = { prompt: "long answer", maxTokens: 300 };
      const answer = fleet.generate(host, call);
      await delay(200);
      const stopped = host.process.terminate();
      await delay(50);
      const ready = await request(`${host.url}/readyz`);
      expect(ready.statusCode).toBe(503);
      await delay(200);
      const late = await fleet.generate(host, { prompt: "late", maxTokens: 5 });
      expect(late).toMatchObject({ kind: "shutting_down", outcome: "not_run" });
      expectCompleteAnswers([call], [await answer]);
      expect(await stopped).toBe(0);
      const prompts = await Promise.all(
        fleet.engines.map(async (engine) =>
          (await fleet.records(engine)).generations.map(({ prompt }) => prompt)
        ),
      );
      expect(prompts.flat()).not.toContain("late");
    });
  });

  // Guards against a request that crashes one engine after the other, and
  // against quarantining the requests that ran beside it.
  test("loses at most two engines to a request that crashes them", async () => {
    await start(5, { crashOnPrompt: "poison" });
    await cluster.check(async () => {
      const ordinary: Promise<GenerationAnswer[]>[] = [];
      const calls = makeCalls(6, 40);
      const poisoned: GenerationAnswer[] = [];
      for (let round = 0; round < 8; round += 1) {
        ordinary.push(send(calls));
        const host = cluster.host(round % 3);
        const call = { prompt: "poison", maxTokens: 20 };
        poisoned.push(await fleet.generate(host, call));
        await delay(1_000);
      }
      for (const answers of await Promise.all(ordinary)) {
        expectCompleteAnswers(calls, answers);
      }
      const crashed = fleet.engines.filter(({ process }) => !process.running);
      expect(crashed.length).toBeLessThanOrEqual(2);
      for (const host of cluster.hosts) {
        const call = { prompt: "poison", maxTokens: 20 };
        expect(await fleet.generate(host, call)).toMatchObject({
          kind: "request_quarantined",
          outcome: "not_run",
        });
      }
    });
  });
});
