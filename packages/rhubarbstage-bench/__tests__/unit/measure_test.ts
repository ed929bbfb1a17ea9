import { rateAt } from "../../src/caller.ts";
import {
  arrivedWithin,
  completionRate,
  firstTokenLatencies,
  metFirstTokenTarget,
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
  // Guards against tail latencies that omit requests without an answer.
  test("counts refused requests as infinite latencies", () => {
    const records = [
      ...Array.from({ length: 97 }, () => record({ firstToken: 10 })),
      ...Array.from({ length: 3 }, () => record({ end: "refused" })),
    ];
    expect(percentile(firstTokenLatencies(records), 50)).toBeCloseTo(10, 1);
    expect(percentile(firstTokenLatencies(records), 99)).toBeGreaterThan(
      100_000,
    );
  });

  // Guards against goodput that counts late or unfinished answers.
  test("counts only finished answers within the target", () => {
    expect(metFirstTokenTarget(record({ firstToken: 90 }), 100)).toBe(true);
    expect(metFirstTokenTarget(record({ firstToken: 110 }), 100)).toBe(false);
    expect(metFirstTokenTarget(record({ firstToken: 90, end: "failed" }), 100))
      .toBe(false);
  });

  // Guards against windows that confuse arrival and end of a request.
  test("filters by arrival and computes rates by end", () => {
    const records = [0, 900, 1_800].map((arrival) => record({ arrival }));
    expect(arrivedWithin(records, [0, 1])).toHaveLength(2);
    expect(completionRate(records, [1, 3])).toBe(1);
  });
});

describe("rateAt", () => {
  // Guards against a rate that jumps between its points.
  test("is linear between its points and constant after them", () => {
    const stream = { rate: [[0, 10], [10, 20]] } as unknown as RequestStream;
    expect([0, 5, 10, 99].map((second) => rateAt(stream, second)))
      .toEqual([10, 15, 20, 20]);
  });
});

describe("summarise", () => {
  // Guards against a target reported as reached although the median misses it.
  test("compares the median of the seeds with the bound", () => {
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
