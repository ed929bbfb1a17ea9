/** Time of placement decisions if customers compete, relative to that without. */

import { measurePlacementCost } from "../../src/placement_cost.ts";

/** Rounds of which the fastest counts; others are slowed by other processes. */
const rounds = 2;
/** The order of the queue and the search for free slots cost time, but little. */
const maxRatio = 2;

function measure(engines: number, hasCustomers: boolean): number {
  const times = Array.from(
    { length: rounds },
    () => measurePlacementCost({ engines, hasCustomers }).microseconds,
  );
  return Math.min(...times);
}

// Guards against decisions whose time grows with customers or waiting queries.
test.each([78, 600])("decisions with %i engines stay fast", (engines) => {
  const ratio = measure(engines, true) / measure(engines, false);
  expect(ratio).toBeLessThan(maxRatio);
});
