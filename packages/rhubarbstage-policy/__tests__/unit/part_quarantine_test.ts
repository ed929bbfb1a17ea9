import type { PartMark } from "../../src/mod.ts";
import { PartQuarantine } from "../../src/part_quarantine.ts";

const period = 600_000;

/** Records crashes a second apart, each with the given parts. */
function crashWith(
  quarantine: PartQuarantine,
  partLists: readonly (readonly string[])[],
): void {
  for (const [index, parts] of partLists.entries()) {
    quarantine.recordCrash(`server/${index}`, parts, index * 1_000);
  }
}

describe("PartQuarantine", () => {
  // Guards against refusing sound requests whose first part only ever crashed
  // servers in company of the deadly part.
  test("refuses parts that always came together only together", () => {
    const quarantine = new PartQuarantine(period);
    crashWith(quarantine, [["x", "deadly"], ["x", "deadly"], ["x", "deadly"]]);
    expect(quarantine.isBlocked(["x", "deadly"], 3_000)).toBe(true);
    expect(quarantine.isBlocked(["x"], 3_000)).toBe(false);
    quarantine.recordCrash("server/3", ["y", "deadly"], 3_000);
    expect(quarantine.isBlocked(["z", "deadly"], 4_000)).toBe(true);
    expect(quarantine.isBlocked(["x"], 4_000)).toBe(false);
  });

  // Guards against blaming prompts for the loss of a rack.
  test("counts servers lost together as one crash", () => {
    const quarantine = new PartQuarantine(period);
    for (let index = 0; index < 10; index += 1) {
      quarantine.recordCrash(`server/${index}`, ["popular"], index * 10);
    }
    expect(quarantine.isBlocked(["popular"], 1_000)).toBe(false);
  });

  // Guards against refusing a popular part while servers crash for other reasons.
  test("clears a part when an answer begins, here or on another host", () => {
    const [quarantine, other] = [period, period]
      .map((length) => new PartQuarantine(length)) as [
        PartQuarantine,
        PartQuarantine,
      ];
    crashWith(quarantine, [["popular"], ["popular"], ["popular"]]);
    const marks = quarantine.takeChangedMarks(3_000) as PartMark[];
    other.mergeMarks(marks, 3_000);
    expect(other.isBlocked(["popular"], 3_000)).toBe(true);
    other.recordAnswer(["popular"]);
    expect(other.isBlocked(["popular"], 3_000)).toBe(false);
    quarantine.mergeMarks(other.takeChangedMarks(3_100) as PartMark[], 3_100);
    expect(quarantine.isBlocked(["popular"], 3_200)).toBe(false);
  });

  // Guards against counting one crash once for each host that noticed it.
  test("merges evidence in any order and more than once", () => {
    const hosts = [0, 1, 2].map(() => new PartQuarantine(period));
    for (const host of hosts) host.recordCrash("server/1", ["part"], 0);
    for (const host of hosts) host.recordCrash("server/2", ["part"], 1_000);
    const marks = hosts.map((host) => host.takeChangedMarks(1_000) ?? []);
    for (const mark of [...marks, ...marks.reverse()]) {
      for (const host of hosts) host.mergeMarks(mark, 9_000);
    }
    expect(hosts.some((host) => host.isBlocked(["part"], 9_000))).toBe(false);
    hosts[0]!.recordCrash("server/3", ["part"], 9_500);
    expect(hosts[0]!.isBlocked(["part"], 9_500)).toBe(true);
  });

  // Guards against gossip that grows with each crash.
  test("publishes parts that are not refused for a minute only", () => {
    const quarantine = new PartQuarantine(period);
    crashWith(quarantine, [["deadly", "a"], ["deadly", "b"], ["deadly", "c"]]);
    expect(quarantine.takeChangedMarks(3_000)).toHaveLength(4);
    quarantine.recordCrash("server/3", ["d"], 100_000);
    expect(quarantine.takeChangedMarks(100_000)?.map(({ part }) => part).sort())
      .toEqual(["d", "deadly"]);
  });

  test("refuses a part again after one more crash once its period has ended", () => {
    const quarantine = new PartQuarantine(period);
    crashWith(quarantine, [["deadly"], ["deadly"], ["deadly"]]);
    const ended = 2_000 + period;
    expect(quarantine.isBlocked(["deadly"], ended - 1)).toBe(true);
    expect(quarantine.isBlocked(["deadly"], ended)).toBe(false);
    quarantine.recordCrash("server/3", ["deadly"], ended + 100);
    expect(quarantine.isBlocked(["deadly"], ended + 200)).toBe(true);
  });
});
