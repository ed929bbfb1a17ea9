/** What is kept for a service although its customers are told apart. */

import type { CustomerId, WorkKind } from "rhubarbstage";
import { budgetScopeOf, FleetPolicy, type Work } from "../../src/mod.ts";
import { RetryBudgets } from "../../src/retry_budget.ts";
import { WorkEstimates } from "../../src/work_estimates.ts";
import { makeServer, makeWork, PolicyDriver } from "./fixtures.ts";

const budgetScope = "summaries" as CustomerId;

function makeCustomerWork(index: number) {
  const customer = `customer-${index}` as CustomerId;
  return makeWork(`request-${index}`, { customer, budgetScope });
}

// Guards against a budget of retries that grows with the number of customers.
test("the retry budget of a service is one for all its customers", () => {
  const budgets = new RetryBudgets();
  budgets.setCapacity(3);
  const spent = [0, 1, 2, 3, 4].filter((index) =>
    budgets.spend(budgetScopeOf(makeCustomerWork(index)))
  );
  expect(spent).toHaveLength(3);
});

// Guards against customers whose first requests are estimated from nothing.
test("estimates of a kind are learned from all customers", () => {
  const estimates = new WorkEstimates();
  for (let index = 0; index < 50; index += 1) {
    const work = makeCustomerWork(index);
    const estimate = estimates.estimate(work, index);
    const run = { outputTokens: 40, runTime: 500, estimate };
    estimates.learnRun(work, run, index);
    const otherKind = makeWork(`long-${index}`, { kind: "long" as WorkKind });
    estimates.learnRun(otherKind, { ...run, outputTokens: 180 }, index);
  }
  const other = makeWork("other", { customer: "other" as CustomerId });
  const outputOf = (work: Work) => estimates.estimate(work, 50).outputTokens;
  expect(outputOf(makeCustomerWork(99))).toBe(outputOf(makeCustomerWork(0)));
  expect(outputOf(makeCustomerWork(99))).toBeLessThan(60);
  expect(outputOf(other)).toBeGreaterThan(90);
});

// Guards against gossip of one row for each of 1,700 customers and host.
test("demand is published for the service", () => {
  const driver = new PolicyDriver(new FleetPolicy({ region: "r" as never }));
  driver.seeServer(makeServer("server", { region: "r" as never }));
  for (let index = 0; index < 40; index += 1) {
    driver.arrive(makeCustomerWork(index));
  }
  driver.tick(2_000);
  const published = driver.effects.filter((effect) =>
    effect.type === "publish_demand"
  );
  expect([...published.at(-1)!.localDemand.keys()]).toEqual([budgetScope]);
});
