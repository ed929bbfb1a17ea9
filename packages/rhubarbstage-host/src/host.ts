/**
 * One host: start and graceful shutdown.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { delay, every, type Revision } from "rhubarbstage";
import { Gateway } from "@rhubarbstage/gateway";
import type { ProcessSettings } from "@rhubarbstage/settings";
import type { HostContext } from "./foundation.ts";
import { openHostContext } from "./foundation.ts";
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

/** Time between two reports of stragglers during shutdown, in milliseconds. */
const stragglerReportInterval = 10_000;
/** Time between two reports of wall time to the journal, in milliseconds. */
const journalTimeInterval = 300_000;

/** Options of {@linkcode Host.start}. */
export interface HostOptions {
  /** Version for the status; defaults to `0.1.0`. */
  readonly version?: string;
}

interface HostParts {
  readonly foundation: HostContext;
  readonly replication: Replication;
  readonly serving: ServingComponents;
  readonly gateway: Gateway;
}

/** One running host. */
export class Host {
  /** Origin of the HTTP interface. */
  readonly origin: string;
  #parts: HostParts;

  private constructor(parts: HostParts, origin: string) {
    this.#parts = parts;
    this.origin = origin;
  }

  /** Starts a host; it takes requests when its configuration is confirmed. */
  static async start(
    process: ProcessSettings,
    options: HostOptions = {},
  ): Promise<Host> {
    const { version = "0.1.0" } = options;
    const foundation = await openHostContext(process, { version });
    const replication = await openReplication(foundation);
    const serving = createServingComponents(foundation, replication, {
      sample: () => sampleMetrics(foundation, replication, serving),
    });
    const gateway = await createGateway({ foundation, replication, serving });
    startParts({ foundation, replication, serving });
    const origin = await gateway.listen(process.http.listen);
    foundation.events.record("host_started", { origin, version });
    return new Host({ foundation, replication, serving, gateway }, origin);
  }

  /**
   * Shuts down without cutting a request: the load balancer is told first, new
   * work is refused after the notice, and everything that runs may end.
   */
  async shutDown(): Promise<void> {
    const { foundation, serving, gateway } = this.#parts;
    const { lifecycle, events, process } = foundation;
    events.record("shutdown_started", {
      notice_milliseconds: process.shutdownNotice,
    });
    lifecycle.enterStage("leaving");
    await delay(process.shutdownNotice);
    lifecycle.enterStage("refusing");
    await this.#waitForRequests();
    await serving.claims.waitUntilIdle();
    await gateway.close();
    await this.#closeParts();
  }

  async #waitForRequests(): Promise<void> {
    const { gateway, foundation } = this.#parts;
    const waiting = new AbortController();
    const report = () => {
      for (const request of gateway.openRequests) {
        foundation.events.record("request_outlasts_shutdown", { request });
      }
    };
    every(stragglerReportInterval, report, { signal: waiting.signal });
    await gateway.waitUntilIdle();
    waiting.abort();
  }

  async #closeParts(): Promise<void> {
    const { foundation, replication, serving } = this.#parts;
    foundation.stopController.abort();
    await serving.engines.close();
    await serving.repeatable.close();
    await replication.seats.close();
    await replication.transport.close();
    foundation.events.record("host_stopped");
    await foundation.timeline.flush();
    await foundation.logger.close();
  }
}

async function createGateway(
  parts: Omit<HostParts, "gateway">,
): Promise<Gateway> {
  const { foundation, replication, serving } = parts;
  const { process, settings, tokens, clock, lifecycle } = foundation;
  const { backends, claims, dispatcher, membership, repeatable } = serving;
  const status: HostStatusReport = new HostStatusReport({
    ...foundation,
    seats: replication.seats,
    membership,
    backends,
    countRequests: () => dispatcher.countRequests(),
  });
  const timeline = new TimelineQueries({
    host: process.host,
    timeline: foundation.timeline,
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

function startParts(parts: Omit<HostParts, "gateway">): void {
  const { foundation, replication, serving } = parts;
  const { signal } = foundation.stopController;
  const { backends, dispatcher, membership } = serving;
  let published: Revision | undefined;
  const { settings } = foundation;
  replication.onConfiguration = ({ revision }) => {
    dispatcher.notify({
      type: "settings_changed",
      settings: fleetSettingsOf(settings.tree, settings.region),
    });
    backends.refresh();
    if (revision !== published) membership.publishRevision(revision);
    published = revision;
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
  every(journalTimeInterval, () => void reportTime(serving), { signal });
}

async function reportTime(serving: ServingComponents): Promise<void> {
  try {
    await serving.journal.reportTime();
  } catch {
    // Other hosts report the time as well.
  }
}
