/** Figures about routes in the demand that hosts exchange. */

import type { HostId } from "rhubarbstage";
import { DemandReport } from "../../src/demand_report.ts";

const host = "host-1" as HostId;

// Guards against figures that are lost on the way or count as demand.
test("figures pass through the exchange beside the demand", () => {
  const report = new DemandReport({ host });
  const subject = "cost/service charges/charge";
  report.update(new Map(), new Map(), new Map([[subject, [75.2, 20]]]));
  const event = report.toEvent(report.rates(), [host]);
  expect(event.figures).toEqual(new Map([[subject, [75.2, 20]]]));
  expect(event.total.size).toBe(0);
  expect(event.models.size).toBe(0);
});

test("without figures nothing is added", () => {
  const report = new DemandReport({ host });
  report.update(new Map(), new Map());
  expect(report.rates().size).toBe(0);
  expect(report.toEvent(report.rates(), [host])).not.toHaveProperty("figures");
});
