import { SeededRandom } from "rhubarbstage";
import { FairQueue } from "../../src/fair_queue.ts";
import { makeWork } from "./fixtures.ts";

/** Fillings of the queue: enough for sums that round in either direction. */
const rounds = 500;
/** Most requests that wait at the same time. */
const maxWaiting = 40;

describe("FairQueue", () => {
  // Guards against a host that predicts a wait for its empty queue, and refuses
  // all work by it for as long as nothing runs that would correct the estimates.
  test.each([
    ["the same priority", 0],
    ["a lower priority", -1],
  ])("has no work ahead of work of %s once it is empty", (_name, priority) => {
    const queue = new FairQueue();
    const random = new SeededRandom(1);
    const next = makeWork("next", { settings: { priority } });
    let remainders = 0;
    for (let round = 0; round < rounds; round += 1) {
      const waiting = 1 + random.integer(maxWaiting);
      const works = Array.from(
        { length: waiting },
        (_, index) => makeWork(`waiting-${index}`),
      );
      for (const work of works) {
        // Learned as logarithms, so that sums are not exact.
        const cost = Math.exp(4 + random.next());
        queue.push({ work, cost, queuedAt: 0, taken: false }, 0, 0);
      }
      for (const { request } of works) queue.take(request, 0);
      if (queue.costAhead(next) !== 0) remainders += 1;
    }
    expect(remainders).toBe(0);
  });
});
