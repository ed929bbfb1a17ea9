/**
 * Events and measurements of the gateway.
 *
 * @module
 */

import {
  type EventFields,
  GatewayTelemetry,
  type MetricsText,
  type RequestRecord,
} from "@rhubarbstage/gateway/dispatch";
import { errorAnswers, type ServiceName } from "rhubarbstage";
import type { Metrics } from "@rhubarbstage/telemetry";
import type { HostEvents } from "./host_events.ts";

/** Label of requests that were refused before their service was known. */
const unknownService = "unknown" as ServiceName;

/** Options of {@linkcode HostTelemetry}. */
export interface HostTelemetryOptions {
  readonly metrics: Metrics;
  readonly events: HostEvents;
  /** Called before metrics are read, to update those that are sampled. */
  readonly sample: () => void;
}

/** Hands the gateway's events to log, timeline and metrics. */
export class HostTelemetry extends GatewayTelemetry {
  #options: HostTelemetryOptions;

  constructor(options: HostTelemetryOptions) {
    super();
    this.#options = options;
  }

  override note(event: string, fields: EventFields): void {
    this.#options.events.note(event, fields);
  }

  override requestEnded(record: RequestRecord): void {
    const { metrics, events } = this.#options;
    const { result, attempts, duration, customer } = record;
    const service = record.service ?? unknownService;
    const failed = result !== "ok" && result !== "caller_gone";
    metrics.requestEnded({
      service,
      customer,
      duration,
      error: failed ? result : undefined,
    });
    if (failed && errorAnswers[result].outcome === "not_run") {
      metrics.refused(service, result);
    }
    for (let retry = 1; retry < attempts; retry += 1) metrics.retried(service);
    events.note("request_ended", {
      request: record.request,
      revision: record.revision,
      route: record.route,
      service,
      customer,
      result,
      milliseconds: Math.round(duration),
      output_tokens: record.outputTokens,
      attempts,
    });
  }

  override firstToken(service: ServiceName, milliseconds: number): void {
    this.#options.metrics.firstToken(service, milliseconds);
  }

  override betweenTokens(
    service: ServiceName,
    milliseconds: number,
    tokens: number,
  ): void {
    // One observation for each delivery bounds the cost of long streams.
    if (tokens > 0) this.#options.metrics.betweenTokens(service, milliseconds);
  }

  override async metrics(): Promise<MetricsText> {
    const { metrics, sample } = this.#options;
    sample();
    return { contentType: metrics.contentType, text: await metrics.render() };
  }
}
