/**
 * Converts demand between the formats of the policy and membership.
 *
 * @module
 */

import type { CustomerId, HostId, ModelName } from "rhubarbstage";
import type { DemandRates, DemandSubject } from "@rhubarbstage/membership";
import type {
  CustomerDemand,
  ModelDemand,
  WorkFigures,
} from "@rhubarbstage/policy";

const customerPrefix = "customer/";
const modelPrefix = "model/";
const engineTimePrefix = "engine/";
const figurePrefix = "figure/";

/** Fields of the policy's `demand_reported` event. */
export interface ReportedDemand {
  readonly total: ReadonlyMap<CustomerId, CustomerDemand>;
  readonly models: ReadonlyMap<ModelName, ModelDemand>;
  readonly hosts: number;
  readonly position: number;
  readonly figures?: WorkFigures;
}

/** Options of a {@linkcode DemandReport}. */
export interface DemandReportOptions {
  readonly host: HostId;
  /**
   * Models whose total demand this host needs even if it has none itself, as the
   * host that decides on engine roles does.
   */
  readonly models?: () => Iterable<ModelName>;
}

/** Stores the demand last published by the policy, in the exchange format. */
export class DemandReport {
  readonly #options: DemandReportOptions;
  #rates = new Map<DemandSubject, DemandRates>();

  constructor(options: DemandReportOptions) {
    this.#options = options;
  }

  /** Replaces the demand of this host. */
  update(
    customers: ReadonlyMap<CustomerId, CustomerDemand>,
    models: ReadonlyMap<ModelName, ModelDemand>,
    figures: WorkFigures = new Map(),
  ): void {
    this.#rates.clear();
    for (const [subject, figure] of figures) {
      this.#rates.set(`${figurePrefix}${subject}`, figure);
    }
    for (const [customer, demand] of customers) {
      const { requestsPerSecond, tokensPerSecond } = demand;
      this.#rates.set(`${customerPrefix}${customer}`, [
        requestsPerSecond,
        tokensPerSecond,
      ]);
    }
    for (const [model, demand] of models) {
      const { promptTokensPerSecond, outputTokensPerSecond } = demand;
      this.#rates.set(`${modelPrefix}${model}`, [
        promptTokensPerSecond,
        outputTokensPerSecond,
      ]);
      const { promptTimePerSecond = 0, streamTimePerSecond = 0 } = demand;
      this.#rates.set(`${engineTimePrefix}${model}`, [
        promptTimePerSecond,
        streamTimePerSecond,
      ]);
    }
  }

  /** Returns the demand of this host by subject. */
  rates(): ReadonlyMap<DemandSubject, DemandRates> {
    for (const model of this.#options.models?.() ?? []) {
      for (const prefix of [modelPrefix, engineTimePrefix]) {
        const subject = `${prefix}${model}`;
        if (!this.#rates.has(subject)) this.#rates.set(subject, [0, 0]);
      }
    }
    return this.#rates;
  }

  /** Converts the totals over all hosts to fields of the policy's event. */
  toEvent(
    totals: ReadonlyMap<DemandSubject, DemandRates>,
    hosts: readonly HostId[],
  ): ReportedDemand {
    const total = new Map<CustomerId, CustomerDemand>();
    const models = new Map<ModelName, ModelDemand>();
    const figures = new Map<string, DemandRates>();
    for (const [subject, [first, second]] of totals) {
      if (subject.startsWith(customerPrefix)) {
        const customer = subject.slice(customerPrefix.length) as CustomerId;
        const demand = { requestsPerSecond: first, tokensPerSecond: second };
        total.set(customer, demand);
        continue;
      }
      if (subject.startsWith(figurePrefix)) {
        figures.set(subject.slice(figurePrefix.length), [first, second]);
      }
      if (!subject.startsWith(modelPrefix)) continue;
      const model = subject.slice(modelPrefix.length) as ModelName;
      const [promptTimePerSecond, streamTimePerSecond] =
        totals.get(`${engineTimePrefix}${model}`) ?? [0, 0];
      models.set(model, {
        promptTokensPerSecond: first,
        outputTokensPerSecond: second,
        promptTimePerSecond,
        streamTimePerSecond,
      });
    }
    const position = [...hosts].sort().indexOf(this.#options.host);
    const reported = { total, models, hosts: hosts.length, position };
    return figures.size === 0 ? reported : { ...reported, figures };
  }
}
