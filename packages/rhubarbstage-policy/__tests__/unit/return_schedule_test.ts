import { SeededRandom } from "rhubarbstage";
import { CustomerShares } from "../../src/customer_shares.ts";
import { ReturnSchedule } from "../../src/return_schedule.ts";

const capacity = { rate: 50, waiting: 0 };

function makeSchedule() {
  return new ReturnSchedule(new SeededRandom(1));
}

// Guards against callers that are refused together and return together.
test("callers return one after another, as capacity becomes free", () => {
  const schedule = makeSchedule();
  const delays = Array.from(
    { length: 20 },
    (_, index) => schedule.refuse(`r${index}`, capacity, 0),
  );
  expect(delays.slice(0, 3)).toEqual([100, 120, 140]);
  expect(new Set(delays).size).toBe(20);
});

// Guards against delays that grow without end, and against one common delay.
test("delays are bounded and still differ", () => {
  const schedule = makeSchedule();
  const delays = Array.from(
    { length: 2_000 },
    (_, index) => schedule.refuse(`r${index}`, { rate: 1, waiting: 9 }, 0),
  );
  expect(Math.max(...delays)).toBeLessThanOrEqual(9_000);
  expect(new Set(delays.slice(-100)).size).toBeGreaterThan(90);
});

// Guards against callers that gain a place by asking often.
test("a caller that returns early keeps its time and gains nothing", () => {
  const schedule = makeSchedule();
  expect(schedule.refuse("r", capacity, 0)).toBe(100);
  expect(schedule.find("r", 30)).toEqual({ since: 0, isEarly: true });
  expect(schedule.refuse("r", capacity, 30)).toBe(70);
  expect(schedule.find("r", 100)).toEqual({ since: 0, isEarly: false });
  // An old refusal says nothing of a request with the same prompt.
  expect(schedule.find("r", 60_000)).toBeUndefined();
  schedule.forget("r");
  expect(schedule.find("r", 100)).toBeUndefined();
});

test("a customer's share grows when others ask for nothing", () => {
  const shares = new CustomerShares<string>();
  for (const key of ["a", "b"]) {
    shares.ask(key, 1, 0);
    shares.serve(key, { cost: key === "a" ? 30 : 10, isCounted: true }, 0);
  }
  expect(shares.overuse("a", 0)).toBeCloseTo(1.5);
  expect(shares.overuse("b", 0)).toBeCloseTo(0.5);
  expect(shares.overuse("new", 0)).toBe(0);
  for (let now = 0; now < 60_000; now += 500) {
    shares.ask("a", 1, now);
    shares.serve("a", { cost: 30, isCounted: true }, now);
  }
  expect(shares.overuse("a", 60_000)).toBeCloseTo(1);
  // Accounts without demand are forgotten.
  expect(shares.size).toBe(1);
});

test("weights divide the resource", () => {
  const shares = new CustomerShares<string>();
  shares.ask("a", 3, 0);
  shares.ask("b", 1, 0);
  for (const key of ["a", "b"]) {
    shares.serve(key, { cost: 10, isCounted: true }, 0);
  }
  expect(shares.overuse("a", 0)).toBeCloseTo(2 / 3);
  expect(shares.overuse("b", 0)).toBeCloseTo(2);
});
