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

/** Runs a history; afterwards every fault ends and the group has to recover. */
function run(group: SimulatedGroup, steps: readonly Step[]): void {
  for (const item of steps) group.perform(item);
  group.heal();
  for (const seat of group.seats) {
    if (!group.members.has(seat.replica)) group.start(seat);
  }
  group.settle(60);
  const leader = group.leader();
  if (leader === undefined) throw new Error("No leader after recovery");
  const write = group.write(leader);
  group.settle(5);
  if (write.end === Infinity) throw new Error("No commit after recovery");
  group.checkCalls();
}

describe("Consensus under drawn histories", () => {
  // Guards against two leaders of a term, logs that diverge, committed entries
  // that a later leader lacks, and reads or writes out of real-time order.
  test.each([
    { voters: 3, spares: 0, seed: 11 },
    { voters: 3, spares: 2, seed: 12 },
    { voters: 5, spares: 0, seed: 13 },
  ])("keeps its invariants: %j", ({ voters, spares, seed }) => {
    let ended = 0;
    let leaders = 0;
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 400, maxLength: 900, size: "max" }),
        (steps) => {
          const group = new SimulatedGroup({ voters, spares });
          run(group, steps);
          ended += group.calls.filter((call) => call.end !== Infinity).length;
          leaders += group.leader()?.state.term ?? 0;
        },
      ),
      // Shrinking long histories takes minutes; the seed repeats a failure.
      { seed, numRuns: 150, endOnFailure: true },
    );
    // Histories in which nothing is elected or committed would prove nothing.
    expect(leaders / 150).toBeGreaterThan(3);
    expect(ended / 150).toBeGreaterThan(5);
  });
});
