import { delay } from "rhubarbstage";
import { Cluster } from "./cluster.ts";
import {
  EngineFleet,
  expectedText,
  type GenerationAnswer,
} from "./engine_fleet.ts";

const seed = 20_261_205;
const requestCount = 250;
/** Time between two requests, in milliseconds. */
const requestInterval = 80;

describe("role changes of engine processes", () => {
  // Guards against role changes that interrupt running streams, and against
  // overlapping orders on one engine (invariants 1 and 2 of
  // docs/invariants.md).
  test("changes an engine to decode without interrupting a stream", async () => {
    const cluster = await Cluster.start({ seed, replicas: 3 });
    try {
      await cluster.check(async () => {
        const roles = ["prefill", "prefill", "prefill", "decode"] as const;
        const fleet = await EngineFleet.start(
          cluster,
          roles.map((role) => ({
            role,
            slots: 4,
            decodeTokensPerSecond: 60,
            roleChangeTime: 1_000,
          })),
        );
        const answers: Promise<GenerationAnswer>[] = [];
        const calls = Array.from({ length: requestCount }, (_, index) => ({
          prompt: `short prompt ${index}`,
          maxTokens: 30,
        }));
        for (const [index, call] of calls.entries()) {
          answers.push(fleet.generate(cluster.host(index % 3), call));
          await delay(requestInterval);
        }
        for (const [index, answer] of (await Promise.all(answers)).entries()) {
          if (answer.outcome === "not_run") continue;
          const call = calls[index] as typeof calls[number];
          expect(answer).toMatchObject({ complete: true, kind: "" });
          expect(answer.text).toBe(expectedText(call));
        }
        const readOrders = async () =>
          (await Promise.all(
            fleet.engines.map(async (engine) =>
              (await fleet.records(engine)).orders
            ),
          )).flat();
        await cluster.until(
          "the role has changed and the engine is undrained",
          () =>
            readOrders().then((orders) =>
              orders.some(({ kind, result }) =>
                kind === "undrain" && result === "done"
              )
            ),
        );
        const orders = await readOrders();
        const done = orders.filter(({ result }) => result === "done");
        cluster.driver.recordEvent("engines", JSON.stringify(orders));
        expect(done.map(({ kind, argument }) => `${kind} ${argument}`))
          .toEqual(expect.arrayContaining(["drain ", "set_role decode"]));
        expect(orders.filter(({ overlapping }) => overlapping)).toEqual([]);
        expect(orders.map(({ interruptedStreams }) => interruptedStreams))
          .toEqual(orders.map(() => 0));
      });
    } finally {
      await cluster.stop();
    }
  });
});
