/**
 * Prometheus metrics of one host.
 *
 * @module
 */

import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import type {
  CallerConnections,
  CustomerId,
  ErrorKind,
  MemoryBudget,
  ReadScheduler,
  Region,
  Revision,
  ServiceName,
} from "rhubarbstage";
import {
  maxCountedCustomers,
  maxLabelValues,
  topCustomerCount,
} from "./constants.ts";
import { BoundedCounter, LabelLimiter } from "./bounded_counter.ts";

/**
 * Buckets in seconds; 0.77 s is the target, independent of
 * `first_token_target_ms`.
 */
const firstTokenBuckets = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.4,
  0.77,
  1,
  2,
  5,
  10,
  30,
];

/**
 * Buckets of the time between tokens, in seconds, with a bound at the target
 * of 29 ms.
 */
const betweenTokenBuckets = [
  0.002,
  0.005,
  0.01,
  0.02,
  0.029,
  0.04,
  0.06,
  0.1,
  0.25,
  1,
  5,
];

/** Buckets of whole requests, in seconds. */
const requestBuckets = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60, 300];

/** Result and duration of a request. */
export interface CompletedRequest {
  readonly service: ServiceName;
  readonly customer?: CustomerId;
  /** Absent when the request succeeded. */
  readonly error?: ErrorKind | "caller_gone";
  /** From arrival to the end of the answer, in milliseconds. */
  readonly duration: number;
}

/** Predicted and actual cost of a request. */
export interface PredictedCost {
  readonly quantity: string;
  readonly expected: number;
  readonly actual: number;
  /** Decile of the predicted distribution with the actual cost, from 1. */
  readonly decile: number;
}

/** Control traffic since the start of the process. */
export interface ControlTrafficTotals {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Time spent handling or encoding messages, in milliseconds. */
  readonly busyTime: number;
}

/** State of a backend server in the view of a host. */
export type BackendServerState = "ready" | "drained" | "leaving" | "stale";

