/**
 * Demand of customers and models between the policy and membership.
 *
 * @module
 */

import type { CustomerId, HostId, ModelName } from "rhubarbstage";
import type { DemandRates, DemandSubject } from "@rhubarbstage/membership";
import type { CustomerDemand, ModelDemand } from "@rhubarbstage/policy";

const customerPrefix = "customer/";
const modelPrefix = "model/";

/** Fields of the policy's `demand_reported` event. */
export interface ReportedDemand {
  readonly total: ReadonlyMap<CustomerId, CustomerDemand>;
  readonly models: ReadonlyMap<ModelName, ModelDemand>;
  readonly hosts: number;
  readonly position: number;
}

/** Keeps what the policy published last, in the form that hosts exchange. */
export class DemandReport {
  #host: HostId;
  #rates = new Map<DemandSubject, DemandRates>();

  constructor(options: { readonly host: HostId }) {
    this.#host = options.host;
  }

  /** Takes the demand that this host sees. */
  update(
    own: ReadonlyMap<CustomerId, CustomerDemand>,
    ownModels: ReadonlyMap<ModelName, ModelDemand>,
  ): void {
    this.#rates.clear();
    for (const [customer, demand] of own) {
      const { requestsPerSecond, tokensPerSecond } = demand;
      this.#rates.set(`${customerPrefix}${customer}`, [
        requestsPerSecond,
        tokensPerSecond,
      ]);
    }
    for (const [model, demand] of ownModels) {
      const { promptTokensPerSecond, outputTokensPerSecond } = demand;
      this.#rates.set(`${modelPrefix}${model}`, [
        promptTokensPerSecond,
        outputTokensPerSecond,
      ]);
    }
  }

  /** Demand of this host by subject. */
  rates(): ReadonlyMap<DemandSubject, DemandRates> {
    return this.#rates;
  }

  /** Totals over all hosts as the policy takes them. */
  toEvent(
    totals: ReadonlyMap<DemandSubject, DemandRates>,
    hosts: readonly HostId[],
  ): ReportedDemand {
    const total = new Map<CustomerId, CustomerDemand>();
    const models = new Map<ModelName, ModelDemand>();
    for (const [subject, [first, second]] of totals) {
      if (subject.startsWith(customerPrefix)) {
        const customer = subject.slice(customerPrefix.length) as CustomerId;
        const demand = { requestsPerSecond: first, tokensPerSecond: second };
        total.set(customer, demand);
        continue;
      }
      models.set(subject.slice(modelPrefix.length) as ModelName, {
        promptTokensPerSecond: first,
        outputTokensPerSecond: second,
      });
    }
    const position = [...hosts].sort().indexOf(this.#host);
    return { total, models, hosts: hosts.length, position };
  }
}
