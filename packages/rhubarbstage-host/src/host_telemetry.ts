/**
 * Events and metrics of the gateway.
 *
 * @module
 */

import {
  type CostPrediction,
  type CustomerRequestRecord,
  type EventFields,
  GatewayTelemetry,
  type MetricsText,
  type RequestRecord,
} from "@rhubarbstage/gateway/dispatch";
import { errorKinds, type ServiceName } from "rhubarbstage";
import type { Metrics } from "@rhubarbstage/telemetry";
import type { HostEvents } from "./host_events.ts";

/** Label of requests that were refused before their service was resolved. */
const unknownService = "unknown" as ServiceName;

/** Options of {@linkcode HostTelemetry}. */
export interface HostTelemetryOptions {
  readonly metrics: Metrics;
  readonly events: HostEvents;
  /** Updates the sampled metrics; called before each rendering. */
  readonly sample: () => void;
}

/** Forwards the gateway's events to log, timeline and metrics. */
export class HostTelemetry extends GatewayTelemetry {
  #options: HostTelemetryOptions;

  constructor(options: HostTelemetryOptions) {
    super();
    this.#options = options;
  }

  override recordEvent(event: string, fields: EventFields): void {
    this.#options.events.record(event, fields);
  }

  override recordRequestEnd(record: RequestRecord): void {
    const { metrics, events } = this.#options;
    const { result, attempts, duration, customer } = record;
    const service = record.service ?? unknownService;
    const failed = result !== "ok" && result !== "caller_gone";
    metrics.countRequest({
      service,
      customer,
      duration,
      error: failed ? result : undefined,
    });
    if (failed && errorKinds[result].outcome === "not_run") {
      metrics.countRefusal(service, result);
    }
    for (let retry = 1; retry < attempts; retry += 1) {
      metrics.countRetry(service);
    }
    events.record("request_ended", {
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

  override recordTimeToFirstToken(
    service: ServiceName,
    milliseconds: number,
  ): void {
    this.#options.metrics.observeFirstToken(service, milliseconds);
  }

  override recordInterTokenLatency(
    service: ServiceName,
    milliseconds: number,
    tokens: number,
  ): void {
    // One observation per chunk of tokens, not per token, bounds the cost of
    // streams.
    if (tokens > 0) {
      this.#options.metrics.observeBetweenTokens(service, milliseconds);
    }
  }

  override recordCostPrediction(prediction: CostPrediction): void {
    this.#options.metrics.observeCost(prediction);
  }

  override recordCustomerRequest(record: CustomerRequestRecord): void {
    this.#options.metrics.countCustomerRequest(record);
  }

  override async metrics(): Promise<MetricsText> {
    const { metrics, sample } = this.#options;
    sample();
    return { contentType: metrics.contentType, text: await metrics.render() };
  }
}