/** Metrics of one host. Labels have a bounded number of values. */
export class Metrics {
  readonly registry = new Registry();
  readonly #services = new LabelLimiter(maxLabelValues);
  readonly #customers = new BoundedCounter(maxCountedCustomers);
  readonly #customerRefusals = new BoundedCounter(maxCountedCustomers);
  readonly #lateCustomers = new BoundedCounter(maxCountedCustomers);
  readonly #requests: Counter<"service" | "result">;
  readonly #errors: Counter<"kind">;
  readonly #refusals: Counter<"service" | "kind">;
  readonly #retries: Counter<"service">;
  readonly #duration: Histogram<"service">;
  readonly #firstToken: Histogram<"service">;
  readonly #betweenTokens: Histogram<"service">;
  readonly #costDeciles: Counter<"quantity" | "decile">;
  readonly #costs: Counter<"quantity" | "kind">;
  readonly #queueDepth: Gauge<"service">;
  readonly #running: Gauge<"service">;
  readonly #revision: Gauge;
  readonly #confirmationAge: Gauge;
  readonly #servers: Gauge<"state">;
  readonly #roleChanges: Counter;
  readonly #controlCpu: Counter;
  readonly #controlBytes: Counter<"direction">;
  readonly #timelineDropped: Gauge;
  readonly #dutiesTaken: Counter<"duty">;
  readonly #dutyCalls: Counter<"duty" | "result">;
  readonly #leaseAge: Gauge<"duty">;
  readonly #serversNeeded: Gauge<"service" | "region">;
  #reportedTraffic: ControlTrafficTotals = {
    sentBytes: 0,
    receivedBytes: 0,
    busyTime: 0,
  };

  constructor() {
    this.#requests = this.#counter(
      "requests_total",
      "Requests by service and result",
      ["service", "result"],
    );
    this.#errors = this.#counter(
      "errors_total",
      "Errors returned to callers, by kind",
      ["kind"],
    );
    this.#refusals = this.#counter(
      "refusals_total",
      "Requests refused before they ran, by service and kind",
      ["service", "kind"],
    );
    this.#retries = this.#counter(
      "retries_total",
      "Attempts after the first",
      ["service"],
    );
    this.#duration = this.#histogram(
      "request_seconds",
      "Time from arrival to the end of the answer",
      requestBuckets,
    );
    this.#firstToken = this.#histogram(
      "first_token_seconds",
      "Time from arrival to the first token",
      firstTokenBuckets,
    );
    this.#betweenTokens = this.#histogram(
      "between_tokens_seconds",
      "Time between two tokens of a stream",
      betweenTokenBuckets,
    );
    this.#costDeciles = this.#counter(
      "cost_predictions_total",
      "Requests by the decile of the predicted cost that the actual cost hit",
      ["quantity", "decile"],
    );
    this.#costs = this.#counter(
      "cost_total",
      "Sums of predicted and of actual costs",
      ["quantity", "kind"],
    );
    this.#queueDepth = this.#gauge(
      "queue_depth",
      "Requests that wait for a backend server",
      ["service"],
    );
    this.#running = this.#gauge(
      "running_requests",
      "Requests that run on a backend server",
      ["service"],
    );
    this.#revision = this.#gauge("revision", "Revision of the tree in force");
    this.#confirmationAge = this.#gauge(
      "confirmation_age_seconds",
      "Time since the revision was last confirmed",
    );
    this.#servers = this.#gauge(
      "backend_servers",
      "Backend servers that this host knows, by state",
      ["state"],
    );
    this.#roleChanges = this.#counter(
      "role_changes_total",
      "Role changes that this host ordered",
    );
    this.#controlCpu = this.#counter(
      "control_cpu_seconds_total",
      "Time spent handling or encoding messages between hosts",
    );
    this.#controlBytes = this.#counter(
      "control_bytes_total",
      "Bytes on links between hosts",
      ["direction"],
    );
    this.#timelineDropped = this.#gauge(
      "timeline_dropped_events",
      "Timeline events dropped because the disk was too slow",
    );
    this.#dutiesTaken = this.#counter(
      "duties_taken_total",
      "Times that this host has taken a duty",
      ["duty"],
    );
    this.#dutyCalls = this.#counter(
      "duty_calls_total",
      "Calls to the platform by duty and result",
      ["duty", "result"],
    );
    this.#leaseAge = this.#gauge(
      "duty_lease_age_seconds",
      "Age of the last proof that this host holds a duty; absent if it does not",
      ["duty"],
    );
    this.#serversNeeded = this.#gauge(
      "servers_needed",
      "Servers that the load of a region needs, on the host that orders them",
      ["service", "region"],
    );
    this.#addCustomerGauges();
    collectDefaultMetrics({ register: this.registry });
  }

  /** Content type of {@linkcode Metrics.render}. */
  get contentType(): string {
    return this.registry.contentType;
  }

  /** Returns all metrics in the text format of Prometheus. */
  render(): Promise<string> {
    return this.registry.metrics();
  }

  /** Counts a request that ended. */
  countRequest(request: CompletedRequest): void {
    const service = this.#services.limit(request.service);
    this.#requests.inc({ service, result: request.error ?? "ok" });
    this.#duration.observe({ service }, request.duration / 1_000);
    const isError = request.error !== undefined &&
      request.error !== "caller_gone";
    if (isError) this.#errors.inc({ kind: request.error });
    if (request.customer !== undefined) this.#customers.add(request.customer);
  }

  /** Counts a relayed request of an identified customer. */
  countCustomerRequest(request: {
    readonly customer: CustomerId;
    readonly isRefused: boolean;
    /** Whether its answer began after its target. */
    readonly isLate: boolean;
  }): void {
    const { customer, isRefused, isLate } = request;
    this.#customers.add(customer);
    if (isRefused) this.#customerRefusals.add(customer);
    if (isLate) this.#lateCustomers.add(customer);
  }

  /** Counts a request that was refused before it ran. */
  countRefusal(service: ServiceName, kind: ErrorKind): void {
    this.#refusals.inc({ service: this.#services.limit(service), kind });
  }

  /** Counts an attempt after the first. */
  countRetry(service: ServiceName): void {
    this.#retries.inc({ service: this.#services.limit(service) });
  }

  /** Records the time from arrival to the first token, in milliseconds. */
  observeFirstToken(service: ServiceName, milliseconds: number): void {
    const labels = { service: this.#services.limit(service) };
    this.#firstToken.observe(labels, milliseconds / 1_000);
  }

  /** Records the time between two tokens, in milliseconds. */
  observeBetweenTokens(service: ServiceName, milliseconds: number): void {
    const labels = { service: this.#services.limit(service) };
    this.#betweenTokens.observe(labels, milliseconds / 1_000);
  }

  /** Records a predicted cost and the actual one. */
  observeCost({ quantity, expected, actual, decile }: PredictedCost): void {
    this.#costDeciles.inc({ quantity, decile });
    this.#costs.inc({ quantity, kind: "predicted" }, expected);
    this.#costs.inc({ quantity, kind: "actual" }, actual);
  }

  /** Replaces all counts; services not in the map are no longer reported. */
  setRequestCounts(
    counts: ReadonlyMap<
      ServiceName,
      { readonly queued: number; readonly running: number }
    >,
  ): void {
    this.#queueDepth.reset();
    this.#running.reset();
    for (const [name, { queued, running }] of counts) {
      const labels = { service: this.#services.limit(name) };
      this.#queueDepth.inc(labels, queued);
      this.#running.inc(labels, running);
    }
  }

  /** Sets the revision in force and its confirmation age in milliseconds. */
  setConfiguration(revision: Revision, confirmationAge: number): void {
    this.#revision.set(revision);
    this.#confirmationAge.set(confirmationAge / 1_000);
  }

  /** Sets the number of backend servers in a state. */
  setBackendServers(state: BackendServerState, count: number): void {
    this.#servers.set({ state }, count);
  }

  /** Counts a role change that this host ordered. */
  countRoleChange(): void {
    this.#roleChanges.inc();
  }

  /** Adds the increase of the totals since the last call. */
  updateControlTraffic(totals: ControlTrafficTotals): void {
    const last = this.#reportedTraffic;
    const { sentBytes, receivedBytes, busyTime } = totals;
    this.#controlBytes.inc(
      { direction: "sent" },
      sentBytes - last.sentBytes,
    );
    this.#controlBytes.inc(
      { direction: "received" },
      receivedBytes - last.receivedBytes,
    );
    this.#controlCpu.inc((busyTime - last.busyTime) / 1_000);
    this.#reportedTraffic = { sentBytes, receivedBytes, busyTime };
  }

  /** Sets the number of events dropped because of a slow disk. */
  setTimelineDropped(events: number): void {
    this.#timelineDropped.set(events);
  }

  /** Counts that this host has taken a duty. */
  countDutyTaken(duty: string): void {
    this.#dutiesTaken.inc({ duty });
  }

  /** Counts a call to the platform. */
  countDutyCall(duty: string, result: string): void {
    this.#dutyCalls.inc({ duty, result });
  }

  /** Sets the age of a lease in milliseconds; undefined if there is none. */
  setLeaseAge(duty: string, age: number | undefined): void {
    if (age === undefined) this.#leaseAge.remove({ duty });
    else this.#leaseAge.set({ duty }, age / 1_000);
  }

  /** Sets the servers that the load of each region needs. */
  setServersNeeded(
    service: ServiceName,
    needs: ReadonlyMap<Region, number>,
  ): void {
    const label = this.#services.limit(service);
    for (const [region, servers] of needs) {
      this.#serversNeeded.set({ service: label, region }, servers);
    }
  }

  /** Removes the needed servers, when another host orders them. */
  clearServersNeeded(): void {
    this.#serversNeeded.reset();
  }

  /** Adds gauges of the memory and connections that callers take. */
  addMemory(sources: {
    readonly budget: MemoryBudget;
    readonly connections: CallerConnections;
  }): void {
    const { budget, connections } = sources;
    this.#addSampled(
      "memory_budget_used_bytes",
      "Memory held for callers and servers",
      () => budget.usedBytes,
    );
    this.#addSampled(
      "memory_budget_limit_bytes",
      "Memory that may be held for callers and servers",
      () => budget.limitBytes,
    );
    this.#addSampled(
      "memory_refusals",
      "Times that memory was refused since the start",
      () => budget.refusals,
    );
    this.#addSampled(
      "memory_evictions",
      "Requests and answers that gave way to others since the start",
      () => budget.evictions,
    );
    this.#addSampled(
      "caller_connections",
      "Open connections of callers",
      () => connections.open,
    );
    this.#addSampled(
      "caller_connections_closed",
      "Connections that gave way to others since the start",
      () => connections.closed,
    );
    this.#addSampled(
      "pipelined_requests_waiting",
      "Pipelined requests that wait for earlier ones or for their turn",
      () => connections.waiting,
    );
    this.#addSampled(
      "pipelined_connections_closed",
      "Connections closed for too many pipelined requests since the start",
      () => connections.closedForPipelining,
    );
  }

  /** Adds gauges of the reads that were deferred for others. */
  addReads(scheduler: ReadScheduler): void {
    this.#addSampled(
      "reads_waiting",
      "Bodies and new connections that wait for being read",
      () => scheduler.waiting,
    );
    this.#addSampled(
      "reads_deferred",
      "Reads of bodies with many chunks that were deferred since the start",
      () => scheduler.deferrals,
    );
  }

  #addSampled(name: string, help: string, sample: () => number): void {
    new Gauge({
      name: `rhubarbstage_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(sample());
      },
    });
  }

  #addCustomerGauges(): void {
    this.#addTopCustomers("requests", "Requests", this.#customers);
    this.#addTopCustomers("refusals", "Refusals", this.#customerRefusals);
    this.#addTopCustomers("late", "Late answers", this.#lateCustomers);
  }

  #addTopCustomers(name: string, title: string, counts: BoundedCounter): void {
    new Gauge({
      name: `rhubarbstage_top_customer_${name}`,
      help: `${title} of the ${topCustomerCount} customers with most of them`,
      labelNames: ["customer"],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [customer, count] of counts.top(topCustomerCount)) {
          this.set({ customer }, count);
        }
      },
    });
  }

  #counter<Label extends string = never>(
    name: string,
    help: string,
    labelNames: readonly Label[] = [],
  ): Counter<Label> {
    return new Counter({
      name: `rhubarbstage_${name}`,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
    });
  }

  #gauge<Label extends string = never>(
    name: string,
    help: string,
    labelNames: readonly Label[] = [],
  ): Gauge<Label> {
    return new Gauge({
      name: `rhubarbstage_${name}`,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
    });
  }

  #histogram(
    name: string,
    help: string,
    buckets: readonly number[],
  ): Histogram<"service"> {
    return new Histogram({
      name: `rhubarbstage_${name}`,
      help,
      labelNames: ["service"],
      buckets: [...buckets],
      registers: [this.registry],
    });
  }
}
