/**
 * Scaling on a control host: orders of servers while it holds the duty.
 *
 * @module
 */

import { type DutyContext, ScaleController } from "@rhubarbstage/duties";
import type { RelayHostComponents } from "./relay_parts.ts";
import { MembershipFleet } from "./scaled_fleet.ts";

/** Starts to order servers in each term of the duty. */
export function startScaling(
  components: RelayHostComponents,
  context: DutyContext,
): void {
  const { membership, relay, events, metrics } = components;
  const fleet = new MembershipFleet({
    membership,
    routeTable: () => relay.routeTable,
  });
  new ScaleController({
    ...context,
    fleet,
    onEvent: (event, fields) => events.record(event, fields),
    onResult: (_order, { type }) => metrics.countDutyCall("scaling", type),
    onNeeds: (service, needs) => metrics.setServersNeeded(service, needs),
    onTermEnd: () => metrics.clearServersNeeded(),
  }).start();
}
