/** Competition of customers is left to the setting of a deployment. */

import type { CustomerId, ModelName, Region } from "rhubarbstage";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import type { PolicyEffect } from "../../src/types.ts";
import { chat, makeServer, makeWork, PolicyDriver } from "./fixtures.ts";

function placementQuery(customersCompete: boolean) {
  const host = new PolicyDriver(
    new FleetPolicy({
      region: "attica" as Region,
      seed: 5,
      settings: { shareEngineState: true, customersCompete },
    }),
  );
  host.seeServer(makeServer("a", { models: [chat] }));
  host.send({ type: "placement_host_changed", now: 1, isRemote: true });
  const work = {
    ...makeWork("w", { arrivedAt: 2, deadlineAt: 6_000 }),
    customer: "hive" as CustomerId,
    budgetScope: chat as string as CustomerId,
    model: chat as ModelName,
  };
  const query = host.arrive(work).find((
    effect,
  ): effect is Extract<PolicyEffect, { type: "request_placement" }> =>
    effect.type === "request_placement"
  );
  return query?.query;
}

// Guards against requests that are queued or refused by a customer's share on
// deployments that did not ask for it.
test("a query names the customer only where customers compete", () => {
  expect(placementQuery(false)).toBeDefined();
  expect(placementQuery(false)).not.toHaveProperty("customer");
  expect(placementQuery(true)).toMatchObject({ customer: "hive" });
});
