/**
 * Recent use of a shared resource by those who compete for it: customers, or
 * kinds of work.
 *
 * @module
 */

import { DecayedSum } from "./decayed.ts";

/**
 * Time constant of use and demand, in milliseconds. Bursts of 14 s count as
 * recent demand throughout, and a customer's burst is forgotten after some 20 s.
 */
const recentTime = 8_000;
/** Decayed requests below which there is no recent demand. */
const minDemand = 0.05;
/** Decayed requests from which a ratio of served requests says something. */
const minRatioDemand = 3;
/** Interval between removals of accounts without demand, in milliseconds. */
const cleanUpInterval = 1_000;
/** Largest number of accounts, above that of any deployment's customers. */
const maxAccounts = 20_000;

interface Account {
  weight: number;
  readonly used: DecayedSum;
  readonly asked: DecayedSum;
  readonly served: DecayedSum;
}

/** Accounts of use and demand, by customer or kind. */
export class CustomerShares<Key extends string> {
  readonly #accounts = new Map<Key, Account>();
  readonly #total = newAccount(0);
  #cleanedUpAt = 0;

  /** Number of accounts with recent demand. */
  get size(): number {
    return this.#accounts.size;
  }

  /** Records a request that asks for service. */
  ask(key: Key, weight: number, now: number): void {
    const account = this.#accountOf(key, weight, now);
    account?.asked.add(1, now);
    this.#total.asked.add(1, now);
  }

  /** Records a request that is served; counted if its `ask` was. */
  serve(
    key: Key,
    served: { readonly cost: number; readonly isCounted: boolean },
    now: number,
  ): void {
    const account = this.#accounts.get(key);
    for (const item of [account, this.#total]) {
      item?.used.add(served.cost, now);
      if (served.isCounted) item?.served.add(1, now);
    }
  }

  /**
   * Use relative to a fair share: an equal share, by weight, among those with
   * recent demand. 1 is exactly the share, 0 is no recent use.
   */
  overuse(key: Key, now: number): number {
    const account = this.#accounts.get(key);
    const total = this.#total.used.value(now);
    if (account === undefined || total <= 0) return 0;
    const share = total * account.weight / this.#total.weight;
    return account.used.value(now) / share;
  }

  /** Whether requests are served less often than `part` of the average. */
  isUnderserved(key: Key, part: number, now: number): boolean {
    const account = this.#accounts.get(key);
    if (account === undefined) return false;
    const asked = account.asked.value(now);
    if (asked < minRatioDemand) return false;
    const ratio = account.served.value(now) / asked;
    const average = this.#total.served.value(now) /
      this.#total.asked.value(now);
    return ratio < average * part;
  }

  #accountOf(key: Key, weight: number, now: number): Account | undefined {
    this.#cleanUp(now);
    let account = this.#accounts.get(key);
    if (account === undefined) {
      if (this.#accounts.size >= maxAccounts) return undefined;
      account = newAccount(0);
      this.#accounts.set(key, account);
    }
    this.#total.weight += weight - account.weight;
    account.weight = weight;
    return account;
  }

  /** Removes accounts without recent demand, whose shares go to the others. */
  #cleanUp(now: number): void {
    if (now - this.#cleanedUpAt < cleanUpInterval) return;
    this.#cleanedUpAt = now;
    let weight = 0;
    for (const [key, account] of this.#accounts) {
      if (account.asked.value(now) < minDemand) this.#accounts.delete(key);
      else weight += account.weight;
    }
    this.#total.weight = weight;
  }
}

function newAccount(weight: number): Account {
  return {
    weight,
    used: new DecayedSum(recentTime),
    asked: new DecayedSum(recentTime),
    served: new DecayedSum(recentTime),
  };
}
