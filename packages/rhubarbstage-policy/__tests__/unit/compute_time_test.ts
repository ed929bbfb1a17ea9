/**
 * Engine time of prompts. Pattern: prompts of very different lengths whose
 * measured times contain the same delays of paths and busy hosts.
 */

import { SeededRandom } from "rhubarbstage";
import { ComputeTimeRegression } from "../../src/compute_time.ts";
import { EngineSpeed } from "../../src/engine_speed.ts";

const timePerToken = 0.0064;
const lengths = [1_110, 2_890, 9_190, 17_020];

function learn(regression: ComputeTimeRegression, samples: number): void {
  const random = new SeededRandom(3);
  for (let index = 0; index < samples; index += 1) {
    const tokens = lengths[random.integer(lengths.length)]!;
    const delay = 40 + random.next() * 60;
    // A few prompts wait for a stalled engine.
    const stall = random.next() < 0.02 ? 3_000 : 0;
    regression.add(tokens, tokens * timePerToken + delay + stall);
  }
}

// Guards against fleets that are kept several times too large, because the delays
// of each prompt count as engine time.
test("delays that do not depend on the length are no engine time", () => {
  const regression = new ComputeTimeRegression();
  learn(regression, 400);
  expect(regression.timePerToken).toBeGreaterThan(timePerToken * 0.7);
  expect(regression.timePerToken).toBeLessThan(timePerToken * 1.4);
});

// Guards against fleets that grow because hosts, not engines, are slow: delays of
// busy hosts and wrong estimates of cached parts make the slope several times too
// steep.
test("a low quantile bounds a slope of busy hosts", () => {
  const regression = new ComputeTimeRegression();
  const random = new SeededRandom(4);
  for (let index = 0; index < 400; index += 1) {
    const tokens = lengths[random.integer(lengths.length)]!;
    const isBusy = random.next() < 0.5;
    const delay = isBusy ? tokens * timePerToken * 5 : 10;
    regression.add(tokens, tokens * timePerToken + delay);
  }
  expect(regression.timePerToken).toBeGreaterThan(timePerToken * 2);
  expect(regression.engineTimePerToken).toBeGreaterThan(timePerToken);
  expect(regression.engineTimePerToken).toBeLessThan(timePerToken * 2);
});

// Guards against a slope that is only noise.
test("nothing is known from few prompts or from prompts of one length", () => {
  const few = new ComputeTimeRegression();
  learn(few, 5);
  expect(few.timePerToken).toBeUndefined();
  const same = new ComputeTimeRegression();
  for (let index = 0; index < 100; index += 1) same.add(3_000, 50 + index % 7);
  expect(same.timePerToken).toBeUndefined();
});

// Guards against hosts that ask another one for placements and measure nothing.
test("the engine time that the placing host states is adopted", () => {
  const speed = new EngineSpeed();
  const before = speed.computeTime(10_000);
  expect(before).toBe(speed.promptTime(10_000, "prefill"));
  speed.adoptComputeTime(timePerToken);
  expect(speed.computeTime(10_000)).toBeCloseTo(64);
});
