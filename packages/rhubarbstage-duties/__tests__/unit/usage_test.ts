import fc from "fast-check";
import {
  type CustomerId,
  type HostId,
  type Incarnation,
  ManualClock,
  type Region,
} from "rhubarbstage";
import {
  type HostPollOutcome,
  TrueTime,
  UsageRecorder,
  UsageWindows,
} from "../../src/mod.ts";

const customer = "fida11" as CustomerId;
const incarnation = 1 as Incarnation;
const [x, y, z] = ["x", "y", "z"] as HostId[] as [HostId, HostId, HostId];
const region = "sabah" as Region;

function createRecorder() {
  const clock = new ManualClock(1_000);
  return { clock, recorder: new UsageRecorder({ incarnation, clock }) };
}

describe("a recorder", () => {
  test("answers only closed buckets, and each again on a repeated poll", () => {
    const { clock, recorder } = createRecorder();
    recorder.record(customer);
    expect(recorder.answer({}).buckets).toEqual([]);
    clock.advance(150);
    recorder.record(customer);
    const first = recorder.answer({});
    expect(first).toMatchObject({
      last: 0,
      buckets: [{ number: 0, age: 50, counts: [[customer, 1]] }],
    });
    expect(recorder.answer({})).toEqual(first);
    const known = { incarnation, after: 0 };
    expect(recorder.answer(known).buckets).toEqual([]);
  });

  // Guards against a restarted host that is asked only for later numbers.
  test("answers all buckets to a holder that knows another process", () => {
    const { clock, recorder } = createRecorder();
    recorder.record(customer);
    clock.advance(100);
    const other = { incarnation: 9 as Incarnation, after: 500 };
    expect(recorder.answer(other).buckets).toHaveLength(1);
  });

  test("keeps 30 s", () => {
    const { clock, recorder } = createRecorder();
    for (let second = 0; second < 100; second += 1) {
      recorder.record(customer);
      clock.advance(1_000);
    }
    const { buckets } = recorder.answer({});
    expect(buckets).toHaveLength(30);
  });

  test("takes a request back that no server has run", () => {
    const { clock, recorder } = createRecorder();
    recorder.record(customer);
    clock.advance(100);
    recorder.record(customer, -1);
    clock.advance(100);
    expect(recorder.answer({}).buckets.map(({ counts }) => counts)).toEqual([
      [[customer, 1]],
      [[customer, -1]],
    ]);
  });

  test("bounds the customers of a bucket", () => {
    const { clock, recorder } = createRecorder();
    for (let index = 0; index < 5_000; index += 1) {
      recorder.record(`c${index}` as CustomerId);
    }
    clock.advance(100);
    expect(recorder.answer({}).buckets[0]?.counts).toHaveLength(4_096);
  });
});

test("steps of a minority of the clocks do not change true time", () => {
  fc.assert(fc.property(
    fc.array(fc.integer({ min: -60_000, max: 60_000 }), {
      minLength: 1,
      maxLength: 4,
    }),
    (steps) => {
      const time = new TrueTime();
      const hosts = 2 * steps.length + 1;
      for (let index = 0; index < hosts; index += 1) {
        const error = steps[index] ?? 0;
        const wallTime = 5_000_000 + error;
        time.observe(`h${index}` as HostId, {
          wallTime,
          sentAt: 990,
          receivedAt: 1_010,
        });
      }
      expect(time.offset).toBe(4_999_000);
    },
  ));
});

/** Answer of a host whose wall clock is its monotonic time plus a million. */
function outcome(options: {
  readonly host: HostId;
  readonly at: number;
  readonly last: number;
  readonly buckets?: readonly { number: number; age: number; count: number }[];
  readonly process?: number;
}): HostPollOutcome {
  const { host, at, last, buckets = [], process = 1 } = options;
  return {
    host,
    region,
    sentAt: at - 10,
    endedAt: at + 10,
    answer: {
      incarnation: process as Incarnation,
      wallTime: 1_000_000 + at,
      bucketWidth: 100,
      last,
      lastAge: 0,
      buckets: buckets.map(({ number, age, count }) => ({
        number,
        age,
        counts: [[customer, count]],
      })),
    },
  };
}

describe("windows", () => {
  const hosts = [x, y].map((host) => ({ host, region }));

  test("get the buckets by true time, each once", () => {
    const windows = new UsageWindows({ windowLength: 5_000 });
    const buckets = [
      { number: 1, age: 5_800, count: 4 },
      { number: 50, age: 900, count: 7 },
    ];
    // Window 200 covers the monotonic times 0 to 5,000.
    const answer = outcome({ host: x, at: 5_500, last: 58, buckets });
    windows.observe(answer);
    windows.observe(answer);
    expect(windows.close(199)).toEqual([[customer, 4]]);
    expect(windows.close(200)).toEqual([[customer, 7]]);
  });

  test("get the buckets of a restarted host from its first number on", () => {
    const windows = new UsageWindows({ windowLength: 5_000 });
    const buckets = [{ number: 3, age: 1_000, count: 2 }];
    windows.observe(outcome({ host: x, at: 4_000, last: 30, buckets }));
    windows.observe(
      outcome({ host: x, at: 4_500, last: 4, buckets, process: 2 }),
    );
    expect(windows.close(200)).toEqual([[customer, 4]]);
  });

  test("are complete when polls after their end were answered by all", () => {
    const windows = new UsageWindows({ windowLength: 5_000 });
    const isComplete = (now: number) => windows.isComplete(200, { now, hosts });
    windows.observe(outcome({ host: x, at: 5_200, last: 52 }));
    windows.observe(outcome({ host: y, at: 5_090, last: 50 }));
    expect(isComplete(5_300)).toBe(false);
    windows.observe(outcome({ host: y, at: 5_400, last: 53 }));
    expect(isComplete(5_420)).toBe(true);
  });

  test("are complete without a silent host 4 s after their end", () => {
    const windows = new UsageWindows({ windowLength: 5_000 });
    windows.observe(outcome({ host: x, at: 5_200, last: 52 }));
    expect(windows.isComplete(200, { now: 8_999, hosts })).toBe(false);
    expect(windows.isComplete(200, { now: 9_000, hosts })).toBe(true);
  });

  // Guards against true time taken from the first host that answers.
  test("are not numbered by the clock of a single host", () => {
    const windows = new UsageWindows({ windowLength: 5_000 });
    const three = [x, y, z].map((host) => ({ host, region }));
    windows.observe(outcome({ host: x, at: 100, last: 0 }));
    expect(windows.hasTrueTime(200, three)).toBe(false);
    windows.observe(outcome({ host: y, at: 150, last: 0 }));
    expect(windows.hasTrueTime(200, three)).toBe(true);
  });

  test("keep their counts until they are agreed, and then count late ones", () => {
    const windows = new UsageWindows({ windowLength: 5_000 });
    const buckets = [{ number: 10, age: 4_000, count: 3 }];
    windows.observe(outcome({ host: x, at: 5_200, last: 51, buckets }));
    expect(windows.close(200)).toEqual([[customer, 3]]);
    expect(windows.close(200)).toEqual([[customer, 3]]);
    windows.markAgreed(200);
    windows.observe(outcome({ host: y, at: 5_300, last: 52, buckets }));
    expect(windows.close(200)).toEqual([]);
    expect(windows.lateRequests).toBe(3);
  });
});
