/**
 * Converts demand between the formats of the policy and membership.
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

/** Stores the demand last published by the policy, in the exchange format. */
export class DemandReport {
  #host: HostId;
  #rates = new Map<DemandSubject, DemandRates>();

  constructor(options: { readonly host: HostId }) {
    this.#host = options.host;
  }

  /** Replaces the demand of this host. */
  update(
    customers: ReadonlyMap<CustomerId, CustomerDemand>,
    models: ReadonlyMap<ModelName, ModelDemand>,
  ): void {
    this.#rates.clear();
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
    }
  }

  /** Returns the demand of this host by subject. */
  rates(): ReadonlyMap<DemandSubject, DemandRates> {
    return this.#rates;
  }

  /** Converts the totals over all hosts to fields of the policy's event. */
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
