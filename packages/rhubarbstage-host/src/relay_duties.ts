/**
 * Duties on a control host: their terms, the polls of entry hosts and usage
 * reports.
 *
 * @module
 */

import { uptime } from "node:os";
import { every } from "rhubarbstage";
import {
  type DutyContext,
  DutyLeader,
  HostPoller,
  UsageReporter,
} from "@rhubarbstage/duties";
import type { Fields } from "@rhubarbstage/telemetry";
import type { RelayHostComponents } from "./relay_parts.ts";

/** Interval between updates of the lease metrics, in milliseconds. */
const metricsInterval = 1_000;

/**
 * Starts the duties of the settings on a host with a seat. Returns what further
 * duties build on; undefined where there are none.
 */
export function startDuties(
  components: RelayHostComponents,
): DutyContext | undefined {
  const { settings, seats, options, clock, usage, events, metrics } =
    components;
  const { signal } = components.stopController;
  const { controlSeat } = seats;
  const { duties: dutySettings } = settings;
  const calls = options.platformCalls;
  if (dutySettings === undefined || controlSeat === undefined) return undefined;
  if (calls === undefined) {
    throw new Error(
      `The settings name the duties "${dutySettings.duties}", ` +
        "but the host has no calls to the platform",
    );
  }
  const { duties, leaseTime, usageWindow } = dutySettings;
  const onEvent = (event: string, fields: Fields) => {
    events.record(event, fields);
    if (event === "duty_taken") metrics.countDutyTaken(String(fields.duty));
  };
  const holder = new DutyLeader({
    seat: controlSeat,
    group: seats.control,
    process: { host: settings.host, incarnation: components.incarnation },
    duties,
    signal,
    clock,
    bootMilliseconds: () => uptime() * 1_000,
    leaseTime,
    onEvent,
  });
  const polls = new HostPoller({
    transport: components.transport,
    hosts: () =>
      components.membership.listLiveHosts()
        .filter(({ servesCallers }) => servesCallers !== false),
    answerLocally: (poll) => usage.answer(poll),
    isNeeded: () =>
      holder.isLeading &&
      (duties.includes("scaling") || typeof usage.customersSince === "number"),
    signal,
    clock,
  });
  if (duties.includes("usage_report")) {
    controlSeat.onApplied(({ command }) => {
      if (command.type === "publish") usage.handlePublication();
    }, { signal });
    new UsageReporter({
      holder,
      calls,
      polls,
      group: seats.control,
      windowLength: usageWindow,
      customersSince: () => usage.customersSince,
      pollInterval: () => polls.interval,
      onNotHolder: (term) => holder.giveUp(term),
      onEvent,
      onResult: ({ type }) => metrics.countDutyCall("usage_report", type),
      clock,
      signal,
    }).start();
  }
  polls.start();
  holder.start();
  every(metricsInterval, () => {
    for (const duty of duties) metrics.setLeaseAge(duty, holder.leaseAge(duty));
  }, { signal });
  return { holder, calls, polls, clock, signal };
}
