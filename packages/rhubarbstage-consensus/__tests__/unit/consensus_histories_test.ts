import fc from "fast-check";
import { SimulatedGroup, type Step } from "./simulated_group.ts";

function weighted(kind: Step["kind"], weight: number) {
  const arbitrary = fc.record({
    kind: fc.constant(kind),
    pick: fc.nat(65_535),
  });
  return { arbitrary, weight };
}

const step: fc.Arbitrary<Step> = fc.oneof(
  weighted("tick", 20),
  weighted("deliver", 50),
  weighted("sync", 25),
  weighted("write", 5),
  weighted("read", 5),
  weighted("drop", 2),
  weighted("duplicate", 2),
  weighted("crash", 1),
  weighted("restart", 3),
  weighted("cut", 1),
  weighted("heal", 2),
  weighted("seats", 2),
);

/** Runs a history, ends every fault and checks that the group recovers. */
function runHistory(group: SimulatedGroup, steps: readonly Step[]): void {
  for (const item of steps) group.perform(item);
  group.heal();
  for (const seat of group.seats) {
    if (!group.members.has(seat.replica)) group.start(seat);
  }
  group.runRounds(60);
  const leader = group.leader();
  if (leader === undefined) throw new Error("No leader after recovery");
  const write = group.write(leader);
  group.runRounds(5);
  if (write.end === Infinity) throw new Error("No commit after recovery");
  group.checkCalls();
}

describe("Consensus under generated histories", () => {
  // Guards against two leaders of a term, logs that diverge, committed entries
  // that a later leader lacks, and reads or writes out of real-time order.
  test.each([
    { voters: 3, spares: 0, seed: 11 },
    { voters: 3, spares: 2, seed: 12 },
    { voters: 5, spares: 0, seed: 13 },
  ])(
    "keeps its safety invariants and recovers: %j",
    ({ voters, spares, seed }) => {
      let endedCalls = 0;
      let finalTerms = 0;
      fc.assert(
        fc.property(
          fc.array(step, { minLength: 400, maxLength: 900, size: "max" }),
          (steps) => {
            const group = new SimulatedGroup({ voters, spares });
            runHistory(group, steps);
            endedCalls +=
              group.calls.filter((call) => call.end !== Infinity).length;
            finalTerms += group.leader()?.state.term ?? 0;
          },
        ),
        // Shrinking long histories takes minutes; the seed repeats a failure.
        { seed, numRuns: 150, endOnFailure: true },
      );
      // A history without elections or commits would test nothing.
      expect(finalTerms / 150).toBeGreaterThan(3);
      expect(endedCalls / 150).toBeGreaterThan(5);
    },
  );
});
