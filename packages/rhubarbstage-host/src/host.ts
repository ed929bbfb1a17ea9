/**
 * One host: start and graceful shutdown.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { delay, every, type Revision } from "rhubarbstage";
import { Gateway } from "@rhubarbstage/gateway";
import type { ProcessSettings } from "@rhubarbstage/settings";
import type { HostContext } from "./host_context.ts";
import { openHostContext } from "./host_context.ts";
import { fleetSettingsOf } from "./fleet_settings.ts";
import { HostCredentials } from "./host_credentials.ts";
import { HostOperatorActions } from "./host_operator_actions.ts";
import { HostServiceCalls } from "./host_service_calls.ts";
import { HostSettingsSource } from "./host_settings_source.ts";
import { HostStatusReport } from "./host_status.ts";
import { openReplication, type Replication } from "./replication.ts";
import { sampleMetrics } from "./metrics_sample.ts";
import { createServingComponents, type ServingComponents } from "./serving.ts";
import { TimelineQueries } from "./timeline_queries.ts";

/** Interval between reports of open requests in shutdown, in milliseconds. */
const openRequestReportInterval = 10_000;
/** Interval between reports of wall time to the journal, in milliseconds. */
const journalTimeReportInterval = 300_000;

/** Options of {@linkcode Host.start}. */
export interface HostOptions {
  /** Version in the operator status; defaults to `0.1.0`. */
  readonly version?: string;
}

interface HostComponents {
  readonly context: HostContext;
  readonly replication: Replication;
  readonly serving: ServingComponents;
  readonly gateway: Gateway;
}

/** One running host. */
export class Host {
  /** Origin of the HTTP interface. */
  readonly origin: string;
  #components: HostComponents;

  private constructor(components: HostComponents, origin: string) {
    this.#components = components;
    this.origin = origin;
  }

  /** Starts a host; it accepts requests once its configuration is confirmed. */
  static async start(
    process: ProcessSettings,
    options: HostOptions = {},
  ): Promise<Host> {
    const { version = "0.1.0" } = options;
    const context = await openHostContext(process, { version });
    const replication = await openReplication(context);
    const serving = createServingComponents(context, replication, {
      sample: () => sampleMetrics(context, replication, serving),
    });
    const gateway = await createGateway({ context, replication, serving });
    startComponents({ context, replication, serving });
    const origin = await gateway.listen(process.http.listen);
    context.events.record("host_started", { origin, version });
    return new Host({ context, replication, serving, gateway }, origin);
  }

  /**
   * Shuts down gracefully: reports not ready to the load balancer, refuses new
   * requests after `shutdownNotice`, and waits for running ones to end.
   */
  async shutDown(): Promise<void> {
    const { context, serving, gateway } = this.#components;
    const { lifecycle, events, process } = context;
    events.record("shutdown_started", {
      notice_milliseconds: process.shutdownNotice,
    });
    lifecycle.enterStage("leaving");
    await delay(process.shutdownNotice);
    lifecycle.enterStage("refusing");
    await this.#waitForRequests();
    await serving.claims.waitUntilIdle();
    await gateway.close();
    await this.#closeComponents();
  }

  async #waitForRequests(): Promise<void> {
    const { gateway, context } = this.#components;
    const reportController = new AbortController();
    const report = () => {
      for (const request of gateway.openRequests) {
        context.events.record("request_outlasts_shutdown", { request });
      }
    };
    every(openRequestReportInterval, report, {
      signal: reportController.signal,
    });
    await gateway.waitUntilIdle();
    reportController.abort();
  }

  async #closeComponents(): Promise<void> {
    const { context, replication, serving } = this.#components;
    context.stopController.abort();
    await serving.engines.close();
    await serving.repeatable.close();
    await replication.seats.close();
    await replication.transport.close();
    context.events.record("host_stopped");
    await context.timeline.flush();
    await context.logger.close();
  }
}

async function createGateway(
  components: Omit<HostComponents, "gateway">,
): Promise<Gateway> {
  const { context, replication, serving } = components;
  const { process, settings, tokens, clock, lifecycle } = context;
  const { backends, claims, dispatcher, membership, repeatable } = serving;
  const status: HostStatusReport = new HostStatusReport({
    ...context,
    seats: replication.seats,
    membership,
    backends,
    countRequests: () => dispatcher.countRequests(),
  });
  const timeline = new TimelineQueries({
    host: process.host,
    timeline: context.timeline,
    transport: replication.transport,
    hosts: () => membership.listLiveHosts().map(({ host }) => host),
  });
  const gateway: Gateway = await Gateway.create({
    dispatcher,
    credentials: new HostCredentials({ settings, ...tokens }),
    settings: new HostSettingsSource(settings),
    services: new HostServiceCalls({ claims, repeatable, clock }),
    backendServers: backends,
    operators: new HostOperatorActions({
      control: replication.seats.control,
      edits: replication.edits,
      settings,
      backends,
      orders: serving.orders,
      seats: replication.seats,
      status,
      timeline,
    }),
    telemetry: serving.telemetry,
    readiness: lifecycle,
  }, { tls: await readCertificate(process) });
  return gateway;
}

async function readCertificate(
  process: ProcessSettings,
): Promise<{ cert: string; key: string } | undefined> {
  if (process.tls === undefined) return undefined;
  const { certificate, key } = process.tls;
  return {
    cert: await readFile(certificate, "utf8"),
    key: await readFile(key, "utf8"),
  };
}

function startComponents(components: Omit<HostComponents, "gateway">): void {
  const { context, replication, serving } = components;
  const { signal } = context.stopController;
  const { backends, dispatcher, membership } = serving;
  let publishedRevision: Revision | undefined;
  const { settings } = context;
  replication.onConfiguration = ({ revision }) => {
    dispatcher.notify({
      type: "settings_changed",
      settings: fleetSettingsOf(settings.tree, settings.region),
    });
    backends.refresh();
    if (revision !== publishedRevision) membership.publishRevision(revision);
    publishedRevision = revision;
  };
  replication.seats.controlSeat?.onLeadership(
    ({ isLeader: held }) =>
      dispatcher.notify({ type: "role_authority_changed", held }),
    { signal },
  );
  replication.configuration.start();
  membership.start();
  dispatcher.start({ signal });
  serving.orders.start({ signal });
  every(journalTimeReportInterval, () => void reportJournalTime(serving), {
    signal,
  });
}

async function reportJournalTime(serving: ServingComponents): Promise<void> {
  try {
    await serving.journal.reportTime();
  } catch {
    // Ignored, because other hosts report the time as well.
  }
}
