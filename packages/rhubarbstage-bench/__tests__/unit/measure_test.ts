import { rateAt } from "../../src/caller.ts";
import {
  arrivedWithin,
  completionRate,
  firstTokens,
  inTime,
  percentile,
} from "../../src/measure.ts";
import type { RequestRecord, RequestStream } from "../../src/protocol.ts";
import { formatTable, summarise } from "../../src/report.ts";

function record(changes: Partial<RequestRecord>): RequestRecord {
  return {
    stream: "work",
    straggler: false,
    arrival: 0,
    total: 500,
    end: "finished",
    untrue: false,
    queueWait: 0,
    tokens: 1,
    ...changes,
  };
}

describe("measure", () => {
  // Guards against a tail that leaves out requests without an answer.
  test("counts refused requests as endless", () => {
    const records = [
      ...Array.from({ length: 97 }, () => record({ firstToken: 10 })),
      ...Array.from({ length: 3 }, () => record({ end: "refused" })),
    ];
    expect(percentile(firstTokens(records), 50)).toBeCloseTo(10, 1);
    expect(percentile(firstTokens(records), 99)).toBeGreaterThan(100_000);
  });

  // Guards against goodput that counts late or unfinished answers.
  test("counts only answers in time", () => {
    expect(inTime(record({ firstToken: 90 }), 100)).toBe(true);
    expect(inTime(record({ firstToken: 110 }), 100)).toBe(false);
    expect(inTime(record({ firstToken: 90, end: "failed" }), 100)).toBe(false);
  });

  // Guards against windows that mix arrival and end of a request.
  test("cuts windows by arrival and rates by end", () => {
    const records = [0, 900, 1_800].map((arrival) => record({ arrival }));
    expect(arrivedWithin(records, [0, 1])).toHaveLength(2);
    expect(completionRate(records, [1, 3])).toBe(1);
  });
});

describe("rateAt", () => {
  // Guards against a swing that jumps instead of growing.
  test("is linear between its points and constant after them", () => {
    const stream = { rate: [[0, 10], [10, 20]] } as unknown as RequestStream;
    expect([0, 5, 10, 99].map((second) => rateAt(stream, second)))
      .toEqual([10, 15, 20, 20]);
  });
});

describe("summarise", () => {
  // Guards against calling a target reached that the median misses.
  test("judges the median over the seeds", () => {
    const runs = [0.9, 0.96, 0.94].map((value) => [
      { name: "goodput", value, atLeast: 0.95 },
    ]);
    const summary = summarise("crest", runs);
    expect(summary).toMatchObject([
      { median: 0.94, least: 0.9, most: 0.96, reached: false },
    ]);
    expect(formatTable(summary)).toContain("missed");
  });
});
